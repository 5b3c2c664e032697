/**
 * One scheduling round: a pass over the pending slices of a shard that starts their tasks on its machines.
 */
import type { Machine } from '../../storage/machine.ts';
import type { QuotaAmounts } from '../../storage/records.ts';
import { fits } from '../../storage/resources.ts';
import type { Slice } from '../../storage/slice.ts';
import type { JobSpec } from '../../protocol/users.ts';
import type { TeamUsage } from '../quota/team-usage.ts';
import type { ShardContext } from '../shard-context.ts';
import type { IdleList } from './idle-list.ts';
import type { LowPriorityThrottle } from './low-priority-throttle.ts';
import { allowsMachine, maxInZone } from './placement-constraints.ts';
import { MachineChooser } from './placement-policy.ts';
import { RoundPreemption } from './preemption.ts';
import { hasFreeCores } from './schedulable-machines.ts';
import { UnplaceableJobs } from './unplaceable-jobs.ts';

/**
 * `machine`: only the machine that has just reported, which shows nothing about capacity elsewhere. `shard`:
 * all machines of the shard. `preempting`: all machines of the shard, and tasks of lower priority may be
 * stopped.
 */
export type RoundScope = 'machine' | 'shard' | 'preempting';

/** What scheduling needs of its shard. */
export interface SchedulingShard {
  /** The shard's machines, by id. */
  readonly machines: ReadonlyMap<string, Machine>;
  /** The shard's slices, by name. */
  readonly slices: ReadonlyMap<string, Slice>;
  /** The teams' usage of their quotas in the shard. */
  readonly usage: TeamUsage;
  /** Whether contact with the key-value store is recent enough to start tasks. */
  hasLeaderLease(): boolean;
  /** Starts the slice's task at `position` on the machine; sent with the machine's next commands. */
  start(machine: Machine, slice: Slice, position: number, now: number): void;
  /** Sends the machine the commands that are due for it. */
  command(machine: Machine): void;
}

/** What all rounds of a shard share. */
export interface RoundCollaborators {
  /** The controller's services. */
  readonly context: ShardContext;
  /** The shard whose tasks are started. */
  readonly shard: SchedulingShard;
  /** The shard's idle machines; a machine that is given a task is removed. */
  readonly idleList: IdleList;
  /** Limits the starts of low-priority tasks in the shard. */
  readonly throttle: LowPriorityThrottle;
}

/**
 * Why tasks of a slice are left pending by a round. `capacity`: no machine has capacity for them. `quota`: the
 * team's share in the shard does not allow them. `other`: they are held back for another reason, or none is
 * left.
 */
type PendingReason = 'capacity' | 'quota' | 'other';

/** The inputs of one round. */
export interface RoundInputs {
  /** The machines that may be given tasks now. */
  readonly machines: readonly Machine[];
  /** The time of the round, milliseconds. */
  readonly now: number;
  /** Which machines of the shard these are, and whether tasks on them may be preempted. */
  readonly scope: RoundScope;
}

/** Whether the machine could run a task of the job if nothing else ran on it. */
function mayRun(spec: JobSpec, machine: Machine): boolean {
  return machine.type !== null && fits(spec, machine.type) && allowsMachine(spec, machine);
}

/** One scheduling round; to be run once. */
export class SchedulingRound {
  private readonly now: number;
  private readonly scope: RoundScope;
  private readonly machines: readonly Machine[];
  private readonly machinesWithCapacity: Machine[];
  private readonly candidates: Set<Machine>;
  /** The teams' usage, including the tasks that this round has started. */
  private readonly usages: Map<string, QuotaAmounts>;
  private readonly unplaceable = new UnplaceableJobs();
  private readonly isLowPriorityOnHold: boolean;
  private readonly preemption: RoundPreemption | null;
  /** Machines that have new commands from this round. */
  private readonly machinesWithCommands = new Set<Machine>();

  constructor(
    private readonly collaborators: RoundCollaborators,
    { machines, now, scope }: RoundInputs,
  ) {
    this.now = now;
    this.scope = scope;
    const { context, shard, throttle } = collaborators;
    this.machines = machines;
    this.machinesWithCapacity = machines.filter(hasFreeCores);
    this.candidates = new Set(this.machinesWithCapacity);
    this.usages = shard.usage.usages();
    this.isLowPriorityOnHold = throttle.isOnHold(now);
    this.preemption = scope === 'preempting' ? new RoundPreemption(context, machines) : null;
  }

  /** Starts pending tasks of the slices, in the order given. Returns the machines that have new commands. */
  run(slices: readonly Slice[]): ReadonlySet<Machine> {
    const { failingJobs } = this.collaborators.context;
    for (const slice of slices) {
      if (this.scope === 'machine' && !this.machinesWithCapacity.some(hasFreeCores)) break;
      // A job that fails wherever it runs is still tried, one task at a time.
      const isFailing = failingJobs.isFailing(slice.spec.id);
      if (isFailing && !failingJobs.mayAttempt(slice.spec.id, this.now)) continue;
      const reason = this.startTasks(slice, isFailing);
      this.updateUnplaceableSince(slice, reason, isFailing);
      if (reason === 'capacity' && !isFailing) this.preemptFor(slice, slice.pending.length);
    }
    return this.machinesWithCommands;
  }

