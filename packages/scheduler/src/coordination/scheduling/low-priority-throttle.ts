/**
 * Keeps low-priority tasks from crowding out other tasks, at the controller and in a shard: docs/design.md,
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
 * Limits the starts of low-priority tasks in two ways. No low-priority task starts during a hold. Short
 * low-priority tasks start only as fast as the controller's processor time allows.
 */
export class LowPriorityThrottle {
  private lastHoldAt = -Infinity;

  /** `shortTaskStarts`: how many more short low-priority tasks the shard may start in this tick. */
  constructor(private readonly shortTaskStarts: { remaining: number }) {}

  /**
   * Whether a hold is active. A scheduling round checks this once, when it starts; a hold that begins during
   * a round takes effect in the next round.
   */
  isOnHold(now: number): boolean {
    return now - this.lastHoldAt < LOW_PRIORITY_HOLD_MS;
  }

  /**
   * Called when the job's tasks begin to find no capacity. Begins a hold unless the job itself is of low
   * priority, or the previous hold began so recently that low-priority tasks have had too little time to
   * start since.
   */
  beginHoldFor(spec: JobSpec, now: number): void {
    if (spec.priority < LOW_PRIORITY && now - this.lastHoldAt >= LOW_PRIORITY_HOLD_GAP_MS)
      this.lastHoldAt = now;
  }

  /** Whether the throttle forbids starting tasks of the job now. */
  blocks(spec: JobSpec, isOnHold: boolean): boolean {
    if (spec.priority < LOW_PRIORITY) return false;
    return isOnHold || (spec.estimateS <= SHORT_TASK_S && this.shortTaskStarts.remaining <= 0);
  }

  /** Counts the start of a task of the job. */
  countStart(spec: JobSpec): void {
    if (spec.priority >= LOW_PRIORITY && spec.estimateS <= SHORT_TASK_S) this.shortTaskStarts.remaining--;
  }
}
