import assert from 'node:assert/strict';
import { afterEach, beforeEach, describe, it } from 'node:test';
import { type Answer, type Cluster, HEARTBEAT_INTERVAL_MS, jobSubmission } from './support/cluster.ts';
import { startCluster, countStarts, finishTasksUntilDone, zones } from './support/scenario.ts';

let cluster: Cluster;

describe('user API', () => {
  beforeEach(async () => void (cluster = await startCluster()));
  afterEach(() => cluster.stop());

  it('runs a job to completion and then always answers that it is done', async () => {
    const accepted = await cluster.submit('a', 'j-1', 9);
    assert.deepEqual([accepted.status, accepted.body], [201, { id: 'j-1', stato: 'queued' }]);
    await cluster.clock.advance(2 * HEARTBEAT_INTERVAL_MS);
    assert.equal(cluster.runningTasks().length, 9);
    const running = await cluster.poll('b', 'j-1');
    assert.equal(running.body['stato'], 'running');
    assert.equal(await finishTasksUntilDone(cluster, 'b', 'j-1'), 'done');
    assert.equal((await cluster.submit('c', 'j-1', 9)).body['stato'], 'done');
    for (let i = 0; i < 9; i++) assert.equal(countStarts(cluster, `j-1/${String(i)}`), 1);
  });

  it('rejects invalid requests with the status code for the kind of error', async () => {
    const statuses = async (...bodies: unknown[]): Promise<number[]> => {
      const all: number[] = [];
      for (const body of bodies) all.push((await cluster.post('a', body)).status);
      return all;
    };
    const validBody = jobSubmission('j-5', 2);
    assert.deepEqual(
      await statuses('no json', '[]', 'null', '7', { ...validBody, cores: 'x' }, { ...validBody, id: 'x' }),
      [400, 400, 400, 400, 400, 400],
    );
    assert.deepEqual(
      await statuses(
        { ...validBody, pratiche: 0 },
        { ...validBody, pratiche: 1.5 },
        { ...validBody, lot: undefined },
      ),
      [400, 400, 400],
    );
    assert.deepEqual(
      await statuses(
        { ...validBody, ufficio: 'x' },
        { ...validBody, cores: 9 },
        { ...validBody, modelli: ['x'] },
        { ...validBody, sede: 'x' },
      ),
      [422, 422, 422, 422],
    );
    assert.deepEqual(await statuses('x'.repeat(70_000)), [413]);
    assert.equal((await cluster.poll('a', 'j-5')).status, 404);
    assert.equal((await cluster.poll('a', 'nonsense')).status, 404);
    assert.equal((await cluster.cancel('a', 'j-5')).status, 404);
    assert.deepEqual(cluster.runningTasks(), []);
  });

  it('rejects a submission that lacks a field that is not nullable', async () => {
    const good = jobSubmission('j-8', 2);
    const without = (field: string): object =>
      Object.fromEntries(Object.entries(good).filter(([name]) => name !== field));
    for (const field of Object.keys(good)) {
      const nullable = ['modelli', 'sede', 'scadenza_s'].includes(field);
      if (!nullable) assert.equal((await cluster.post('a', without(field))).status, 400, field);
    }
    assert.equal((await cluster.poll('a', 'j-8')).status, 404);
    assert.equal((await cluster.post('a', { ...good, modelli: undefined, sede: undefined })).status, 201);
  });

  it('answers a malformed submission for the id of an accepted job with that job’s state, not with an error', async () => {
    await cluster.submit('a', 'j-9', 2);
    for (const node of ['a', 'b', 'c']) {
      const { status, body } = await cluster.post(node, { ...jobSubmission('j-9', 2), cores: 'x' });
      assert.deepEqual([status, body['id']], [200, 'j-9'], node);
      assert.ok(body['stato'] === 'queued' || body['stato'] === 'running', node);
    }
    cluster.keyValueStore.down = true;
    assert.equal(
      (await cluster.post('a', { id: 'j-10' })).status,
      503,
      'the node cannot know yet whether the job exists',
    );
    cluster.keyValueStore.down = false;
    assert.equal((await cluster.post('a', { id: 'j-10' })).status, 400);
  });

  it('accepts a job of a hundred thousand tasks in one transaction', async () => {
    assert.equal((await cluster.submit('a', 'j-6', 100_000)).status, 201);
    const { slices } = cluster.keyValueStore.read('live/job/j-6') as { slices: { count: number }[] };
    const total = slices.reduce((sum, slice) => sum + slice.count, 0);
    assert.equal(total, 100_000);
    await cluster.clock.advance(2 * HEARTBEAT_INTERVAL_MS);
    assert.equal(cluster.runningTasks().length, 6 * 4);
  });

  it('cancels a job: its tasks stop, no task starts again, and the job stays aborted', async () => {
    await cluster.submit('a', 'j-7', 40);
    await cluster.clock.advance(2 * HEARTBEAT_INTERVAL_MS);
    assert.equal(cluster.runningTasks().length, 24);
    assert.equal((await cluster.cancel('b', 'j-7')).body['stato'], 'aborted');
    await cluster.clock.advance(2 * HEARTBEAT_INTERVAL_MS);
    assert.deepEqual(cluster.runningTasks(), []);
    assert.equal((await cluster.poll('c', 'j-7')).body['stato'], 'aborted');
    assert.equal((await cluster.submit('c', 'j-7', 40)).body['stato'], 'aborted');
  });

  it('never answers 404 for a job that was recorded, even if the response of the key-value store was lost', async () => {
    cluster.setFault('a', 'state', 'lost');
    const answer = await cluster.submit('a', 'j-8', 3);
    cluster.setFault('a', 'state', 'none');
    // The node forwards the submission to a peer, which finds the recorded job.
    assert.equal(answer.status, 200);
    for (const zone of zones) assert.equal((await cluster.poll(zone, 'j-8')).status, 200);
  });

  it('answers 503 at once while the key-value store is down, but still answers for cached finished jobs', async () => {
    await cluster.submit('a', 'j-9', 3);
    await cluster.clock.advance(HEARTBEAT_INTERVAL_MS);
    assert.equal(await finishTasksUntilDone(cluster, 'a', 'j-9'), 'done');
    cluster.keyValueStore.down = true;
    await cluster.clock.advance(HEARTBEAT_INTERVAL_MS);
    assert.equal((await cluster.submit('a', 'j-10', 3)).status, 503);
    assert.equal((await cluster.poll('a', 'j-9')).body['stato'], 'done');
    const atPeer = await cluster.poll('b', 'j-9');
    assert.equal(atPeer.body['stato'], 'done', 'a node that was notified of the end answers');
    assert.equal(atPeer.body['done'], 3, 'with the number of tasks');
    assert.equal(
      (await cluster.poll('b', 'j-8')).status,
      503,
      'a node that has not cached the job answers 503',
    );
    cluster.keyValueStore.down = false;
    await cluster.clock.advance(2 * HEARTBEAT_INTERVAL_MS);
    assert.equal((await cluster.submit('a', 'j-10', 3)).status, 201);
  });

  it('serves polls of open jobs from the watch, and reads the key-value store if the watch is too slow', async () => {
    await cluster.submit('a', 'j-12', 3);
    await cluster.clock.advance(2 * HEARTBEAT_INTERVAL_MS);
    const reads = cluster.keyValueStore.reads;
    const polls = Promise.all(Array.from({ length: 10 }, () => cluster.pollWithoutWaiting('b', 'j-12')));
    // This submission changes a record, so the watch responds.
    await cluster.submit('a', 'j-13', 1);
    await cluster.clock.advance(1000);
    for (const answer of await polls) assert.equal(answer.body['stato'], 'running');
    assert.equal(cluster.keyValueStore.reads, reads, 'the key-value store was not read');
    assert.equal((await cluster.poll('b', 'j-12')).body['stato'], 'running');
    assert.equal(
      cluster.keyValueStore.reads,
      reads + 1,
      'the watch does not respond because no record changes',
    );
    // Once a node has answered that a job is cancelled, all nodes do, even if their watch has not shown it
    // yet.
    const cancelled = await cluster.cancel('a', 'j-12');
    assert.equal(cancelled.body['stato'], 'aborted');
    assert.equal((await cluster.poll('b', 'j-12')).body['stato'], 'aborted');
  });

  it('forwards requests to a peer when the key-value store refuses only this node', async () => {
    cluster.setFault('a', 'state', 'refused');
    await cluster.clock.advance(HEARTBEAT_INTERVAL_MS);
    assert.equal((await cluster.submit('a', 'j-11', 3)).status, 201);
    assert.equal((await cluster.poll('a', 'j-11')).status, 200);
    assert.equal((await cluster.poll('a', 'j-404')).status, 404);
  });
});

