import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { newWork } from '../src/workload.ts';
import { LogLines, plainJob, TestCluster } from './test-cluster.ts';

/** One zone, two controllers, a dozen machines of eight CPUs. */
function dozen(more: ConstructorParameters<typeof TestCluster>[0] = {}, lines?: LogLines): TestCluster {
  const initial = [{ type: 'small', zone: 'a', spot: false, count: 12 }];
  const world = new TestCluster({ initial, ...more }, lines?.of);
  if (lines) lines.now = () => world.time.now;
  return world;
}

/** Submits a job with a mistake: its tasks fail wherever they run, until its user cancels it. */
function submitBroken(world: TestCluster, id: string, tasks: number, cancelInS: number): void {
  const work = newWork({ ...plainJob, id, tasks }, () => 5, true);
  world.workload.set(id, work);
  const atS = world.time.now / 1000;
  world.users.begin(work, { atS, cancelAtS: atS + cancelInS, againAtS: null });
}

const launches = (lines: LogLines, job: string, fromS: number, toS: number): number =>
  lines.lines.filter(
    (l) =>
      l.message === 'task failed' &&
      l.atS >= fromS &&
      l.atS < toS &&
      (l.fields as { task: string }).task.startsWith(`${job}/`),
  ).length;

describe('a job that fails wherever it runs', () => {
  it('costs no machine, holds nobody up, and is tried on less and less often', async () => {
    const lines = new LogLines();
    const world = dozen({}, lines);
    await world.begin();
    const t = world.time.now / 1000;
    for (const id of ['j-10', 'j-11', 'j-12']) submitBroken(world, id, 40, 100);
    world.submit({ id: 'j-1', tasks: 48 }, 10);
    await world.run(45);
    assert.equal(world.checker.finalState('j-1'), 'done', 'the healthy job runs as if it were alone');
    await world.run(90);
    assert.deepEqual(lines.since(t, 'machine cordoned'), []);
    assert.equal(world.cloud.counts.returned, 0);
    const early = launches(lines, 'j-10', t, t + 20);
    const late = launches(lines, 'j-10', t + 60, t + 100);
    assert.ok(early <= 3 * 40 && late <= 6, `${String(early)} tries in 20 s, ${String(late)} in 40 s later`);
    assert.ok(late > 0, 'it is an accepted job, and goes on being tried');
    assert.equal(world.checker.finalState('j-10'), 'cancelled');
    assert.deepEqual(world.checker.violations, []);
  });

  it('is told apart from machines that fail everything: those are returned, and no job is held back', async () => {
    const lines = new LogLines();
    const world = dozen({}, lines);
    await world.begin();
    const t = world.time.now / 1000;
    const sick = [...world.workers.values()].slice(0, 3);
    for (const worker of sick) worker.failsAllTasks = true;
    submitBroken(world, 'j-10', 20, 80);
    for (let n = 1; n <= 6; n++) {
      world.submit({ id: `j-${String(n)}`, tasks: 16 }, 8);
      await world.run(4);
    }
    await world.run(60);
    for (let n = 1; n <= 6; n++)
      assert.equal(world.checker.finalState(`j-${String(n)}`), 'done', `j-${String(n)}`);
    const drained = lines.lines
      .filter((l) => l.atS >= t && l.message === 'machine cordoned')
      .map((l) => (l.fields as { machine: string }).machine);
    assert.deepEqual(new Set(drained), new Set(sick.map((worker) => worker.id)));
    await world.run(60);
    assert.deepEqual(world.checker.violations, []);
  });

  it('is known as such after a takeover too, and cancelled in time while its owner is gone', async () => {
    const lines = new LogLines();
    const world = dozen({}, lines);
    await world.begin();
    submitBroken(world, 'j-10', 60, 60);
    await world.run(20);
    world.killController(0);
    const t = world.time.now / 1000;
    await world.run(25);
    const tries = launches(lines, 'j-10', t, t + 25);
    assert.ok(tries <= 8, `${String(tries)} tries in the 25 s after the takeover`);
    world.startController(0);
    await world.run(60);
    assert.equal(world.checker.finalState('j-10'), 'cancelled');
    assert.deepEqual(world.checker.runningTasks('j-10'), []);
    assert.deepEqual(world.checker.violations, []);
  });

  it('is none that has had results, though machines that fail everything are all it meets later', async () => {
    const lines = new LogLines();
    const world = dozen({}, lines);
    await world.begin();
    world.submit({ id: 'j-1', tasks: 200 }, 6);
    await world.run(10);
    const sick = [...world.workers.values()].slice(0, 11);
    for (const worker of sick) worker.failsAllTasks = true;
    await world.run(20);
    assert.ok(lines.since(0, 'machine cordoned').length >= 3);
    world.cloud.hasOutage = true; // the last sound machine has to do
    await world.run(300);
    world.assertAllDone();
  });
});
