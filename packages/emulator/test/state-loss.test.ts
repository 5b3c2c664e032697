import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import type { Loss } from '../src/losses.ts';
import type { Deployment } from '../src/cluster.ts';
import { LogLines, World } from './world.ts';

const all: Loss = { of: 'all', revisions: 'back', leases: true };
const copy = (ageS: number, more: Partial<Loss> = {}): Loss =>
  ({ of: 'copy', ageS, revisions: 'back', leases: true, ...more }) as Loss;

/** Three zones and five controllers under a job a second; machines enough that some may fail. */
async function busy(seconds: number, more: Partial<Deployment> = {}, log?: LogLines): Promise<World> {
  const zones = ['a', 'b', 'c'];
  const world = new World(
    {
      zones,
      nodes: ['a', 'b', 'c', 'a', 'b'],
      initial: zones.flatMap((zone) => [
        { type: 'small', zone, spot: false, count: 12 },
        { type: 'large', zone, spot: true, count: 8 },
      ]),
      teams: [{ name: 'red', cores: 8, maxCores: 400 }],
      ...more,
    },
    log?.of,
  );
  if (log) log.now = () => world.time.now;
  world.state.keepCopies();
  await world.begin();
  for (let n = 0; n < seconds; n++) {
    world.submit(
      { id: `j-${String(n)}`, tasks: 3 + (n % 17), cores: 1 + (n % 3), spot: n % 2 === 0 },
      4 + (n % 9),
    );
    await world.run(1);
  }
  return world;
}

const epochs = (world: World): string => (world.state.read('live/epoch') as { id: string }).id;

describe('a state service that has lost', () => {
  for (const [what, loss] of [
    ['all', all],
    ['what came after a copy 20 s old', copy(20)],
    ['what came after a copy, its revisions beyond those told', copy(20, { revisions: 'beyond' })],
    ['the states of all jobs', { of: 'prefix', prefix: 'job/', revisions: 'on', leases: false }],
    ['the records of machines', { of: 'prefix', prefix: 'live/machines/', revisions: 'on', leases: false }],
    ['single keys', { of: 'keys', count: 3, revisions: 'on', leases: false }],
  ] as [string, Loss][]) {
    it(`${what}: machines die and hang meanwhile, and every job ends once`, async () => {
      const world = await busy(25);
      const before = epochs(world);
      const machines = [...world.workers.values()];
      for (const w of machines.slice(0, 3)) world.cloud.die(w.id);
      for (const w of machines.slice(3, 8)) w.host.clock.frozenUntil = world.time.now + 12_000;
      world.state.lose(loss);
      await world.until(
        'a new epoch',
        () => world.state.read('live/epoch') !== undefined && epochs(world) !== before,
        15,
      );
      await world.until(
        'serving',
        () => (world.state.read('live/epoch') as { phase: string }).phase === 'serving',
        15,
      );
      world.submit({ id: 'j-900', tasks: 4 });
      await world.run(200);
      world.assertAllDone();
    });
  }

  it('all, seen by no answer before a poll: nobody is told 404', async () => {
    const world = await busy(10);
    world.state.lose(all);
    // Asked in the same instant, before any follow can show it.
    const told: number[] = [];
    for (const id of ['j-0', 'j-5', 'j-9'])
      void world.users.askUnknown(id).then((status) => told.push(status));
    await world.run(3);
    assert.equal(told.length, 3);
    assert.ok(!told.includes(404), told.join(' '));
    await world.run(120);
    world.assertAllDone();
  });

  it('all, and the controllers end at every step of the rebuild, one after the other', async () => {
    for (const afterMs of [200, 800, 1600, 2400, 3500]) {
      const world = await busy(12);
      world.state.lose(all);
      world.time.after(afterMs, () => world.end(0));
      world.time.after(afterMs + 300, () => world.end(3));
      world.time.after(afterMs + 7000, () => [0, 3].forEach((n) => world.start(n)));
      await world.run(260);
      world.assertAllDone();
    }
  });

  it('all, and once more while it is being rebuilt', async () => {
    for (const afterMs of [500, 1500, 2500, 4000]) {
      const world = await busy(12);
      world.state.lose(all);
      world.time.after(afterMs, () => world.state.lose(all));
      await world.run(220);
      world.assertAllDone();
    }
  });

  it('all while a controller stands still: as an owner of old it starts nothing, and what it knows joins', async () => {
    const log = new LogLines();
    const world = await busy(12, {}, log);
    world.freeze(1, 40_000);
    await world.run(1);
    world.state.lose(all);
    await world.run(20);
    const opened = log.lines
      .filter((l) => l.message === 'epoch opened')
      .map((l) => l.fields as { whole: boolean });
    assert.deepEqual(
      opened.map((o) => o.whole),
      [false],
      'one has not said what it knows',
    );
    await world.run(240);
    world.assertAllDone();
  });

  it('a copy back while a withdrawal was told just before: the job stays cancelled', async () => {
    const world = await busy(8);
    world.submit({ id: 'j-800', tasks: 40, cores: 2 }, 60);
    await world.run(5);
    void world.users.cancelIfAccepted('j-800');
    await world.until('told', () => world.judge.finalState('j-800') === 'cancelled', 5);
    world.state.lose(copy(3));
    await world.run(120);
    assert.deepEqual(world.judge.violations, []);
    assert.deepEqual(world.judge.running('j-800'), []);
  });

  it('nothing: an outage of half a minute is no loss', async () => {
    const world = await busy(8);
    const before = epochs(world);
    world.state.setOutage(true);
    await world.run(30);
    world.state.setOutage(false);
    await world.run(60);
    assert.equal(epochs(world), before);
    world.assertAllDone();
  });

  it('what came after a copy, with all controllers ended: what machines run is not begun a second time', async () => {
    const world = await busy(20);
    world.submit({ id: 'j-700', tasks: 30, cores: 2 }, 90);
    await world.run(6);
    assert.ok(world.judge.running('j-700').length > 0);
    [0, 1, 2, 3, 4].forEach((n) => world.end(n));
    world.lose(copy(12));
    world.time.after(5000, () => [0, 1, 2, 3, 4].forEach((n) => world.start(n)));
    await world.run(300);
    // Whoever accepted it has ended, and the copy does not have it: its user has to be told something, and no rule else.
    assert.deepEqual(world.judge.violations, []);
    assert.ok(world.judge.isLost('j-700'));
  });

  it('a late transaction of the epoch before is not carried out, whatever versions are alike', async () => {
    const world = await busy(6);
    const late: string[] = [];
    world.state.fate = (keys) => {
      if (late.length > 0 || keys[0] !== 'job/j-600') return null;
      late.push(...keys);
      return { appliedAfterMs: 25_000, answered: false };
    };
    world.submit({ id: 'j-600', tasks: 4 });
    await world.until('sent', () => late.length > 0, 5);
    world.state.fate = null;
    world.state.lose(all);
    await world.run(120);
    world.assertAllDone();
  });
});
