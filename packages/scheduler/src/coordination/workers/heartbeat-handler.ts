/**
 * Handles heartbeats of a shard's machines: updates the leader's state, and answers them (PROTOCOL, workers).
 */
import { type Machine, newMachine, resolveType } from '../../storage/machine.ts';
import { startDraining } from '../../storage/machine-lifecycle.ts';
import type { HeartbeatState } from '../../storage/machine-state.ts';
import type { Command, Heartbeat, LeaderReply } from '../../protocol/workers.ts';
import type { UnreconciledMachines } from '../reconciliation/unreconciled-machines.ts';
import type { Scheduler } from '../scheduling/scheduler.ts';
import type { ShardContext, ShardState } from '../shard-context.ts';
import type { CommandReplyHandler } from './command-sender.ts';
import type { CommandLog } from './command-log.ts';
import { markFenced } from './machine-fencing.ts';
import type { MachineTokens } from './machine-tokens.ts';
import type { ReportedTasks, StatusSource } from './reported-tasks.ts';
import type { TaskAttempts } from './task-attempts.ts';
import type { TerminatedMachines } from './terminated-machines.ts';
import type { WorkerCommands } from './worker-commands.ts';
import { isFormerLeaseExpired, renewLease } from './worker-lease.ts';

/** The components of the shard's leader that take part in handling a heartbeat. */
export interface HeartbeatCollaborators {
  /** The attempts of the shard's tasks. */
  readonly attempts: TaskAttempts;
  /** Updates the attempts from the tasks that a status lists. */
  readonly reportedTasks: ReportedTasks;
  /** Chooses the commands of the answer. */
  readonly commands: WorkerCommands;
  /** Logs the commands. */
  readonly commandLog: CommandLog;
  /** The fencing tokens that the machines are shown. */
  readonly tokens: MachineTokens;
  /** Starts pending tasks on the machine before its heartbeat is answered. */
  readonly scheduler: Scheduler;
  /** The machines that are unreconciled since the change of leader. */
  readonly unreconciledMachines: UnreconciledMachines;
  /** The terminated machines. A late heartbeat from one of them must not add the machine again. */
  readonly terminated: TerminatedMachines;
}

/** Applies the status that workers send, and answers heartbeats. */
export class HeartbeatHandler implements CommandReplyHandler {
  constructor(
    private readonly context: ShardContext,
    private readonly shard: ShardState,
    private readonly collaborators: HeartbeatCollaborators,
  ) {}

  /** Applies a heartbeat and returns the reply, which renews the worker lease. */
  onHeartbeat(heartbeat: Heartbeat): LeaderReply {
    let machine = this.shard.machines.get(heartbeat.machine);
    if (!machine) {
      // A heartbeat from a terminated machine is a late copy. If the machine were added again, it would be
      // given tasks until it is found silent.
      if (this.collaborators.terminated.has(heartbeat.machine))
        return { fencingToken: this.shard.tokens.first, commands: [] };
      machine = this.addMachine(heartbeat);
    }
    const commands = this.replyCommands(machine, heartbeat);
    this.collaborators.commandLog.recordSent(machine, 'reply', commands);
    return { fencingToken: machine.fencingToken, commands };
  }

  private replyCommands(machine: Machine, heartbeat: Heartbeat): Command[] {
    const { reportedTasks, commands, scheduler, tokens } = this.collaborators;
    const isNew = this.apply(machine, heartbeat, 'heartbeat');
    // The reply renews the worker lease, so the renewal is recorded whatever the heartbeat contains.
    renewLease(machine, this.context.clock.now());
    commands.fenceUnansweredLaunches(machine);
    if (!isNew) return this.stopCommandsOnly(machine, heartbeat);
    scheduler.beforeHeartbeatReply(machine);
    const due = commands.commandsForReply(machine);
    return tokens.isEarlier(heartbeat.fencingToken)
      ? [...due, ...reportedTasks.stopCommandsFor(heartbeat)]
      : due;
  }

  /**
   * Applies the status in a machine's answer to a call. Returns true if a scheduling round for the machine
   * followed.
   */
  onCommandReply(machine: Machine, heartbeat: Heartbeat): boolean {
    return this.apply(machine, heartbeat, 'reply') && this.collaborators.scheduler.afterCommandReply(machine);
  }

