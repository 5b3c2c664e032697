import { FINISH_STEP_MS, RETRY_MS } from '../../constants.ts';
import type { OpenJob, OpenJobs } from '../../bookkeeping/open-jobs.ts';
import { jobKey, type JobRecord, openJobKey } from '../../bookkeeping/records.ts';
import type { Store } from '../../bookkeeping/store.ts';
import type { Clock } from '../../transport/clock.ts';
import type { Log } from '../../transport/routine.ts';

/** Ends jobs whose tasks are all settled. */
export class JobEnds {
  private ending = false;

  constructor(
    private readonly context: {
      clock: Clock;
      /** Time of day, milliseconds. */
      wallClock: () => number;
      log: Log;
      store: Store;
      openJobs: OpenJobs;
      owns: (part: string) => boolean;
      /** The job's end is committed. */
      onDone: (job: string) => void;
    },
  ) {}

  /**
   * Ends the jobs all of whose tasks are settled in the records. What is settled stays so, hence any node may:
   * the owner of the job's first slice does it at once, the others only if that owner does not.
   */
  async endAll(): Promise<void> {
    if (this.ending) return;
    this.ending = true;
    try {
      for (const job of this.context.openJobs.complete) {
        const now = this.context.clock.now();
        const first = job.record.slices[0]?.part ?? '';
        if (now < job.nextTryAt) continue;
        if (!this.context.owns(first) && now - job.completeSince < FINISH_STEP_MS) continue;
        job.nextTryAt = now + FINISH_STEP_MS; // the replica shows it long before, if it is carried out
        await this.end(job);
      }
    } finally {
      this.ending = false;
    }
  }

  private async end(job: OpenJob): Promise<void> {
    const { id, record, version } = job;
    const { tasks, class: of, estimateS } = record.spec;
    const value: JobRecord = { status: 'done', tasks };
    try {
      // A withdrawal removes the open record, so this commits only for a job that is open.
      const result = await this.context.store.txn(
        [{ key: openJobKey(id), version }],
        [
          { op: 'put', key: jobKey(id), value },
          { op: 'delete', key: openJobKey(id) },
        ],
        'user',
      );
      if (result.kind === 'committed') this.context.onDone(id);
      const tookS = Math.round((this.context.wallClock() - record.at) / 1000);
      this.context.log.debug(
        { job: id, class: of, tasks, estimateS, tookS, result: result.kind },
        'job done',
      );
    } catch (error) {
      job.nextTryAt = this.context.clock.now() + RETRY_MS;
      this.context.log.debug({ job: id, err: String(error) }, 'job not ended yet');
    }
  }
}