  /** Starts as many pending tasks of the slice as possible. Returns why the others are left pending. */
  private startTasks(slice: Slice, isFailing: boolean): PendingReason {
    const { spec } = slice;
    const { context, throttle } = this.collaborators;
    let chooser: MachineChooser | null = null;
    let remainingStarts = spec.spread ? maxInZone(spec) - this.tasksPossiblyPlaced(spec.id) : Infinity;
    while (slice.pending.length > 0) {
      if (!this.isWithinQuota(slice, isFailing)) return 'quota';
      // Tasks are left pending here only if the whole spread job must be in one zone: then this shard has all
      // of its tasks, but may run only half of them at a time.
      if (remainingStarts <= 0) break;
      if (throttle.blocks(spec, this.isLowPriorityOnHold)) break;
      if (chooser === null && this.unplaceable.covers(spec)) return 'capacity';
      chooser ??= this.chooserFor(spec);
      const machine = chooser.next(context.random);
      const position = machine ? slice.pending.pop() : undefined;
      if (!machine || position === undefined) {
        this.unplaceable.add(spec);
        return 'capacity';
      }
      this.startTask(machine, slice, position);
      remainingStarts--;
      if (isFailing) {
        context.failingJobs.recordAttempt(spec.id, this.now);
        break;
      }
    }
    return 'other';
  }

  /**
   * Whether the team's share in this shard allows another task of the slice. If not, a round over the shard
   * records the missing quota as demand.
   */
  private isWithinQuota(slice: Slice, isFailing: boolean): boolean {
    const { usage } = this.collaborators.shard;
    if (usage.isWithinShare(slice, this.usages)) return true;
    if (this.scope !== 'machine') usage.addDemand(slice, isFailing ? 1 : slice.pending.length);
    return false;
  }

  private chooserFor(spec: JobSpec): MachineChooser {
    return new MachineChooser(spec, {
      schedulable: this.machinesWithCapacity,
      idle: this.collaborators.idleList.machines.filter((machine) => this.candidates.has(machine)),
    });
  }

  private startTask(machine: Machine, slice: Slice, position: number): void {
    const { shard, idleList, throttle } = this.collaborators;
    const { spec } = slice;
    shard.start(machine, slice, position, this.now);
    throttle.countStart(spec);
    idleList.remove(machine);
    this.machinesWithCommands.add(machine);
    const usage = this.usages.get(spec.team);
    if (!usage) return;
    usage.cores += spec.cores;
    usage.accelerators += spec.accelerators;
  }

  /** How many of the job's tasks may be on machines of the shard, including unreconciled tasks. */
  private tasksPossiblyPlaced(job: string): number {
    let tasks = 0;
    for (const { spec, placed, unreconciled } of this.collaborators.shard.slices.values())
      if (spec.id === job) tasks += placed.size + unreconciled.size;
    return tasks;
  }

  /**
   * Updates the time since which the slice's tasks find no machine. A round over one machine may reset this
   * time but never sets it, because other machines may have capacity.
   */
  private updateUnplaceableSince(slice: Slice, reason: PendingReason, isFailing: boolean): void {
    const isWholeShard = this.scope !== 'machine';
    if (slice.pending.length > 0 && !isWholeShard) return;
    if (slice.pending.length === 0 || !this.isUnplaceable(slice, reason)) {
      slice.unplaceableSince = Infinity;
      return;
    }
    if (reason === 'capacity' && slice.unplaceableSince === Infinity && !isFailing)
      this.collaborators.throttle.beginHoldFor(slice.spec, this.now);
    slice.unplaceableSince = Math.min(slice.unplaceableSince, this.now);
  }

  /**
   * Whether the slice's pending tasks find no machine. Tasks that lack quota find none if no machine of the
   * shard may run them. Quota may come and go much faster than tasks migrate, so lacking it must not reset the
   * time since which such tasks find no machine.
   */
  private isUnplaceable(slice: Slice, reason: PendingReason): boolean {
    if (reason !== 'quota') return reason === 'capacity';
    return !this.machines.some((machine) => mayRun(slice.spec, machine));
  }

  /**
   * Preempts tasks of lower priority for the slice's tasks that found no machine, as far as the team's share
   * allows.
   */
  private preemptFor(slice: Slice, unplaced: number): void {
    if (!this.preemption?.isDue(slice)) return;
    const tasks = Math.min(unplaced, this.collaborators.shard.usage.tasksWithinShare(slice, this.usages));
    for (const machine of this.preemption.makeCapacity(slice, tasks)) this.machinesWithCommands.add(machine);
  }
}
