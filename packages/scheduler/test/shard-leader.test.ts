import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { Slice } from '../src/storage/slice.ts';
import { ShardLeader } from '../src/coordination/shard-leader.ts';
import type { ShardContext } from '../src/coordination/shard-context.ts';
import { readSettings } from '../src/settings.ts';
import { FakeClock } from './support/fakes.ts';
import { machineType, decodedJobSpec, platformSettings } from './support/builders.ts';

describe('leadership precondition', () => {
  it('has the version of the record that made this node the leader, not of a successor’s record', () => {
    let version = 5;
    const context = {
      clock: new FakeClock(),
      settings: readSettings(platformSettings),
      watchCache: { version: () => version },
      quotas: { hasQuota: () => false },
    } as unknown as ShardContext;
    const shard = new ShardLeader('a', 1, context, new AbortController().signal, {
      machines: [],
      progress: [],
      slices: [],
    });
    version = 6; // another leader's record arrives while a transaction of this one is being prepared
    assert.deepEqual(shard.records.leadershipPrecondition(), { key: 'live/part/a', version: 5 });
  });
});

describe('handover', () => {
  it('makes tasks pending that the direct predecessor reports as not running, and ignores other leaders', () => {
    const context = {
      clock: new FakeClock(),
      settings: readSettings(platformSettings),
      watchCache: { version: () => 5 },
      quotas: { hasQuota: () => false },
      typeOf: () => machineType,
      hasLeaderLease: () => false,
      leaderLeaseMs: 0,
    } as unknown as ShardContext;
    const slice = { name: 'a/j-1/0', spec: decodedJobSpec(), at: 0, from: 0, count: 4, settled: '' };
    const record = { endpoint: 'x:1', type: 'small', zone: 'a', spot: false };
    const shard = new ShardLeader('a', 3, context, new AbortController().signal, {
      machines: [['live/machines/a/0', { machines: { m: record } }, 1]],
      progress: [],
      slices: [slice],
    });
    const before = new Slice(slice, false);
    before.place(2, 'on a machine');
    const notRunning = { [slice.name]: before.notRunning, 'a/j-9/0': before.notRunning };
    const pendingTasks = (): number[] => [...(shard.slices.get(slice.name)?.pending ?? [])].sort();
    shard.acceptHandover({ kind: 'handover', shard: 'a', fencingToken: 2, notRunning: notRunning });
    assert.deepEqual(pendingTasks(), []);
    shard.acceptHandover({ kind: 'handover', shard: 'a', fencingToken: 3, notRunning: notRunning });
    assert.deepEqual(pendingTasks(), [0, 1, 3]);
  });
});
