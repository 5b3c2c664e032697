/** Exponential backoff between the attempts of failing jobs. */
import { TASK_RETRY_DOUBLINGS, TASK_RETRY_MAX_MS, TASK_RETRY_MS } from '../../constants.ts';

/** When this node may attempt the next task of each failing job. All times are milliseconds of the clock. */
export class FailingJobBackoff {
  /** By job id: the attempts since the job counts as failing, and the earliest time of the next one. */
  private readonly attempts = new Map<string, { readonly count: number; readonly nextAt: number }>();

  /** Whether another task of the job may be attempted. */
  mayAttempt(jobId: string, now: number): boolean {
    return now >= (this.attempts.get(jobId)?.nextAt ?? -Infinity);
  }

  /** Records an attempt of a task. The delay until the next one doubles each time, up to a limit. */
  recordAttempt(jobId: string, now: number): void {
    const count = (this.attempts.get(jobId)?.count ?? 0) + 1;
    const delayMs = Math.min(TASK_RETRY_MS * 2 ** Math.min(count, TASK_RETRY_DOUBLINGS), TASK_RETRY_MAX_MS);
    this.attempts.set(jobId, { count, nextAt: now + delayMs });
  }

  /** Ends the backoff of a job that has finished, or no longer counts as failing. */
  reset(jobId: string): void {
    this.attempts.delete(jobId);
  }
}
