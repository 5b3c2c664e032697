/** The cloud's catalog of machine types, kept in memory and refreshed periodically. */
import { CATALOG_REFRESH_MS, RETRY_MS } from '../../constants.ts';
import type { MachineType } from '../../protocol/cloud.ts';
import type { Log } from '../../transport/log.ts';
import type { Clock } from '../../transport/clock.ts';
import type { CloudRequests } from './cloud-requests.ts';

interface MachineTypeCatalogContext {
  readonly cloud: CloudRequests;
  readonly clock: Clock;
  readonly log: Log;
  readonly signal: AbortSignal;
}

/** The machine types as last read. Only prices change between two reads. */
export class MachineTypeCatalog {
  private current: MachineType[] | null = null;

  constructor(private readonly context: MachineTypeCatalogContext) {}

  /** The machine types; null until they have been read once. */
  get types(): MachineType[] | null {
    return this.current;
  }

  /**
   * Reads the catalog periodically until the signal is aborted. A failed read leaves the types unchanged.
   */
  async run(): Promise<void> {
    const { cloud, clock, log, signal } = this.context;
    while (!signal.aborted) {
      try {
        this.current = await cloud.catalog();
      } catch (error: unknown) {
        log.debug({ err: String(error) }, 'reading the machine types failed; retrying');
      }
      await clock.sleep(this.current === null ? RETRY_MS : CATALOG_REFRESH_MS, signal);
    }
  }
}
