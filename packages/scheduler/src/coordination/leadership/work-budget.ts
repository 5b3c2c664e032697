/**
 * Limits of the work that a node begins on its own account, so that it has processor time for the heartbeats
 * that reach it. The limits hold for all shards of the node together.
 */
import {
  FENCING_CALLS_PER_CPU_S,
  LAG_FREE_MS,
  LEADERSHIP_TICK_MS,
  LOW_PRIORITY_STARTS_PER_CPU_S,
} from '../../constants.ts';
import type { Clock } from '../../transport/clock.ts';
import type { EventLoopLag } from '../../transport/event-loop-lag.ts';

/** What is left of a node's fencing calls and starts of short low-priority tasks until the next tick. */
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
   * Begins a tick. A process that has lagged gets nothing: it is overloaded already, and most machines send a
   * heartbeat by themselves.
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
