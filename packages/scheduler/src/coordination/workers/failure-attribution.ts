/** Attributes failed tasks to their machine or their job (docs/design.md, Failing jobs). */
import { FAILURE_SCORE_TO_DRAIN, WORKER_BACKOFF_DOUBLINGS, WORKER_BACKOFF_MS } from '../../constants.ts';
import type { Attempt } from '../../storage/attempt.ts';
import type { Machine } from '../../storage/machine.ts';
import { startDraining, stopDraining } from '../../storage/machine-lifecycle.ts';
import type { FailureHistory } from '../../storage/machine-state.ts';
import type { Slice } from '../../storage/slice.ts';
import type { Log } from '../../transport/log.ts';
import type { FailingJobs } from '../jobs/failing-jobs.ts';

/**
 * Keeps machines from tasks while tasks fail on them: a machine with a fault fails everything, and must not
 * consume the pending tasks one by one.
 */
export class FailureAttribution {
  constructor(
    private readonly failingJobs: FailingJobs,
    private readonly log: Log,
  ) {}

  /** A task of the slice has a result: neither the machine nor the job is at fault. */
  recordSuccess(machine: FailureHistory, slice: Slice): void {
    machine.taskFailures.clear();
    machine.backoffUntil = 0;
    slice.failures = 0;
    this.failingJobs.recordSuccess(slice.spec.id);
  }

  /** A task of the slice has ended with an error. */
  recordFailure(machine: Machine, attempt: Attempt, slice: Slice, now: number): void {
    const job = slice.spec.id;
    const count = (machine.taskFailures.get(job)?.count ?? 0) + 1;
    machine.taskFailures.set(job, { count, lastFailedAt: now });
    const hasResults = slice.settled.size > 0;
    const ranMs = Math.max(0, now - attempt.runningAt);
    this.failingJobs.recordFailure({ job, machine: machine.id, ranMs, hasResults });
    this.attribute(machine);
  }

  /**
   * Sets the machine's backoff, and cordons or uncordons it, by the failures that count against it. To be
   * called again whenever a job begins or ceases to count as failing: a failing job's failures count against
   * no machine.
   */
  attribute(machine: Machine & FailureHistory): void {
    let failures = 0;
    let lastAt = 0;
    let score = 0;
    for (const [job, { count, lastFailedAt }] of machine.taskFailures) {
      if (this.failingJobs.isFailing(job)) continue;
      failures += count;
      lastAt = Math.max(lastAt, lastFailedAt);
      score += this.failingJobs.failureScore(job, machine.id, count);
    }
    machine.backoffUntil =
      failures === 0 ? 0 : lastAt + WORKER_BACKOFF_MS * 2 ** Math.min(failures - 1, WORKER_BACKOFF_DOUBLINGS);
    this.setCordoned(machine, score >= FAILURE_SCORE_TO_DRAIN, { failures, score });
  }

  private setCordoned(machine: Machine & FailureHistory, cordon: boolean, fields: object): void {
    if (cordon === machine.cordoned || machine.terminating || (cordon && machine.draining)) return;
    machine.cordoned = cordon;
    if (cordon || machine.preemptionNoticed) startDraining(machine);
    else stopDraining(machine);
    this.log.info({ machine: machine.id, ...fields }, cordon ? 'machine cordoned' : 'machine uncordoned');
  }
}
