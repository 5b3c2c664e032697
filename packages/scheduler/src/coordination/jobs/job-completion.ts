/** Completion of jobs: writes the final record of a job once all of its tasks are settled. */
import { COMPLETION_FALLBACK_MS, LOW_PRIORITY, RETRY_MS } from '../../constants.ts';
import type { CompareAndSwapResult } from '../../protocol/key-value.ts';
import type { KeyValueStore, Lane } from '../../storage/key-value-store.ts';
import type { OpenJob, OpenJobs } from '../../storage/open-jobs.ts';
import { encodeJob } from '../../storage/record-codec.ts';
import { jobKey, openJobKey } from '../../storage/records.ts';
import type { Log } from '../../transport/log.ts';
import type { Clock } from '../../transport/clock.ts';

type CompletionLane = Exclude<Lane, 'leadership'>;

interface JobCompletionContext {
  readonly clock: Clock;
  /** Time of day, milliseconds. */
  readonly wallClock: () => number;
  readonly log: Log;
  readonly store: KeyValueStore;
  readonly openJobs: OpenJobs;
  /** Whether this node leads the shard. */
  readonly leads: (shard: string) => boolean;
  /** The job's end is committed. */
  readonly onDone: (jobId: string) => void;
}

/** The lane of the write that ends a job of this priority: low priority gets what users' requests leave. */
function laneOf(priority: number): CompletionLane {
  return priority >= LOW_PRIORITY ? 'background' : 'user';
}

/** Completes jobs, one at a time in each lane. */
export class JobCompletion {
  /** Whether a pass over the jobs due is under way. */
  private readonly completing: Record<CompletionLane, boolean> = { user: false, background: false };
  /** Jobs all of whose tasks have results at this node, whether these are recorded yet or not. */
  private readonly locallySettled = new Set<string>();

  constructor(private readonly context: JobCompletionContext) {}

  /**
   * Completes the jobs all of whose tasks are settled in the records. A settled task stays settled, hence any
   * node may do this: the leader of the job's first slice at once, the others only if that leader does not.
   */
  endAll(): void {
    this.startCompleting('user');
    this.startCompleting('background');
  }

  /**
   * All tasks of the job have results, as this node has learnt from heartbeats while it leads the shards of
   * all its slices. Results are final, whatever the records say: so only the job's end has to be recorded,
   * which saves a write of progress for each of many small jobs.
   */
  onAllSettled(jobId: string): void {
    this.locallySettled.add(jobId);
    this.endAll();
  }

  /** The job is over. */
  drop(jobId: string): void {
    this.locallySettled.delete(jobId);
  }

  private startCompleting(lane: CompletionLane): void {
    if (this.completing[lane]) return;
    // Cannot reject: every job's failure is logged, and the job is retried.
    void this.completeDue(lane);
  }

  /** The jobs to complete, from the live sets: jobs that are settled during the iteration are included. */
  private *due(): Iterable<OpenJob> {
    const { clock, leads, openJobs } = this.context;
    for (const id of this.locallySettled) {
      const job = openJobs.jobs.get(id);
      if (job) yield job;
    }
    for (const job of openJobs.complete) {
      const firstShard = job.record.slices[0]?.shard ?? '';
      if (leads(firstShard) || clock.now() - job.completeSince >= COMPLETION_FALLBACK_MS) yield job;
    }
  }

  private async completeDue(lane: CompletionLane): Promise<void> {
    this.completing[lane] = true;
    try {
      for (const job of this.due()) {
        const now = this.context.clock.now();
        if (now < job.nextCompletionTryAt || laneOf(job.record.spec.priority) !== lane) continue;
        // If the write is carried out, the watch cache shows it long before.
        job.nextCompletionTryAt = now + COMPLETION_FALLBACK_MS;
        await this.complete(job, lane);
      }
    } finally {
      this.completing[lane] = false;
    }
  }

  private async complete(job: OpenJob, lane: CompletionLane): Promise<void> {
    const { clock, log, onDone, wallClock } = this.context;
    const { id, record } = job;
    try {
      const result = await this.writeEnd(job, lane);
      if (result.kind === 'committed') onDone(id);
      const { class: jobClass, estimateS, tasks } = record.spec;
      const durationMs = wallClock() - record.at;
      log.debug({ job: id, class: jobClass, tasks, estimateS, durationMs, result: result.kind }, 'job done');
    } catch (error: unknown) {
      job.nextCompletionTryAt = clock.now() + RETRY_MS;
      log.debug({ job: id, err: String(error) }, 'job completion failed');
    }
  }

  /**
   * Replaces the open record by the final one. A cancellation removes the open record, so that this fails.
   */
  private writeEnd({ id, record, version }: OpenJob, lane: CompletionLane): Promise<CompareAndSwapResult> {
    return this.context.store.compareAndSwap(
      [{ key: openJobKey(id), version }],
      [
        { op: 'put', key: jobKey(id), value: encodeJob({ status: 'done', tasks: record.spec.tasks }) },
        { op: 'delete', key: openJobKey(id) },
      ],
      lane,
    );
  }
}
