/** A bounded cache of the jobs that are over, so that polls for them need no read of the key-value store. */
import { FINISHED_JOBS_CACHED } from '../../constants.ts';

/** How a job ended. */
export type FinalStatus = 'done' | 'cancelled';

/**
 * The final status of the jobs whose end this node has read or committed. A job that is over stays so, hence
 * an entry never becomes stale. The oldest entries are evicted first.
 */
export class FinishedJobs {
  private readonly statuses = new Map<string, FinalStatus>();

  /** The job's final status; undefined where this node does not know that the job is over. */
  get(jobId: string): FinalStatus | undefined {
    return this.statuses.get(jobId);
  }

  /** Whether this node knows that the job is over. */
  has(jobId: string): boolean {
    return this.statuses.has(jobId);
  }

  /** Records the end of a job. To be called only once it is committed. */
  add(jobId: string, status: FinalStatus): void {
    this.statuses.set(jobId, status);
    if (this.statuses.size <= FINISHED_JOBS_CACHED) return;
    const [oldest] = this.statuses.keys();
    if (oldest !== undefined) this.statuses.delete(oldest);
  }
}
