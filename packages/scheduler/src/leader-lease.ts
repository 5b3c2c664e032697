import { CLOCK_DRIFT, WATCH_HOLD_MS, LEASE_MARGIN_MS, STORE_DEADLINE_MS } from './constants.ts';

/**
 * For how long after its last proof of contact an owner may answer reports, in milliseconds: the lease it renews last,
 * and with it every task of a job cancelled since that proof, is then over within the time a cancellation has, whatever
 * the two clocks' drift. 0 or less: never. docs/design.md, "Proof of contact", has the argument.
 */
export function leaderLeaseMs({ cancelMs, leaseMs }: { cancelMs: number; leaseMs: number }): number {
  return cancelMs / (1 + CLOCK_DRIFT) - leaseMs * (1 + CLOCK_DRIFT) - 2 * LEASE_MARGIN_MS;
}

/**
 * Milliseconds that a proof must last at the least: until the next one is in, if a follow takes its whole time. Shorter,
 * no owner would act or renew leases for good, and every day would be lost in silence.
 */
export const MIN_LEADER_LEASE_MS = WATCH_HOLD_MS + STORE_DEADLINE_MS;
