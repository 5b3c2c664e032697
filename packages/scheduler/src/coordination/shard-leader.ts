import {
  CLOCK_DRIFT,
  COMMAND_DEADLINE_MS,
  FENCING_RETRY_MAX_MS,
  FENCING_RETRY_MS,
  TERMINATED_REMEMBERED,
  HANDOVER_BYTES,
  LEASE_MARGIN_MS,
} from '../constants.ts';
import { type Machine, newMachine, recordedMachine, resolveType } from '../storage/machine.ts';
import { startDraining } from '../storage/machine-lifecycle.ts';
import type { FencingState, HeartbeatState, LeaseState } from '../storage/machine-state.ts';
import { type MachinesRecord, type ProgressRecord } from '../storage/records.ts';
import { type SliceAssignment, Slice } from '../storage/slice.ts';
import { type Int } from '../protocol/json.ts';
import type { Handover, MachinePool } from '../protocol/peer-messages.ts';
import { type Command, type Heartbeat } from '../protocol/workers.ts';
import { WorkerCommands } from './workers/worker-commands.ts';
import type { ShardContext } from './shard-context.ts';
import { longestRunMs, running, summary } from './shard-status.ts';
import { ShardRecords } from './reconciliation/shard-records.ts';
import { TaskAttempts } from './workers/task-attempts.ts';
import { Scheduler } from './scheduling/scheduler.ts';
import { UnreconciledMachines } from './reconciliation/unreconciled-machines.ts';
import { TeamUsage } from './quota/team-usage.ts';

/**
 * A part as its owner keeps it: the machines, the slices, and who runs what. It lives from the moment the
 * replica shows this node as the owner until it shows another.
 */
export class ShardLeader {
  readonly machines = new Map<string, Machine>();
  readonly slices = new Map<string, Slice>();
  readonly records: ShardRecords;
  readonly usage: TeamUsage;
  private readonly tasks: TaskAttempts;
  private readonly scheduler: Scheduler;
  private readonly commands: WorkerCommands;
  private readonly unreconciledMachines: UnreconciledMachines;
  private superseded = false;
  /** Machines that the cloud confirmed gone, the last ones. */
  private readonly terminated = new Set<string>();

  constructor(
    readonly name: string,
    readonly fencingToken: number,
    private readonly context: ShardContext,
    private readonly signal: AbortSignal,
    before: {
      machines: [string, MachinesRecord, Int][];
      progress: [string, ProgressRecord, Int][];
      slices: SliceAssignment[];
    },
  ) {
    const now = context.clock.now();
    const { machines, slices } = this;
    const hasLeaderLease = (): boolean => this.hasLeaderLease();
    for (const given of before.slices) {
      if (given.count > 0) slices.set(given.name, new Slice(given, true));
    }
    const afterS = (): number => Math.round((context.clock.now() - now) / 100) / 10;
    this.unreconciledMachines = new UnreconciledMachines(
      slices,
      () => this.requestScheduling(),
      () => context.log.info({ shard: name, afterS: afterS() }, 'nothing is held any more'),
    );
    for (const [, record] of before.machines) {
      for (const [id, each] of Object.entries(record.machines)) {
        const machine = recordedMachine(id, each, now, now + context.leaderLeaseMs);
        resolveType(machine, context.typeOf);
        machines.set(id, machine);
        this.unreconciledMachines.add(machine);
      }
    }
    this.records = new ShardRecords(
      name,
      {
        ...context,
        valueKb: context.settings.valueKb,
        machines,
        slices,
        onMachinesRecorded: () => this.requestScheduling(),
      },
      signal,
      before,
    );
    this.usage = new TeamUsage(
      name,
      [...context.settings.teams.keys()].filter((team) => context.quotas.hasLimit(team)),
      machines,
      context.quotas,
      (key) => context.watchCache.version(key),
    );
    const { usage } = this;
    this.tasks = new TaskAttempts(context, {
      name,
      fencingToken,
      slices,
      usage,
      onSettled: (slice) => this.records.noteSettled(slice),
      onFirstStart: () => context.log.info({ shard: name, afterS: afterS() }, 'first task started'),
      onFreed: () => this.requestScheduling(),
    });
    this.commands = new WorkerCommands(
      context,
      {
        fencingToken,
        machines,
        hasLeaderLease,
        onCommandReply: (machine, heartbeat) => this.onCommandReport(machine, heartbeat),
      },
      signal,
    );
    this.scheduler = new Scheduler(
      context,
      {
        machines,
        slices,
        usage,
        hasLeaderLease,
        start: (...task) => this.tasks.start(...task),
        command: (machine) => this.commands.sendPending(machine),
      },
      signal,
    );
    // Of some slices nothing can be on any machine: none is recorded, or none that they are allowed on.
    this.unreconciledMachines.release();
  }

