/** Terminates machines of one shard and notifies the shard's leader once the cloud has confirmed this. */
import { TERMINATE_BATCH } from '../../constants.ts';
import type { Machine } from '../../storage/machine.ts';
import { startTerminating } from '../../storage/machine-lifecycle.ts';
import type { Log } from '../../transport/log.ts';
import type { LostReason } from '../workers/machine-health.ts';
import type { BootingMachines } from './booting-machines.ts';
import type { CloudRequests } from './cloud-requests.ts';

/** Why a machine is terminated. Written to the log. */
export type TerminationReason =
  LostReason | 'drained' | 'failed' | 'unlisted' | 'never reported' | 'never came up';

/** The shard whose machines are terminated. */
export interface TerminatingShard {
  /** The shard's name. */
  readonly name: string;
  /** False once another controller leads the shard. The new leader is then responsible for the machines. */
  readonly isActive: boolean;
  /** The shard's machines, by id. */
  readonly machines: ReadonlyMap<string, Machine>;
  /** Called when the cloud has confirmed that the machine and every task on it have ended. */
  onTerminated(machine: Machine): void;
}

interface MachineTerminationContext {
  readonly shard: TerminatingShard;
  readonly log: Log;
  readonly cloud: CloudRequests;
  readonly booting: BootingMachines;
}

/** Terminates machines, at most as many at a time as the cloud accepts in one request. */
export class MachineTermination {
  /** Ids of the machines whose termination the cloud has not confirmed yet. */
  private readonly inProgress = new Set<string>();

  constructor(private readonly context: MachineTerminationContext) {}

  /** Terminates a machine that has reported. It gets no task from now on, even if no request is sent yet. */
  terminate(machine: Machine, reason: TerminationReason): void {
    startTerminating(machine);
    this.terminateById(machine.id, reason);
  }

  /**
   * Terminates a machine by its id. Does nothing if its termination is already in progress, or if
   * `TERMINATE_BATCH` terminations are in progress.
   */
  terminateById(machineId: string, reason: TerminationReason): void {
    if (this.inProgress.has(machineId) || this.inProgress.size >= TERMINATE_BATCH) return;
    this.inProgress.add(machineId);
    const { shard, log, cloud } = this.context;
    log.info({ shard: shard.name, machine: machineId, reason }, 'terminating machine');
    // Never rejects: the request is retried until the cloud confirms it or this process terminates.
    void cloud.terminate(machineId).then(() => this.onConfirmed(machineId));
  }

  private onConfirmed(machineId: string): void {
    const { shard, booting } = this.context;
    this.inProgress.delete(machineId);
    booting.remove(machineId);
    if (!shard.isActive) return;
    const machine = shard.machines.get(machineId);
    if (machine) shard.onTerminated(machine);
  }
}
