import assert from 'node:assert/strict';
import { afterEach, describe, it } from 'node:test';
import { FORGET_DELAY_MS } from '../src/constants.ts';
import { type Cluster, CANCEL_MS, REPORT_MS } from './support/cluster.ts';
import { cluster, startsOf, workUntilDone, zones } from './support/story.ts';

let c: Cluster;

describe('worker commands, quotas and machines on which tasks fail', () => {
  afterEach(() => c.stop());

  it('starts pending tasks in the reply to the heartbeat that shows free capacity, without a call of its own', async () => {
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

  it('sends the forget command for finished tasks with the next launch, or after a delay', async () => {
    c = await cluster();
    await c.submit('a', 'j-65', 8, { sede: 'b' });
    await c.clock.pass(2 * REPORT_MS);
    const b1 = c.workers.get('b1');
    assert.ok(b1);
    for (const task of b1.running()) b1.finish(task);
    await c.clock.pass(6000);
    assert.equal(
      b1.tasks.length,
      4,
      'recorded and not forgotten yet: forgetting alone would cost a heartbeat more',
    );
    for (const task of c.workers.get('b2')?.running() ?? []) c.workers.get('b2')?.finish(task);
    await c.submit('a', 'j-66', 8, { sede: 'b' });
    await c.clock.pass(3 * REPORT_MS);
    assert.deepEqual(
      b1.tasks.map((t) => t.stato),
      ['running', 'running', 'running', 'running'],
    );
    for (const task of b1.running()) b1.finish(task);
    await c.clock.pass(FORGET_DELAY_MS + 3 * REPORT_MS);
    assert.deepEqual(b1.tasks, []);
  });

  it('does not start a task again when a delayed launch arrives', async () => {
    c = await cluster();
    for (const id of ['b1', 'b2']) c.fault('b', `worker-${id}:1`, 'held');
    await c.submit('a', 'j-34', 3, { sede: 'b' });
    // The direct launch is delayed; the heartbeat's reply brings the same attempt, which runs to its end.
    assert.equal(await workUntilDone(c, 'a', 'j-34'), 'done');
    await c.clock.pass(2 * REPORT_MS);
    c.network.deliverHeld();
    await c.clock.pass(REPORT_MS);
    for (let i = 0; i < 3; i++) assert.equal(startsOf(c, `j-34/${String(i)}`), 1);
    assert.deepEqual(c.onMachines(), []);
  });

  it('stops a task whose launch arrives after its job was cancelled', async () => {
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

  it('ends the tasks of a cancelled job in time though their leader reaches nobody but the workers', async () => {
    c = await cluster();
    await c.submit('a', 'j-36', 8, { sede: 'b' });
    await c.clock.pass(2 * REPORT_MS);
    c.fault('b', 'state', 'silent');
    c.cutPeers('b');
    // Nobody else can command the machines, so only the old leader's silence ends their leases.
    for (const zone of ['a', 'c']) for (const id of ['b1', 'b2']) c.fault(zone, `worker-${id}:1`, 'silent');
    for (const zone of zones) c.fault(zone, 'cloud:1', 'refused');
    await c.clock.pass(200);
    assert.equal((await c.withdraw('a', 'j-36')).body['stato'], 'aborted');
    await c.clock.pass(CANCEL_MS);
    assert.deepEqual(c.onMachines(), []);
  });

  it('keeps a team’s quota during a failover and a cancellation', async () => {
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
    assert.equal(await workUntilDone(c, 'a', 'j-38'), 'done');
  });

  it('gives a shard the quota that the others leave unused', async () => {
    c = await cluster(18);
    await c.submit('a', 'j-39', 12, { sede: 'b' });
    await c.clock.pass(6 * REPORT_MS);
    assert.equal(
      c.onMachines().length,
      8,
      'all that its two machines have room for, though its even share of the quota is three tasks',
    );
  });

  it('gives quota away after the transactions for it were lost without an answer', async () => {
    c = await cluster(18);
    await c.submit('a', 'j-44', 12, { sede: 'b' });
    // Both others give quota away within half a second, and their transactions for it do not arrive.
    for (const zone of ['a', 'c']) c.fault(zone, 'state', 'silent');
    await c.clock.pass(2500);
    for (const zone of ['a', 'c']) c.fault(zone, 'state', 'none');
    await c.clock.pass(6 * REPORT_MS);
    assert.equal(c.onMachines().length, 8, 'all that its two machines have room for');
  });

  it('lends quota that is too little for any pending task of its own when all shards lack some', async () => {
    // Two CPUs of the quota for each shard, and tasks that need three.
    c = await cluster(6);
    await c.submit('a', 'j-45', 6, { cores: 3.0 });
    assert.equal(await workUntilDone(c, 'a', 'j-45', 60), 'done');
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
    assert.equal(await workUntilDone(c, 'a', 'j-41'), 'done');
    assert.equal(await workUntilDone(c, 'a', 'j-42'), 'done');
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
    assert.ok(starts < 6 * 10, `${String(starts)} starts in a minute: the backoff does not grow`);
  });
});
