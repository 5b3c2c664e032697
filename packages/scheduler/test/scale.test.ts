import assert from 'node:assert/strict';
import { afterEach, describe, it } from 'node:test';
import { TOKENS_PER_LEADERSHIP } from '../src/constants.ts';
import { Cluster, HEARTBEAT_INTERVAL_MS } from './support/cluster.ts';

const zones = ['a', 'b', 'c'];
const nodeIds = ['a', 'b', 'c', 'a2', 'b2'];
const MACHINES = 100;
const JOBS = 20;
const TASKS = 40;

let cluster: Cluster;

/** Starts five controllers, which lead six shards, and a hundred machines in each zone. */
async function startLargeCluster(): Promise<Cluster> {
  const created = new Cluster(zones, 0, nodeIds);
  for (const nodeId of nodeIds) created.start(nodeId);
  for (const zone of zones) {
    for (let n = 0; n < MACHINES; n++) created.addWorker(`n-${zone}${String(n)}`, zone);
  }
  await created.clock.advance(6 * HEARTBEAT_INTERVAL_MS);
  return created;
}

const countDirectCalls = (): number =>
  [...cluster.workers.values()].reduce((sum, w) => sum + w.directCalls, 0);

describe('scale', () => {
  afterEach(() => cluster.stop());

  it('bounds the load on the key-value store and the workers for many machines, jobs and shards', async () => {
    cluster = await startLargeCluster();
    const shards = nodeIds.flatMap((nodeId) => cluster.ledShards(nodeId));
    assert.equal(shards.length, 6, 'there are more shards than zones, and each has a leader');
    const machineRecords = [...cluster.keyValueStore.data.keys()].filter((key) =>
      key.startsWith('live/machines/'),
    ).length;
    assert.ok(machineRecords <= 12, `${String(machineRecords)} records for three hundred machines`);
    assert.ok(
      cluster.keyValueStore.changes < 60,
      `${String(cluster.keyValueStore.changes)} changes during startup`,
    );

    const before = {
      changes: cluster.keyValueStore.changes,
      requests: cluster.keyValueStore.requests,
      directCalls: countDirectCalls(),
    };
    for (let i = 0; i < JOBS; i++) {
      const answer = await cluster.submit(nodeIds[i % nodeIds.length] ?? 'a', `j-${String(i)}`, TASKS);
      assert.equal(answer.status, 201);
    }
    await cluster.clock.advance(3 * HEARTBEAT_INTERVAL_MS);
    assert.equal(cluster.runningTasks().length, JOBS * TASKS);
    const seconds = 6 * HEARTBEAT_INTERVAL_MS * 0.001;
    for (const w of cluster.workers.values()) for (const task of w.runningTasks()) w.finish(task);
    await cluster.clock.advance(3 * HEARTBEAT_INTERVAL_MS);
    for (let i = 0; i < JOBS; i++)
      assert.equal((await cluster.poll('a', `j-${String(i)}`)).body['stato'], 'done');

    // Accepting a job takes two changes, and finishing it takes two. Each shard writes a bounded number of
    // changes a second, regardless of how many tasks end.
    const changes = cluster.keyValueStore.changes - before.changes;
    assert.ok(changes <= JOBS * 4 + shards.length * 4 * seconds, `${String(changes)} changes`);
    // A node watches records, renews its leader lease, and reads records to answer its users.
    const requests = cluster.keyValueStore.requests - before.requests;
    assert.ok(requests <= JOBS * 4 + nodeIds.length * 60 * seconds, `${String(requests)} requests`);
    // Tasks that are placed on a machine together are sent in one call. No task is sent twice.
    const sent = countDirectCalls() - before.directCalls;
    assert.ok(sent <= JOBS * TASKS, `${String(sent)} calls for ${String(JOBS * TASKS)} tasks`);
    const started = [...cluster.workers.values()].flatMap((w) => w.started).length;
    assert.equal(started, JOBS * TASKS);
  });

  it('resumes scheduling in every shard soon after all controllers crash, although one machine is unreachable', async () => {
    cluster = await startLargeCluster();
    cluster.mutedWorkers.add('n-a7');
    for (const nodeId of nodeIds) cluster.setFault(nodeId, 'worker-n-a7:1', 'silent');
    for (const nodeId of nodeIds) cluster.crash(nodeId);
    await cluster.clock.advance(6000);
    const before = { changes: cluster.keyValueStore.changes, directCalls: countDirectCalls() };
    // The controllers restart one after another. The first one must not take over all shards only to hand
    // them over again.
    for (const nodeId of nodeIds) {
      cluster.start(nodeId);
      await cluster.clock.advance(500);
    }
    await cluster.clock.advance(2000);
    assert.equal(nodeIds.flatMap((nodeId) => cluster.ledShards(nodeId)).length, 6);
    const records = [...cluster.keyValueStore.data].filter(([key]) => key.startsWith('live/part/'));
    for (const [key, { v }] of records)
      assert.equal((v as { token: number }).token, 2 * TOKENS_PER_LEADERSHIP, key);
    // New tasks start at once, because they cannot be running on the unreachable machine.
    assert.equal((await cluster.submit('b', 'j-90', 60)).status, 201);
    await cluster.clock.advance(HEARTBEAT_INTERVAL_MS);
    assert.equal(cluster.runningTasks().length, 60);
    assert.ok(
      cluster.keyValueStore.changes - before.changes < 60,
      `${String(cluster.keyValueStore.changes - before.changes)} changes`,
    );
    const asked = countDirectCalls() - before.directCalls;
    assert.ok(asked < 3 * MACHINES * 4, `${String(asked)} direct calls to three hundred machines`);
  });
});
