/** The leader of a shard: creates the components that each carry out one of its duties, and connects them. */
import { type Machine, recordedMachine, resolveType } from '../storage/machine.ts';
import { type SliceAssignment, Slice } from '../storage/slice.ts';
import type { FencingTokens } from '../storage/fencing-tokens.ts';
import type { ExactInteger } from '../protocol/json.ts';
import type { Handover, LoadSummary, MachinePool } from '../protocol/peer-messages.ts';
import type { FencingToken, Heartbeat, LeaderReply } from '../protocol/workers.ts';
import { TeamUsage } from './quota/team-usage.ts';
import { type RecordedPages, ShardRecords } from './reconciliation/shard-records.ts';
import { UnreconciledMachines } from './reconciliation/unreconciled-machines.ts';
import { Scheduler } from './scheduling/scheduler.ts';
import type { ShardContext, ShardState } from './shard-context.ts';
import { ShardLeadership } from './shard-leadership.ts';
import { ShardSlices } from './shard-slices.ts';
import { loadSummary, longestRunMs, runningTasks, unreconciledCount } from './shard-status.ts';
import { CommandLog } from './workers/command-log.ts';
import { CommandSender } from './workers/command-sender.ts';
import { FailureAttribution } from './workers/failure-attribution.ts';
import { HeartbeatHandler } from './workers/heartbeat-handler.ts';
import { MachineFencing } from './workers/machine-fencing.ts';
import { MachineProber } from './workers/machine-prober.ts';
import { MachineTokens } from './workers/machine-tokens.ts';
import { ReportedTasks } from './workers/reported-tasks.ts';
import { TaskAttempts } from './workers/task-attempts.ts';
import { TerminatedMachines } from './workers/terminated-machines.ts';
import { WorkerCommands } from './workers/worker-commands.ts';
import { isLeaseExpired } from './workers/worker-lease.ts';

/** What the records show of a shard when a leadership begins. */
export interface RecordedShard extends RecordedPages {
  /** The slices that open jobs have in the shard. */
  readonly slices: SliceAssignment[];
}

/**
 * The leader of one shard. It exists from the moment the watch cache shows this node as the shard's leader
 * until the watch cache shows another leader. `signal` is then aborted.
 */
export class ShardLeader implements ShardState {
  /** The shard's machines, by id. */
  readonly machines = new Map<string, Machine>();
  /** The shard's slices, by name. */
  readonly slices = new Map<string, Slice>();
  /** The pages of records that the leader writes. */
  readonly records: ShardRecords;
  /** What the teams use of their quotas in this shard. */
  readonly usage: TeamUsage;
  /** Whether this node may still act as the shard's leader. */
  readonly leadership: ShardLeadership;
  private readonly shardSlices: ShardSlices;
  private readonly failures: FailureAttribution;
  private readonly attempts: TaskAttempts;
  private readonly scheduler: Scheduler;
  private readonly heartbeats: HeartbeatHandler;
  private readonly sender: CommandSender;
  private readonly prober: MachineProber;
  private readonly fencing: MachineFencing;
  private readonly unreconciledMachines: UnreconciledMachines;
  private readonly terminated = new TerminatedMachines();
  private readonly machineTokens: MachineTokens;
  private readonly commandLog: CommandLog;
  private readonly beganAt: number;

