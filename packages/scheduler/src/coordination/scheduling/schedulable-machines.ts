/** Which machines of a shard may be given tasks. */
import { SILENT_HEARTBEATS } from '../../constants.ts';
import { type Machine, freeCapacity } from '../../storage/machine.ts';

/** Whether the machine may be given tasks now, provided that they fit. */
export function isSchedulable(machine: Machine, now: number, heartbeatIntervalMs: number): boolean {
  return (
    machine.persisted &&
    machine.fenced &&
    !machine.draining &&
    !machine.terminating &&
    machine.backoffUntil <= now &&
    // In a one-way partition, a machine sends heartbeats and receives nothing. It is always idle, so it would
    // attract every task.
    machine.unreachableSince === Infinity &&
    // Only the machine's own heartbeats renew its worker lease. Without them the lease expires, and a machine
    // that still answers calls kills the tasks that it is given.
    now - machine.lastHeartbeatAt < heartbeatIntervalMs * SILENT_HEARTBEATS
  );
}

/** Whether the machine has free cores, without which no further task fits. */
export function hasFreeCores(machine: Machine): boolean {
  return (freeCapacity(machine)?.cores ?? 0) > 0;
}
