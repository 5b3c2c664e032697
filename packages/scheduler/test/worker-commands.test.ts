import assert from 'node:assert/strict';
import { afterEach, describe, it } from 'node:test';
import { FORGET_DELAY_MS } from '../src/constants.ts';
import { type Cluster, CANCELLATION_LIMIT_MS, HEARTBEAT_INTERVAL_MS } from './support/cluster.ts';
import { startCluster, countStarts, finishTasksUntilDone, zones } from './support/scenario.ts';

let cluster: Cluster;

describe('worker commands, quotas and faulty machines', () => {
  afterEach(() => cluster.stop());

  it('starts pending tasks in the reply to the heartbeat that shows free capacity, without a direct call', async () => {
    cluster = await startCluster();
    await cluster.submit('a', 'j-64', 9, { sede: 'b' });
    await cluster.clock.advance(2 * HEARTBEAT_INTERVAL_MS);
    assert.equal(cluster.runningTasks().length, 8);
    const before = [...cluster.workers.values()].reduce((sum, w) => sum + w.directCalls, 0);
    const [first] = cluster.workers.get('b1')?.runningTasks() ?? [];
    cluster.workers.get('b1')?.finish(first ?? '');
    await cluster.clock.advance(1.5 * HEARTBEAT_INTERVAL_MS);
    assert.equal(cluster.runningTasks().length, 8, 'the ninth task has started');
    assert.equal(
      [...cluster.workers.values()].reduce((sum, w) => sum + w.directCalls, 0),
      before,
    );
  });

  it('sends the forget command for finished tasks with the next launch, or after a delay', async () => {
    cluster = await startCluster();
    await cluster.submit('a', 'j-65', 8, { sede: 'b' });
    await cluster.clock.advance(2 * HEARTBEAT_INTERVAL_MS);
    const b1 = cluster.workers.get('b1');
    assert.ok(b1);
    for (const task of b1.runningTasks()) b1.finish(task);
    await cluster.clock.advance(6000);
    assert.equal(
      b1.tasks.length,
      4,
      'the ends are recorded, but no forget command is sent yet: alone it would cost another heartbeat',
    );
    for (const task of cluster.workers.get('b2')?.runningTasks() ?? [])
      cluster.workers.get('b2')?.finish(task);
    await cluster.submit('a', 'j-66', 8, { sede: 'b' });
    await cluster.clock.advance(3 * HEARTBEAT_INTERVAL_MS);
    assert.deepEqual(
      b1.tasks.map((t) => t.stato),
      ['running', 'running', 'running', 'running'],
    );
    for (const task of b1.runningTasks()) b1.finish(task);
    await cluster.clock.advance(FORGET_DELAY_MS + 3 * HEARTBEAT_INTERVAL_MS);
    assert.deepEqual(b1.tasks, []);
  });

  it('does not start a task again when a delayed launch arrives', async () => {
    cluster = await startCluster();
    for (const id of ['b1', 'b2']) cluster.setFault('b', `worker-${id}:1`, 'held');
    await cluster.submit('a', 'j-34', 3, { sede: 'b' });
    // The direct launch is delayed. The heartbeat reply launches the same attempt, which runs to completion.
    assert.equal(await finishTasksUntilDone(cluster, 'a', 'j-34'), 'done');
    await cluster.clock.advance(2 * HEARTBEAT_INTERVAL_MS);
    cluster.network.deliverHeld();
    await cluster.clock.advance(HEARTBEAT_INTERVAL_MS);
    for (let i = 0; i < 3; i++) assert.equal(countStarts(cluster, `j-34/${String(i)}`), 1);
    assert.deepEqual(cluster.runningTasks(), []);
  });

  it('stops a task whose launch arrives after its job was cancelled', async () => {
    cluster = await startCluster();
    for (const id of ['b1', 'b2']) {
      cluster.setFault('b', `worker-${id}:1`, 'held');
      cluster.mutedWorkers.add(id);
    }
    await cluster.submit('a', 'j-35', 2, { sede: 'b' });
    await cluster.clock.advance(200);
    assert.equal((await cluster.cancel('a', 'j-35')).body['stato'], 'aborted');
    cluster.network.deliverHeld();
    assert.equal(cluster.runningTasks().length, 2, 'the delayed launches were executed');
    for (const id of ['b1', 'b2']) cluster.mutedWorkers.delete(id);
    await cluster.clock.advance(4 * HEARTBEAT_INTERVAL_MS);
    assert.deepEqual(cluster.runningTasks(), []);
  });

  it('ends the tasks of a cancelled job within the limit although their leader reaches only the workers', async () => {
    cluster = await startCluster();
    await cluster.submit('a', 'j-36', 8, { sede: 'b' });
    await cluster.clock.advance(2 * HEARTBEAT_INTERVAL_MS);
    cluster.setFault('b', 'state', 'silent');
    cluster.isolateFromPeers('b');
    // No other controller reaches the machines: their leases expire only if the old leader stops renewing
    // them.
    for (const zone of ['a', 'c'])
      for (const id of ['b1', 'b2']) cluster.setFault(zone, `worker-${id}:1`, 'silent');
    for (const zone of zones) cluster.setFault(zone, 'cloud:1', 'refused');
    await cluster.clock.advance(200);
    assert.equal((await cluster.cancel('a', 'j-36')).body['stato'], 'aborted');
    await cluster.clock.advance(CANCELLATION_LIMIT_MS);
    assert.deepEqual(cluster.runningTasks(), []);
  });

  it('does not exceed a team’s quota during a failover and a cancellation', async () => {
    cluster = await startCluster(18);
    const assertWithinQuota = (): void =>
      assert.ok(cluster.runningTasks().length * 2 <= 18, `${String(cluster.runningTasks().length)} tasks`);
    await cluster.submit('a', 'j-37', 20);
    await cluster.submit('a', 'j-38', 20);
    await cluster.clock.advance(2 * HEARTBEAT_INTERVAL_MS);
    assert.equal(cluster.runningTasks().length, 9);
    cluster.crash('b');
    await cluster.cancel('a', 'j-37');
    for (let i = 0; i < 20; i++) {
      await cluster.clock.advance(500);
      assertWithinQuota();
    }
    for (let i = 0; i < 20; i++) {
      for (const w of cluster.workers.values()) for (const t of w.runningTasks().slice(0, 1)) w.finish(t);
      await cluster.clock.advance(HEARTBEAT_INTERVAL_MS / 2);
      assertWithinQuota();
    }
    assert.equal(await finishTasksUntilDone(cluster, 'a', 'j-38'), 'done');
  });

  it('gives a shard the quota that other shards do not use', async () => {
    cluster = await startCluster(18);
    await cluster.submit('a', 'j-39', 12, { sede: 'b' });
    await cluster.clock.advance(6 * HEARTBEAT_INTERVAL_MS);
    assert.equal(
      cluster.runningTasks().length,
      8,
      'the capacity of the two machines, although an even share of the quota is three tasks',
    );
  });

  it('gives away unused quota even if earlier transactions for it got no response', async () => {
    cluster = await startCluster(18);
    await cluster.submit('a', 'j-44', 12, { sede: 'b' });
    // The two other leaders try to give away quota within half a second, but their transactions do not
    // arrive.
    for (const zone of ['a', 'c']) cluster.setFault(zone, 'state', 'silent');
    await cluster.clock.advance(2500);
    for (const zone of ['a', 'c']) cluster.setFault(zone, 'state', 'none');
    await cluster.clock.advance(6 * HEARTBEAT_INTERVAL_MS);
    assert.equal(cluster.runningTasks().length, 8, 'the capacity of the two machines');
  });

  it('lends quota that is too small for any pending task of the shard when every shard lacks quota', async () => {
    // Each shard has two CPUs of quota, and each task needs three.
    cluster = await startCluster(6);
    await cluster.submit('a', 'j-45', 6, { cores: 3.0 });
    assert.equal(await finishTasksUntilDone(cluster, 'a', 'j-45', 60), 'done');
  });

  it('returns a machine on which tasks of several jobs fail, and finishes the jobs on other machines', async () => {
    cluster = await startCluster();
    const faulty = cluster.workers.get('b1');
    assert.ok(faulty);
    await cluster.submit('a', 'j-41', 6, { sede: 'b' });
    await cluster.submit('a', 'j-42', 6, { sede: 'b' });
    for (let i = 0; i < 40 && cluster.workers.has('b1'); i++) {
      for (const t of faulty.runningTasks()) faulty.finish(t, 'error');
      await cluster.clock.advance(HEARTBEAT_INTERVAL_MS);
    }
    assert.deepEqual(cluster.cloud.returned, ['b1']);
    assert.equal(await finishTasksUntilDone(cluster, 'a', 'j-41'), 'done');
    assert.equal(await finishTasksUntilDone(cluster, 'a', 'j-42'), 'done');
  });

  it('returns no machine because of a single job that fails on every machine', async () => {
    cluster = await startCluster();
    await cluster.submit('a', 'j-43', 6);
    for (let i = 0; i < 30; i++) {
      for (const w of cluster.workers.values()) for (const t of w.runningTasks()) w.finish(t, 'error');
      await cluster.clock.advance(HEARTBEAT_INTERVAL_MS);
    }
    assert.deepEqual(cluster.cloud.returned, []);
    const starts = [...cluster.workers.values()].flatMap((w) => w.started).length;
    assert.ok(starts < 6 * 10, `${String(starts)} starts in a minute: the backoff does not grow`);
  });
});
