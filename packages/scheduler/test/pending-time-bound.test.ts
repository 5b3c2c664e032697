import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import {
  MIGRATE_TO_SHARED_AFTER_MS,
  MIGRATION_TICK_MS,
  PEER_KEEPALIVE_MS,
  QUOTA_REBALANCE_MS,
  QUOTA_ROTATION_MS,
} from '../src/constants.ts';
import { hasPrecedence } from '../src/coordination/quota/quota-precedence.ts';

/** Milliseconds that a task may be pending beside capacity and unused quota, once all faults are over. */
const PENDING_MAX_MS = 90_000;
/** Milliseconds that are left for round trips, slow transactions and the migration of other tasks. */
const MARGIN_MS = 5000;

/** The longest time for which `shard` goes without precedence over `other`, in milliseconds. */
function longestWithoutPrecedence(names: readonly string[], shard: string, other: string): number {
  const stepMs = 100;
  let waitedMs = 0;
  let longestMs = 0;
  for (let now = 0; now < 5 * QUOTA_ROTATION_MS; now += stepMs) {
    waitedMs = hasPrecedence({ shard, other }, names, now) ? 0 : waitedMs + stepMs;
    longestMs = Math.max(longestMs, waitedMs);
  }
  return longestMs;
}

// Guards against `idle_wait` of seed 1, run 57 of `storm` (docs/incidents/tasks-without-machine-or-quota.md).
describe('the time that a task is pending beside capacity elsewhere and unused quota', () => {
  it('is bounded by a migration followed by a rotation of quota precedence, with a margin', () => {
    const migrationMs = MIGRATE_TO_SHARED_AFTER_MS + PEER_KEEPALIVE_MS + MIGRATION_TICK_MS;
    const quotaMs = QUOTA_ROTATION_MS + 2 * QUOTA_REBALANCE_MS;
    assert.ok(migrationMs + quotaMs + MARGIN_MS <= PENDING_MAX_MS);
  });

  for (const shards of [2, 5, 60]) {
    it(`includes precedence over every other shard within a rotation, with ${String(shards)} shards`, () => {
      const names = Array.from({ length: shards }, (_, n) => `a.${String(n)}`);
      const [first = ''] = names;
      for (const name of names.slice(1)) {
        assert.ok(longestWithoutPrecedence(names, name, first) <= QUOTA_ROTATION_MS);
        assert.ok(longestWithoutPrecedence(names, first, name) <= QUOTA_ROTATION_MS);
      }
    });
  }
});