  get active(): boolean {
    return !this.signal.aborted;
  }

  /** Whether a machine knows a newer owner: this one only answers reports until the records show it. */
  get isSuperseded(): boolean {
    return this.superseded;
  }

  /** A machine or a sibling tells of a newer owner. */
  markSuperseded(): void {
    if (!this.superseded) this.context.onSuperseded(this.name);
    this.superseded = true;
  }

  /** Whether this owner may start tasks and ask machines to accept it. */
  private hasLeaderLease(): boolean {
    return !this.superseded && this.context.hasLeaderLease();
  }

  /** Placing is done once for all that happens together, and not again within a short gap. */
  requestScheduling(): void {
    this.scheduler.requestRound();
  }

  // --- what the replica shows ---

  /**
   * A job's slice as its record now says. A new one was accepted, or moved here, since the takeover: no owner before
   * can have launched any of it.
   */
  setSlice(given: SliceAssignment): void {
    const slice = this.slices.get(given.name);
    if (given.count === 0) return this.dropSlice(given.name); // all of it has moved on
    if (slice) {
      // Only this owner shortens it: whatever else changed the record, a move sent against the old one has failed.
      slice.endMigration(given.count);
      return this.requestScheduling();
    }
    this.slices.set(given.name, new Slice(given, false));
    this.scheduler.slicesChanged();
  }

  /** The job is over: whatever still runs of it is stopped. */
  dropSlice(name: string): void {
    const slice = this.slices.get(name);
    if (!slice) return;
    this.slices.delete(name);
    this.records.dropSlice(name);
    slice.cancelled = true;
    slice.pending.length = 0;
    slice.backingOff.length = 0;
    slice.unreconciled.clear();
    for (const machine of this.machines.values()) {
      if (this.tasks.cancelSlice(machine, slice)) this.commands.sendPending(machine);
    }
    this.scheduler.slicesChanged();
  }

  // --- reports ---

  /** Takes a worker's report and gives the orders that answer it; null: the machine's lease must not be renewed. */
  onHeartbeat(heartbeat: Heartbeat): Command[] | null {
    const now = this.context.clock.now();
    let machine = this.machines.get(heartbeat.machine);
    if (!machine) {
      // A late copy: names are never used again, and the machine would be given tasks until it is found silent.
      if (this.terminated.has(heartbeat.machine)) return [];
      machine = newMachine(
        heartbeat.machine,
        { endpoint: heartbeat.endpoint, type: heartbeat.type, zone: heartbeat.zone, spot: heartbeat.spot },
        now,
      );
      this.machines.set(machine.id, machine);
      this.context.log.info(
        { shard: this.name, machine: machine.id, type: heartbeat.type, spot: heartbeat.spot },
        'machine up',
      );
    }
    const fresh = this.apply(machine, heartbeat, true);
    if (this.tasks.mayStartCancelled(machine)) return null;
    // Answering renews the lease, so this is noted whatever the report says. Never lowered: the owner
    // before may have answered later than this owner's first answer.
    const lease: LeaseState = machine;
    lease.leaseRenewedAt = Math.max(machine.leaseRenewedAt, now);
    // Every answer that renews a lease stops what the report lists of jobs that are over, also where the report itself
    // tells nothing new: the next one may not be answered in time, or never arrive.
    if (!fresh) return this.tasks.stopCommandsFor(heartbeat);
    this.scheduler.beforeHeartbeatReply(machine);
    const commands = this.commands.commandsFor(machine, 'report');
    return heartbeat.fencingToken < this.fencingToken
      ? [...commands, ...this.tasks.stopCommandsFor(heartbeat)]
      : commands;
  }

