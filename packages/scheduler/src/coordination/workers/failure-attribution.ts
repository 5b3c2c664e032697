/** Attributes task failures to the machine or to the job (docs/design.md, Failing jobs). */
import { FAILURE_SCORE_TO_DRAIN, WORKER_BACKOFF_DOUBLINGS, WORKER_BACKOFF_MS } from '../../constants.ts';
import type { Attempt } from '../../storage/attempt.ts';
import type { Machine } from '../../storage/machine.ts';
import { startDraining, stopDraining } from '../../storage/machine-lifecycle.ts';
import type { FailureHistory } from '../../storage/machine-state.ts';
import type { Slice } from '../../storage/slice.ts';
import type { Log } from '../../transport/log.ts';
import type { FailingJobs } from '../jobs/failing-jobs.ts';

/**
 * Withholds tasks from machines on which tasks fail. A faulty machine fails every task, and would otherwise
 * consume the pending tasks one by one.
 */
export class FailureAttribution {
  constructor(
    private readonly failingJobs: FailingJobs,
    private readonly log: Log,
  ) {}

  /** Records that a task of the slice has a result, so neither the machine nor the job is at fault. */
  recordSuccess(machine: FailureHistory, slice: Slice): void {
    machine.taskFailures.clear();
    machine.backoffUntil = 0;
    slice.failures = 0;
    this.failingJobs.recordSuccess(slice.spec.id);
  }

  /** Records that a task of the slice has ended with an error. */
  recordFailure(machine: Machine, attempt: Attempt, slice: Slice, now: number): void {
    const job = slice.spec.id;
    const count = (machine.taskFailures.get(job)?.count ?? 0) + 1;
    machine.taskFailures.set(job, { count, lastFailedAt: now });
    const hasResults = slice.settled.size > 0;
    const ranMs = Math.max(0, now - attempt.runningAt);
    this.failingJobs.recordFailure({ job, machine: machine.id, ranMs, hasResults });
    this.updateBackoffAndCordon(machine);
  }

  /**
   * Sets the machine's backoff, and cordons or uncordons it, according to the failures that count against it.
   * Must be called again when a job starts or stops counting as failing, because the failures of a failing
   * job count against no machine.
   */
  updateBackoffAndCordon(machine: Machine & FailureHistory): void {
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
