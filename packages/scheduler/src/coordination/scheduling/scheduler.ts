/**
 * When the scheduling rounds of a shard run, and over which machines.
 *
 * A task that finds no machine stays pending at its shard's leader until there is capacity for it. Therefore
 * a change in the shard or a tick starts a round over all its machines, and a heartbeat or command reply that
 * shows free capacity starts a round over that machine alone.
 */
import { SCHEDULING_GAP_MS } from '../../constants.ts';
import type { Machine } from '../../storage/machine.ts';
import type { MachinePool } from '../../protocol/peer-messages.ts';
import type { ShardContext } from '../shard-context.ts';
import { IdleList } from './idle-list.ts';
import { LowPriorityThrottle } from './low-priority-throttle.ts';
import { summarizeMachinePools } from './machine-pools.ts';
import { PendingSlices } from './pending-slices.ts';
import { hasFreeCores, isSchedulable } from './schedulable-machines.ts';
import { SchedulingRound, type RoundCollaborators, type SchedulingShard } from './scheduling-round.ts';

/** Runs the scheduling rounds of one shard, until the signal is aborted. */
export class Scheduler {
  private readonly idleList = new IdleList();
  private readonly pendingSlices: PendingSlices;
  private readonly roundCollaborators: RoundCollaborators;
  /** Whether a round over the shard is about to run. */
  private roundScheduled = false;
  /** When the last round over the shard began, in milliseconds of the clock. */
  private lastRoundAt = -Infinity;
  /**
   * Whether the next round over the shard may preempt. Each tick sets this and that round clears it, so that
   * not every round that a heartbeat triggers preempts.
   */
  private mayPreempt = false;

  constructor(
    private readonly context: ShardContext,
    private readonly shard: SchedulingShard,
    private readonly signal: AbortSignal,
  ) {
    this.pendingSlices = new PendingSlices(shard.slices, () => context.jobOrder());
    const throttle = new LowPriorityThrottle(context.lowPriorityStarts);
    this.roundCollaborators = { context, shard, idleList: this.idleList, throttle };
  }

  // --- events that start a round ---

  /** Called when slices were added or removed. */
  slicesChanged(): void {
    this.pendingSlices.invalidate();
    this.requestRound();
  }

  /** Called periodically: requests a round if tasks are pending. That round may preempt tasks. */
  tick(): void {
    this.mayPreempt = true;
    if (this.pendingSlices.hasPendingTasks) this.requestRound();
  }

  /**
   * Called before a heartbeat is answered, so that the answer carries the tasks that are started on the
   * machine now and no separate call is needed. Runs a round over the machine. If a round over the shard is
   * scheduled, runs one over the shard instead, unless the previous one was less than `SCHEDULING_GAP_MS`
   * ago.
   */
  beforeHeartbeatReply(machine: Machine): void {
    if (!this.roundScheduled) this.runRoundOn(machine);
    else if (this.context.clock.now() - this.lastRoundAt >= SCHEDULING_GAP_MS) this.runRound(machine);
  }

  /**
   * Called after the machine answered its commands. Runs a round over the machine. If a round over the shard
   * is scheduled, which will include the machine, returns false and runs nothing.
   */
  afterCommandReply(machine: Machine): boolean {
    if (this.roundScheduled) return false;
    this.runRoundOn(machine);
    return true;
  }

  /**
   * Schedules a round over the shard: one for all changes that occur together, and no sooner than
   * `SCHEDULING_GAP_MS` after the previous round. A round that a heartbeat runs before then does not postpone
   * the scheduled one.
   */
  requestRound(): void {
    if (this.roundScheduled || !this.isActive) return;
    this.roundScheduled = true;
    const run = (): void => {
      this.roundScheduled = false;
      if (this.isActive) this.runRound();
    };
    const delayMs = this.lastRoundAt + SCHEDULING_GAP_MS - this.context.clock.now();
    if (delayMs <= 0) this.context.clock.defer(run);
    else void this.context.clock.sleep(delayMs, this.signal).then(run);
  }

  // --- the shard's machines ---

  /** Called after a heartbeat or command reply: adds the machine to the idle list or removes it. */
  updateIdle(machine: Machine, now: number): void {
    this.idleList.update(machine, now);
  }

  /** Removes a machine that takes no more tasks from the idle list. */
  removeIdle(machine: Machine): void {
    this.idleList.remove(machine);
  }

  /** How many idle machines may be given tasks now. */
  get idleCount(): number {
    const schedulable = new Set(this.schedulableMachines(this.context.clock.now()));
    return this.idleList.machines.filter((machine) => schedulable.has(machine)).length;
  }

  /** The machines that may be given tasks now. */
  schedulableMachines(now: number): Machine[] {
    return [...this.shard.machines.values()].filter((machine) => this.isSchedulable(machine, now));
  }

  /** The shard's machine pools, by their keys, as they are reported to peers. */
  machinePools(): Record<string, MachinePool> {
    const idle = new Set(this.idleList.machines);
    const schedulable = this.schedulableMachines(this.context.clock.now());
    const hasUnplaceableTasks = [...this.shard.slices.values()].some(
      (slice) => slice.unplaceableSince !== Infinity,
    );
    return summarizeMachinePools(schedulable, idle, hasUnplaceableTasks);
  }

  // --- rounds ---

  /**
   * Runs a round over a machine that has just sent a heartbeat or answered its commands. Other machines need
   * not be tried: the pending tasks found no machine in the last round over the shard, and only this machine
   * has changed since. So tasks stay pending only until a heartbeat shows capacity.
   */
  private runRoundOn(machine: Machine): void {
    const now = this.context.clock.now();
    if (!this.shard.hasLeaderLease()) return;
    if (!this.isSchedulable(machine, now) || !hasFreeCores(machine)) return;
    const slices = this.pendingSlices.inServingOrder();
    if (slices.length === 0) return;
    new SchedulingRound(this.roundCollaborators, { machines: [machine], now, scope: 'machine' }).run(slices);
  }

  /**
   * Runs a round over the shard. `heartbeatSender`: the machine whose heartbeat is being answered. Its
   * commands are sent with the answer, not by a call.
   */
  private runRound(heartbeatSender: Machine | null = null): void {
    this.shard.usage.quotaDemand.clear();
    if (!this.shard.hasLeaderLease()) return;
    const now = this.context.clock.now();
    this.lastRoundAt = now;
    const slices = this.pendingSlices.inServingOrder();
    if (slices.length === 0) return;
    const scope = this.mayPreempt ? 'preempting' : 'shard';
    this.mayPreempt = false;
    const machines = this.schedulableMachines(now);
    const round = new SchedulingRound(this.roundCollaborators, { machines, now, scope });
    for (const machine of round.run(slices)) if (machine !== heartbeatSender) this.shard.command(machine);
  }

  private get isActive(): boolean {
    return !this.signal.aborted;
  }

  private isSchedulable(machine: Machine, now: number): boolean {
    return isSchedulable(machine, now, this.context.settings.heartbeatIntervalMs);
  }
}
