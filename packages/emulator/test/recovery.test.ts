import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import type { Host } from '../src/network.ts';
import { HostClock } from '../src/time.ts';
import type { Deployment } from '../src/cluster.ts';
import { LogLines, TestCluster } from './test-cluster.ts';

/** Two zones with two controllers each; what the second zone's machines run is what the stories are about. */
function twoZones(more: ConstructorParameters<typeof TestCluster>[0] = {}): TestCluster {
  const zones = ['a', 'b'];
  // A few machines that fall silent alone are lost; of a dozen, it is the network.
  const initial = zones.map((zone) => ({ type: 'small', zone, spot: false, count: 12 }));
  return new TestCluster({ zones, nodes: ['a', 'a', 'b', 'b'], initial, ...more });
}

const slow = { heartbeatS: 5, leaseS: 31, cancelS: 61 } satisfies Partial<Deployment>;
const inB = { zone: 'b', tasks: 24 };

/** Cuts the zone's machines off from everybody outside the zone, and those in it from the rest. */
const cutZone = (world: TestCluster, zone: string, mode: 'hold' | 'drop'): (() => void) =>
  world.network.startPartition(mode, (x: Host, y: Host) => x.zone === zone && y.zone !== zone);

const token = (world: TestCluster, part: string): number =>
  (world.store.read(`live/part/${part}`) as { token: number }).token;

/** The node that owns the part by the record. */
const owner = (world: TestCluster, part: string): number =>
  Number((world.store.read(`live/part/${part}`) as { owner: string }).owner.split('-')[1]);