describe('zone constraints', () => {
  beforeEach(async () => void (cluster = await startCluster()));
  afterEach(() => cluster.stop());

  const zonesOf = (id: string): string[] =>
    [...cluster.workers.values()].flatMap((w) =>
      w
        .runningTasks()
        .filter((t) => t.startsWith(`${id}/`))
        .map(() => w.zone),
    );

  it('places single-zone jobs in one zone, spread jobs in several, and zoned jobs in their zone', async () => {
    await cluster.submit('a', 'j-20', 4, { same_place: true });
    await cluster.submit('a', 'j-21', 5, { apart: true });
    await cluster.submit('a', 'j-22', 2, { sede: 'b' });
    await cluster.clock.advance(2 * HEARTBEAT_INTERVAL_MS);
    assert.equal(zonesOf('j-20').length, 4);
    assert.equal(new Set(zonesOf('j-20')).size, 1);
    const spread = zonesOf('j-21');
    assert.equal(spread.length, 5);
    for (const zone of zones) assert.ok(spread.filter((z) => z === zone).length <= 3);
    assert.deepEqual(zonesOf('j-22'), ['b', 'b']);
  });

  it('starts a job that does not allow spot machines only on ordinary machines', async () => {
    cluster.addWorker('a9', 'a', true);
    await cluster.clock.advance(2 * HEARTBEAT_INTERVAL_MS);
    await cluster.submit('a', 'j-23', 40, { sede: 'a' });
    await cluster.clock.advance(2 * HEARTBEAT_INTERVAL_MS);
    assert.deepEqual(cluster.workers.get('a9')?.runningTasks(), []);
    await cluster.submit('a', 'j-24', 2, { sede: 'a', prestiti: true });
    await cluster.clock.advance(2 * HEARTBEAT_INTERVAL_MS);
    assert.deepEqual(cluster.workers.get('a9')?.runningTasks().length, 2);
  });
});

