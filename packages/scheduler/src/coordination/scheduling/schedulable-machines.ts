/** Which machines of a shard may be given tasks. */
import { SILENT_HEARTBEATS } from '../../constants.ts';
import { type Machine, freeCapacity } from '../../storage/machine.ts';

/** Whether the machine may be given tasks now, as far as they fit. */
export function isSchedulable(machine: Machine, now: number, heartbeatIntervalMs: number): boolean {
  return (
    machine.persisted &&
    machine.fenced &&
    !machine.draining &&
    !machine.terminating &&
    machine.backoffUntil <= now &&
    // In a one-way partition a machine sends heartbeats and receives nothing: it is always idle, and would
    // attract every task.
    machine.unreachableSince === Infinity &&
    // Only its own heartbeats renew its lease: one that merely answers calls kills what it is given.
    now - machine.lastHeartbeatAt < heartbeatIntervalMs * SILENT_HEARTBEATS
  );
}

/** Whether anything could still fit beside the machine's tasks. */
export function hasFreeCores(machine: Machine): boolean {
  return (freeCapacity(machine)?.cores ?? 0) > 0;
}