  private onCommandReport(machine: Machine, heartbeat: Heartbeat): boolean {
    return this.apply(machine, heartbeat, false) && this.scheduler.afterCommandReply(machine);
  }

  /** False if the report is older than what is known. */
  private apply(
    machine: Machine & HeartbeatState & FencingState,
    heartbeat: Heartbeat,
    checkin: boolean,
  ): boolean {
    const now = this.context.clock.now();
    if (heartbeat.fencingToken > this.fencingToken) {
      this.markSuperseded();
      return false;
    }
    if (heartbeat.agentEpoch < machine.agentEpoch) return false;
    if (heartbeat.agentEpoch === machine.agentEpoch && heartbeat.sequence <= machine.sequence) return false;
    if (heartbeat.agentEpoch > machine.agentEpoch) this.tasks.beginAgentEpoch(machine);
    machine.agentEpoch = heartbeat.agentEpoch;
    machine.sequence = heartbeat.sequence;
    machine.lastContactAt = now;
    if (checkin) machine.lastHeartbeatAt = now;
    machine.endpoint = heartbeat.endpoint;
    machine.spot = heartbeat.spot;
    machine.typeName = heartbeat.type;
    resolveType(machine, this.context.typeOf);
    if (heartbeat.preemptionNoticeS !== null && !machine.preemptionNoticed) {
      machine.preemptionNoticed = true;
      startDraining(machine);
      this.context.log.info(
        { machine: machine.id, noticeS: heartbeat.preemptionNoticeS },
        'machine will be taken',
      );
    }
    if (heartbeat.fencingToken === this.fencingToken && !machine.fenced) {
      machine.fenced = true;
      this.unreconciledMachines.clear(machine);
      this.context.log.debug({ shard: this.name, machine: machine.id }, 'machine fenced');
    }
    if (heartbeat.fencingToken < this.fencingToken) {
      // Of a time before this owner's, perhaps long before: what it lists may have been lost since and be on a machine
      // not heard yet. So nothing that is held is let go by it; the machine's next report tells.
      this.tasks.onHeartbeatOfFormerLeader(heartbeat);
      // Made after its last answer from here was given up, it shows that the machine took none of them: what an owner
      // before left there goes by that owner's leases alone. Else a machine that is deaf to this one, and still heard,
      // would have its tasks held for ever.
      if (machine.unreconciled && now - machine.formerLeaderMayRenewUntil > this.leaseMs)
        this.unreconciledMachines.clear(machine);
      return true;
    }
    this.tasks.onHeartbeat(machine, heartbeat, checkin);
    this.scheduler.updateIdle(machine, now);
    return true;
  }

  /** What is known of the job's failures has changed: so may be which machines are to blame. */
  onFailingChanged(job: string): void {
    for (const machine of this.machines.values())
      if (machine.taskFailures.has(job)) this.tasks.attributeFailures(machine);
    this.requestScheduling();
  }

  longestRunMs(job: string): number {
    return longestRunMs(this.machines.values(), job, this.context.clock.now(), this.context.settings);
  }

  // --- handing over ---

  /** For the next owner: what this one, which has stopped starting anything, knows to run nowhere. */
  tasksNotRunning(): Record<string, string> {
    const free: Record<string, string> = {};
    let bytes = 0;
    for (const slice of this.slices.values()) {
      const encoded = slice.notRunning;
      bytes += encoded === '' ? 0 : encoded.length + slice.name.length;
      if (bytes > HANDOVER_BYTES) break; // the rest is held, as after a crash
      if (encoded !== '') free[slice.name] = encoded;
    }
    return free;
  }

