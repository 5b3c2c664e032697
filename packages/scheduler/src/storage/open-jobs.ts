/**
 * The jobs that are not finished, and how many of their tasks are settled, according to the watched records.
 */
import type { Revision } from '../protocol/key-value.ts';
import type { ShardId } from '../protocol/peer-messages.ts';
import type { JobId } from '../protocol/users.ts';
import { type OpenJobRecord, type ProgressRecord, sliceName } from './records.ts';
import type { SliceAssignment } from './slice.ts';
import { TaskSet } from './task-set.ts';

/** A job that is not finished. */
export interface OpenJob {
  readonly id: JobId;
  readonly record: OpenJobRecord;
  /** Version of its open record. */
  readonly version: Revision;
  /** Number of tasks that are not settled in the records. */
  unsettledTasks: number;
  /** Since when all tasks are settled, in milliseconds of the clock; infinite before. */
  completeSince: number;
  /** This controller does not try to complete the job before this time, in milliseconds of the clock. */
  nextCompletionTryAt: number;
}

/** The settled tasks of a slice as its progress record has them. */
interface RecordedTasks {
  /** An encoded `TaskSet`. It may have been written before the last tasks of the slice migrated. */
  readonly encoded: string;
  /** The number of tasks of the slice for which `size` was counted. */
  count: number;
  /** Number of settled tasks among the first `count`. */
  size: number;
}

/**
 * Index of the open jobs and their progress. It is updated with each change, so that a change of one job
 * never requires a pass over all of them.
 */
export class OpenJobs {
  /** All open jobs, by id. */
  readonly jobs = new Map<JobId, OpenJob>();
  /** Open jobs all of whose tasks are settled. */
  readonly complete = new Set<OpenJob>();
  /** Jobs known to be finished that are still open in the watched records. */
  private readonly closed = new Set<JobId>();
  /** Settled tasks by slice name. */
  private readonly settledTasks = new Map<string, RecordedTasks>();
  /** Names of the slices on each page of progress, by the page's key. */
  private readonly slicesByPage = new Map<string, string[]>();

  /** Stores the current record of a job. Null if the job is known to be finished nevertheless. */
  set(id: JobId, record: OpenJobRecord, version: Revision, now: number): OpenJob | null {
    if (this.closed.has(id)) return null;
    const job: OpenJob = {
      id,
      record,
      version,
      unsettledTasks: 0,
      completeSince: Infinity,
      nextCompletionTryAt: 0,
    };
    this.drop(id);
    this.jobs.set(id, job);
    this.updateProgress(job, now);
    return job;
  }

  /**
   * The job is finished, though its open record may still be in the watch cache. Later changes of that record
   * do not open the job again.
   */
  close(id: JobId): OpenJob | null {
    const job = this.drop(id);
    if (job) this.closed.add(id);
    return job;
  }

  /**
   * Whether the job is known to be finished and the deletion of its open record has not been received yet.
   */
  isClosed(id: JobId): boolean {
    return this.closed.has(id);
  }

  /** The job's open record is deleted. Returns the job if it was open until now. */
  remove(id: JobId): OpenJob | null {
    this.closed.delete(id);
    return this.drop(id);
  }

  private drop(id: JobId): OpenJob | null {
    const job = this.jobs.get(id);
    if (!job) return null;
    this.jobs.delete(id);
    this.complete.delete(job);
    return job;
  }

  /** Stores the current page of progress; `record` is null if the page is deleted. */
  setProgress(key: string, record: ProgressRecord | null, now: number): void {
    const settled = record?.settled ?? {};
    const names = Object.keys(settled);
    this.forgetMissing(key, names);
    this.slicesByPage.set(key, names);
    const changedJobs = new Set<JobId>();
    for (const name of names) {
      const encoded = settled[name] ?? '';
      if (this.settledTasks.get(name)?.encoded === encoded) continue;
      this.settledTasks.set(name, { encoded, count: 0, size: 0 });
      changedJobs.add(name.split('/').at(-2) ?? ''); // the job's id, see `sliceName`
    }
    for (const id of changedJobs) {
      const job = this.jobs.get(id);
      if (job) this.updateProgress(job, now);
    }
  }

  /** Drops the slices that were on the page before and are not on it now. */
  private forgetMissing(key: string, names: readonly string[]): void {
    const previous = this.slicesByPage.get(key);
    if (!previous) return;
    const kept = new Set(names);
    for (const name of previous) if (!kept.has(name)) this.settledTasks.delete(name);
  }

  /** The job's slices that are assigned to the shard, each with its settled tasks. */
  slicesOf(job: OpenJob, shard: ShardId): SliceAssignment[] {
    const { spec, at, slices } = job.record;
    return slices.flatMap(({ shard: assignedTo, from, count }, index) => {
      if (assignedTo !== shard) return [];
      const name = sliceName(shard, job.id, index);
      return [{ name, spec, at, from, count, settled: this.settledTasks.get(name)?.encoded ?? '' }];
    });
  }

  /**
   * How many tasks of each of the job's slices are not settled in the records, in the order of the slices.
   */
  unsettledBySlice(job: OpenJob): number[] {
    return job.record.slices.map(
      ({ shard, count }, index) => count - this.settledCount(sliceName(shard, job.id, index), count),
    );
  }

  /** Whether the job is open, and its task is in a slice whose record does not have the task's result. */
  isUnsettled(id: JobId, index: number): boolean {
    const slices = this.jobs.get(id)?.record.slices ?? [];
    return slices.some(({ shard, from, count }, sliceIndex) => {
      const position = index - from;
      if (position < 0 || position >= count) return false;
      const recorded = this.settledTasks.get(sliceName(shard, id, sliceIndex));
      return !recorded || !new TaskSet(count, recorded.encoded).has(position);
    });
  }

  /** How many of the slice's `count` tasks are settled in the records. */
  private settledCount(name: string, count: number): number {
    const recorded = this.settledTasks.get(name);
    if (!recorded) return 0;
    if (recorded.count !== count) {
      recorded.count = count;
      recorded.size = TaskSet.countIn(recorded.encoded, count);
    }
    return recorded.size;
  }

  /** Counts the job's unsettled tasks again. Settled tasks stay settled, so a complete job stays complete. */
  private updateProgress(job: OpenJob, now: number): void {
    job.unsettledTasks = this.unsettledBySlice(job).reduce((sum, tasks) => sum + tasks, 0);
    if (job.unsettledTasks > 0 || this.complete.has(job)) return;
    job.completeSince = now;
    this.complete.add(job);
  }
}
