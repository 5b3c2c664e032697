/**
 * Worker leases: a worker may keep its tasks until the last lease that any leader can have renewed has
 * expired (PROTOCOL, leases; docs/design.md, Worker leases).
 */
import { CLOCK_DRIFT, LEASE_MARGIN_MS } from '../../constants.ts';
import type { Settings } from '../../settings.ts';
import type { Machine } from '../../storage/machine.ts';
import type { LeaseState } from '../../storage/machine-state.ts';

/** The longest time, in milliseconds of this node's clock, that a worker's lease lasts. */
function maxLeaseMs(settings: Settings): number {
  return settings.leaseMs * (1 + CLOCK_DRIFT) + LEASE_MARGIN_MS;
}

/**
 * Records that a heartbeat is answered now. Never lowers the recorded time: for a machine that an earlier
 * leader recorded, it starts as the latest time at which that leader can have answered, which may be later
 * than now.
 */
export function renewLease(machine: LeaseState, now: number): void {
  machine.leaseRenewedAt = Math.max(machine.leaseRenewedAt, now);
}

/** Whether every lease that the worker can have has certainly expired. */
export function isLeaseExpired(machine: Machine, now: number, settings: Settings): boolean {
  return now - Math.max(machine.leaseRenewedAt, machine.lastContactAt) > maxLeaseMs(settings);
}

/** Whether every lease that earlier leaders can have renewed has certainly expired. */
export function isFormerLeaseExpired(machine: Machine, now: number, settings: Settings): boolean {
  return now - machine.formerLeaderMayRenewUntil > maxLeaseMs(settings);
}
