import assert from 'node:assert/strict';
import { afterEach, beforeEach, describe, it } from 'node:test';
import { type Answer, type Cluster, REPORT_MS, job } from './support/cluster.ts';
import { cluster, startsOf, workUntilDone, zones } from './support/story.ts';

let c: Cluster;

describe('user API', () => {
  beforeEach(async () => void (c = await cluster()));
  afterEach(() => c.stop());

  it('runs a job to its end and keeps answering that it is done', async () => {
    const accepted = await c.submit('a', 'j-1', 9);
    assert.deepEqual([accepted.status, accepted.body], [201, { id: 'j-1', stato: 'queued' }]);
    await c.clock.pass(2 * REPORT_MS);
    assert.equal(c.onMachines().length, 9);
    const running = await c.poll('b', 'j-1');
    assert.equal(running.body['stato'], 'running');
    assert.equal(await workUntilDone(c, 'b', 'j-1'), 'done');
    assert.equal((await c.submit('c', 'j-1', 9)).body['stato'], 'done');
    for (let i = 0; i < 9; i++) assert.equal(startsOf(c, `j-1/${String(i)}`), 1);
  });

  it('rejects invalid requests with the status code of their kind', async () => {
    const statuses = async (...bodies: unknown[]): Promise<number[]> => {
      const all: number[] = [];
      for (const body of bodies) all.push((await c.post('a', body)).status);
      return all;
    };
    const good = job('j-5', 2);
    assert.deepEqual(
      await statuses('no json', '[]', 'null', '7', { ...good, cores: 'x' }, { ...good, id: 'x' }),
      [400, 400, 400, 400, 400, 400],
    );
    assert.deepEqual(
      await statuses({ ...good, pratiche: 0 }, { ...good, pratiche: 1.5 }, { ...good, lot: undefined }),
      [400, 400, 400],
    );
    assert.deepEqual(
      await statuses(
        { ...good, ufficio: 'x' },
        { ...good, cores: 9 },
        { ...good, modelli: ['x'] },
        { ...good, sede: 'x' },
      ),
      [422, 422, 422, 422],
    );
    assert.deepEqual(await statuses('x'.repeat(70_000)), [413]);
    assert.equal((await c.poll('a', 'j-5')).status, 404);
    assert.equal((await c.poll('a', 'nonsense')).status, 404);
    assert.equal((await c.withdraw('a', 'j-5')).status, 404);
    assert.deepEqual(c.onMachines(), []);
  });

  it('rejects a submission that lacks a field that is not nullable', async () => {
    const good = job('j-8', 2);
    const without = (field: string): object =>
      Object.fromEntries(Object.entries(good).filter(([name]) => name !== field));
    for (const field of Object.keys(good)) {
      const nullable = ['modelli', 'sede', 'scadenza_s'].includes(field);
      if (!nullable) assert.equal((await c.post('a', without(field))).status, 400, field);
    }
    assert.equal((await c.poll('a', 'j-8')).status, 404);
    assert.equal((await c.post('a', { ...good, modelli: undefined, sede: undefined })).status, 201);
  });

  it('answers a malformed submission under an accepted job’s id with the job’s state, never as for an unknown job', async () => {
    await c.submit('a', 'j-9', 2);
    for (const node of ['a', 'b', 'c']) {
      const { status, body } = await c.post(node, { ...job('j-9', 2), cores: 'x' });
      assert.deepEqual([status, body['id']], [200, 'j-9'], node);
      assert.ok(body['stato'] === 'queued' || body['stato'] === 'running', node);
    }
    c.state.down = true;
    assert.equal(
      (await c.post('a', { id: 'j-10' })).status,
      503,
      'whether the job is known cannot be answered yet',
    );
    c.state.down = false;
    assert.equal((await c.post('a', { id: 'j-10' })).status, 400);
  });

  it('accepts a job of a hundred thousand tasks in one transaction', async () => {
    assert.equal((await c.submit('a', 'j-6', 100_000)).status, 201);
    const { slices } = c.state.read('live/job/j-6') as { slices: { count: number }[] };
    const total = slices.reduce((sum, slice) => sum + slice.count, 0);
    assert.equal(total, 100_000);
    await c.clock.pass(2 * REPORT_MS);
    assert.equal(c.onMachines().length, 6 * 4);
  });

  it('cancels a job: its tasks stop, none starts again, and its state stays', async () => {
    await c.submit('a', 'j-7', 40);
    await c.clock.pass(2 * REPORT_MS);
    assert.equal(c.onMachines().length, 24);
    assert.equal((await c.withdraw('b', 'j-7')).body['stato'], 'aborted');
    await c.clock.pass(2 * REPORT_MS);
    assert.deepEqual(c.onMachines(), []);
    assert.equal((await c.poll('c', 'j-7')).body['stato'], 'aborted');
    assert.equal((await c.submit('c', 'j-7', 40)).body['stato'], 'aborted');
  });

  it('never answers 404 for a job whose acceptance was written though the store’s answer was lost', async () => {
    c.fault('a', 'state', 'lost');
    const answer = await c.submit('a', 'j-8', 3);
    c.fault('a', 'state', 'none');
    // The peer that it was forwarded to finds the job there.
    assert.equal(answer.status, 200);
    for (const zone of zones) assert.equal((await c.poll(zone, 'j-8')).status, 200);
  });

  it('answers 503 at once while the store is down, and still answers for jobs known to be finished', async () => {
    await c.submit('a', 'j-9', 3);
    await c.clock.pass(REPORT_MS);
    assert.equal(await workUntilDone(c, 'a', 'j-9'), 'done');
    c.state.down = true;
    await c.clock.pass(REPORT_MS);
    assert.equal((await c.submit('a', 'j-10', 3)).status, 503);
    assert.equal((await c.poll('a', 'j-9')).body['stato'], 'done');
    assert.equal((await c.poll('b', 'j-9')).status, 503, 'a node that has not read it does not guess');
    c.state.down = false;
    await c.clock.pass(2 * REPORT_MS);
    assert.equal((await c.submit('a', 'j-10', 3)).status, 201);
  });

  it('serves polls of open jobs from the watch, and reads the store when the watch does not answer in time', async () => {
    await c.submit('a', 'j-12', 3);
    await c.clock.pass(2 * REPORT_MS);
    const reads = c.state.reads;
    const asked = Promise.all(Array.from({ length: 10 }, () => c.ask('b', 'j-12')));
    await c.submit('a', 'j-13', 1); // a change: the watch answers
    await c.clock.pass(1000);
    for (const answer of await asked) assert.equal(answer.body['stato'], 'running');
    assert.equal(c.state.reads, reads, 'the store was not read');
    assert.equal((await c.poll('b', 'j-12')).body['stato'], 'running');
    assert.equal(c.state.reads, reads + 1, 'nothing changes, so that the watch does not answer');
    // What another node has answered to be over is over here, whatever this node has seen.
    const cancelled = await c.withdraw('a', 'j-12');
    assert.equal(cancelled.body['stato'], 'aborted');
    assert.equal((await c.poll('b', 'j-12')).body['stato'], 'aborted');
  });

  it('forwards requests to a peer when the store refuses this node alone', async () => {
    c.fault('a', 'state', 'refused');
    await c.clock.pass(REPORT_MS);
    assert.equal((await c.submit('a', 'j-11', 3)).status, 201);
    assert.equal((await c.poll('a', 'j-11')).status, 200);
    assert.equal((await c.poll('a', 'j-404')).status, 404);
  });
});

