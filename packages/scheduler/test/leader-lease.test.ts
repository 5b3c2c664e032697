import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { CLOCK_DRIFT } from '../src/constants.ts';
import { MIN_LEADER_LEASE_MS, leaderLeaseMs } from '../src/leader-lease.ts';
import { readSettings, type Settings } from '../src/settings.ts';

describe('leader lease', () => {
  const read = (lease_s: number, cancel_s: number): Settings =>
    readSettings({
      node_name: 'n',
      zone: 'a',
      listen: '127.0.0.1:1',
      mesh_addr: '127.0.0.1:2',
      endpoints: { cloud: '127.0.0.1:3', state: '127.0.0.1:4' },
      deployment: {
        zones: ['a'],
        workers: { report_s: 2, lease_s, cancel_s },
        state: { rps: 100, write_rps: 100, value_kb: 8, txn_ops: 12 },
        cloud: { rps: 10 },
      },
    });

  it('lasts until its next renewal; settings that make it shorter are rejected with an error that names the minimum', () => {
    for (const [lease, cancel] of [
      [31, 61],
      [16, 36],
      [16, 21.6],
    ] as const)
      assert.ok(leaderLeaseMs(read(lease, cancel)) >= MIN_LEADER_LEASE_MS);
    assert.throws(() => read(16, 21.4), /^Error: deployment\.workers\.cancel_s: must be 21\.5 or more/);
    assert.throws(() => read(31, 31), /cancel_s: must be 36.6 or more/);
  });

  it('lets every worker lease expire before the cancellation limit at the maximum clock drift', () => {
    // Worst case: the clocks of the controller and the worker are slow, and the controller renews the worker
    // lease at the end of its leader lease.
    const slow = 1 - CLOCK_DRIFT / 2;
    for (const s of [read(31, 61), read(16, 36), read(16, 21.6)])
      assert.ok((leaderLeaseMs(s) + s.leaseMs) / slow < s.cancelMs);
  });
});