  constructor(
    readonly name: string,
    readonly tokens: FencingTokens,
    private readonly context: ShardContext,
    signal: AbortSignal,
    recorded: RecordedShard,
  ) {
    const { machines, slices } = this;
    this.beganAt = context.clock.now();
    this.leadership = new ShardLeadership(name, context, signal);
    for (const assignment of recorded.slices) {
      if (assignment.count > 0) slices.set(assignment.name, new Slice(assignment, true));
    }
    const onPending = (): void => this.requestScheduling();
    this.unreconciledMachines = new UnreconciledMachines(slices, {
      onPending,
      onAllReconciled: () => this.logSinceStart('all tasks reconciled'),
    });
    this.addRecordedMachines(recorded.machines);
    this.records = new ShardRecords(context, this, recorded, onPending);
    const limitedTeams = [...context.settings.teams.keys()].filter((team) => context.quotas.hasQuota(team));
    const versionOf = (key: string): ExactInteger => context.watchCache.version(key);
    this.usage = new TeamUsage(name, limitedTeams, machines, context.quotas, versionOf);
    this.failures = new FailureAttribution(context.failingJobs, context.log);
    this.attempts = this.createAttempts();
    this.scheduler = this.createScheduler();
    this.machineTokens = new MachineTokens(tokens);
    this.commandLog = new CommandLog(context, name, this.machineTokens);
    const commands = new WorkerCommands(context, this.leadership, this.machineTokens);
    const heartbeats = this.createHeartbeatHandler(commands);
    this.heartbeats = heartbeats;
    this.sender = new CommandSender(context, this, {
      commands,
      commandLog: this.commandLog,
      replies: heartbeats,
    });
    this.prober = new MachineProber(context, this, this.sender);
    this.fencing = new MachineFencing(context, this.prober);
    this.shardSlices = new ShardSlices(this, {
      onPending,
      onSettled: (slice) => this.records.recordSettled(slice),
      onAdded: () => this.scheduler.slicesChanged(),
      onDropped: (slice) => this.onSliceDropped(slice),
    });
    // Tasks that no recorded machine can have been given need no reconciliation. Without recorded machines,
    // no task does.
    this.unreconciledMachines.releaseTasks();
  }

  private createAttempts(): TaskAttempts {
    return new TaskAttempts(this.context, this, {
      usage: this.usage,
      failures: this.failures,
      listener: {
        onFirstStart: () => this.logSinceStart('first task started'),
        onSettled: (slice) => this.records.recordSettled(slice),
        onPending: () => this.requestScheduling(),
      },
    });
  }

  private createScheduler(): Scheduler {
    const { machines, slices, usage, leadership, attempts } = this;
    return new Scheduler(
      this.context,
      {
        machines,
        slices,
        usage,
        hasLeaderLease: () => leadership.hasLeaderLease(),
        start: (machine, slice, position, now) => attempts.start(machine, slice, position, now),
        command: (machine) => this.sender.sendPending(machine),
      },
      leadership.signal,
    );
  }

  private createHeartbeatHandler(commands: WorkerCommands): HeartbeatHandler {
    const { context, attempts, commandLog, machineTokens, scheduler, unreconciledMachines, terminated } =
      this;
    const reportedTasks = new ReportedTasks(context.clock, this, attempts);
    return new HeartbeatHandler(context, this, {
      attempts,
      reportedTasks,
      commands,
      commandLog,
      tokens: machineTokens,
      scheduler,
      unreconciledMachines,
      terminated,
    });
  }

  private addRecordedMachines(pages: RecordedShard['machines']): void {
    const { beganAt, context, tokens } = this;
    const former = { fencingToken: tokens.first, formerLeaseEndsAt: beganAt + context.leaderLeaseMs };
    for (const [, page] of pages) {
      for (const [id, record] of Object.entries(page.machines)) {
        const machine = recordedMachine(id, record, beganAt, former);
        resolveType(machine, context.typeOf);
        this.machines.set(id, machine);
        this.unreconciledMachines.add(machine);
      }
    }
  }

  private logSinceStart(event: string): void {
    const durationMs = Math.round(this.context.clock.now() - this.beganAt);
    this.context.log.info({ shard: this.name, durationMs }, event);
  }

  /** Whether the records still show this leadership. */
  get isActive(): boolean {
    return this.leadership.isActive;
  }

  /** See `ShardLeadership.isSuperseded`. */
  get isSuperseded(): boolean {
    return this.leadership.isSuperseded;
  }

  /** See `ShardLeadership.markSuperseded`. */
  markSuperseded(): void {
    this.leadership.markSuperseded();
  }

  /** Requests a scheduling round. All requests before it starts share it. Rounds keep a minimum gap. */
  requestScheduling(): void {
    this.scheduler.requestRound();
  }

  /** Applies the current record of a job's slice. */
  setSlice(assignment: SliceAssignment): void {
    this.shardSlices.set(assignment);
  }

  /** The migration of the slice's last tasks was refused and never takes effect: they stay in this shard. */
  onMigrationRefused(slice: Slice): void {
    this.shardSlices.endMigration(slice, slice.count);
  }

  /** Removes a slice whose job is over; its running tasks are stopped. */
  dropSlice(name: string): void {
    this.shardSlices.drop(name);
  }

