/** How a machine leaves its shard: draining, and being returned to the cloud. */
import type { LifecycleState } from './machine-state.ts';

/** Notes that the cloud's list shows the machine; only the first time counts. */
export function recordListed(machine: LifecycleState, now: number): void {
  machine.listedAt ??= now;
}

/** Gives the machine no more tasks. */
export function startDraining(machine: LifecycleState): void {
  machine.draining = true;
}

/** Lets the machine take tasks again. */
export function stopDraining(machine: LifecycleState): void {
  machine.draining = false;
}

/** The machine is being returned to the cloud. That is final, and `stopDraining` must not follow. */
export function startTerminating(machine: LifecycleState): void {
  machine.draining = true;
  machine.terminating = true;
}
