import assert from 'node:assert/strict';
import { afterEach, describe, it } from 'node:test';
import { type Cluster, CANCEL_MS, LEASE_MS, REPORT_MS } from './support/cluster.ts';
import { cluster, startsOf, workUntilDone, zones } from './support/story.ts';

let c: Cluster;

describe('failover and unreachable machines', () => {
  afterEach(() => c.stop());

  it('fails over a crashed node’s shard and keeps its tasks where they are', async () => {
    c = await cluster();
    await c.submit('a', 'j-30', 18);
    await c.clock.pass(2 * REPORT_MS);
    assert.equal(c.onMachines().length, 18);
    c.crash('b');
    await c.clock.pass(10_000);
    assert.ok([...c.led('a'), ...c.led('c')].includes('b'));
    assert.equal(c.onMachines().length, 18);
    assert.equal(await workUntilDone(c, 'a', 'j-30'), 'done');
    for (let i = 0; i < 18; i++) assert.equal(startsOf(c, `j-30/${String(i)}`), 1);
    c.start('b');
    await c.clock.pass(10_000);
    assert.deepEqual(c.led('b'), ['b'], 'handed back to the controller of its zone');
  });

  it('starts no task twice when a machine is unreachable during a failover', async () => {
    c = await cluster();
    await c.submit('a', 'j-31', 8, { sede: 'b' });
    await c.clock.pass(2 * REPORT_MS);
    const cut = c.workers.get('b1');
    assert.equal(cut?.running().length, 4);
    const itsTasks = cut.running();
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
    for (const task of itsTasks) assert.equal(startsOf(c, task), 1, 'the worker lease may still run');
    // Past every lease that could run, they start elsewhere.
    await c.clock.pass(CANCEL_MS + LEASE_MS);
    assert.deepEqual(cut.running(), []);
    for (const task of itsTasks) assert.equal(startsOf(c, task), 2);
  });

  it('reschedules the tasks of an unreachable machine as soon as the cloud has returned it', async () => {
    c = await cluster();
    await c.submit('a', 'j-32', 4, { sede: 'b' });
    await c.clock.pass(2 * REPORT_MS);
    const [host] = [...c.workers.values()].filter((w) => w.running().length > 0);
    assert.ok(host);
    const itsTasks = host.running();
    c.mute.add(host.id);
    for (const zone of zones) c.fault(zone, host.address, 'silent');
    await c.clock.pass(LEASE_MS - 2000);
    assert.ok(c.cloud.returned.includes(host.id));
    // The returned machine is not counted: these are starts on the other one.
    for (const task of itsTasks) assert.equal(startsOf(c, task), 1);
  });

  it('hands a shard over when its leader alone cannot reach the machines, and takes it back later', async () => {
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
    assert.ok([...c.led('a'), ...c.led('c')].includes('b'));
    assert.deepEqual(c.onMachines(), before, 'no lease ran out and nothing was returned');
    assert.deepEqual(c.cloud.returned, []);
    c.cutWorkers(null);
    for (const id of ['b1', 'b2', 'b3']) c.fault('b', `worker-${id}:1`, 'none');
    await c.clock.pass(LEASE_MS);
    assert.deepEqual(c.led('b'), ['b']);
    assert.equal(await workUntilDone(c, 'a', 'j-60'), 'done');
    for (let i = 0; i < 12; i++) assert.equal(startsOf(c, `j-60/${String(i)}`), 1);
  });

  it('keeps the machines of a shard that no controller reaches, and uses them again when they are reachable', async () => {
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

  it('returns the unreachable machines of a shard at once while its other machines send heartbeats', async () => {
    c = await cluster();
    for (const id of ['b3', 'b4']) c.addWorker(id, 'b');
    await c.clock.pass(2 * REPORT_MS);
    for (const id of ['b1', 'b2', 'b3']) {
      c.mute.add(id);
      for (const zone of zones) c.fault(zone, `worker-${id}:1`, 'silent');
    }
    await c.clock.pass(5 * REPORT_MS);
    assert.deepEqual([...c.cloud.returned].sort(), ['b1', 'b2', 'b3']);
    assert.deepEqual(c.led('b'), ['b']);
  });

  it('does not let one lost machine delay a shard after a failover', async () => {
    c = await cluster();
    for (const id of ['b3', 'b4']) c.addWorker(id, 'b');
    await c.clock.pass(2 * REPORT_MS);
    await c.submit('a', 'j-61', 20, { sede: 'b' });
    await c.clock.pass(2 * REPORT_MS);
    assert.equal(c.onMachines().length, 16, 'four tasks are pending');
    // While b1 may run any task, none of the four is known not to run there.
    c.mute.add('b1');
    for (const zone of zones) c.fault(zone, 'worker-b1:1', 'silent');
    c.crash('b');
    for (const w of c.workers.values()) if (w.id !== 'b1') for (const t of w.running()) w.finish(t);
    await c.clock.pass(12_000);
    assert.deepEqual(c.cloud.returned, ['b1']);
    assert.equal(c.onMachines().length, 8, 'the pending ones and those that were on it');
  });

  it('delays after a crash only the tasks that an unreconciled machine may run', async () => {
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
    assert.equal(started('j-46'), 16, 'tasks that cannot be on the unreachable machine were scheduled');
    assert.equal(started('j-47'), before, 'tasks that may be there wait for it');
    await c.clock.pass(LEASE_MS + 4 * REPORT_MS);
    assert.equal(await workUntilDone(c, 'a', 'j-47'), 'done');
  });

  it('hands over which tasks are not running, so that an unreachable machine delays none of them', async () => {
    c = await cluster();
    for (const id of ['b3', 'b4']) c.addWorker(id, 'b');
    await c.clock.pass(2 * REPORT_MS);
    await c.submit('a', 'j-63', 20, { sede: 'b' });
    await c.clock.pass(2 * REPORT_MS);
    c.crash('b');
    await c.clock.pass(10_000);
    assert.equal(c.onMachines().length, 16, 'failed over, four tasks are pending');
    const cut = c.workers.get('b1');
    const itsTasks = cut?.running() ?? [];
    assert.equal(itsTasks.length, 4);
    c.mute.add('b1');
    for (const zone of zones) {
      c.fault(zone, 'worker-b1:1', 'silent');
      c.fault(zone, 'cloud:1', 'refused');
    }
    c.start('b');
    // A controller can lead only with the catalogue, which comes from the cloud.
    c.fault('b', 'cloud:1', 'none');
    await c.clock.pass(6000);
    assert.deepEqual(c.led('b'), ['b']);
    c.fault('b', 'cloud:1', 'refused');
    for (const w of c.workers.values()) if (w.id !== 'b1') for (const t of w.running()) w.finish(t);
    await c.clock.pass(2 * REPORT_MS);
    const elsewhere = c.onMachines().filter((task) => !itsTasks.includes(task));
    assert.equal(elsewhere.length, 4, 'the pending ones run');
    for (const task of itsTasks)
      assert.equal(startsOf(c, task), 1, 'those that may be on the machine do not');
  });

  it('calls no machine any more once one has reported a newer leader', async () => {
    c = await cluster();
    c.fault('b', 'state', 'silent');
    await c.clock.pass(14_000);
    assert.ok([...c.led('a'), ...c.led('c')].includes('b'));
    assert.ok(c.led('b').includes('b'), 'its records do not show it');
    const asked = (): number => [...c.workers.values()].reduce((sum, w) => sum + w.commands, 0);
    const before = asked();
    await c.clock.pass(3 * REPORT_MS);
    assert.equal(asked(), before);
  });

  it('rejects the late transaction of a stale leader', async () => {
    c = await cluster();
    await c.submit('a', 'j-33', 2, { sede: 'b' });
    await c.clock.pass(2 * REPORT_MS);
    c.fault('b', 'state', 'held');
    for (const w of c.workers.values()) for (const t of w.running().slice(0, 1)) w.finish(t);
    await c.clock.pass(12_000);
    assert.ok([...c.led('a'), ...c.led('c')].includes('b'));
    const before = structuredClone(c.state.read('live/part/b'));
    c.network.deliverHeld();
    await c.clock.pass(1000);
    assert.deepEqual(c.state.read('live/part/b'), before);
    c.fault('b', 'state', 'none');
    assert.equal(await workUntilDone(c, 'a', 'j-33'), 'done');
  });

  it('keeps tasks running during an outage in which every controller crashes', async () => {
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
    assert.equal(await workUntilDone(c, 'a', 'j-40'), 'done');
    for (let i = 0; i < 18; i++) assert.equal(startsOf(c, `j-40/${String(i)}`), 1);
  });
});
