/**
 * Reconciliation after a change of leader: which machines are unreconciled, and which tasks may still run on
 * them.
 */
import { type Machine, machinePoolKey } from '../../storage/machine.ts';
import type { ReconciliationState } from '../../storage/machine-state.ts';
import { fits } from '../../storage/resources.ts';
import type { Slice } from '../../storage/slice.ts';
import { allowsMachine } from '../scheduling/placement-constraints.ts';

/** Called when reconciliation has consequences elsewhere in the shard. */
export interface ReconciliationListener {
  /** Tasks of a slice are pending now. */
  onPending(): void;
  /** No slice has unreconciled tasks any more. */
  onAllReconciled(): void;
}

/**
 * The machines on which an earlier leader may have started tasks that this leader does not know. Tasks that
 * these machines may run are not started elsewhere until the machines are reconciled.
 */
export class UnreconciledMachines {
  /** By machine pool: a task that may run on one machine of a pool may run on all machines of that pool. */
  private readonly byPool = new Map<string, Set<Machine>>();
  private hasUnreconciledTasks: boolean;

  constructor(
    private readonly slices: ReadonlyMap<string, Slice>,
    private readonly listener: ReconciliationListener,
  ) {
    this.hasUnreconciledTasks = slices.size > 0;
  }

  /** Whether any slice may still have tasks that an unreconciled machine may run. */
  get isBlocking(): boolean {
    return this.hasUnreconciledTasks;
  }

  /** Adds a machine that an earlier leader recorded. */
  add(machine: Machine & ReconciliationState): void {
    machine.unreconciled = true;
    const poolKey = machinePoolKey(machine.typeName, machine.spot);
    const pool = this.byPool.get(poolKey) ?? new Set();
    this.byPool.set(poolKey, pool.add(machine));
  }

  /** The machine's tasks are known now, or it certainly runs none. */
  markReconciled(machine: Machine & ReconciliationState): void {
    machine.unreconciled = false;
    for (const [poolKey, pool] of this.byPool) {
      if (!pool.delete(machine) || pool.size > 0) continue;
      this.byPool.delete(poolKey);
      this.releaseTasks();
    }
  }

  /**
   * Makes tasks pending that certainly run nowhere: those that no unreconciled machine can have been given.
   * No leader starts a task where its job does not allow it or where it does not fit.
   */
  releaseTasks(): void {
    if (!this.hasUnreconciledTasks) return;
    const representatives = [...this.byPool.values()].flatMap(([representative]) => representative ?? []);
    let isBlocking = false;
    for (const slice of this.slices.values()) {
      if (slice.unreconciled.size === 0) continue;
      if (representatives.some((machine) => mayRun(machine, slice))) {
        isBlocking = true;
      } else {
        slice.releaseUnreconciled();
        this.listener.onPending();
      }
    }
    if (!isBlocking) this.listener.onAllReconciled();
    this.hasUnreconciledTasks = isBlocking;
  }
}

/** Whether tasks of the slice may have been started on the machine; any may while its type is unknown. */
function mayRun(machine: Machine, { spec }: Slice): boolean {
  return allowsMachine(spec, machine) && (machine.type === null || fits(spec, machine.type));
}