  private onSliceDropped(slice: Slice): void {
    this.records.dropSlice(slice.name);
    for (const machine of this.machines.values()) {
      if (this.attempts.cancelSlice(machine, slice)) this.sender.sendPending(machine);
    }
    this.scheduler.slicesChanged();
  }

  /** The last fencing token of the leadership, which identifies it in records and messages. */
  get fencingToken(): FencingToken {
    return this.tokens.last;
  }

  /** Handles a heartbeat. Returns the reply, which renews the worker lease. */
  onHeartbeat(heartbeat: Heartbeat): LeaderReply {
    return this.heartbeats.onHeartbeat(heartbeat);
  }

  /** The evidence on the job's failures has changed: decides again which machines they are attributed to. */
  onFailingChanged(job: string): void {
    for (const machine of this.machines.values())
      if (machine.taskFailures.has(job)) this.failures.updateBackoffAndCordon(machine);
    this.requestScheduling();
  }

  /**
   * Whether the shard needs a new leadership, with fencing tokens and attempt numbers of its own: a machine's
   * token cannot be raised any more, so that calls to it carry no launches, or no attempt can be started.
   */
  get needsNewTokens(): boolean {
    if (this.attempts.areNumbersUsedUp) return true;
    return [...this.machines.values()].some((machine) => !this.machineTokens.canRaise(machine));
  }

  /**
   * The tasks that certainly run nowhere, by slice, as encoded `TaskSet`s: the handover to the next leader.
   * The result is valid only once this leader no longer starts tasks.
   */
  tasksNotRunning(): Record<string, string> {
    return this.shardSlices.tasksNotRunning();
  }

  /** Accepts the handover of the direct predecessor: the tasks that it names need no reconciliation. */
  acceptHandover(handover: Handover): void {
    if (handover.fencingToken !== this.fencingToken || !this.unreconciledMachines.isBlocking) return;
    this.shardSlices.releaseNotRunning(handover.notRunning);
  }

  /** Periodically expires worker leases, fences machines, ends backoffs, writes records, schedules. */
  tick(): void {
    const now = this.context.clock.now();
    const mayFence = this.leadership.hasLeaderLease();
    for (const machine of this.machines.values()) {
      resolveType(machine, this.context.typeOf);
      if (isLeaseExpired(machine, now, this.context.settings)) {
        this.attempts.onLeaseExpired(machine);
        this.unreconciledMachines.markReconciled(machine);
      }
      if (mayFence) this.fencing.fenceIfDue(machine, now);
      if (machine.backoffUntil > 0 && machine.backoffUntil <= now) this.requestScheduling();
    }
    this.shardSlices.endBackoffs(now);
    this.commandLog.logCountsIfDue();
    this.records.recordMachines();
    this.records.recordProgress();
    this.scheduler.tick();
  }

  /** Requests the status of a machine that is silent or unreachable. */
  probe(machine: Machine): Promise<void> {
    return this.prober.probe(machine);
  }

  /** The cloud has confirmed that the machine is terminated: no task runs on it any more. */
  onTerminated(machine: Machine): void {
    this.machines.delete(machine.id);
    this.terminated.add(machine.id);
    this.scheduler.removeIdle(machine);
    for (const attempt of [...machine.attempts.values()]) this.attempts.markLost(machine, attempt);
    this.unreconciledMachines.markReconciled(machine);
    this.requestScheduling();
    this.records.dropMachine(machine.id);
  }

  /** See `longestRunMs` of shard-status.ts. */
  longestRunMs(job: string): number {
    return longestRunMs(this.machines.values(), job, this.context.clock.now(), this.context.settings);
  }

  /** How many machines are unreconciled. */
  get unreconciledCount(): number {
    return unreconciledCount(this.machines.values());
  }

  /** The shard's schedulable machines and their free capacity, by machine pool. */
  machinePools(): Record<string, MachinePool> {
    return this.scheduler.machinePools();
  }

  /** How many schedulable machines are empty. */
  get idleCount(): number {
    return this.scheduler.idleCount;
  }

  /** How many tasks machines have reported, by job id. */
  runningTasks(): Record<string, number> {
    return runningTasks(this.machines.values());
  }

  /** The shard's load, by which peers assign new tasks to shards. */
  loadSummary(): LoadSummary {
    const schedulable = this.scheduler.schedulableMachines(this.context.clock.now());
    return loadSummary(schedulable, this.slices.values(), this.context.failingJobs);
  }
}
