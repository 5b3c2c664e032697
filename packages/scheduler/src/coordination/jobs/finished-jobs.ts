/** A bounded cache of finished jobs, so that polls for them need no read of the key-value store. */
import { FINISHED_JOBS_CACHED } from '../../constants.ts';
import type { Revision } from '../../protocol/key-value.ts';

/** How a job ended. */
export type FinalStatus = 'done' | 'cancelled';

interface FinishedJob {
  readonly status: FinalStatus;
  /** Revision of the final record; null if it is not known. */
  readonly revision: Revision | null;
  /** Number of tasks of the job; 0 if it is not known. */
  readonly tasks: number;
}

/**
 * The final status of the jobs whose final records this node has read or committed. A final status never
 * changes, so an entry never becomes stale. The oldest entries are evicted first.
 */
export class FinishedJobs {
  private readonly jobs = new Map<string, FinishedJob>();
  private newestEvicted: Revision = 0;

  /** The job's final status; undefined if the cache has no entry for the job. */
  get(jobId: string): FinalStatus | undefined {
    return this.jobs.get(jobId)?.status;
  }

  /** Whether the cache has the job's final status. */
  has(jobId: string): boolean {
    return this.jobs.has(jobId);
  }

  /** How many of the job's tasks are done, for display; 0 if the number is not known. */
  doneTasks(jobId: string): number {
    const job = this.jobs.get(jobId);
    return job?.status === 'done' ? job.tasks : 0;
  }

  /** The revision of the job's final record; null if it is not known. */
  revision(jobId: string): Revision | null {
    return this.jobs.get(jobId)?.revision ?? null;
  }

  /** The final records of evicted jobs have at most this revision; 0 if none was evicted. */
  get evictedUpTo(): Revision {
    return this.newestEvicted;
  }

  /** Records a job's final status. Must not be called before the final record is committed. */
  add(jobId: string, status: FinalStatus, revision: Revision | null = null, tasks = 0): void {
    const known = this.jobs.get(jobId);
    this.jobs.set(jobId, {
      status,
      revision: revision ?? known?.revision ?? null,
      tasks: tasks === 0 ? (known?.tasks ?? 0) : tasks,
    });
    if (this.jobs.size > FINISHED_JOBS_CACHED) this.evictOldest();
  }

  private evictOldest(): void {
    const [oldest] = this.jobs;
    if (!oldest) return;
    const [jobId, { revision }] = oldest;
    this.jobs.delete(jobId);
    const upTo = revision ?? Number.MAX_SAFE_INTEGER;
    if (upTo > this.newestEvicted) this.newestEvicted = upTo;
  }
}
