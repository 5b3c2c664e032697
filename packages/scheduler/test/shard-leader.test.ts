import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { Slice } from '../src/storage/slice.ts';
import { ShardLeader } from '../src/coordination/shard-leader.ts';
import type { ShardContext } from '../src/coordination/shard-context.ts';
import { readSettings } from '../src/settings.ts';
import type { LeaderReply } from '../src/protocol/workers.ts';
import { FakeClock, silentLog } from './support/fakes.ts';
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
    const shard = new ShardLeader('a', { first: 1, last: 1 }, context, new AbortController().signal, {
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
    const shard = new ShardLeader('a', { first: 3, last: 3 }, context, new AbortController().signal, {
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

describe('fencing tokens of a leadership', () => {
  const TOKENS = { first: 11, last: 20 };

  function startLeader(): { shard: ShardLeader; heartbeat: (fencingToken: number) => LeaderReply } {
    const context = {
      clock: new FakeClock(),
      settings: readSettings(platformSettings),
      log: silentLog,
      watchCache: { version: () => 5 },
      quotas: { hasQuota: () => false },
      jobOrder: () => new Map(),
      typeOf: () => machineType,
      hasLeaderLease: () => true,
      onSuperseded: () => undefined,
      leaderLeaseMs: 0,
    } as unknown as ShardContext;
    const recorded = { machines: [], progress: [], slices: [] };
    const shard = new ShardLeader('a', TOKENS, context, new AbortController().signal, recorded);
    let sequence = 0;
    const status = { machine: 'm', endpoint: 'x:1', type: 'small', zone: 'a', spot: false, agentEpoch: 1 };
    const heartbeat = (fencingToken: number): LeaderReply =>
      shard.onHeartbeat({
        ...status,
        sequence: ++sequence,
        fencingToken,
        preemptionNoticeS: null,
        tasks: [],
      });
    return { shard, heartbeat };
  }

  it('a machine that reports any of them has accepted this leader, and no newer one', () => {
    const { shard, heartbeat } = startLeader();
    assert.equal(heartbeat(10).fencingToken, 11);
    assert.equal(shard.machines.get('m')?.fenced, false, 'a token of the former leadership');
    assert.equal(heartbeat(11).fencingToken, 11);
    assert.equal(shard.machines.get('m')?.fenced, true);
    assert.equal(heartbeat(19).fencingToken, 19, 'the worker would drop a reply with a lower token');
    assert.equal(heartbeat(20).fencingToken, 20);
    assert.equal(shard.isSuperseded, false);
    heartbeat(21);
    assert.equal(shard.isSuperseded, true);
  });

  it('are used up when a machine has accepted the last one: a new leadership is needed', () => {
    const { shard, heartbeat } = startLeader();
    heartbeat(19);
    assert.equal(shard.needsNewTokens, false);
    heartbeat(20);
    assert.equal(shard.needsNewTokens, true);
  });
});
