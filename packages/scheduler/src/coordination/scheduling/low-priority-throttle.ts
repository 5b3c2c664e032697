/**
 * What keeps low-priority tasks from crowding out others, at the controller and in a shard: docs/design.md,
 * "Low-priority work".
 */
import {
  LOW_PRIORITY,
  LOW_PRIORITY_HOLD_GAP_MS,
  LOW_PRIORITY_HOLD_MS,
  SHORT_TASK_S,
} from '../../constants.ts';
import type { JobSpec } from '../../protocol/users.ts';

/**
 * Limits the starts of low-priority tasks in two ways: none at all while a hold lasts, and only as many short
 * ones as the controller's processor time allows.
 */
export class LowPriorityThrottle {
  private lastHoldAt = -Infinity;

  /** `shortTaskStarts`: how many starts of short low-priority tasks the shard has left in this tick. */
  constructor(private readonly shortTaskStarts: { remaining: number }) {}

  /**
   * Whether a hold lasts: a scheduling round asks once, at its beginning, and a hold begun in it counts from
   * the next.
   */
  isOnHold(now: number): boolean {
    return now - this.lastHoldAt < LOW_PRIORITY_HOLD_MS;
  }

  /**
   * Other work than low-priority tasks begins to find no capacity: a hold begins, unless the one before was
   * so recently that low-priority tasks have not had their time again.
   */
  beginHoldFor(spec: JobSpec, now: number): void {
    if (spec.priority < LOW_PRIORITY && now - this.lastHoldAt >= LOW_PRIORITY_HOLD_GAP_MS)
      this.lastHoldAt = now;
  }

  /** Whether no task of the job may be started now. */
  blocks(spec: JobSpec, isOnHold: boolean): boolean {
    if (spec.priority < LOW_PRIORITY) return false;
    return isOnHold || (spec.estimateS <= SHORT_TASK_S && this.shortTaskStarts.remaining <= 0);
  }

  /** Counts the start of a task of the job. */
  countStart(spec: JobSpec): void {
    if (spec.priority >= LOW_PRIORITY && spec.estimateS <= SHORT_TASK_S) this.shortTaskStarts.remaining--;
  }
}
