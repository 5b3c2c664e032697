import assert from 'node:assert/strict';
import { afterEach, describe, it } from 'node:test';
import {
  type Cluster,
  CANCELLATION_LIMIT_MS,
  WORKER_LEASE_MS,
  HEARTBEAT_INTERVAL_MS,
} from './support/cluster.ts';
import { startCluster, countStarts, finishTasksUntilDone, zones } from './support/scenario.ts';

let cluster: Cluster;

describe('failover and unreachable machines', () => {
  afterEach(() => cluster.stop());

  it('fails over the shard of a crashed node, keeps the tasks running, and hands the shard back after a restart', async () => {
    cluster = await startCluster();
    await cluster.submit('a', 'j-30', 18);
    await cluster.clock.advance(2 * HEARTBEAT_INTERVAL_MS);
    assert.equal(cluster.runningTasks().length, 18);
    cluster.crash('b');
    await cluster.clock.advance(10_000);
    assert.ok([...cluster.ledShards('a'), ...cluster.ledShards('c')].includes('b'));
    assert.equal(cluster.runningTasks().length, 18);
    assert.equal(await finishTasksUntilDone(cluster, 'a', 'j-30'), 'done');
    for (let i = 0; i < 18; i++) assert.equal(countStarts(cluster, `j-30/${String(i)}`), 1);
    cluster.start('b');
    await cluster.clock.advance(10_000);
    assert.deepEqual(cluster.ledShards('b'), ['b'], 'the controller of the zone leads the shard again');
  });

  it('restarts tasks of a machine unreachable during a failover only after its worker lease has expired', async () => {
    cluster = await startCluster();
    await cluster.submit('a', 'j-31', 8, { sede: 'b' });
    await cluster.clock.advance(2 * HEARTBEAT_INTERVAL_MS);
    const unreachable = cluster.workers.get('b1');
    assert.equal(unreachable?.runningTasks().length, 4);
    const tasksOnMachine = unreachable.runningTasks();
    // No controller reaches the machine, and none can return it, because the cloud refuses requests.
    cluster.mutedWorkers.add('b1');
    for (const zone of zones) {
      cluster.setFault(zone, unreachable.address, 'silent');
      cluster.setFault(zone, 'cloud:1', 'refused');
    }
    cluster.crash('b');
    await cluster.clock.advance(WORKER_LEASE_MS - 2000);
    for (const w of cluster.workers.values())
      if (w.id !== 'b1') for (const t of w.runningTasks()) w.finish(t);
    await cluster.clock.advance(1500);
    for (const task of tasksOnMachine)
      assert.equal(countStarts(cluster, task), 1, 'the worker lease may not have expired yet');
    // Every possible worker lease has expired: the tasks start on other machines.
    await cluster.clock.advance(CANCELLATION_LIMIT_MS + WORKER_LEASE_MS);
    assert.deepEqual(unreachable.runningTasks(), []);
    for (const task of tasksOnMachine) assert.equal(countStarts(cluster, task), 2);
  });

  it('reschedules the tasks of an unreachable machine as soon as the machine is returned to the cloud', async () => {
    cluster = await startCluster();
    await cluster.submit('a', 'j-32', 4, { sede: 'b' });
    await cluster.clock.advance(2 * HEARTBEAT_INTERVAL_MS);
    const [unreachable] = [...cluster.workers.values()].filter((w) => w.runningTasks().length > 0);
    assert.ok(unreachable);
    const tasksOnMachine = unreachable.runningTasks();
    cluster.mutedWorkers.add(unreachable.id);
    for (const zone of zones) cluster.setFault(zone, unreachable.address, 'silent');
    await cluster.clock.advance(WORKER_LEASE_MS - 2000);
    assert.ok(cluster.cloud.returned.includes(unreachable.id));
    // The cluster no longer has the returned machine, so this counts the starts on the other machine.
    for (const task of tasksOnMachine) assert.equal(countStarts(cluster, task), 1);
  });

  it('hands a shard over while only its leader cannot reach the machines, and hands it back afterwards', async () => {
    cluster = await startCluster();
    cluster.addWorker('b3', 'b');
    await cluster.clock.advance(2 * HEARTBEAT_INTERVAL_MS);
    await cluster.submit('a', 'j-60', 12, { sede: 'b' });
    await cluster.clock.advance(2 * HEARTBEAT_INTERVAL_MS);
    const before = cluster.runningTasks();
    assert.equal(before.length, 12);
    cluster.blockHeartbeatsTo('b');
    for (const id of ['b1', 'b2', 'b3']) cluster.setFault('b', `worker-${id}:1`, 'silent');
    await cluster.clock.advance(WORKER_LEASE_MS);
    assert.ok([...cluster.ledShards('a'), ...cluster.ledShards('c')].includes('b'));
    assert.deepEqual(cluster.runningTasks(), before, 'no worker lease expired and no machine was returned');
    assert.deepEqual(cluster.cloud.returned, []);
    cluster.blockHeartbeatsTo(null);
    for (const id of ['b1', 'b2', 'b3']) cluster.setFault('b', `worker-${id}:1`, 'none');
    await cluster.clock.advance(WORKER_LEASE_MS);
    assert.deepEqual(cluster.ledShards('b'), ['b']);
    assert.equal(await finishTasksUntilDone(cluster, 'a', 'j-60'), 'done');
    for (let i = 0; i < 12; i++) assert.equal(countStarts(cluster, `j-60/${String(i)}`), 1);
  });

  it('returns no machine of a shard while no controller reaches any of them, and uses them again afterwards', async () => {
    cluster = await startCluster();
    cluster.addWorker('b3', 'b');
    await cluster.clock.advance(2 * HEARTBEAT_INTERVAL_MS);
    for (const id of ['b1', 'b2', 'b3']) {
      cluster.mutedWorkers.add(id);
      for (const zone of zones) cluster.setFault(zone, `worker-${id}:1`, 'silent');
    }
    await cluster.submit('a', 'j-62', 4, { sede: 'b' });
    // Longer than any worker lease can last.
    await cluster.clock.advance(CANCELLATION_LIMIT_MS + WORKER_LEASE_MS);
    assert.deepEqual(cluster.cloud.returned, []);
    for (const id of ['b1', 'b2', 'b3']) cluster.mutedWorkers.delete(id);
    for (const zone of zones)
      for (const id of ['b1', 'b2', 'b3']) cluster.setFault(zone, `worker-${id}:1`, 'none');
    await cluster.clock.advance(4 * HEARTBEAT_INTERVAL_MS);
    assert.deepEqual(cluster.cloud.returned, []);
    assert.equal(cluster.runningTasks().length, 4);
  });

  it('returns the unreachable machines of a shard at once while its other machines send heartbeats', async () => {
    cluster = await startCluster();
    for (const id of ['b3', 'b4']) cluster.addWorker(id, 'b');
    await cluster.clock.advance(2 * HEARTBEAT_INTERVAL_MS);
    for (const id of ['b1', 'b2', 'b3']) {
      cluster.mutedWorkers.add(id);
      for (const zone of zones) cluster.setFault(zone, `worker-${id}:1`, 'silent');
    }
    await cluster.clock.advance(5 * HEARTBEAT_INTERVAL_MS);
    assert.deepEqual([...cluster.cloud.returned].sort(), ['b1', 'b2', 'b3']);
    assert.deepEqual(cluster.ledShards('b'), ['b']);
  });

  it('does not delay a whole shard after a failover because one machine is unreachable', async () => {
    cluster = await startCluster();
    for (const id of ['b3', 'b4']) cluster.addWorker(id, 'b');
    await cluster.clock.advance(2 * HEARTBEAT_INTERVAL_MS);
    await cluster.submit('a', 'j-61', 20, { sede: 'b' });
    await cluster.clock.advance(2 * HEARTBEAT_INTERVAL_MS);
    assert.equal(cluster.runningTasks().length, 16, 'four tasks are pending');
    // While b1 may be running any task, the leader cannot rule out that the four pending tasks run there.
    cluster.mutedWorkers.add('b1');
    for (const zone of zones) cluster.setFault(zone, 'worker-b1:1', 'silent');
    cluster.crash('b');
    for (const w of cluster.workers.values())
      if (w.id !== 'b1') for (const t of w.runningTasks()) w.finish(t);
    await cluster.clock.advance(12_000);
    assert.deepEqual(cluster.cloud.returned, ['b1']);
    assert.equal(cluster.runningTasks().length, 8, 'the pending tasks and the tasks of the returned machine');
  });

  it('delays after a crash only the tasks that may be running on an unreconciled machine', async () => {
    cluster = await startCluster();
    const unreachable = cluster.addWorker('b3', 'b', true);
    await cluster.clock.advance(3 * HEARTBEAT_INTERVAL_MS);
    await cluster.submit('a', 'j-46', 16, { sede: 'b' });
    await cluster.submit('a', 'j-47', 16, { sede: 'b', prestiti: true });
    await cluster.clock.advance(2 * HEARTBEAT_INTERVAL_MS);
    assert.deepEqual(
      unreachable.runningTasks().filter((task) => task.startsWith('j-46')),
      [],
      'the job does not allow spot machines',
    );
    cluster.crash('b');
    cluster.mutedWorkers.add('b3');
    for (const zone of zones) cluster.setFault(zone, unreachable.address, 'silent');
    for (const zone of zones) cluster.setFault(zone, 'cloud:1', 'refused');
    const reconciliationMs = 4 * HEARTBEAT_INTERVAL_MS;
    await cluster.clock.advance(reconciliationMs);
    const started = (job: string): number =>
      [...cluster.workers.values()].flatMap((w) => w.started).filter((s) => s.task.startsWith(job)).length;
    const before = started('j-47');
    for (const id of ['b1', 'b2']) {
      const worker = cluster.workers.get(id);
      for (const task of worker?.runningTasks() ?? []) worker?.finish(task);
    }
    await cluster.clock.advance(HEARTBEAT_INTERVAL_MS);
    assert.equal(
      started('j-46'),
      16,
      'tasks that cannot be running on the unreachable machine were scheduled',
    );
    assert.equal(started('j-47'), before, 'tasks that may be running there stay pending');
    await cluster.clock.advance(WORKER_LEASE_MS + 4 * HEARTBEAT_INTERVAL_MS);
    assert.equal(await finishTasksUntilDone(cluster, 'a', 'j-47'), 'done');
  });

  it('hands over the set of tasks that are not running, so that an unreachable machine does not delay them', async () => {
    cluster = await startCluster();
    for (const id of ['b3', 'b4']) cluster.addWorker(id, 'b');
    await cluster.clock.advance(2 * HEARTBEAT_INTERVAL_MS);
    await cluster.submit('a', 'j-63', 20, { sede: 'b' });
    await cluster.clock.advance(2 * HEARTBEAT_INTERVAL_MS);
    cluster.crash('b');
    await cluster.clock.advance(10_000);
    assert.equal(cluster.runningTasks().length, 16, 'four tasks are pending after the failover');
    const unreachable = cluster.workers.get('b1');
    const tasksOnMachine = unreachable?.runningTasks() ?? [];
    assert.equal(tasksOnMachine.length, 4);
    cluster.mutedWorkers.add('b1');
    for (const zone of zones) {
      cluster.setFault(zone, 'worker-b1:1', 'silent');
      cluster.setFault(zone, 'cloud:1', 'refused');
    }
    cluster.start('b');
    // A controller can lead only after it has read the catalogue from the cloud.
    cluster.setFault('b', 'cloud:1', 'none');
    await cluster.clock.advance(6000);
    assert.deepEqual(cluster.ledShards('b'), ['b']);
    cluster.setFault('b', 'cloud:1', 'refused');
    for (const w of cluster.workers.values())
      if (w.id !== 'b1') for (const t of w.runningTasks()) w.finish(t);
    await cluster.clock.advance(2 * HEARTBEAT_INTERVAL_MS);
    const elsewhere = cluster.runningTasks().filter((task) => !tasksOnMachine.includes(task));
    assert.equal(elsewhere.length, 4, 'the pending tasks run');
    for (const task of tasksOnMachine)
      assert.equal(
        countStarts(cluster, task),
        1,
        'tasks that may be running on the machine do not start again',
      );
  });

  it('sends no command to any machine after one machine has reported a newer leader', async () => {
    cluster = await startCluster();
    cluster.setFault('b', 'state', 'silent');
    await cluster.clock.advance(14_000);
    assert.ok([...cluster.ledShards('a'), ...cluster.ledShards('c')].includes('b'));
    assert.ok(
      cluster.ledShards('b').includes('b'),
      'the records that b has read do not show the new leader yet',
    );
    const countDirectCalls = (): number =>
      [...cluster.workers.values()].reduce((sum, w) => sum + w.directCalls, 0);
    const before = countDirectCalls();
    await cluster.clock.advance(3 * HEARTBEAT_INTERVAL_MS);
    assert.equal(countDirectCalls(), before);
  });

  it('rejects the delayed transaction of a stale leader', async () => {
    cluster = await startCluster();
    await cluster.submit('a', 'j-33', 2, { sede: 'b' });
    await cluster.clock.advance(2 * HEARTBEAT_INTERVAL_MS);
    cluster.setFault('b', 'state', 'held');
    for (const w of cluster.workers.values()) for (const t of w.runningTasks().slice(0, 1)) w.finish(t);
    await cluster.clock.advance(12_000);
    assert.ok([...cluster.ledShards('a'), ...cluster.ledShards('c')].includes('b'));
    const before = structuredClone(cluster.keyValueStore.read('live/part/b'));
    cluster.network.deliverHeld();
    await cluster.clock.advance(1000);
    assert.deepEqual(cluster.keyValueStore.read('live/part/b'), before);
    cluster.setFault('b', 'state', 'none');
    assert.equal(await finishTasksUntilDone(cluster, 'a', 'j-33'), 'done');
  });

  it('keeps tasks running during a key-value store outage in which every controller crashes', async () => {
    cluster = await startCluster();
    await cluster.submit('a', 'j-40', 18);
    await cluster.clock.advance(2 * HEARTBEAT_INTERVAL_MS);
    cluster.keyValueStore.down = true;
    await cluster.clock.advance(2000);
    for (const zone of zones) cluster.crash(zone);
    await cluster.clock.advance(1000);
    for (const zone of zones) cluster.start(zone);
    await cluster.clock.advance(2000);
    cluster.keyValueStore.down = false;
    await cluster.clock.advance(8000);
    assert.equal(cluster.runningTasks().length, 18);
    assert.equal(await finishTasksUntilDone(cluster, 'a', 'j-40'), 'done');
    for (let i = 0; i < 18; i++) assert.equal(countStarts(cluster, `j-40/${String(i)}`), 1);
  });
});
