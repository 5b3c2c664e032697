/** When a job may preempt tasks of lower priority, in one scheduling round. */
import { PREEMPT_SLACK_MS } from '../../constants.ts';
import type { Machine } from '../../storage/machine.ts';
import type { Resources } from '../../storage/resources.ts';
import type { Slice } from '../../storage/slice.ts';
import type { ShardContext } from '../shard-context.ts';
import { PreemptionPlanner } from './preemption-planner.ts';
import { latestStart } from './serving-order.ts';

/**
 * Stops tasks of lower priority if that makes enough capacity. Pending tasks start there once a heartbeat
 * shows that the stopped tasks have ended. Most pending tasks find a machine in time without preemption, so
 * only a starving job, or one that would otherwise miss its objective, preempts.
 */
export class RoundPreemption {
  /** Capacity that jobs of this round have claimed; it is free once the stopped tasks have ended. */
  private readonly claimed = new Map<Machine, Resources>();

  constructor(
    private readonly context: Pick<ShardContext, 'wallClock' | 'settings' | 'log'>,
    private readonly machines: readonly Machine[],
  ) {}

  /**
   * Whether the slice's job is starving, or must start within `PREEMPT_SLACK_MS` to meet an objective that it
   * can still meet.
   */
  isDue(slice: Slice): boolean {
    const wallNow = this.context.wallClock();
    const start = latestStart(slice, wallNow, this.context.settings);
    return start !== Infinity && start - wallNow <= PREEMPT_SLACK_MS;
  }

  /** Makes capacity for at most `tasks` tasks of the slice. Returns the machines with tasks to be stopped. */
  makeCapacity(slice: Slice, tasks: number): Machine[] {
    const machines: Machine[] = [];
    const planner = new PreemptionPlanner(slice.spec, this.machines, this.claimed);
    for (let planned = 0; planned < tasks; planned++) {
      const preemption = planner.next();
      if (!preemption) break;
      const { machine, victims } = preemption;
      // Without victims, tasks that are already stopping make the capacity.
      if (victims.length === 0) continue;
      this.context.log.debug(
        { machine: machine.id, tasks: victims.map((victim) => victim.task), preemptingJob: slice.spec.id },
        'tasks preempted',
      );
      machines.push(machine);
    }
    return machines;
  }
}
