/**
 * Machines of one shard that have been requested from the cloud and whose workers have not sent a heartbeat
 * yet.
 */
import { BOOT_LATE_FACTOR } from '../../constants.ts';
import type { MachineType } from '../../protocol/cloud.ts';

/** What the cloud offers at one price: a machine type, as an ordinary or a spot machine. */
export interface MachineKind {
  /** The machine type. */
  readonly type: MachineType;
  /** Whether the cloud may preempt the machine. */
  readonly spot: boolean;
}

/** A machine whose worker has not sent a heartbeat yet. All times are milliseconds of the clock. */
export interface BootingMachine extends MachineKind {
  /** When the cloud started it. */
  readonly startedAt: number;
  /** When the cloud's list last showed the machine. Until then, when the cloud confirmed the request. */
  lastListedAt: number;
}

/** The booting machines, by id. They count as supply until they are late. */
export class BootingMachines {
  private readonly machines = new Map<string, BootingMachine>();

  /** The booting machine with this id. */
  get(machineId: string): BootingMachine | undefined {
    return this.machines.get(machineId);
  }

  /** Adds a machine, or replaces its entry. */
  add(machineId: string, machine: BootingMachine): void {
    this.machines.set(machineId, machine);
  }

  /** Removes a machine whose worker has sent a heartbeat, or that the cloud no longer has. */
  remove(machineId: string): void {
    this.machines.delete(machineId);
  }

  /** All booting machines, including late ones. */
  entries(): Iterable<[string, BootingMachine]> {
    return this.machines.entries();
  }

  /** The machines that may still come up in time. A late machine has probably failed and does not count. */
  expected(now: number): BootingMachine[] {
    return [...this.machines.values()].filter(
      ({ startedAt, type }) => now - startedAt < type.bootS * 1000 * BOOT_LATE_FACTOR,
    );
  }

  /** Cores of the machines that may still come up in time. */
  expectedCores(now: number): number {
    return this.expected(now).reduce((cores, { type }) => cores + type.cores, 0);
  }
}
