/** Scale-in: idle machines beyond the demand are drained, and drained machines are terminated. */
import { SCALE_IN_IDLE_MS } from '../../constants.ts';
import type { Machine } from '../../storage/machine.ts';
import { startDraining } from '../../storage/machine-lifecycle.ts';
import { addCores, type Capacity } from './capacity.ts';

/**
 * Drains the machines that have been idle for long (`SCALE_IN_IDLE_MS`) and that the demand does not need.
 * Subtracts them from `supply`. Only fenced machines: others may run tasks that this leader does not know of.
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
 * Whether a draining machine has nothing left that its leader still needs: no task, and no result that the
 * worker has to keep until it is recorded. One with a preemption notice is taken back by the cloud itself.
 */
export function isDrained(machine: Machine): boolean {
  return (
    machine.draining &&
    !machine.preemptionNoticed &&
    machine.attempts.size === 0 &&
    machine.endedAttempts.size === 0
  );
}
