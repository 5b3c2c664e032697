/** A bounded cache of finished jobs, so that polls for them need no read of the key-value store. */
import { FINISHED_JOBS_CACHED } from '../../constants.ts';
import type { Revision } from '../../protocol/key-value.ts';

/** How a job ended. */
export type FinalStatus = 'done' | 'cancelled';

interface FinishedJob {
  readonly status: FinalStatus;
  /** Revision of the final record; null if it is not known. */
  readonly revision: Revision | null;
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

  /** The revision of the job's final record; null if it is not known. */
  revision(jobId: string): Revision | null {
    return this.jobs.get(jobId)?.revision ?? null;
  }

  /** The final records of evicted jobs have at most this revision; 0 if none was evicted. */
  get evictedUpTo(): Revision {
    return this.newestEvicted;
  }

  /** Records a job's final status. Must not be called before the final record is committed. */
  add(jobId: string, status: FinalStatus, revision: Revision | null = null): void {
    this.jobs.set(jobId, { status, revision: revision ?? this.jobs.get(jobId)?.revision ?? null });
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
