/** Exponential backoff between the retries of failing jobs. */
import { TASK_RETRY_DOUBLINGS, TASK_RETRY_MAX_MS, TASK_RETRY_MS } from '../../constants.ts';

/**
 * When the next task of each failing job may be tried by this node. All times are milliseconds of the clock.
 */
export class FailingJobBackoff {
  /** By job id: tries since the job counts as failing, and when the next one may be. */
  private readonly attempts = new Map<string, { readonly count: number; readonly nextAt: number }>();

  /** Whether another task of the job may be tried. */
  mayAttempt(jobId: string, now: number): boolean {
    return now >= (this.attempts.get(jobId)?.nextAt ?? -Infinity);
  }

  /** A task of the job is being tried: the delay until the next one doubles each time, up to a limit. */
  recordAttempt(jobId: string, now: number): void {
    const count = (this.attempts.get(jobId)?.count ?? 0) + 1;
    const delayMs = Math.min(TASK_RETRY_MS * 2 ** Math.min(count, TASK_RETRY_DOUBLINGS), TASK_RETRY_MAX_MS);
    this.attempts.set(jobId, { count, nextAt: now + delayMs });
  }

  /** The job is over, or no longer counts as failing. */
  reset(jobId: string): void {
    this.attempts.delete(jobId);
  }
}
