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

/** The parts of the shard's leader that a heartbeat concerns. */
export interface HeartbeatCollaborators {
  readonly attempts: TaskAttempts;
  readonly reportedTasks: ReportedTasks;
  readonly commands: WorkerCommands;
  readonly scheduler: Scheduler;
  readonly unreconciledMachines: UnreconciledMachines;
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
      // A late copy: the machine would be given tasks until it is found silent.
      if (terminated.has(heartbeat.machine)) return [];
      machine = this.addMachine(heartbeat);
    }
    const isNew = this.apply(machine, heartbeat, 'heartbeat');
    if (attempts.mayStartCancelled(machine)) return null;
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

  /** Takes the status in a machine's answer to a call; true if it has been scheduled on since. */
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

  /** False if the status is older than what is known, or the machine has a newer leader. */
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
      this.applyOfFormerLeader(machine, heartbeat);
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
   * Takes a status from before this leader was accepted, perhaps from long before: what it lists may have
   * been lost since and be on a machine not heard yet. So no unreconciled task is released by it; the
   * machine's next status decides.
   */
  private applyOfFormerLeader(machine: Machine, heartbeat: Heartbeat): void {
    const { reportedTasks, unreconciledMachines } = this.collaborators;
    reportedTasks.applyOfFormerLeader(heartbeat);
    // Made after the machine's last reply from here was given up, it shows that the machine took none of
    // them: what earlier leaders left there ends with their leases alone. Otherwise the tasks of a machine
    // that is heard, and that no reply or call of this leader reaches, would stay unreconciled for ever.
    const { clock, settings } = this.context;
    if (machine.unreconciled && isFormerLeaseExpired(machine, clock.now(), settings))
      unreconciledMachines.clear(machine);
  }
}
