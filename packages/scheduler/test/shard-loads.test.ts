import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { LOAD_WITHOUT_MACHINES } from '../src/constants.ts';
import { ShardLoads } from '../src/coordination/scheduling/shard-loads.ts';
import type { ShardStatus } from '../src/protocol/peer-messages.ts';
import { seededRandom } from '../src/transport/random.ts';
import { FakeClock } from './support/fakes.ts';

describe('shard loads', () => {
  const shardStatus = (shard: string, idle: number, average: number, token = 1): ShardStatus => ({
    kind: 'shardStatus',
    shard,
    fencingToken: token,
    idleMachines: idle,
    averageLoad: average,
    schedulableMachines: 2,
    schedulableCores: 16,
    bootingCores: 0,
    runningTasks: {},
    pools: {},
    failingJobs: [],
    quotaDemand: {},
  });

  it('prefers a shard with idle machines until they are used up, then the lower average load', () => {
    const shardLoads = new ShardLoads(new FakeClock());
    shardLoads.set(shardStatus('a', 0, 0.2), false);
    shardLoads.set(shardStatus('b', 2, 0.9), false);
    const random = seededRandom(1);
    const choices = [1, 2, 3].map(() => shardLoads.choose(['a', 'b'], random));
    assert.deepEqual(choices, ['b', 'b', 'a']);
  });

  it('raises the load of a chosen shard by 1/(number of machines) until its leader’s next status', () => {
    const shardLoads = new ShardLoads(new FakeClock());
    shardLoads.set(shardStatus('a', 0, 0.2), false);
    shardLoads.set(shardStatus('b', 0, 0.9), false);
    const random = seededRandom(1);
    const choices = [1, 2, 3, 4].map(() => shardLoads.choose(['a', 'b'], random));
    assert.deepEqual(choices, ['a', 'a', 'b', 'a']);
    shardLoads.set(shardStatus('a', 0, 0.2), false);
    assert.equal(shardLoads.choose(['a', 'b'], random), 'a');
  });

  it('chooses no shard whose status is outdated, unless no peer sends a status at all', async () => {
    const clock = new FakeClock();
    const shardLoads = new ShardLoads(clock);
    const random = seededRandom(1);
    shardLoads.set(shardStatus('a', 50, 0), false);
    await clock.advance(4000);
    shardLoads.set(shardStatus('b', 0, 0.9), false);
    shardLoads.set(shardStatus('c', 0, 0.9), true);
    for (let i = 0; i < 10; i++) assert.notEqual(shardLoads.choose(['a', 'b', 'c'], random), 'a');
    await clock.advance(4000);
    shardLoads.set(shardStatus('c', 0, 0.9), true);
    assert.equal(
      shardLoads.choose(['a', 'b', 'c'], random),
      'a',
      'outdated statuses count when this node has lost all peers: its connections failed, not the peers',
    );
  });

  it('chooses no shard without machines while another shard has machines', () => {
    const shardLoads = new ShardLoads(new FakeClock());
    shardLoads.set(shardStatus('a', 0, LOAD_WITHOUT_MACHINES), false);
    shardLoads.set(shardStatus('b', 0, LOAD_WITHOUT_MACHINES), false);
    shardLoads.set(shardStatus('c', 0, 5), false);
    const random = seededRandom(1);
    for (let i = 0; i < 20; i++) assert.equal(shardLoads.choose(['a', 'b', 'c'], random), 'c');
    assert.notEqual(shardLoads.choose(['a', 'b'], random), 'c');
  });

  it('ignores a delayed status of a former leader', () => {
    const shardLoads = new ShardLoads(new FakeClock());
    shardLoads.set(shardStatus('a', 0, 0.2, 5), false);
    shardLoads.set(shardStatus('a', 3, 0.0, 4), false);
    assert.equal(shardLoads.get('a')?.idleMachines, 0);
  });
});
