import { COMPLETION_FALLBACK_MS, LOW_PRIORITY, RETRY_MS } from '../../constants.ts';
import type { OpenJob, OpenJobs } from '../../storage/open-jobs.ts';
import { encodeJob } from '../../storage/record-codec.ts';
import { jobKey, type JobRecord, openJobKey } from '../../storage/records.ts';
import type { KeyValueStore } from '../../storage/key-value-store.ts';
import type { Clock } from '../../transport/clock.ts';
import type { Log } from '../../transport/background-task.ts';

/** Whose turn it is at the state service for ends of jobs of the priority: what is low waits for what the rest leaves. */
function laneOf(priority: number): 'user' | 'background' {
  return priority >= LOW_PRIORITY ? 'background' : 'user';
}

/** Ends jobs whose tasks are all settled. */
export class JobCompletion {
  private readonly ending = { user: false, background: false };
  /** Jobs all of whose tasks have had their results on machines of this node's parts; not all of it is recorded. */
  private readonly known = new Set<string>();

  constructor(
    private readonly context: {
      clock: Clock;
      /** Time of day, milliseconds. */
      wallClock: () => number;
      log: Log;
      store: KeyValueStore;
      openJobs: OpenJobs;
      owns: (shard: string) => boolean;
      /** The job's end is committed. */
      onDone: (job: string) => void;
    },
  ) {}

  /**
   * Ends the jobs all of whose tasks are settled in the records. What is settled stays so, hence any node may:
   * the owner of the job's first slice does it at once, the others only if that owner does not.
   */
  endAll(): void {
    void this.endIn('user');
    void this.endIn('background');
  }

  /**
   * All tasks of the job have their results, as its parts' one owner has heard: that is true whatever is recorded of it,
   * and stays so. So the end itself is all that need be recorded; of a swarm of small jobs that is a change less for each.
   */
  onAllSettled(job: string): void {
    this.known.add(job);
    this.endAll();
  }

  /** The job is over. */
  drop(job: string): void {
    this.known.delete(job);
  }

  private *due(): Iterable<OpenJob> {
    for (const id of this.known) {
      const job = this.context.openJobs.jobs.get(id);
      if (job) yield job;
    }
    for (const job of this.context.openJobs.complete) {
      const first = job.record.slices[0]?.shard ?? '';
      const now = this.context.clock.now();
      if (this.context.owns(first) || now - job.completeSince >= COMPLETION_FALLBACK_MS) yield job;
    }
  }

  private async endIn(lane: 'user' | 'background'): Promise<void> {
    if (this.ending[lane]) return;
    this.ending[lane] = true;
    try {
      for (const job of this.due()) {
        const now = this.context.clock.now();
        if (now < job.nextAttemptAt || laneOf(job.record.spec.priority) !== lane) continue;
        job.nextAttemptAt = now + COMPLETION_FALLBACK_MS; // the replica shows it long before, if it is carried out
        await this.end(job, lane);
      }
    } finally {
      this.ending[lane] = false;
    }
  }

  private async end(job: OpenJob, lane: 'user' | 'background'): Promise<void> {
    const { id, record, version } = job;
    const { tasks, class: of, estimateS } = record.spec;
    const value: JobRecord = { status: 'done', tasks };
    try {
      // A withdrawal removes the open record, so this commits only for a job that is open.
      const result = await this.context.store.compareAndSwap(
        [{ key: openJobKey(id), version }],
        [
          { op: 'put', key: jobKey(id), value: encodeJob(value) },
          { op: 'delete', key: openJobKey(id) },
        ],
        lane,
      );
      if (result.kind === 'committed') this.context.onDone(id);
      const tookS = Math.round((this.context.wallClock() - record.at) / 1000);
      this.context.log.debug(
        { job: id, class: of, tasks, estimateS, tookS, result: result.kind },
        'job done',
      );
    } catch (error) {
      job.nextAttemptAt = this.context.clock.now() + RETRY_MS;
      this.context.log.debug({ job: id, err: String(error) }, 'job not ended yet');
    }
  }
}
