/**
 * Fencing: makes the machines of a shard accept its new leader's fencing token (docs/design.md, Failover and
 * reconciliation).
 */
import {
  COMMAND_DEADLINE_MS,
  FENCING_RETRY_DOUBLINGS,
  FENCING_RETRY_MAX_MS,
  FENCING_RETRY_MS,
} from '../../constants.ts';
import type { Machine } from '../../storage/machine.ts';
import type { FencingState } from '../../storage/machine-state.ts';
import type { ShardContext } from '../shard-context.ts';
import type { MachineProber } from './machine-prober.ts';

/** Records that a status of the machine has shown this leader's fencing token. */
export function markFenced(machine: FencingState): void {
  machine.fenced = true;
}

/** Calls machines that have not accepted this leader yet, with exponential backoff for each machine. */
export class MachineFencing {
  constructor(
    private readonly context: ShardContext,
    private readonly prober: MachineProber,
  ) {}

  /** Calls the machine if a call is due and this node may make another fencing call now. */
  fenceIfDue(machine: Machine, now: number): void {
    if (machine.fenced || !machine.persisted || now < machine.nextFencingAt) return;
    if (this.context.takeFencingCall()) void this.fence(machine, now);
  }

  private async fence(machine: Machine & FencingState, now: number): Promise<void> {
    const pauseMs = Math.min(
      FENCING_RETRY_MS * 2 ** Math.min(machine.failedFencingAttempts, FENCING_RETRY_DOUBLINGS),
      FENCING_RETRY_MAX_MS,
    );
    machine.nextFencingAt = now + pauseMs + COMMAND_DEADLINE_MS;
    // An unknown outcome does not count. Otherwise a controller whose event loop lags would terminate healthy
    // machines one by one, see `MachineHealth`.
    if ((await this.prober.requestStatus(machine)) === 'silent') machine.failedFencingAttempts++;
  }
}
