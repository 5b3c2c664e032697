import assert from 'node:assert/strict';
import { afterEach, beforeEach, describe, it } from 'node:test';
import { FORGET_MS } from '../src/constants.ts';
import { type Answer, CANCEL_MS, Cluster, job, LEASE_MS, REPORT_MS } from './cluster.ts';

let c: Cluster;
const zones = ['a', 'b', 'c'];

/** Three controllers, two workers a zone, everything settled. */
async function cluster(maxCores = 0): Promise<Cluster> {
  const made = new Cluster(zones, maxCores);
  for (const zone of zones) made.start(zone);
  for (const zone of zones) for (const n of [1, 2]) made.addWorker(`${zone}${String(n)}`, zone);
  await made.clock.pass(4 * REPORT_MS);
  return made;
}

/** Lets running tasks end until the job is told done, or a number of rounds is over. */
async function workUntilDone(zone: string, id: string, rounds = 30): Promise<string> {
  let state = '';
  for (let i = 0; i < rounds && state !== 'done'; i++) {
    for (const w of c.workers.values()) for (const task of w.running()) w.finish(task);
    await c.clock.pass(REPORT_MS);
    const answer = await c.poll(zone, id);
    if (answer.status === 200) state = String(answer.body['stato']);
  }
  return state;
}

const startsOf = (task: string): number =>
  [...c.workers.values()].flatMap((w) => w.started).filter((s) => s.task === task).length;

