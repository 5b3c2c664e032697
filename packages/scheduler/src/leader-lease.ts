/** The leader lease: how long a leader may act after its last confirmed contact with the key-value store. */
import { CLOCK_DRIFT, WATCH_HOLD_MS, LEASE_MARGIN_MS, STORE_DEADLINE_MS } from './constants.ts';
import type { WatchCache } from './storage/watch-cache.ts';
import type { Clock } from './transport/clock.ts';

/**
 * How long after its last confirmed contact a leader may answer heartbeats, in milliseconds. At 0 or less it
 * may never answer them. The last worker lease that the leader renews, and with it every task of a job
 * cancelled since that contact, then ends within the time that a cancellation may take. This holds for any
 * drift between two machines' clocks up to `CLOCK_DRIFT`. docs/design.md, "Leader lease", has the proof.
 */
export function leaderLeaseMs({ cancelMs, leaseMs }: { cancelMs: number; leaseMs: number }): number {
  return cancelMs / (1 + CLOCK_DRIFT) - leaseMs * (1 + CLOCK_DRIFT) - 2 * LEASE_MARGIN_MS;
}

/**
 * The minimum duration of a leader lease, in milliseconds: the time until the next contact is confirmed if a
 * watch takes its maximum time. With a shorter lease no leader could act or renew worker leases for long, and
 * no log line or error would show why.
 */
export const MIN_LEADER_LEASE_MS = WATCH_HOLD_MS + STORE_DEADLINE_MS;

/** The leader lease of one node, for all the shards that it leads. */
export class LeaderLease {
  constructor(
    private readonly clock: Clock,
    private readonly watchCache: WatchCache,
    /** How long the lease lasts after a confirmed contact, in milliseconds. */
    private readonly durationMs: number,
  ) {}

  /** Whether contact with the key-value store is recent enough to act as a leader. */
  isValid(): boolean {
    return this.clock.now() - this.watchCache.confirmedAt < this.durationMs;
  }
}
