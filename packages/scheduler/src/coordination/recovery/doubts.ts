import { DOUBTED_MOST } from '../../constants.ts';
import type { Lineage } from '../../bookkeeping/lineage.ts';
import { jobKey } from '../../bookkeeping/records.ts';
import type { Replica, Store } from '../../bookkeeping/store.ts';
import type { Int } from '../../protocol/json.ts';
import type { Clock } from '../../transport/clock.ts';
import type { Log } from '../../transport/routine.ts';

/**
 * What machines report that the records do not explain. Where all controllers ended with a loss, an older copy looks
 * whole to those that start: only the machines remember more.
 */
export class Doubts {
  /** By part, since when a machine of it is known to carry a token above its owner's, and the owner's. */
  private readonly newer = new Map<string, { at: number; token: number }>();
  /** Jobs that were looked up because a machine has a task of them. */
  private readonly lookedUp = new Set<string>();

  constructor(
    private readonly context: {
      clock: Clock;
      log: Log;
      store: Store;
      replica: Replica;
      lineage: Lineage;
      /** Whether the records, or this node, know the job. */
      isKnown: (job: string) => boolean;
      /** Of a part that this node owns. */
      token: (part: string) => number | null;
    },
  ) {}

  /**
   * A machine has seen a higher token than the owner has. The successor's record was committed before it used its token:
   * if a follow sent since then does not show it, it is lost.
   */
  onNewerToken(part: string): void {
    const { clock, replica, lineage } = this.context;
    const token = this.context.token(part);
    if (token === null) return;
    const known = this.newer.get(part);
    if (known?.token !== token) return void this.newer.set(part, { at: clock.now(), token });
    if (replica.provenAt <= known.at) return;
    this.newer.clear();
    lineage.lose('a machine has a token above all records', true);
  }

  /** A machine's token: in an epoch that began on an empty store none can be from before. */
  onToken(token: Int): void {
    const record = this.context.lineage.epoch?.record;
    if (!record?.fresh || token === 0 || token > record.floor) return;
    this.context.lineage.lose('a machine has a token from before the first record', true);
  }

  /** A machine has a task of a job that is not open: it was accepted, so there must be a record of it. */
  onUnknownJob(job: string): void {
    if (this.lookedUp.has(job) || this.context.isKnown(job)) return;
    this.lookedUp.add(job);
    for (const oldest of this.lookedUp) {
      if (this.lookedUp.size <= DOUBTED_MOST) break;
      this.lookedUp.delete(oldest);
    }
    void this.lookUp(job);
  }

  private async lookUp(job: string): Promise<void> {
    const { lineage, store, log } = this.context;
    const { epoch } = lineage;
    try {
      const entry = await store.get(jobKey(job), 'work');
      // After a loss that not all could mend, there are such jobs.
      if (entry || !epoch?.record.whole || this.context.isKnown(job)) return;
      lineage.lose(`a machine has a task of ${job}, of which there is no record`, true);
    } catch (error) {
      this.lookedUp.delete(job);
      log.debug({ job, err: String(error) }, 'job of a reported task not looked up');
    }
  }
}
