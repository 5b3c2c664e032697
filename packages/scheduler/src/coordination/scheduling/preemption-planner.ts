/**
 * Preemption planning: which tasks to stop, and on which machine, to make capacity for one more task of a
 * job.
 */
import type { Attempt } from '../../storage/attempt.ts';
import { type Machine, freeCapacity } from '../../storage/machine.ts';
import { type Resources, fits } from '../../storage/resources.ts';
import type { JobSpec } from '../../protocol/users.ts';
import { allowsMachine } from './placement-constraints.ts';

/** The attempts to stop on one machine to make capacity for one task. */
export interface Preemption {
  /** The machine on which capacity is made. */
  readonly machine: Machine;
  /** The attempts to stop; empty if the attempts that are already stopping leave enough capacity. */
  readonly victims: readonly Attempt[];
}

interface PreemptionOption extends Preemption {
  /** Start time of the victim that started first, in milliseconds; infinite without victims. */
  readonly earliestStart: number;
}

/**
 * Plans preemption for one job, task by task. Chooses the machine on which stopping the fewest tasks of lower
 * priority makes capacity. Among equals, the tasks started last are stopped, so that the least work is lost.
 * Every machine is evaluated once for the job, and again only after it was chosen, because a job about to be
 * late may have a hundred tasks.
 */
export class PreemptionPlanner {
  private readonly options: PreemptionOption[] = [];

  /**
   * `claimed`: capacity that earlier plans have claimed and that is free once the stopped tasks have ended.
   * This planner adds the capacity that it claims itself.
   */
  constructor(
    private readonly spec: JobSpec,
    machines: readonly Machine[],
    private readonly claimed: Map<Machine, Resources>,
  ) {
    for (const machine of machines) {
      const option = allowsMachine(spec, machine) ? this.optionOn(machine) : null;
      if (option) this.options.push(option);
    }
  }

  /**
   * Plans capacity for the job's next task: marks the victims as stopping and claims the capacity. Null if no
   * machine can provide it.
   */
  next(): Preemption | null {
    const best = this.bestOption();
    if (!best) return null;
    const { machine, victims } = best;
    for (const victim of victims) {
      victim.stopping = true;
      victim.graceS = victim.slice?.spec.saveS ?? 0;
    }
    this.claim(machine);
    const nextOption = this.optionOn(machine);
    const index = this.options.indexOf(best);
    if (nextOption) this.options[index] = nextOption;
    else this.options.splice(index, 1);
    return { machine, victims };
  }

  /** The option with the fewest victims, and of those the one with the latest `earliestStart`. */
  private bestOption(): PreemptionOption | undefined {
    let best: PreemptionOption | undefined;
    for (const option of this.options) {
      const moreVictims = option.victims.length - (best?.victims.length ?? Infinity);
      const isBetter =
        !best || moreVictims < 0 || (moreVictims === 0 && option.earliestStart > best.earliestStart);
      if (isBetter) best = option;
    }
    return best;
  }

  private claim(machine: Machine): void {
    const sum = this.claimed.get(machine) ?? { cores: 0, accelerators: 0, ramGb: 0 };
    addResources(sum, this.spec, 1);
    this.claimed.set(machine, sum);
  }

  /**
   * The attempts to stop on the machine for one more task. Null if stopping all tasks of lower priority is
   * not enough, or if the machine's free capacity is unknown.
   */
  private optionOn(machine: Machine): PreemptionOption | null {
    const free = freeCapacity(machine);
    if (!free) return null;
    const available = { ...free };
    const claimed = this.claimed.get(machine);
    if (claimed) addResources(available, claimed, -1);
    const preemptible: Attempt[] = [];
    for (const attempt of machine.attempts.values()) {
      if (attempt.stopping) {
        if (attempt.slice) addResources(available, attempt.slice.spec, 1);
      } else if (this.isPreemptible(attempt)) preemptible.push(attempt);
    }
    preemptible.sort((a, b) => b.startedAt - a.startedAt);
    const victims: Attempt[] = [];
    for (const attempt of preemptible) {
      if (fits(this.spec, available)) break;
      if (!attempt.slice) break;
      victims.push(attempt);
      addResources(available, attempt.slice.spec, 1);
    }
    if (!fits(this.spec, available)) return null;
    return { machine, victims, earliestStart: victims.at(-1)?.startedAt ?? Infinity };
  }

  /**
   * Whether the attempt's task has lower priority and a heartbeat has reported the attempt. A launch in
   * progress may not have arrived yet, so it is not stopped.
   */
  private isPreemptible(attempt: Attempt): boolean {
    return (
      attempt.phase === 'seen' && attempt.slice !== null && attempt.slice.spec.priority > this.spec.priority
    );
  }
}

function addResources(sum: Resources, resources: Resources, sign: number): void {
  sum.cores += resources.cores * sign;
  sum.accelerators += resources.accelerators * sign;
  sum.ramGb += resources.ramGb * sign;
}