describe('recovery', () => {
  it('of a part whose owner alone is cut off from the machines: it moves once, to a node that reaches them', async () => {
    const world = twoZones();
    await world.begin();
    world.submit(inB, 40);
    await world.run(5);
    const first = owner(world, 'b.0');
    const before = token(world, 'b.0');
    const name = `node-${String(first)}`;
    const heal = world.network.startPartition('drop', (x, y) => x.name === name && y.kind === 'worker');
    await world.until('another owner', () => owner(world, 'b.0') !== first, 15);
    await world.run(30);
    assert.equal(token(world, 'b.0'), before + 1);
    heal();
    await world.until('back home', () => owner(world, 'b.0') === first, 10);
    await world.run(60);
    assert.equal(token(world, 'b.0'), before + 2);
    world.assertAllDone();
  });

  it('of a part that nobody reaches: it stays where it is, and works again as soon as it is reached', async () => {
    const world = twoZones({ nodes: ['a', 'a', 'a', 'b'] });
    await world.begin();
    world.submit(inB, 30);
    await world.run(3);
    const parts = ['b.0', 'b.1'];
    // The zone's own controller is cut off with it; whoever takes its parts over hears no machine.
    const heal = cutZone(world, 'b', 'drop');
    await world.until('taken over', () => parts.every((part) => owner(world, part) !== 3), 25);
    const taken = parts.map((part) => token(world, part));
    await world.run(25);
    assert.deepEqual(
      parts.map((part) => token(world, part)),
      taken,
    );
    heal();
    await world.until('tasks run', () => world.checker.runningTasks('j-1').length > 0, 15);
    await world.run(120);
    world.assertAllDone();
    assert.equal(world.cloud.counts.returned, 0, 'machines unheard are not machines lost');
  });

  it('of a zone that is cut off from its owners: none of its machines is taken for lost, though silence comes one by one', async () => {
    const initial = ['a', 'b'].map((zone) => ({ type: 'small', zone, spot: false, count: 40 }));
    const world = twoZones({ ...slow, nodes: ['a', 'a'], initial });
    await world.begin();
    world.submit(inB, 60);
    await world.run(12);
    const heal = cutZone(world, 'b', 'hold');
    await world.run(18);
    heal();
    await world.run(100);
    assert.equal(world.cloud.counts.returned, 0);
    assert.equal(world.lostEpochs, 0, 'what ran goes on');
    world.assertAllDone();
  });

  it('after a takeover while the zone is cut, its packets held and delivered after the next takeover', async () => {
    const world = twoZones(slow);
    await world.begin();
    world.submit(inB, 20);
    await world.run(3);
    const heal = cutZone(world, 'b', 'hold');
    await world.until('taken over', () => owner(world, 'b.0') < 2, 25);
    const second = owner(world, 'b.0');
    world.killController(second);
    await world.until('taken over again', () => owner(world, 'b.0') !== second, 25);
    heal();
    world.startController(second);
    await world.run(150);
    world.assertAllDone();
  });

  it('of a machine that hangs through two takeovers and goes on within its lease', async () => {
    const world = twoZones({ ...slow, nodes: ['a', 'a', 'b'] });
    await world.begin();
    world.submit(inB, 60);
    await world.until('running', () => world.checker.runningTasks('j-1').length === 24, 20);
    const hung = [...world.workers.values()].find((w) => w.machine.zone === 'b');
    assert.ok(hung);
    hung.host.clock.frozenUntil = world.time.now + 25_000;
    const takenFrom: number[] = [];
    for (let times = 0; times < 2; times++) {
      const node = owner(world, 'b.0');
      takenFrom.push(node);
      world.killController(node);
      await world.until('taken over', () => owner(world, 'b.0') !== node, 12);
      world.startController(node);
    }
    await world.run(150);
    world.assertAllDone();
  });

  it('of all controllers, ended while share of a team’s limit is on its way', async () => {
    const world = twoZones({ teams: [{ name: 'red', cores: 8, maxCores: 16 }] });
    await world.begin();
    let ended = 0;
    world.store.transactionFaultFor = (keys) => {
      if (keys[0] !== 'live/quota/red' || ended++ > 0) return null;
      for (let node = 0; node < 4; node++) {
        world.time.after(1, () => world.killController(node));
        world.time.after(3000 + 500 * node, () => world.startController(node));
      }
      return { appliedAfterMs: 2000, answered: false };
    };
    world.submit(inB, 10);
    world.submit({ id: 'j-2', tasks: 12 }, 10);
    await world.run(200);
    assert.ok(ended > 0, 'share was given up');
    world.assertAllDone();
  });

  it('of a controller that stands still right after its transaction was sent, and wakes up as an owner of old', async () => {
    for (const kind of ['live/progress/', 'live/machines/', 'live/job/']) {
      const world = twoZones();
      let stood = 0;
      world.store.transactionFaultFor = (keys, from) => {
        if (!keys.some((key) => key.startsWith(kind)) || world.time.now < 15_000 || stood++ > 0) return null;
        world.freezeController(Number(from.name.split('-')[1]), 37_000);
        return { appliedAfterMs: 500, answered: true };
      };
      await world.begin();
      world.submit(inB, 8);
      world.submit({ id: 'j-2', tasks: 20 }, 8);
      await world.run(40);
      world.submit({ id: 'j-3', tasks: 20 }, 8);
      await world.run(100);
      if (kind !== 'live/machines/') assert.equal(stood > 0, true, kind);
      world.assertAllDone();
    }
  });

  it('of all controllers, ended twice within an outage: how soon they start and hold nothing any more', async (t) => {
    const log = new LogLines();
    const zones = ['a', 'b', 'c'];
    const initial = zones.map((zone) => ({ type: 'small', zone, spot: false, count: 100 }));
    const teams = [{ name: 'red', cores: 8, maxCores: 0 }];
    const world = new TestCluster(
      { ...slow, zones, nodes: ['a', 'b', 'c', 'a', 'b'], initial, teams },
      log.of,
    );
    log.now = () => world.time.now;
    await world.begin();
    for (let i = 0; i < 20; i++) world.submit({ id: `j-${String(i)}`, tasks: 80 }, 20 + i);
    await world.run(6);
    const all = [0, 1, 2, 3, 4];
    world.store.setOutage(true);
    for (const node of all) world.killController(node);
    await world.run(3);
    for (const node of all) world.startController(node);
    await world.run(2);
    for (const node of all) world.killController(node);
    await world.run(3);
    world.store.setOutage(false);
    for (const node of all) {
      world.startController(node);
      await world.run(0.3);
    }
    const backS = world.time.now / 1000;
    await world.run(40);
    const started = log.since(backS, 'first task started');
    const released = log.since(backS, 'all tasks reconciled');
    assert.deepEqual([started.length, released.length], [6, 6], 'every part');
    const last = (times: number[]): number => Math.max(...times) - backS;
    t.diagnostic(`first starts ${String(Math.min(...started) - backS)} s to ${String(last(started))} s`);
    t.diagnostic(`nothing held ${String(Math.min(...released) - backS)} s to ${String(last(released))} s`);
    // A part is taken over when its last owner's lease, which the outage has renewed, is over; then machines report.
    assert.ok(last(released) < 16, `nothing held after ${String(last(released))} s`);
    await world.run(120);
    world.assertAllDone();
    assert.equal(world.lostEpochs, 0);
  });

  it('from an outage that ends while a zone is cut off with packets held', async () => {
    const world = twoZones();
    await world.begin();
    world.submit(inB, 15);
    world.submit({ id: 'j-2', tasks: 20 }, 15);
    await world.run(4);
    world.store.setOutage(true);
    await world.run(8);
    const heal = cutZone(world, 'b', 'hold');
    await world.run(10);
    world.store.setOutage(false);
    await world.run(20);
    heal();
    await world.run(150);
    world.assertAllDone();
  });
});

