import { type Machine, machinePoolKey } from '../../storage/machine.ts';
import type { ReconciliationState } from '../../storage/machine-state.ts';
import { fits } from '../../storage/resources.ts';
import type { Slice } from '../../storage/slice.ts';
import { allows } from '../scheduling/placement-constraints.ts';

/**
 * The machines on which an owner before may have started tasks that nobody here knows of, and what must be held
 * because of them.
 */
export class UnreconciledMachines {
  /** By kind. */
  private readonly byKind = new Map<string, Set<Machine>>();
  /** Whether any slice still holds tasks that a machine not fenced yet may run. */
  blocking: boolean;

  constructor(
    private readonly slices: Map<string, Slice>,
    private readonly onReleased: () => void,
    /** Nothing is held any more, for the first time. */
    private readonly onAllReleased: () => void,
  ) {
    this.blocking = slices.size > 0;
  }

  add(machine: Machine & ReconciliationState): void {
    machine.unreconciled = true;
    const kind = machinePoolKey(machine.typeName, machine.spot);
    const alike = this.byKind.get(kind) ?? new Set();
    this.byKind.set(kind, alike.add(machine));
  }

  /** What is on the machine is known now, or certainly nothing is: it is no reason any more to hold tasks. */
  clear(machine: Machine & ReconciliationState): void {
    machine.unreconciled = false;
    for (const [kind, alike] of this.byKind) {
      if (!alike.delete(machine) || alike.size > 0) continue;
      this.byKind.delete(kind);
      this.release();
    }
  }

  /**
   * What is still unaccounted for runs nowhere once no suspect machine is left on which an owner before could have
   * started it: none starts a task where its job does not allow it or where it does not fit.
   */
  release(): void {
    if (!this.blocking) return;
    const kinds = [...this.byKind.values()].flatMap(([one]) => one ?? []);
    let holding = false;
    for (const slice of this.slices.values()) {
      if (slice.unreconciled.size === 0) continue;
      if (kinds.some((m) => allows(slice.spec, m) && (m.type === null || fits(slice.spec, m.type))))
        holding = true;
      else {
        slice.releaseUnreconciled();
        this.onReleased();
      }
    }
    if (!holding) this.onAllReleased();
    this.blocking = holding;
  }
}