describe('zone constraints', () => {
  beforeEach(async () => void (c = await cluster()));
  afterEach(() => c.stop());

  const zonesOf = (id: string): string[] =>
    [...c.workers.values()].flatMap((w) =>
      w
        .running()
        .filter((t) => t.startsWith(`${id}/`))
        .map(() => w.zone),
    );

  it('keeps single-zone jobs in one zone, spread jobs in several, and zoned jobs in theirs', async () => {
    await c.submit('a', 'j-20', 4, { same_place: true });
    await c.submit('a', 'j-21', 5, { apart: true });
    await c.submit('a', 'j-22', 2, { sede: 'b' });
    await c.clock.pass(2 * REPORT_MS);
    assert.equal(zonesOf('j-20').length, 4);
    assert.equal(new Set(zonesOf('j-20')).size, 1);
    const spread = zonesOf('j-21');
    assert.equal(spread.length, 5);
    for (const zone of zones) assert.ok(spread.filter((z) => z === zone).length <= 3);
    assert.deepEqual(zonesOf('j-22'), ['b', 'b']);
  });

  it('starts a job that does not allow spot machines on ordinary ones only', async () => {
    c.addWorker('a9', 'a', true);
    await c.clock.pass(2 * REPORT_MS);
    await c.submit('a', 'j-23', 40, { sede: 'a' });
    await c.clock.pass(2 * REPORT_MS);
    assert.deepEqual(c.workers.get('a9')?.running(), []);
    await c.submit('a', 'j-24', 2, { sede: 'a', prestiti: true });
    await c.clock.pass(2 * REPORT_MS);
    assert.deepEqual(c.workers.get('a9')?.running().length, 2);
  });
});

describe('preemption', () => {
  beforeEach(async () => void (c = await cluster()));
  afterEach(() => c.stop());

  it('stops the latest started tasks of lower priority for tasks of higher priority, and runs them again later', async () => {
    const submit = (id: string, tasks: number, urgenza: string, more: object = {}): Promise<Answer> =>
      c.submit('a', id, tasks, { sede: 'a', urgenza, ...more });
    await submit('j-50', 4, 'low');
    await c.clock.pass(2 * REPORT_MS);
    const early = c.onMachines();
    await submit('j-51', 4, 'low');
    await c.clock.pass(2 * REPORT_MS);
    assert.equal(c.onMachines().length, 8);
    await submit('j-52', 2, 'urgent', { scadenza_s: 20.0 });
    await submit('j-53', 2, 'low');
    await c.clock.pass(4 * REPORT_MS);
    const now = c.onMachines();
    assert.equal(now.filter((t) => t.startsWith('j-52/')).length, 2);
    assert.equal(now.length, 8);
    for (const task of early) assert.ok(now.includes(task), `${task} was started first`);
    for (const id of ['j-50', 'j-51', 'j-52', 'j-53']) assert.equal(await workUntilDone(c, 'a', id), 'done');
  });
});
