import type { Attempt } from '../../storage/attempt.ts';
import { type Machine, freeCapacity } from '../../storage/machine.ts';
import { type Resources, fits } from '../../storage/resources.ts';
import type { JobSpec } from '../../protocol/users.ts';
import type { Random } from '../../transport/random.ts';

/** How many tasks of a job may be in one zone at a time, by its rule `apart`. */
export function maxInZone(spec: JobSpec): number {
  return spec.spread ? Math.ceil(spec.tasks / 2) : spec.tasks;
}

/** Whether the job allows the machine at all, whatever is on it. */
export function allows(spec: JobSpec, machine: { typeName: string; zone: string; spot: boolean }): boolean {
  return (
    (spec.types === null || spec.types.includes(machine.typeName)) &&
    (spec.zone === null || spec.zone === machine.zone) &&
    (spec.spot || !machine.spot)
  );
}

export interface Candidates {
  /** Machines that may take tasks now. */
  schedulable: Machine[];
  /** Empty machines, the one appended last at the end. */
  idle: Machine[];
}

/**
 * The design's choice within a part, for the tasks of one job in one round of placing: the idle machine
 * appended last that fits, else the lower in load plus drift of two drawn at random among those with room.
 * Machines are looked at once a round and not once a task: with hundreds of machines and thousands of
 * waits, that is what a round costs.
 *
 * Exceptions (ours): a job that may use spot machines looks among those first, since other jobs cannot. Of
 * the idle machines, and then of those with room, the ones that should have the job's image go first:
 * fetching holds a task's place for seconds, often a third of its run.
 */
export class MachineChooser {
  /** In the order in which they are looked at; each drawn from as the design says. */
  private readonly groups: { idle: Machine[]; drawn: Machine[][] }[];

  constructor(
    private readonly spec: JobSpec,
    from: Candidates,
  ) {
    const takes = (machine: Machine): boolean => allows(spec, machine) && this.hasRoom(machine);
    const idle = from.idle.filter(takes);
    const roomy = from.schedulable.filter(takes);
    const group = (of: (machine: Machine) => boolean): { idle: Machine[]; drawn: Machine[][] } => {
      const kind = roomy.filter(of);
      const drawn = [kind.filter((m) => this.hasImage(m)), kind.filter((m) => !this.hasImage(m))];
      return { idle: idle.filter(of), drawn };
    };
    this.groups = spec.spot ? [group((m) => m.spot), group((m) => !m.spot)] : [group(() => true)];
  }

  /** The machine for the next task, or null where none has room; what was chosen before counts if started. */
  next(random: Random): Machine | null {
    for (const { idle, drawn } of this.groups) {
      if (idle.length > 0) {
        const withImage = idle.findLastIndex((machine) => this.hasImage(machine));
        const [empty] = idle.splice(withImage, 1); // the one appended last where none has it
        if (empty) return empty;
      }
      for (const roomy of drawn) {
        const first = this.draw(roomy, random);
        if (first === null) continue;
        const second = this.draw(roomy, random);
        if (second !== null) roomy.push(second);
        roomy.push(first);
        if (second === null) return first;
        return first.load + first.bookedSinceHeartbeat <= second.load + second.bookedSinceHeartbeat
          ? first
          : second;
      }
    }
    return null;
  }

  /** Draws one that still has room and takes it out of the list; those without are dropped on the way. */
  private draw(list: Machine[], random: Random): Machine | null {
    while (list.length > 0) {
      const at = random.below(list.length);
      const drawn = list[at];
      const last = list.pop();
      if (at < list.length && last) list[at] = last;
      if (drawn && this.hasRoom(drawn)) return drawn;
    }
    return null;
  }

  private hasImage(machine: Machine): boolean {
    return machine.images.has(this.spec.image);
  }

  private hasRoom(machine: Machine): boolean {
    const left = freeCapacity(machine);
    return left !== null && fits(this.spec, left);
  }
}

/**
 * What found no room in a round of placing. Room only shrinks within one, so a job that needs as much of the
 * same machines need not look again: in a long backlog that is almost every job, at every report.
 */
export class UnplaceableJobs {
  private readonly refused: JobSpec[] = [];

  add(spec: JobSpec): void {
    this.refused.push(spec);
  }

  cover(spec: JobSpec): boolean {
    return this.refused.some(
      (r) => r.spot === spec.spot && r.zone === spec.zone && r.types === spec.types && fits(r, spec),
    );
  }
}

/** The choice for a single task. */
export function pick(spec: JobSpec, from: Candidates, random: Random): Machine | null {
  return new MachineChooser(spec, from).next(random);
}

export interface Preemption {
  machine: Machine;
  victims: Attempt[];
}

interface Choice extends Preemption {
  lastStart: number;
}

/**
 * Finds, task by task, a machine on which stopping work of lower priority makes room for one more task of the
 * job, and what to stop there: the fewest tasks, those started last, so that the least work is lost. `claimed`
 * is room that tasks being stopped will leave, and that others have counted on. Every machine is looked at once
 * for the job, and again only when it was chosen: a job about to be late has a hundred tasks.
 */
export class PreemptionPlanner {
  private readonly choices: Choice[] = [];

  constructor(
    private readonly spec: JobSpec,
    machines: Machine[],
    private readonly claimed: Map<Machine, Resources>,
  ) {
    for (const machine of machines) {
      const choice = allows(spec, machine) ? this.look(machine) : null;
      if (choice) this.choices.push(choice);
    }
  }

  next(): Preemption | null {
    let best: Choice | undefined;
    for (const choice of this.choices) {
      const fewer = choice.victims.length - (best?.victims.length ?? Infinity);
      if (!best || fewer < 0 || (fewer === 0 && choice.lastStart > best.lastStart)) best = choice;
    }
    if (!best) return null;
    const { machine, victims } = best;
    for (const victim of victims) {
      victim.stopping = true;
      victim.graceS = victim.slice?.spec.saveS ?? 0;
    }
    const sum = this.claimed.get(machine) ?? { cores: 0, accelerators: 0, ramGb: 0 };
    add(sum, this.spec, 1);
    this.claimed.set(machine, sum);
    const again = this.look(machine);
    const at = this.choices.indexOf(best);
    if (again) this.choices[at] = again;
    else this.choices.splice(at, 1);
    return { machine, victims };
  }

  private look(machine: Machine): Choice | null {
    const now = freeCapacity(machine);
    if (!now) return null;
    const left = { ...now };
    const taken = this.claimed.get(machine);
    if (taken) add(left, taken, -1);
    const lower: Attempt[] = [];
    for (const attempt of machine.attempts.values()) {
      if (attempt.stopping) {
        if (attempt.slice) add(left, attempt.slice.spec, 1);
      } else if (
        attempt.phase === 'seen' &&
        attempt.slice &&
        attempt.slice.spec.priority > this.spec.priority
      )
        lower.push(attempt);
    }
    lower.sort((a, b) => b.startedAt - a.startedAt);
    const victims: Attempt[] = [];
    while (!fits(this.spec, left) && victims.length < lower.length) {
      const victim = lower[victims.length];
      if (!victim?.slice) break;
      victims.push(victim);
      add(left, victim.slice.spec, 1);
    }
    if (!fits(this.spec, left)) return null;
    return { machine, victims, lastStart: victims.at(-1)?.startedAt ?? Infinity };
  }
}

function add(to: Resources, what: Resources, times: number): void {
  to.cores += what.cores * times;
  to.accelerators += what.accelerators * times;
  to.ramGb += what.ramGb * times;
}