describe('records of other parts', () => {
  it('are left alone: a node whose settings come to other parts is not ready, takes nothing over and says why', async () => {
    const world = twoZones({ nodes: ['a', 'b'] });
    await world.begin();
    world.submit(inB, 60);
    await world.run(5);
    const before = ['a', 'b'].map((part) => world.store.read(`live/part/${part}`));
    for (const node of [0, 1]) world.killController(node);
    world.deployment.nodes.push('b');
    await world.begin(30);
    assert.deepEqual(
      ['a', 'b'].map((part) => world.store.read(`live/part/${part}`)),
      before,
    );
    assert.equal(world.store.keys('live/part/').length, 2);
    // The emulator takes every logged error for a crash: here it is the line that the operator needs.
    const told = world.checker.violations.map((v) => v.detail);
    assert.equal(told.length, 3);
    for (const line of told)
      assert.match(line, /shard map mismatch: zones, controllers or version changed; no shard is led/);
  });
});

describe('a node of other settings among the rest', () => {
  it('is given no part, though it has a lease at first, and the others go on with theirs', async () => {
    const world = twoZones({ nodes: ['a', 'b'] });
    await world.begin();
    world.submit(inB, 40);
    await world.run(5);
    world.killController(1);
    world.deployment.nodes.push('b');
    world.startController(1);
    // Long enough for a takeover, and for handing the part back to its home.
    await world.run(40);
    assert.equal(owner(world, 'b'), 0);
    assert.deepEqual(world.ledShards(1), []);
    await world.until('done', () => world.checker.finalState('j-1') === 'done', 60);
    assert.equal(world.checker.repeated, 0);
  });
});

describe('while nobody reaches the state service', () => {
  /** What a poll of the job is answered: its state, or the status. */
  async function poll(world: TestCluster, node: number, job: string): Promise<string | number> {
    const from: Host = {
      name: 'user',
      kind: 'users',
      zone: null,
      status: 'up',
      clock: new HostClock(world.time, 0),
    };
    const address = `127.0.0.1:${String(9000 + node)}`;
    const call = { address, method: 'GET' as const, path: `/v1/jobs/${job}`, deadlineMs: 2000 };
    let answer: string | number = 'none';
    void world.network.exchange(from, call).then((reply) => {
      const body = JSON.parse(reply.body) as { stato?: string };
      answer = reply.status === 200 ? (body.stato ?? '') : reply.status;
    });
    await world.run(2);
    return answer;
  }

  async function inOutage(): Promise<TestCluster> {
    const world = twoZones();
    await world.begin();
    world.submit(inB, 30);
    world.submit({ id: 'j-2', tasks: 2 }, 1);
    await world.until('one done', () => world.checker.finalState('j-2') === 'done', 30);
    world.store.setOutage(true);
    await world.run(5);
    return world;
  }

  it('polls are answered if all nodes know the job as open, and what is over stays over', async () => {
    const world = await inOutage();
    assert.equal(await poll(world, 0, 'j-1'), 'running');
    // One of them has told the job's end to its user: it is not told as open by any other node.
    assert.notEqual(await poll(world, 1, 'j-2'), 'running');
    assert.equal(await poll(world, 1, 'j-99'), 503);
  });

  it('polls are not answered while a node is gone that may have told the end, or is back and has read nothing', async () => {
    const world = await inOutage();
    world.killController(2);
    assert.equal(await poll(world, 0, 'j-1'), 503);
    world.startController(2);
    await world.run(5);
    assert.equal(await poll(world, 0, 'j-1'), 503);
    world.store.setOutage(false);
    await world.run(3);
    assert.equal(await poll(world, 0, 'j-1'), 'running');
  });

  it('a sibling that hangs does not hold up what another can answer at once', async () => {
    const world = twoZones();
    await world.begin();
    world.submit(inB, 60);
    await world.run(8);
    world.network.startPartition('drop', (x, y) => x.name === 'node-0' && y.kind === 'state');
    await world.run(5);
    world.freezeController(3, 20_000);
    const askedAt = world.time.now;
    const from: Host = {
      name: 'user',
      kind: 'users',
      zone: null,
      status: 'up',
      clock: new HostClock(world.time, 0),
    };
    const call = {
      address: '127.0.0.1:9000',
      method: 'GET' as const,
      path: '/v1/jobs/j-1',
      deadlineMs: 2000,
    };
    let tookMs = Infinity;
    void world.network.exchange(from, call).then(() => (tookMs = world.time.now - askedAt));
    await world.run(2);
    assert.ok(tookMs < 700, `answered after ${String(tookMs)} ms`);
  });

  it('a node that is cut off alone tells no older state than the others', async () => {
    const world = twoZones();
    await world.begin();
    world.submit({ tasks: 4 }, 12);
    await world.run(8);
    world.network.startPartition('drop', (x, y) => x.name === 'node-0' && y.kind === 'state');
    await world.until('done', () => world.checker.finalState('j-1') === 'done', 40);
    await world.run(1);
    assert.equal(await poll(world, 0, 'j-1'), 'done');
    assert.deepEqual(world.checker.violations, []);
  });
});
