import type { Int } from '../protocol/json.ts';
import { type OpenJobRecord, type ProgressRecord, sliceName } from './records.ts';
import type { SliceAssignment } from './slice.ts';
import { TaskSet } from './task-set.ts';

export interface OpenJob {
  id: string;
  record: OpenJobRecord;
  version: Int;
  /** Tasks not settled in the records. */
  unsettledTasks: number;
  /** Since when none is left. */
  completeSince: number;
  /** Nobody here tries to end it before. */
  nextAttemptAt: number;
}

/**
 * The jobs that are not over and what is settled of them, as the followed records say. Kept up to date change
 * by change, so that nobody has to go through all jobs to know about one.
 */
export class OpenJobs {
  readonly jobs = new Map<string, OpenJob>();
  /** Jobs none of whose tasks is left. */
  readonly complete = new Set<OpenJob>();
  /** Jobs known to be over while the followed records still have them as open. */
  private readonly closed = new Set<string>();
  private readonly settled = new Map<string, { encoded: string; size: number }>();
  private readonly pages = new Map<string, string[]>();

  /** The job's record as it is now; null where the job is known to be over all the same. */
  set(id: string, record: OpenJobRecord, version: Int, now: number): OpenJob | null {
    if (this.closed.has(id)) return null;
    const job: OpenJob = {
      id,
      record,
      version,
      unsettledTasks: 0,
      completeSince: Infinity,
      nextAttemptAt: 0,
    };
    this.drop(id);
    this.jobs.set(id, job);
    this.count(job, now);
    return job;
  }

  /** The job is over, though its record is still there: nothing that the records say of it makes it open again. */
  close(id: string): OpenJob | null {
    const job = this.drop(id);
    if (job) this.closed.add(id);
    return job;
  }

  isClosed(id: string): boolean {
    return this.closed.has(id);
  }

  /** The job's open record is gone. */
  remove(id: string): OpenJob | null {
    this.closed.delete(id);
    return this.drop(id);
  }

  private drop(id: string): OpenJob | null {
    const job = this.jobs.get(id);
    if (!job) return null;
    this.jobs.delete(id);
    this.complete.delete(job);
    return job;
  }

  /** A page of progress as it is now; null: it is gone. */
  setProgress(key: string, record: ProgressRecord | null, now: number): void {
    const changed = new Set<string>();
    const names = Object.keys(record?.settled ?? {});
    const before = this.pages.get(key);
    if (before) {
      const kept = new Set(names);
      for (const name of before) if (!kept.has(name)) this.settled.delete(name);
    }
    this.pages.set(key, names);
    for (const name of names) {
      const encoded = record?.settled[name] ?? '';
      if (this.settled.get(name)?.encoded === encoded) continue;
      this.settled.set(name, { encoded, size: TaskSet.countIn(encoded) });
      changed.add(name.split('/').at(-2) ?? '');
    }
    for (const id of changed) {
      const job = this.jobs.get(id);
      if (job) this.count(job, now);
    }
  }

  /** What a part was given of the job. */
  slicesOf(job: OpenJob, shard: string): SliceAssignment[] {
    const { spec, at, slices } = job.record;
    return slices.flatMap(({ shard: to, from, count }, index) => {
      if (to !== shard) return [];
      const name = sliceName(shard, job.id, index);
      return [{ name, spec, at, from, count, settled: this.settled.get(name)?.encoded ?? '' }];
    });
  }

  /** How many tasks of each of the job's slices are not settled in the records. */
  unsettledBySlice(job: OpenJob): number[] {
    return job.record.slices.map(
      ({ shard, count }, index) => count - (this.settled.get(sliceName(shard, job.id, index))?.size ?? 0),
    );
  }

  private count(job: OpenJob, now: number): void {
    const left = this.unsettledBySlice(job).reduce((sum, each) => sum + each, 0);
    job.unsettledTasks = left;
    if (left > 0 || this.complete.has(job)) return;
    job.completeSince = now;
    this.complete.add(job);
  }
}
