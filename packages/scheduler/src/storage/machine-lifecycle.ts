/** How a machine leaves its shard: it is drained and then terminated. */
import type { LifecycleState } from './machine-state.ts';

/** Records when the cloud's list first showed the machine; later calls change nothing. */
export function recordListed(machine: LifecycleState, now: number): void {
  machine.listedAt ??= now;
}

/** The machine gets no more tasks. */
export function startDraining(machine: LifecycleState): void {
  machine.draining = true;
}

/** The machine may get tasks again. */
export function stopDraining(machine: LifecycleState): void {
  machine.draining = false;
}

/** The machine is being terminated. This is final: `stopDraining` must not follow. */
export function startTerminating(machine: LifecycleState): void {
  machine.draining = true;
  machine.terminating = true;
}