  /**
   * The stop commands for tasks of ended jobs: those that the heartbeat lists, and those that a call may have
   * started since. Every reply that renews a worker lease contains them, even if the heartbeat is older than the
   * last one applied: the next one may not be answered in time, or may never arrive.
   */
  private stopCommandsOnly(machine: Machine, heartbeat: Heartbeat): Command[] {
    const { reportedTasks, commands } = this.collaborators;
    return [
      ...commands.stopCommandsForUnansweredLaunches(machine),
      ...reportedTasks.stopCommandsFor(heartbeat),
    ];
  }

  private addMachine(heartbeat: Heartbeat): Machine {
    const { machine: id, endpoint, type, zone, spot } = heartbeat;
    const { clock } = this.context;
    const record = { endpoint, type, zone, spot };
    const machine = newMachine(id, record, clock.now(), this.shard.tokens.first);
    this.shard.machines.set(id, machine);
    this.context.log.info({ shard: this.shard.name, machine: id, type, spot }, 'machine joined the shard');
    return machine;
  }

  /**
   * Applies a status. Returns false if the status is older than the last one applied, or if it shows that the
   * shard has a newer leader.
   */
  private apply(machine: Machine & HeartbeatState, heartbeat: Heartbeat, source: StatusSource): boolean {
    const { attempts, reportedTasks, scheduler, tokens } = this.collaborators;
    if (tokens.isLater(heartbeat.fencingToken)) {
      this.shard.leadership.markSuperseded();
      return false;
    }
    if (heartbeat.agentEpoch < machine.agentEpoch) return false;
    if (heartbeat.agentEpoch === machine.agentEpoch && heartbeat.sequence <= machine.sequence) return false;
    if (heartbeat.agentEpoch > machine.agentEpoch) attempts.onAgentEpochEnded(machine);
    this.updateState(machine, heartbeat, source);
    resolveType(machine, this.context.typeOf);
    this.recordPreemptionNotice(machine, heartbeat);
    if (tokens.isOwn(heartbeat.fencingToken) && !machine.fenced) this.onFenced(machine);
    tokens.observe(machine, heartbeat.fencingToken);
    if (tokens.isEarlier(heartbeat.fencingToken)) {
      this.applyFormerLeaderStatus(machine, heartbeat);
      return true;
    }
    reportedTasks.apply(machine, heartbeat, source);
    scheduler.updateIdle(machine, this.context.clock.now());
    return true;
  }

  private updateState(machine: HeartbeatState, heartbeat: Heartbeat, source: StatusSource): void {
    const now = this.context.clock.now();
    machine.agentEpoch = heartbeat.agentEpoch;
    machine.sequence = heartbeat.sequence;
    machine.lastContactAt = now;
    if (source === 'heartbeat') machine.lastHeartbeatAt = now;
    machine.endpoint = heartbeat.endpoint;
    machine.spot = heartbeat.spot;
    machine.typeName = heartbeat.type;
  }

  private recordPreemptionNotice(machine: Machine & HeartbeatState, heartbeat: Heartbeat): void {
    const { preemptionNoticeS: noticeS } = heartbeat;
    if (noticeS === null || machine.preemptionNoticed) return;
    machine.preemptionNoticed = true;
    startDraining(machine);
    this.context.log.info({ machine: machine.id, noticeS }, 'preemption notice received');
  }

  private onFenced(machine: Machine): void {
    markFenced(machine);
    this.collaborators.unreconciledMachines.markReconciled(machine);
    this.context.log.debug({ shard: this.shard.name, machine: machine.id }, 'machine fenced');
  }

  /**
   * Applies a status that was made before the machine accepted this leader, possibly long before. The tasks
   * that it lists may have been lost since, and started again on a machine that this leader has not heard
   * from yet. The status therefore releases no unreconciled task. The machine's next status decides.
   */
  private applyFormerLeaderStatus(machine: Machine, heartbeat: Heartbeat): void {
    const { reportedTasks, unreconciledMachines } = this.collaborators;
    reportedTasks.applyResultsOnly(heartbeat);
    // One-way partition: the machine's heartbeats arrive, but no reply or call of this leader reaches it. A
    // worker sends a heartbeat only after it has stopped waiting for the reply to the previous one. This
    // status therefore shows that the worker has received none of this leader's replies. All tasks that
    // earlier leaders started there have ended once the last worker lease that they can have renewed has
    // expired. Without this rule, the tasks would stay unreconciled forever.
    const { clock, settings } = this.context;
    if (machine.unreconciled && isFormerLeaseExpired(machine, clock.now(), settings))
      unreconciledMachines.markReconciled(machine);
  }
}