  /** What the owner before this one knew to run nowhere need not be held until every machine has answered. */
  acceptHandover(handover: Handover): void {
    if (handover.fencingToken !== this.fencingToken || !this.unreconciledMachines.blocking) return;
    for (const [name, encoded] of Object.entries(handover.notRunning))
      this.slices.get(name)?.releaseNotRunning(encoded);
    this.requestScheduling();
  }

  // --- duties ---

  /** Fences, finds the end of leases, wakes pausing tasks, records machines and progress. */
  tick(): void {
    const now = this.context.clock.now();
    const hasLeaderLease = this.hasLeaderLease();
    for (const machine of this.machines.values()) {
      resolveType(machine, this.context.typeOf);
      if (this.isLeaseExpired(machine, now)) {
        this.tasks.onLeaseExpired(machine);
        this.unreconciledMachines.clear(machine);
      }
      const unfenced = hasLeaderLease && !machine.fenced && machine.persisted && now >= machine.nextFencingAt;
      if (unfenced && this.context.takeFencingCall()) {
        const pause = Math.min(
          FENCING_RETRY_MS * 2 ** Math.min(machine.failedFencingAttempts, 10),
          FENCING_RETRY_MAX_MS,
        );
        const fencing: FencingState = machine;
        fencing.nextFencingAt = now + pause + COMMAND_DEADLINE_MS;
        void this.commands.fence(machine);
      }
      if (machine.backoffUntil > 0 && machine.backoffUntil <= now) this.requestScheduling();
    }
    for (const slice of this.slices.values()) {
      if (slice.backingOff.length === 0) continue;
      slice.endBackoffs(now);
      this.requestScheduling();
    }
    this.records.recordMachines();
    this.records.recordProgress();
    this.scheduler.tick();
  }

  /** Whether every lease the machine could hold is certainly over. */
  private isLeaseExpired(machine: Machine, now: number): boolean {
    return now - Math.max(machine.leaseRenewedAt, machine.lastContactAt) > this.leaseMs;
  }

  /** The longest time that a worker's lease lasts by this node's clock. */
  private get leaseMs(): number {
    return this.context.settings.leaseMs * (1 + CLOCK_DRIFT) + LEASE_MARGIN_MS;
  }

  /** Asks a silent machine directly. */
  probe(machine: Machine): Promise<'answers' | 'deaf' | 'unknown'> {
    return this.commands.probe(machine);
  }

  /** The cloud confirmed that the machine and all on it are gone. */
  onTerminated(machine: Machine): void {
    this.machines.delete(machine.id);
    this.terminated.add(machine.id);
    const [oldest] = this.terminated;
    if (this.terminated.size > TERMINATED_REMEMBERED && oldest !== undefined) this.terminated.delete(oldest);
    this.scheduler.removeIdle(machine);
    for (const attempt of [...machine.attempts.values()]) this.tasks.lose(machine, attempt);
    this.unreconciledMachines.clear(machine);
    this.requestScheduling();
    this.records.dropMachine(machine.id);
  }

  // --- what others are told ---

  /** Machines of the owner before that have not accepted this one yet. */
  get unfenced(): number {
    let count = 0;
    for (const machine of this.machines.values()) if (machine.unreconciled) count++;
    return count;
  }

  /** Its machines that may take tasks, and the room that they have, by kind. */
  machinePools(): Record<string, MachinePool> {
    return this.scheduler.machinePools();
  }

  get idleCount(): number {
    return this.scheduler.idleCount;
  }

  runningTasks(): Record<string, number> {
    return running(this.machines.values());
  }

  loadSummary(): ReturnType<typeof summary> {
    const open = this.scheduler.schedulableMachines(this.context.clock.now());
    return summary(open, this.slices.values(), this.context.failingJobs);
  }
}
