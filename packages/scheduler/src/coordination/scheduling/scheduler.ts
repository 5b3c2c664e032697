import {
  LOW_PRIORITY_HOLD_GAP_MS,
  LOW_PRIORITY_HOLD_MS,
  LOW_PRIORITY,
  SCHEDULING_GAP_MS,
  PREEMPT_SLACK_MS,
  FREE_CAPACITY_REPORTED,
  SHORT_TASK_S,
  SILENT_HEARTBEATS,
} from '../../constants.ts';
import { type Machine, machinePoolKey, freeCapacity } from '../../storage/machine.ts';
import type { IdleState } from '../../storage/machine-state.ts';
import type { Resources } from '../../storage/resources.ts';
import type { QuotaAmounts } from '../../storage/records.ts';
import type { Slice } from '../../storage/slice.ts';
import type { MachinePool } from '../../protocol/peer-messages.ts';
import type { JobSpec } from '../../protocol/users.ts';
import type { ShardContext } from '../shard-context.ts';
import { maxInZone } from './placement-constraints.ts';
import { MachineChooser } from './placement-policy.ts';
import { PreemptionPlanner } from './preemption-planner.ts';
import { UnplaceableJobs } from './unplaceable-jobs.ts';
import type { TeamUsage } from '../quota/team-usage.ts';
import { latestStart } from './serving-order.ts';

/** When a part's waiting tasks are given machines, and in which order. */
export class Scheduler {
  /** The design's idle list: empty machines, the one appended last at the end. */
  private idle: Machine[] = [];
  /** The slices as last put in order, and by what. */
  private ordered: { by: Map<string, number> | null; slices: Slice[] } = { by: null, slices: [] };
  /** Whether a round is about to be made. */
  private roundScheduled = false;
  private lastRoundAt = -Infinity;
  /** When work of low priority was last held back for other work. */
  private lowPriorityHeldAt = -Infinity;
  /** Work of lower priority is looked for once a tick, and not at every report. */
  private mayPreempt = false;

  constructor(
    private readonly context: ShardContext,
    private readonly shard: {
      machines: Map<string, Machine>;
      slices: Map<string, Slice>;
      usage: TeamUsage;
      hasLeaderLease: () => boolean;
      start: (machine: Machine, slice: Slice, position: number, now: number) => void;
      command: (machine: Machine) => void;
    },
    private readonly signal: AbortSignal,
  ) {}

  private get active(): boolean {
    return !this.signal.aborted;
  }

  /** Slices have come or gone. */
  slicesChanged(): void {
    this.ordered.by = null;
    this.requestRound();
  }

  /** A tick: what waits is looked at again, and work of lower priority may be stopped for it. */
  tick(): void {
    this.mayPreempt = true;
    if ([...this.shard.slices.values()].some((slice) => slice.pending.length > 0)) this.requestRound();
  }

  /** Places before a report is answered where that is allowed: what the machine gets then needs no call of its own. */
  beforeHeartbeatReply(machine: Machine): void {
    if (!this.roundScheduled) this.scheduleOn(machine);
    else if (this.context.clock.now() - this.lastRoundAt >= SCHEDULING_GAP_MS) this.place(machine);
  }

  /** Places on a machine just heard, unless a round is about to be made. False in that case. */
  afterCommandReply(machine: Machine): boolean {
    if (this.roundScheduled) return false;
    this.scheduleOn(machine);
    return true;
  }

  /** The design's event: an empty machine's report appends it to the idle list. */
  updateIdle(machine: Machine & IdleState, now: number): void {
    if (machine.attempts.size > 0) return this.removeIdle(machine);
    if (machine.idleSince === Infinity) machine.idleSince = now;
    if (!this.idle.includes(machine)) this.idle.push(machine);
  }

  /** The machine takes tasks no more, or has one: it is not idle. */
  removeIdle(machine: Machine & IdleState): void {
    machine.idleSince = Infinity;
    const at = this.idle.indexOf(machine);
    if (at >= 0) this.idle.splice(at, 1);
  }

  get idleCount(): number {
    const usable = new Set(this.schedulableMachines(this.context.clock.now()));
    return this.idle.filter((m) => usable.has(m)).length;
  }

  /** Placing is done once for all that happens together, and not again within a short gap. */
  requestRound(): void {
    if (this.roundScheduled || !this.active) return;
    this.roundScheduled = true;
    const run = (): void => {
      this.roundScheduled = false;
      if (this.active) this.place();
    };
    const gap = this.lastRoundAt + SCHEDULING_GAP_MS - this.context.clock.now();
    if (gap <= 0) this.context.clock.soon(run);
    else void this.context.clock.sleep(gap, this.signal).then(run);
  }

