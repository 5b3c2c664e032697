/** Scale-in: drains idle machines that the demand does not need, and detects drained machines. */
import { SCALE_IN_IDLE_MS } from '../../constants.ts';
import type { Machine } from '../../storage/machine.ts';
import { startDraining } from '../../storage/machine-lifecycle.ts';
import { addCores, type Capacity } from './capacity.ts';

/**
 * Drains machines that have been idle for `SCALE_IN_IDLE_MS` and are not needed to meet the demand. Subtracts
 * them from `supply`. Considers only fenced machines, because other machines may run tasks that this leader
 * has no record of.
 */
export function drainUnneededMachines(
  machines: Iterable<Machine>,
  supply: Capacity,
  demand: Readonly<Capacity>,
  now: number,
): void {
  for (const machine of machines) {
    const { draining, terminating, fenced, idleSince, spot } = machine;
    if (draining || terminating || !fenced || now - idleSince < SCALE_IN_IDLE_MS) continue;
    const cores = machine.type?.cores ?? 0;
    const isRequired =
      supply.all - cores < demand.all || (!spot && supply.ordinary - cores < demand.ordinary);
    if (isRequired) continue;
    startDraining(machine);
    addCores(supply, -cores, spot);
  }
}

/**
 * Whether the machine is draining and has nothing left that its leader needs: no task, and no result that the
 * worker must keep until it is in the key-value store. False for a machine with a preemption notice, because
 * the cloud preempts that machine itself.
 */
export function isDrained(machine: Machine): boolean {
  return (
    machine.draining &&
    !machine.preemptionNoticed &&
    machine.attempts.size === 0 &&
    machine.endedAttempts.size === 0
  );
}
