/** A bounded cache of finished jobs, so that polls for them need no read of the key-value store. */
import { FINISHED_JOBS_CACHED } from '../../constants.ts';

/** How a job ended. */
export type FinalStatus = 'done' | 'cancelled';

/**
 * The final status of the jobs whose final records this node has read or committed. A final status never
 * changes, so an entry never becomes stale. The oldest entries are evicted first.
 */
export class FinishedJobs {
  private readonly statuses = new Map<string, FinalStatus>();

  /** The job's final status; undefined if the cache has no entry for the job. */
  get(jobId: string): FinalStatus | undefined {
    return this.statuses.get(jobId);
  }

  /** Whether the cache has the job's final status. */
  has(jobId: string): boolean {
    return this.statuses.has(jobId);
  }

  /** Records a job's final status. Must not be called before the final record is committed. */
  add(jobId: string, status: FinalStatus): void {
    this.statuses.set(jobId, status);
    if (this.statuses.size <= FINISHED_JOBS_CACHED) return;
    const [oldest] = this.statuses.keys();
    if (oldest !== undefined) this.statuses.delete(oldest);
  }
}