  /** Whether the machine may take tasks now. */
  isSchedulable(m: Machine, now: number): boolean {
    return (
      m.persisted &&
      m.fenced &&
      !m.draining &&
      !m.terminating &&
      m.backoffUntil <= now &&
      // One that is heard and hears nothing is always idle, and would swallow the waits.
      m.unreachableSince === Infinity &&
      // Its own reports alone renew its lease: one that only answers calls kills what it is given.
      now - m.lastHeartbeatAt < this.context.settings.heartbeatIntervalMs * SILENT_HEARTBEATS
    );
  }

  schedulableMachines(now: number): Machine[] {
    return [...this.shard.machines.values()].filter((m) => this.isSchedulable(m, now));
  }

  /** The machines that may take tasks now, the idle ones among them, and what is left on the others, by kind. */
  machinePools(): Record<string, MachinePool> {
    const kinds: Record<string, MachinePool> = {};
    const idle = new Set(this.idle);
    const open = this.schedulableMachines(this.context.clock.now());
    for (const machine of open) {
      const kind = (kinds[machinePoolKey(machine.typeName, machine.spot)] ??= { schedulable: 0, idle: 0 });
      kind.schedulable++;
      if (idle.has(machine)) kind.idle++;
    }
    // What is left where tasks wait for room is theirs; and an idle machine goes before a used one.
    const crowded = [...this.shard.slices.values()].some((slice) => slice.unplaceableSince !== Infinity);
    if (crowded || Object.values(kinds).every((kind) => kind.idle > 0)) return kinds;
    for (const machine of open) {
      const left = freeCapacity(machine);
      const kind = kinds[machinePoolKey(machine.typeName, machine.spot)];
      if (kind?.idle === 0 && left && left.cores > 0) (kind.freeCapacity ??= []).push({ ...left });
    }
    for (const { freeCapacity: left } of Object.values(kinds)) {
      left?.sort((a, b) => b.cores - a.cores);
      if (left) left.length = Math.min(left.length, FREE_CAPACITY_REPORTED);
    }
    return kinds;
  }

  /** Slices with waiting tasks, in the order in which they are served. */
  private queue(): Slice[] {
    const order = this.context.jobOrder();
    // Put in order when the order or the slices change, and not at every report.
    if (this.ordered.by !== order) {
      const places = [...this.shard.slices.values()].map((slice) => ({
        slice,
        runRound: order.get(slice.spec.id) ?? order.size,
      }));
      places.sort((a, b) => a.runRound - b.runRound || a.slice.at - b.slice.at);
      this.ordered = { by: order, slices: places.map((entry) => entry.slice) };
    }
    return this.ordered.slices.filter((slice) => slice.pending.length > 0);
  }

  /**
   * Gives the machine just heard of what waits. All that waits found no room elsewhere in the last round, and
   * nothing but this machine has changed since: so the design's wait ends with the report that shows room.
   */
  scheduleOn(machine: Machine): void {
    const now = this.context.clock.now();
    if (
      !this.shard.hasLeaderLease() ||
      !this.isSchedulable(machine, now) ||
      (freeCapacity(machine)?.cores ?? 0) <= 0
    )
      return;
    const queue = this.queue();
    if (queue.length > 0) this.schedulePending(queue, [machine], now, 'one machine');
  }

  /** Gives waiting tasks machines. `answering`: the machine whose report is being answered with its orders. */
  place(answering: Machine | null = null): void {
    this.shard.usage.quotaDemand.clear();
    if (!this.shard.hasLeaderLease()) return;
    const now = this.context.clock.now();
    this.lastRoundAt = now;
    const queue = this.queue();
    if (queue.length === 0) return;
    const open = this.schedulableMachines(now);
    const touched = this.schedulePending(queue, open, now, this.mayPreempt ? 'preempting' : 'whole part');
    this.mayPreempt = false;
    for (const machine of touched) if (machine !== answering) this.shard.command(machine);
  }