describe('preemption', () => {
  beforeEach(async () => void (cluster = await startCluster()));
  afterEach(() => cluster.stop());

  it('stops the latest started tasks of lower priority for tasks of higher priority, and reruns them later', async () => {
    const submit = (id: string, tasks: number, urgenza: string, more: object = {}): Promise<Answer> =>
      cluster.submit('a', id, tasks, { sede: 'a', urgenza, ...more });
    await submit('j-50', 4, 'low');
    await cluster.clock.advance(2 * HEARTBEAT_INTERVAL_MS);
    const early = cluster.runningTasks();
    await submit('j-51', 4, 'low');
    await cluster.clock.advance(2 * HEARTBEAT_INTERVAL_MS);
    assert.equal(cluster.runningTasks().length, 8);
    await submit('j-52', 2, 'urgent', { scadenza_s: 20.0 });
    await submit('j-53', 2, 'low');
    await cluster.clock.advance(4 * HEARTBEAT_INTERVAL_MS);
    const now = cluster.runningTasks();
    assert.equal(now.filter((t) => t.startsWith('j-52/')).length, 2);
    assert.equal(now.length, 8);
    for (const task of early) assert.ok(now.includes(task), `${task} was started first`);
    for (const id of ['j-50', 'j-51', 'j-52', 'j-53'])
      assert.equal(await finishTasksUntilDone(cluster, 'a', id), 'done');
  });
});
