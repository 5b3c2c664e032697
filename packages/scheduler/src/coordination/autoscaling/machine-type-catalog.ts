import { CATALOG_REFRESH_MS, RETRY_MS } from '../../constants.ts';
import type { MachineType } from '../../protocol/cloud.ts';
import type { Clock } from '../../transport/clock.ts';
import type { Log } from '../../transport/background-task.ts';
import type { CloudRequests } from './cloud-requests.ts';

/** The cloud's machine types, read again now and then: only prices change. */
export class MachineTypeCatalog {
  /** Null until they have been read once. */
  types: MachineType[] | null = null;

  constructor(
    private readonly context: { cloud: CloudRequests; clock: Clock; log: Log; signal: AbortSignal },
  ) {}

  async run(): Promise<void> {
    const { cloud, clock, log, signal } = this.context;
    while (!signal.aborted) {
      try {
        this.types = await cloud.catalog();
      } catch (error) {
        log.debug({ err: String(error) }, 'no catalogue');
      }
      await clock.sleep(this.types === null ? RETRY_MS : CATALOG_REFRESH_MS, signal);
    }
  }
}
