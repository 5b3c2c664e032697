/**
 * Limits of the work that a node starts on its own initiative, so that it has CPU time for the heartbeats
 * that it receives. The limits apply to all shards of the node together.
 */
import {
  FENCING_CALLS_PER_CPU_S,
  LAG_FREE_MS,
  LEADERSHIP_TICK_MS,
  LOW_PRIORITY_STARTS_PER_CPU_S,
} from '../../constants.ts';
import type { Clock } from '../../transport/clock.ts';
import type { EventLoopLag } from '../../transport/event-loop-lag.ts';

/** The fencing calls and starts of short low-priority tasks that a node may still make in this tick. */
export class WorkBudget {
  private fencingCalls = 0;
  private lowPriorityStarts = 0;

  constructor(
    private readonly clock: Clock,
    private readonly eventLoopLag: EventLoopLag,
    /** CPUs that the process may use. */
    private readonly cores: number,
  ) {}

  /**
   * Sets the budget of a new tick. It is 0 if the event loop has lagged: the process is already overloaded,
   * and most machines send a heartbeat without being called.
   */
  refill(): void {
    const hasLagged = this.eventLoopLag.laggedSince(this.clock.now() - LAG_FREE_MS);
    this.fencingCalls = hasLagged ? 0 : Math.ceil(this.perTick(FENCING_CALLS_PER_CPU_S));
    this.lowPriorityStarts = hasLagged ? 0 : this.perTick(LOW_PRIORITY_STARTS_PER_CPU_S);
  }

  /** Takes one of the fencing calls that are left; false if there is none. */
  takeFencingCall(): boolean {
    return this.fencingCalls-- > 0;
  }

  /** How many short low-priority tasks each of the node's shards may start in this tick. */
  lowPriorityStartsPerShard(shards: number): number {
    return Math.ceil(this.lowPriorityStarts / shards);
  }

  private perTick(perCpuSecond: number): number {
    return (perCpuSecond * this.cores * LEADERSHIP_TICK_MS) / 1000;
  }
}
