/**
 * Heartbeats of a shard's machines: what their leader learns by them, and how it answers (PROTOCOL, workers).
 */
import { type Machine, newMachine, resolveType } from '../../storage/machine.ts';
import { startDraining } from '../../storage/machine-lifecycle.ts';
import type { HeartbeatState } from '../../storage/machine-state.ts';
import type { Command, Heartbeat } from '../../protocol/workers.ts';
import type { UnreconciledMachines } from '../reconciliation/unreconciled-machines.ts';
import type { Scheduler } from '../scheduling/scheduler.ts';
import type { ShardContext, ShardState } from '../shard-context.ts';
import type { CommandReplyHandler } from './command-sender.ts';
import { markFenced } from './machine-fencing.ts';
import type { ReportedTasks, StatusSource } from './reported-tasks.ts';
import type { TaskAttempts } from './task-attempts.ts';
import type { TerminatedMachines } from './terminated-machines.ts';
import type { WorkerCommands } from './worker-commands.ts';
import { isFormerLeaseExpired, renewLease } from './worker-lease.ts';

/** The components of the shard's leader that take part in handling a heartbeat. */
export interface HeartbeatCollaborators {
  /** The attempts of the shard's tasks. */
  readonly attempts: TaskAttempts;
  /** Updates the attempts by the tasks that a status lists. */
  readonly reportedTasks: ReportedTasks;
  /** Chooses the commands of the answer. */
  readonly commands: WorkerCommands;
  /** Starts pending tasks on the machine before it is answered. */
  readonly scheduler: Scheduler;
  /** The machines that are not accounted for since the change of leader. */
  readonly unreconciledMachines: UnreconciledMachines;
  /** Machines whose late heartbeats are not to be taken for those of new ones. */
  readonly terminated: TerminatedMachines;
}

/** Applies the status that workers send, and answers their heartbeats. */
export class HeartbeatHandler implements CommandReplyHandler {
  constructor(
    private readonly context: ShardContext,
    private readonly shard: ShardState,
    private readonly collaborators: HeartbeatCollaborators,
  ) {}

  /**
   * Takes a heartbeat and returns the commands that answer it; null if the worker's lease must not be
   * renewed.
   */
  onHeartbeat(heartbeat: Heartbeat): Command[] | null {
    const { attempts, reportedTasks, commands, scheduler, terminated } = this.collaborators;
    let machine = this.shard.machines.get(heartbeat.machine);
    if (!machine) {
      // A late copy of a heartbeat: added again, the machine would be given tasks until it is found silent.
      if (terminated.has(heartbeat.machine)) return [];
      machine = this.addMachine(heartbeat);
    }
    const isNew = this.apply(machine, heartbeat, 'heartbeat');
    if (attempts.mayLaunchCancelledTask(machine)) return null;
    // The reply renews the lease, so this is noted whatever the heartbeat says.
    renewLease(machine, this.context.clock.now());
    // Every reply that renews a lease stops what the heartbeat lists of jobs that are over, also where the
    // heartbeat itself is an old one: the next one may not be answered in time, or never arrive.
    if (!isNew) return reportedTasks.stopCommandsFor(heartbeat);
    scheduler.beforeHeartbeatReply(machine);
    const due = commands.commandsFor(machine, 'heartbeat');
    return heartbeat.fencingToken < this.shard.fencingToken
      ? [...due, ...reportedTasks.stopCommandsFor(heartbeat)]
      : due;
  }

  /**
   * Applies the status in a machine's answer to a call; true if a scheduling round over the machine followed.
   */
  onCommandReply(machine: Machine, heartbeat: Heartbeat): boolean {
    return this.apply(machine, heartbeat, 'reply') && this.collaborators.scheduler.afterCommandReply(machine);
  }

  private addMachine(heartbeat: Heartbeat): Machine {
    const { machine: id, endpoint, type, zone, spot } = heartbeat;
    const machine = newMachine(id, { endpoint, type, zone, spot }, this.context.clock.now());
    this.shard.machines.set(id, machine);
    this.context.log.info({ shard: this.shard.name, machine: id, type, spot }, 'machine up');
    return machine;
  }

  /**
   * Applies a status. False if it is older than what is known, or shows that the shard has a newer leader.
   */
  private apply(machine: Machine & HeartbeatState, heartbeat: Heartbeat, source: StatusSource): boolean {
    const { attempts, reportedTasks, scheduler } = this.collaborators;
    if (heartbeat.fencingToken > this.shard.fencingToken) {
      this.shard.leadership.markSuperseded();
      return false;
    }
    if (heartbeat.agentEpoch < machine.agentEpoch) return false;
    if (heartbeat.agentEpoch === machine.agentEpoch && heartbeat.sequence <= machine.sequence) return false;
    if (heartbeat.agentEpoch > machine.agentEpoch) attempts.onAgentEpochEnded(machine);
    this.updateState(machine, heartbeat, source);
    resolveType(machine, this.context.typeOf);
    this.recordPreemptionNotice(machine, heartbeat);
    if (heartbeat.fencingToken === this.shard.fencingToken && !machine.fenced) this.onFenced(machine);
    if (heartbeat.fencingToken < this.shard.fencingToken) {
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
    this.collaborators.unreconciledMachines.clear(machine);
    this.context.log.debug({ shard: this.shard.name, machine: machine.id }, 'machine fenced');
  }

  /**
   * Applies a status that was made before the machine accepted this leader, perhaps long before: what it
   * lists may have been lost since, and been started again on a machine that this leader has not heard from
   * yet. So it releases no unreconciled task; the machine's next status decides.
   */
  private applyFormerLeaderStatus(machine: Machine, heartbeat: Heartbeat): void {
    const { reportedTasks, unreconciledMachines } = this.collaborators;
    reportedTasks.applyResultsOnly(heartbeat);
    // One-way partition: the machine's heartbeats arrive, but no reply or call of this leader reaches it. A
    // worker sends a heartbeat only after giving up the reply to the one before, so this status shows that it
    // took none of this leader's replies: whatever earlier leaders started there has ended once the last
    // lease that they can have renewed is over. Without this, its tasks would stay unreconciled for ever.
    const { clock, settings } = this.context;
    if (machine.unreconciled && isFormerLeaseExpired(machine, clock.now(), settings))
      unreconciledMachines.clear(machine);
  }
}