describe('users', () => {
  beforeEach(async () => void (c = await cluster()));
  afterEach(() => c.stop());

  it('runs a job to its end and keeps telling so', async () => {
    const accepted = await c.submit('a', 'j-1', 9);
    assert.deepEqual([accepted.status, accepted.body], [201, { id: 'j-1', stato: 'queued' }]);
    await c.clock.pass(2 * REPORT_MS);
    assert.equal(c.onMachines().length, 9);
    const running = await c.poll('b', 'j-1');
    assert.equal(running.body['stato'], 'running');
    assert.equal(await workUntilDone('b', 'j-1'), 'done');
    assert.equal((await c.submit('c', 'j-1', 9)).body['stato'], 'done');
    for (let i = 0; i < 9; i++) assert.equal(startsOf(`j-1/${String(i)}`), 1);
  });

  it('refuses what it cannot take, by kind', async () => {
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

  it('takes a job of a hundred thousand tasks in one transaction', async () => {
    assert.equal((await c.submit('a', 'j-6', 100_000)).status, 201);
    const { slices } = c.state.read('live/job/j-6') as { slices: { count: number }[] };
    const total = slices.reduce((sum, slice) => sum + slice.count, 0);
    assert.equal(total, 100_000);
    await c.clock.pass(2 * REPORT_MS);
    assert.equal(c.onMachines().length, 6 * 4);
  });

  it('withdraws a job: its tasks stop, nothing of it starts again, and the answer stays', async () => {
    await c.submit('a', 'j-7', 40);
    await c.clock.pass(2 * REPORT_MS);
    assert.equal(c.onMachines().length, 24);
    assert.equal((await c.withdraw('b', 'j-7')).body['stato'], 'aborted');
    await c.clock.pass(2 * REPORT_MS);
    assert.deepEqual(c.onMachines(), []);
    assert.equal((await c.poll('c', 'j-7')).body['stato'], 'aborted');
    assert.equal((await c.submit('c', 'j-7', 40)).body['stato'], 'aborted');
  });

  it('never answers 404 or goes back when the answer to an acceptance is lost', async () => {
    c.fault('a', 'state', 'lost');
    const answer = await c.submit('a', 'j-8', 3);
    c.fault('a', 'state', 'none');
    // The sibling it was passed on to finds the job there.
    assert.equal(answer.status, 200);
    for (const zone of zones) assert.equal((await c.poll(zone, 'j-8')).status, 200);
  });

  it('answers at once, with when to come back, while the state service is down; what is over stays over', async () => {
    await c.submit('a', 'j-9', 3);
    await c.clock.pass(REPORT_MS);
    assert.equal(await workUntilDone('a', 'j-9'), 'done');
    c.state.down = true;
    await c.clock.pass(REPORT_MS);
    assert.equal((await c.submit('a', 'j-10', 3)).status, 503);
    assert.equal((await c.poll('a', 'j-9')).body['stato'], 'done');
    assert.equal((await c.poll('b', 'j-9')).status, 503, 'a node that has not read it does not guess');
    c.state.down = false;
    await c.clock.pass(2 * REPORT_MS);
    assert.equal((await c.submit('a', 'j-10', 3)).status, 201);
  });

  it('serves the polls of open jobs from the follow, and reads for those it does not serve in time', async () => {
    await c.submit('a', 'j-12', 3);
    await c.clock.pass(2 * REPORT_MS);
    const reads = c.state.reads;
    const asked = Promise.all(Array.from({ length: 10 }, () => c.ask('b', 'j-12')));
    await c.submit('a', 'j-13', 1); // a change: the follow answers
    await c.clock.pass(1000);
    for (const answer of await asked) assert.equal(answer.body['stato'], 'running');
    assert.equal(c.state.reads, reads, 'none was read for');
    assert.equal((await c.poll('b', 'j-12')).body['stato'], 'running');
    assert.equal(c.state.reads, reads + 1, 'nothing changes: the follow is on hold');
    // What was told over elsewhere is over here, whatever this node has seen.
    const told = await c.withdraw('a', 'j-12');
    assert.equal(told.body['stato'], 'aborted');
    assert.equal((await c.poll('b', 'j-12')).body['stato'], 'aborted');
  });

  it('passes requests on when this node alone is refused by the state service', async () => {
    c.fault('a', 'state', 'refused');
    await c.clock.pass(REPORT_MS);
    assert.equal((await c.submit('a', 'j-11', 3)).status, 201);
    assert.equal((await c.poll('a', 'j-11')).status, 200);
    assert.equal((await c.poll('a', 'j-404')).status, 404);
  });
});

describe('zone rules', () => {
  beforeEach(async () => void (c = await cluster()));
  afterEach(() => c.stop());

  const zonesOf = (id: string): string[] =>
    [...c.workers.values()].flatMap((w) =>
      w
        .running()
        .filter((t) => t.startsWith(`${id}/`))
        .map(() => w.zone),
    );

  it('keeps one-zone jobs together, spread jobs apart, and zoned jobs at home', async () => {
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

describe('priority', () => {
  beforeEach(async () => void (c = await cluster()));
  afterEach(() => c.stop());

  it('stops work of lower priority, started last, for work of higher, and runs it again later', async () => {
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
    for (const id of ['j-50', 'j-51', 'j-52', 'j-53']) assert.equal(await workUntilDone('a', id), 'done');
  });
});

describe('failures', () => {
  afterEach(() => c.stop());

  it('takes over a crashed node’s part and keeps its tasks where they are', async () => {
    c = await cluster();
    await c.submit('a', 'j-30', 18);
    await c.clock.pass(2 * REPORT_MS);
    assert.equal(c.onMachines().length, 18);
    c.crash('b');
    await c.clock.pass(10_000);
    assert.ok([...c.owned('a'), ...c.owned('c')].includes('b'));
    assert.equal(c.onMachines().length, 18);
    assert.equal(await workUntilDone('a', 'j-30'), 'done');
    for (let i = 0; i < 18; i++) assert.equal(startsOf(`j-30/${String(i)}`), 1);
    c.start('b');
    await c.clock.pass(10_000);
    assert.deepEqual(c.owned('b'), ['b'], 'handed back to its home');
  });

  it('starts nothing twice when a machine is unreachable through a takeover', async () => {
    c = await cluster();
    await c.submit('a', 'j-31', 8, { sede: 'b' });
    await c.clock.pass(2 * REPORT_MS);
    const cut = c.workers.get('b1');
    assert.equal(cut?.running().length, 4);
    const its = cut.running();
    // Nobody reaches the machine, and the cloud cannot be asked to return it.
    c.mute.add('b1');
    for (const zone of zones) {
      c.fault(zone, cut.address, 'silent');
      c.fault(zone, 'cloud:1', 'refused');
    }
    c.crash('b');
    await c.clock.pass(LEASE_MS - 2000);
    for (const w of c.workers.values()) if (w.id !== 'b1') for (const t of w.running()) w.finish(t);
    await c.clock.pass(1500);
    for (const task of its) assert.equal(startsOf(task), 1, 'its lease may still run');
    // Past every lease that could run, they start elsewhere.
    await c.clock.pass(CANCEL_MS + LEASE_MS);
    assert.deepEqual(cut.running(), []);
    for (const task of its) assert.equal(startsOf(task), 2);
  });

  it('frees the tasks of a silent machine as soon as the cloud has returned it', async () => {
    c = await cluster();
    await c.submit('a', 'j-32', 4, { sede: 'b' });
    await c.clock.pass(2 * REPORT_MS);
    const [host] = [...c.workers.values()].filter((w) => w.running().length > 0);
    assert.ok(host);
    const its = host.running();
    c.mute.add(host.id);
    for (const zone of zones) c.fault(zone, host.address, 'silent');
    await c.clock.pass(LEASE_MS - 2000);
    assert.ok(c.cloud.returned.includes(host.id));
    // The returned machine counts no more: these are starts on the other one.
    for (const task of its) assert.equal(startsOf(task), 1);
  });

  it('hands a part on when its owner alone cannot reach the machines, and takes it back later', async () => {
    c = await cluster();
    c.addWorker('b3', 'b');
    await c.clock.pass(2 * REPORT_MS);
    await c.submit('a', 'j-60', 12, { sede: 'b' });
    await c.clock.pass(2 * REPORT_MS);
    const before = c.onMachines();
    assert.equal(before.length, 12);
    c.cutWorkers('b');
    for (const id of ['b1', 'b2', 'b3']) c.fault('b', `worker-${id}:1`, 'silent');
    await c.clock.pass(LEASE_MS);
    assert.ok([...c.owned('a'), ...c.owned('c')].includes('b'));
    assert.deepEqual(c.onMachines(), before, 'no lease ran out and nothing was returned');
    assert.deepEqual(c.cloud.returned, []);
    c.cutWorkers(null);
    for (const id of ['b1', 'b2', 'b3']) c.fault('b', `worker-${id}:1`, 'none');
    await c.clock.pass(LEASE_MS);
    assert.deepEqual(c.owned('b'), ['b']);
    assert.equal(await workUntilDone('a', 'j-60'), 'done');
    for (let i = 0; i < 12; i++) assert.equal(startsOf(`j-60/${String(i)}`), 1);
  });

  it('keeps the machines of a part that nobody reaches, and has them at work again when they are back', async () => {
    c = await cluster();
    c.addWorker('b3', 'b');
    await c.clock.pass(2 * REPORT_MS);
    for (const id of ['b1', 'b2', 'b3']) {
      c.mute.add(id);
      for (const zone of zones) c.fault(zone, `worker-${id}:1`, 'silent');
    }
    await c.submit('a', 'j-62', 4, { sede: 'b' });
    // Longer than every lease that could run.
    await c.clock.pass(CANCEL_MS + LEASE_MS);
    assert.deepEqual(c.cloud.returned, []);
    for (const id of ['b1', 'b2', 'b3']) c.mute.delete(id);
    for (const zone of zones) for (const id of ['b1', 'b2', 'b3']) c.fault(zone, `worker-${id}:1`, 'none');
    await c.clock.pass(4 * REPORT_MS);
    assert.deepEqual(c.cloud.returned, []);
    assert.equal(c.onMachines().length, 4);
  });

  it('returns the silent machines of a part at once while others of it are heard', async () => {
    c = await cluster();
    for (const id of ['b3', 'b4']) c.addWorker(id, 'b');
    await c.clock.pass(2 * REPORT_MS);
    for (const id of ['b1', 'b2', 'b3']) {
      c.mute.add(id);
      for (const zone of zones) c.fault(zone, `worker-${id}:1`, 'silent');
    }
    await c.clock.pass(5 * REPORT_MS);
    assert.deepEqual([...c.cloud.returned].sort(), ['b1', 'b2', 'b3']);
    assert.deepEqual(c.owned('b'), ['b']);
  });

  it('does not let one machine that is gone hold up a part that was taken over', async () => {
    c = await cluster();
    for (const id of ['b3', 'b4']) c.addWorker(id, 'b');
    await c.clock.pass(2 * REPORT_MS);
    await c.submit('a', 'j-61', 20, { sede: 'b' });
    await c.clock.pass(2 * REPORT_MS);
    assert.equal(c.onMachines().length, 16, 'four tasks wait');
    // While b1 may hold any task, none of the four can be told from those on it.
    c.mute.add('b1');
    for (const zone of zones) c.fault(zone, 'worker-b1:1', 'silent');
    c.crash('b');
    for (const w of c.workers.values()) if (w.id !== 'b1') for (const t of w.running()) w.finish(t);
    await c.clock.pass(12_000);
    assert.deepEqual(c.cloud.returned, ['b1']);
    assert.equal(c.onMachines().length, 8, 'those that waited and those that were on it');
  });

  it('holds after a crash only what a machine not heard yet may run', async () => {
    c = await cluster();
    const spot = c.addWorker('b3', 'b', true);
    await c.clock.pass(3 * REPORT_MS);
    await c.submit('a', 'j-46', 16, { sede: 'b' });
    await c.submit('a', 'j-47', 16, { sede: 'b', prestiti: true });
    await c.clock.pass(2 * REPORT_MS);
    assert.deepEqual(
      spot.running().filter((task) => task.startsWith('j-46')),
      [],
      'it may not run there',
    );
    c.crash('b');
    c.mute.add('b3');
    for (const zone of zones) c.fault(zone, spot.address, 'silent');
    for (const zone of zones) c.fault(zone, 'cloud:1', 'refused');
    const ownTime = 4 * REPORT_MS;
    await c.clock.pass(ownTime);
    const started = (job: string): number =>
      [...c.workers.values()].flatMap((w) => w.started).filter((s) => s.task.startsWith(job)).length;
    const before = started('j-47');
    for (const id of ['b1', 'b2']) {
      const worker = c.workers.get(id);
      for (const task of worker?.running() ?? []) worker?.finish(task);
    }
    await c.clock.pass(REPORT_MS);
    assert.equal(started('j-46'), 16, 'what may not be on the silent machine went on');
    assert.equal(started('j-47'), before, 'what may be there waits for it');
    await c.clock.pass(LEASE_MS + 4 * REPORT_MS);
    assert.equal(await workUntilDone('a', 'j-47'), 'done');
  });

  it('hands over what runs nowhere: a machine that does not answer the next owner holds none of it up', async () => {
    c = await cluster();
    for (const id of ['b3', 'b4']) c.addWorker(id, 'b');
    await c.clock.pass(2 * REPORT_MS);
    await c.submit('a', 'j-63', 20, { sede: 'b' });
    await c.clock.pass(2 * REPORT_MS);
    c.crash('b');
    await c.clock.pass(10_000);
    assert.equal(c.onMachines().length, 16, 'taken over, four tasks wait');
    const cut = c.workers.get('b1');
    const its = cut?.running() ?? [];
    assert.equal(its.length, 4);
    c.mute.add('b1');
    for (const zone of zones) {
      c.fault(zone, 'worker-b1:1', 'silent');
      c.fault(zone, 'cloud:1', 'refused');
    }
    c.start('b');
    // Ready to own needs the catalogue, which comes from the cloud.
    c.fault('b', 'cloud:1', 'none');
    await c.clock.pass(6000);
    assert.deepEqual(c.owned('b'), ['b']);
    c.fault('b', 'cloud:1', 'refused');
    for (const w of c.workers.values()) if (w.id !== 'b1') for (const t of w.running()) w.finish(t);
    await c.clock.pass(2 * REPORT_MS);
    const elsewhere = c.onMachines().filter((task) => !its.includes(task));
    assert.equal(elsewhere.length, 4, 'those that waited run');
    for (const task of its) assert.equal(startsOf(task), 1, 'those that may be on the machine do not');
  });

  it('asks no machine any more once one has told of a newer owner', async () => {
    c = await cluster();
    c.fault('b', 'state', 'silent');
    await c.clock.pass(14_000);
    assert.ok([...c.owned('a'), ...c.owned('c')].includes('b'));
    assert.ok(c.owned('b').includes('b'), 'its records do not show it');
    const asked = (): number => [...c.workers.values()].reduce((sum, w) => sum + w.commands, 0);
    const before = asked();
    await c.clock.pass(3 * REPORT_MS);
    assert.equal(asked(), before);
  });

  it('starts what waits in the answer to the report that shows room, without a call of its own', async () => {
    c = await cluster();
    await c.submit('a', 'j-64', 9, { sede: 'b' });
    await c.clock.pass(2 * REPORT_MS);
    assert.equal(c.onMachines().length, 8);
    const before = [...c.workers.values()].reduce((sum, w) => sum + w.commands, 0);
    const [first] = c.workers.get('b1')?.running() ?? [];
    c.workers.get('b1')?.finish(first ?? '');
    await c.clock.pass(1.5 * REPORT_MS);
    assert.equal(c.onMachines().length, 8, 'the ninth has started');
    assert.equal(
      [...c.workers.values()].reduce((sum, w) => sum + w.commands, 0),
      before,
    );
  });

  it('has finished tasks forgotten together with the next start, or after a while', async () => {
    c = await cluster();
    await c.submit('a', 'j-65', 8, { sede: 'b' });
    await c.clock.pass(2 * REPORT_MS);
    const b1 = c.workers.get('b1');
    assert.ok(b1);
    for (const task of b1.running()) b1.finish(task);
    await c.clock.pass(6000);
    assert.equal(b1.tasks.length, 4, 'recorded, and kept: forgetting alone would be a report more');
    for (const task of c.workers.get('b2')?.running() ?? []) c.workers.get('b2')?.finish(task);
    await c.submit('a', 'j-66', 8, { sede: 'b' });
    await c.clock.pass(3 * REPORT_MS);
    assert.deepEqual(
      b1.tasks.map((t) => t.stato),
      ['running', 'running', 'running', 'running'],
    );
    for (const task of b1.running()) b1.finish(task);
    await c.clock.pass(FORGET_MS + 3 * REPORT_MS);
    assert.deepEqual(b1.tasks, []);
  });

  it('lets a stale owner’s late transaction fail', async () => {
    c = await cluster();
    await c.submit('a', 'j-33', 2, { sede: 'b' });
    await c.clock.pass(2 * REPORT_MS);
    c.fault('b', 'state', 'held');
    for (const w of c.workers.values()) for (const t of w.running().slice(0, 1)) w.finish(t);
    await c.clock.pass(12_000);
    assert.ok([...c.owned('a'), ...c.owned('c')].includes('b'));
    const before = structuredClone(c.state.read('live/part/b'));
    c.network.deliverHeld();
    await c.clock.pass(1000);
    assert.deepEqual(c.state.read('live/part/b'), before);
    c.fault('b', 'state', 'none');
    assert.equal(await workUntilDone('a', 'j-33'), 'done');
  });

  it('does not let a launch that arrives late start a task again', async () => {
    c = await cluster();
    for (const id of ['b1', 'b2']) c.fault('b', `worker-${id}:1`, 'held');
    await c.submit('a', 'j-34', 3, { sede: 'b' });
    // The direct launch is held; the report's answer brings the same attempt, which runs to its end.
    assert.equal(await workUntilDone('a', 'j-34'), 'done');
    await c.clock.pass(2 * REPORT_MS);
    c.network.deliverHeld();
    await c.clock.pass(REPORT_MS);
    for (let i = 0; i < 3; i++) assert.equal(startsOf(`j-34/${String(i)}`), 1);
    assert.deepEqual(c.onMachines(), []);
  });

  it('stops a task whose launch arrives after its job was withdrawn', async () => {
    c = await cluster();
    for (const id of ['b1', 'b2']) {
      c.fault('b', `worker-${id}:1`, 'held');
      c.mute.add(id);
    }
    await c.submit('a', 'j-35', 2, { sede: 'b' });
    await c.clock.pass(200);
    assert.equal((await c.withdraw('a', 'j-35')).body['stato'], 'aborted');
    c.network.deliverHeld();
    assert.equal(c.onMachines().length, 2, 'the late launches were carried out');
    for (const id of ['b1', 'b2']) c.mute.delete(id);
    await c.clock.pass(4 * REPORT_MS);
    assert.deepEqual(c.onMachines(), []);
  });

  it('has a withdrawn job’s tasks gone in time though their owner is cut off from all but the workers', async () => {
    c = await cluster();
    await c.submit('a', 'j-36', 8, { sede: 'b' });
    await c.clock.pass(2 * REPORT_MS);
    c.fault('b', 'state', 'silent');
    c.cutSiblings('b');
    // Nobody else can command the machines, so only the old owner's silence ends their leases.
    for (const zone of ['a', 'c']) for (const id of ['b1', 'b2']) c.fault(zone, `worker-${id}:1`, 'silent');
    for (const zone of zones) c.fault(zone, 'cloud:1', 'refused');
    await c.clock.pass(200);
    assert.equal((await c.withdraw('a', 'j-36')).body['stato'], 'aborted');
    await c.clock.pass(CANCEL_MS);
    assert.deepEqual(c.onMachines(), []);
  });

  it('keeps a team’s limit through a takeover and a withdrawal', async () => {
    c = await cluster(18);
    const most = (): void =>
      assert.ok(c.onMachines().length * 2 <= 18, `${String(c.onMachines().length)} tasks`);
    await c.submit('a', 'j-37', 20);
    await c.submit('a', 'j-38', 20);
    await c.clock.pass(2 * REPORT_MS);
    assert.equal(c.onMachines().length, 9);
    c.crash('b');
    await c.withdraw('a', 'j-37');
    for (let i = 0; i < 20; i++) {
      await c.clock.pass(500);
      most();
    }
    for (let i = 0; i < 20; i++) {
      for (const w of c.workers.values()) for (const t of w.running().slice(0, 1)) w.finish(t);
      await c.clock.pass(REPORT_MS / 2);
      most();
    }
    assert.equal(await workUntilDone('a', 'j-38'), 'done');
  });

  it('gives a part the share of a limit that the others leave unused', async () => {
    c = await cluster(18);
    await c.submit('a', 'j-39', 12, { sede: 'b' });
    await c.clock.pass(6 * REPORT_MS);
    assert.equal(
      c.onMachines().length,
      8,
      'all that its two machines hold, though its even share is three tasks',
    );
  });

  it('gives share up though what was sent for it never arrived and nobody answers', async () => {
    c = await cluster(18);
    await c.submit('a', 'j-44', 12, { sede: 'b' });
    // Both others give share up within half a second, and what they send for it does not arrive.
    for (const zone of ['a', 'c']) c.fault(zone, 'state', 'silent');
    await c.clock.pass(2500);
    for (const zone of ['a', 'c']) c.fault(zone, 'state', 'none');
    await c.clock.pass(6 * REPORT_MS);
    assert.equal(c.onMachines().length, 8, 'all that its two machines hold');
  });

  it('lends what is too little for any of its own waits where all parts lack some', async () => {
    // Two CPUs of the limit for each part, and a task that needs three.
    c = await cluster(6);
    await c.submit('a', 'j-45', 6, { cores: 3.0 });
    assert.equal(await workUntilDone('a', 'j-45', 60), 'done');
  });

  it('keeps tasks running through an outage in which every controller ends', async () => {
    c = await cluster();
    await c.submit('a', 'j-40', 18);
    await c.clock.pass(2 * REPORT_MS);
    c.state.down = true;
    await c.clock.pass(2000);
    for (const zone of zones) c.crash(zone);
    await c.clock.pass(1000);
    for (const zone of zones) c.start(zone);
    await c.clock.pass(2000);
    c.state.down = false;
    await c.clock.pass(8000);
    assert.equal(c.onMachines().length, 18);
    assert.equal(await workUntilDone('a', 'j-40'), 'done');
    for (let i = 0; i < 18; i++) assert.equal(startsOf(`j-40/${String(i)}`), 1);
  });

  it('returns a machine on which tasks of several jobs fail, and finishes the jobs elsewhere', async () => {
    c = await cluster();
    const sick = c.workers.get('b1');
    assert.ok(sick);
    await c.submit('a', 'j-41', 6, { sede: 'b' });
    await c.submit('a', 'j-42', 6, { sede: 'b' });
    for (let i = 0; i < 40 && c.workers.has('b1'); i++) {
      for (const t of sick.running()) sick.finish(t, 'error');
      await c.clock.pass(REPORT_MS);
    }
    assert.deepEqual(c.cloud.returned, ['b1']);
    assert.equal(await workUntilDone('a', 'j-41'), 'done');
    assert.equal(await workUntilDone('a', 'j-42'), 'done');
  });

  it('returns no machine for a single job that fails everywhere', async () => {
    c = await cluster();
    await c.submit('a', 'j-43', 6);
    for (let i = 0; i < 30; i++) {
      for (const w of c.workers.values()) for (const t of w.running()) w.finish(t, 'error');
      await c.clock.pass(REPORT_MS);
    }
    assert.deepEqual(c.cloud.returned, []);
    const starts = [...c.workers.values()].flatMap((w) => w.started).length;
    assert.ok(starts < 6 * 10, `${String(starts)} starts in a minute: the pauses do not grow`);
  });
});
