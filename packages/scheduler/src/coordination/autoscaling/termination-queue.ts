/** Terminates machines in batches, with retries until the cloud confirms the termination of each. */
import { TERMINATE_BATCH, TERMINATION_RETRY_MS } from '../../constants.ts';
import type { Cloud } from '../../protocol/cloud.ts';
import type { Log } from '../../transport/log.ts';
import type { Clock } from '../../transport/clock.ts';
import type { CloudRateLimit } from './cloud-rate-limit.ts';

interface TerminationQueueContext {
  readonly cloud: Cloud;
  readonly clock: Clock;
  readonly log: Log;
  readonly signal: AbortSignal;
  readonly rateLimit: CloudRateLimit;
}

/** The machines to terminate. Machines added in the same turn of the event loop share a request. */
export class TerminationQueue {
  /** By machine id, the function that resolves the caller's promise. */
  private readonly queued = new Map<string, () => void>();
  private running = false;

  constructor(private readonly context: TerminationQueueContext) {}

  /**
   * Resolves once the cloud confirms that the machine and every task on it have ended. Never resolves if the
   * process terminates first.
   */
  terminate(machineId: string): Promise<void> {
    return new Promise((resolve) => {
      this.queued.set(machineId, resolve);
      if (this.running) return;
      this.running = true;
      this.context.clock.defer(() => void this.run());
    });
  }

  private async run(): Promise<void> {
    const { clock, log, rateLimit, signal } = this.context;
    while (this.queued.size > 0 && !signal.aborted) {
      const batch = [...this.queued.keys()].slice(0, TERMINATE_BATCH);
      await rateLimit.acquire(0);
      try {
        await this.context.cloud.terminateMachines(batch);
        this.confirm(batch);
      } catch (error: unknown) {
        log.debug({ err: String(error) }, 'termination request failed; retrying');
        await clock.sleep(TERMINATION_RETRY_MS, signal);
      }
    }
    this.running = false;
  }

  private confirm(machineIds: readonly string[]): void {
    for (const id of machineIds) {
      this.queued.get(id)?.();
      this.queued.delete(id);
    }
  }
}