  /** Gives the waiting tasks room on the machines. Returns the machines that have something to be told. */
  private schedulePending(
    queue: Slice[],
    open: Machine[],
    now: number,
    round: 'one machine' | 'whole part' | 'preempting',
  ): Set<Machine> {
    const claimed = new Map<Machine, Resources>();
    const hasRoom = (machine: Machine): boolean => (freeCapacity(machine)?.cores ?? 0) > 0;
    const roomy = open.filter(hasRoom);
    const among = new Set(roomy);
    const used = this.shard.usage.usages();
    const touched = new Set<Machine>();
    const refusals = new UnplaceableJobs();
    const holdsLow = now - this.lowPriorityHeldAt < LOW_PRIORITY_HOLD_MS;
    for (const slice of queue) {
      if (round === 'one machine' && !roomy.some(hasRoom)) break;
      const { spec } = slice;
      // One that fails wherever it runs is tried on, a task at a time.
      const failing = this.context.failingJobs.isFailing(spec.id);
      if (failing && !this.context.failingJobs.mayTry(spec.id, now)) continue;
      let chooser: MachineChooser | null = null;
      let unplaced = 0;
      let mayStart = spec.spread ? maxInZone(spec) - this.tasksPossiblyPlaced(spec.id) : Infinity;
      while (slice.pending.length > 0) {
        if (!this.shard.usage.withinLimit(slice, used)) {
          if (round !== 'one machine') this.shard.usage.addDemand(slice, failing ? 1 : slice.pending.length);
          break;
        }
        // Only where all of a spread job has to be in one zone has a part more of it than may run at once.
        if (mayStart <= 0) break;
        // What is low gives way at the controllers too.
        const low = spec.priority >= LOW_PRIORITY;
        const paced = low && spec.estimateS <= SHORT_TASK_S;
        if ((low && holdsLow) || (paced && this.context.lowPriorityStarts.left <= 0)) break;
        if (chooser === null && refusals.cover(spec)) {
          unplaced = slice.pending.length;
          break;
        }
        chooser ??= new MachineChooser(spec, {
          schedulable: roomy,
          idle: this.idle.filter((m) => among.has(m)),
        });
        const machine = chooser.next(this.context.random);
        const position = machine ? slice.pending.pop() : undefined;
        if (!machine || position === undefined) {
          refusals.add(spec);
          unplaced = slice.pending.length;
          break;
        }
        this.shard.start(machine, slice, position, now);
        mayStart--;
        if (paced) this.context.lowPriorityStarts.left--;
        this.removeIdle(machine);
        touched.add(machine);
        if (failing) this.context.failingJobs.recordAttempt(spec.id, now);
        const sum = used.get(spec.team);
        if (sum) {
          sum.cores += spec.cores;
          sum.accelerators += spec.accelerators;
        }
        if (failing) break;
      }
      if (slice.pending.length === 0 || (round !== 'one machine' && unplaced === 0))
        slice.unplaceableSince = Infinity;
      else if (round !== 'one machine') {
        if (slice.unplaceableSince === Infinity && !failing) this.holdLowPriority(spec, now);
        slice.unplaceableSince = Math.min(slice.unplaceableSince, now);
      }
      if (unplaced > 0 && round === 'preempting' && !failing) {
        for (const machine of this.preempt(slice, unplaced, open, claimed, used)) touched.add(machine);
      }
    }
    return touched;
  }

  /** How many of the job's tasks may be on machines of the part. */
  private tasksPossiblyPlaced(job: string): number {
    let tasks = 0;
    for (const { spec, placed, unreconciled: held } of this.shard.slices.values())
      if (spec.id === job) tasks += placed.size + held.size;
    return tasks;
  }

  /** Work begins to find no room: what is low gives way for a while, and then has its time again. */
  private holdLowPriority(spec: JobSpec, now: number): void {
    if (spec.priority < LOW_PRIORITY && now - this.lowPriorityHeldAt >= LOW_PRIORITY_HOLD_GAP_MS)
      this.lowPriorityHeldAt = now;
  }

  /**
   * Stops work of lower priority where that makes room; the room is taken when its end is reported. Most waits
   * end by themselves in time, so this is done only for a job that would else miss its aim.
   */
  private preempt(
    slice: Slice,
    unplaced: number,
    open: Machine[],
    claimed: Map<Machine, Resources>,
    used: Map<string, QuotaAmounts>,
  ): Machine[] {
    const wall = this.context.wallClock();
    const start = latestStart(slice, wall, this.context.settings);
    if (start === Infinity || start - wall > PREEMPT_SLACK_MS) return [];
    const on: Machine[] = [];
    const evictor = new PreemptionPlanner(slice.spec, open, claimed);
    for (let i = Math.min(unplaced, this.shard.usage.limitLeft(slice, used)); i > 0; i--) {
      const found = evictor.next();
      if (!found) break;
      if (found.victims.length === 0) continue; // room that is being made already
      this.context.log.debug(
        { machine: found.machine.id, tasks: found.victims.map((v) => v.task), by: slice.spec.id },
        'preempted',
      );
      on.push(found.machine);
    }
    return on;
  }
}
