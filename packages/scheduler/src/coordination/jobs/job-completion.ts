/** Completion of jobs: writes the final record of a job once all of its tasks are settled. */
import { COMPLETION_FALLBACK_MS, LOW_PRIORITY, RETRY_MS } from '../../constants.ts';
import type { CompareAndSwapResult, Revision } from '../../protocol/key-value.ts';
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
  /** Called once the final record of a job with this number of tasks is committed, at this revision. */
  readonly onDone: (jobId: string, revision: Revision, tasks: number) => void;
}

/** The lane of a job's final write, by the job's priority. Low priority yields to users' requests. */
function laneOf(priority: number): CompletionLane {
  return priority >= LOW_PRIORITY ? 'background' : 'user';
}

/** Completes jobs, one at a time in each lane. */
export class JobCompletion {
  /** By lane: whether a pass over the due jobs is in progress. */
  private readonly completing: Record<CompletionLane, boolean> = { user: false, background: false };
  /** Jobs of which this node has the results of all tasks, whether or not the results are recorded yet. */
  private readonly locallySettled = new Set<string>();

  constructor(private readonly context: JobCompletionContext) {}

  /**
   * Completes the jobs all of whose tasks are settled in the records. A settled task stays settled, so any
   * node may complete the job. The leader of the first slice's shard completes it at once. Another node
   * completes it only if it is still open after `COMPLETION_FALLBACK_MS`. Also retries the jobs that were
   * passed to `onAllTasksSettled`.
   */
  completeSettledJobs(): void {
    this.startCompleting('user');
    this.startCompleting('background');
  }

  /**
   * Completes a job whose tasks all have results according to the heartbeats. Called only if this node leads
   * the shards of all the job's slices. Results are final even before they are recorded, so the job needs no
   * write of its progress before the final record. This saves a write for each of many small jobs.
   */
  onAllTasksSettled(jobId: string): void {
    this.locallySettled.add(jobId);
    this.completeSettledJobs();
  }

  /** Removes a job that has finished. */
  drop(jobId: string): void {
    this.locallySettled.delete(jobId);
  }

  private startCompleting(lane: CompletionLane): void {
    if (this.completing[lane]) return;
    // Cannot reject: a failed write is logged and retried.
    void this.completeDueJobs(lane);
  }

  /** The jobs to complete. Iterates over the live sets, so it includes jobs settled during the iteration. */
  private *dueJobs(): Iterable<OpenJob> {
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

  private async completeDueJobs(lane: CompletionLane): Promise<void> {
    this.completing[lane] = true;
    try {
      for (const job of this.dueJobs()) {
        const now = this.context.clock.now();
        if (now < job.nextCompletionTryAt || laneOf(job.record.spec.priority) !== lane) continue;
        // If the write is committed, the watch cache removes the job well before this retry.
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
      const result = await this.writeFinalRecord(job, lane);
      if (result.kind === 'committed') onDone(id, result.revision, record.spec.tasks);
      const { class: jobClass, estimateS, tasks } = record.spec;
      const durationMs = wallClock() - record.at;
      log.debug(
        { job: id, class: jobClass, tasks, estimateS, durationMs, result: result.kind },
        'job completion attempted',
      );
    } catch (error: unknown) {
      job.nextCompletionTryAt = clock.now() + RETRY_MS;
      log.debug({ job: id, err: String(error) }, 'job completion failed');
    }
  }

  /**
   * Replaces the open record by the final record. Fails with a conflict if the job has been cancelled, as a
   * cancellation deletes the open record.
   */
  private writeFinalRecord(
    { id, record, version }: OpenJob,
    lane: CompletionLane,
  ): Promise<CompareAndSwapResult> {
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
