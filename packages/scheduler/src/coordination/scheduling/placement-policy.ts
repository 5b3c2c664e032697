/**
 * The placement policy: the choice of a machine for a task among the machines of one shard.
 * It follows the paper (docs/design.md, "What was kept"); what the paper calls the drift of a machine is
 * `Machine.bookedSinceHeartbeat`.
 */
import { type Machine, freeCapacity } from '../../storage/machine.ts';
import { fits } from '../../storage/resources.ts';
import type { JobSpec } from '../../protocol/users.ts';
import type { Random } from '../../transport/random.ts';
import { allowsMachine } from './placement-constraints.ts';

/** The machines that a scheduling round may use. */
export interface Candidates {
  /** Machines that may take tasks now, with or without tasks on them. */
  readonly schedulable: readonly Machine[];
  /** The paper's idle list: empty machines; the machine appended last is at the end. */
  readonly idle: readonly Machine[];
}

/** Machines that are tried before those of the next group. */
interface MachineGroup {
  readonly idle: Machine[];
  /**
   * Machines with capacity for a task, sampled at random: first those that have the job's image, then the
   * others.
   */
  readonly samplePools: Machine[][];
}

/**
 * Chooses machines for the tasks of one job in one scheduling round. The choice is the idle machine appended
 * last that fits. Without one, two machines with capacity are sampled at random, and the one with the lower
 * load plus drift is chosen. The machines are filtered once a round and not once a task: with hundreds of
 * machines and thousands of pending tasks, filtering is most of the cost of a round.
 *
 * Unlike in the paper, a job that may use spot machines tries those first, since other jobs cannot use them.
 * Among the idle machines, and then among those with capacity, machines that should have the job's image are
 * preferred: fetching the image occupies the task's resources for seconds, often a third of its run time.
 */
export class MachineChooser {
  /** In the order in which they are tried. */
  private readonly groups: MachineGroup[];

  constructor(
    private readonly spec: JobSpec,
    candidates: Candidates,
  ) {
    const isUsable = (machine: Machine): boolean => allowsMachine(spec, machine) && this.hasCapacity(machine);
    const idle = candidates.idle.filter(isUsable);
    const usable = candidates.schedulable.filter(isUsable);
    const groupOf = (isMember: (machine: Machine) => boolean): MachineGroup => {
      const members = usable.filter(isMember);
      const samplePools = [
        members.filter((machine) => this.hasImage(machine)),
        members.filter((machine) => !this.hasImage(machine)),
      ];
      return { idle: idle.filter(isMember), samplePools };
    };
    this.groups = spec.spot
      ? [groupOf((machine) => machine.spot), groupOf((machine) => !machine.spot)]
      : [groupOf(() => true)];
  }

  /**
   * The machine for the job's next task, or null if no machine has capacity. Tasks that were started on a
   * machine since it was chosen count in its capacity and load.
   */
  next(random: Random): Machine | null {
    for (const { idle, samplePools } of this.groups) {
      const empty = this.takeIdle(idle);
      if (empty) return empty;
      for (const pool of samplePools) {
        const chosen = this.sampleLessLoaded(pool, random);
        if (chosen) return chosen;
      }
    }
    return null;
  }

  /** Takes the idle machine appended last that has the job's image, else the one appended last. */
  private takeIdle(idle: Machine[]): Machine | undefined {
    if (idle.length === 0) return undefined;
    // If no machine has the image, the index is -1, which stands for the last machine.
    const index = idle.findLastIndex((machine) => this.hasImage(machine));
    return idle.splice(index, 1)[0];
  }

  /**
   * Samples two machines and returns the one with the lower load plus drift. Both machines stay in the pool.
   */
  private sampleLessLoaded(pool: Machine[], random: Random): Machine | null {
    const first = this.takeSample(pool, random);
    if (first === null) return null;
    const second = this.takeSample(pool, random);
    if (second !== null) pool.push(second);
    pool.push(first);
    if (second === null) return first;
    return first.load + first.bookedSinceHeartbeat <= second.load + second.bookedSinceHeartbeat
      ? first
      : second;
  }

  /**
   * Removes and returns a random machine that still has capacity. Machines drawn before it that have none are
   * removed too.
   */
  private takeSample(pool: Machine[], random: Random): Machine | null {
    while (pool.length > 0) {
      const index = random.below(pool.length);
      const sample = pool[index];
      const last = pool.pop();
      if (index < pool.length && last) pool[index] = last;
      if (sample && this.hasCapacity(sample)) return sample;
    }
    return null;
  }

  private hasImage(machine: Machine): boolean {
    return machine.images.has(this.spec.image);
  }

  private hasCapacity(machine: Machine): boolean {
    const free = freeCapacity(machine);
    return free !== null && fits(this.spec, free);
  }
}
