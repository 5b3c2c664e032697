import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { newWork } from '../src/workload.ts';
import { LogLines, plainJob, smallMachines, TestCluster } from './test-cluster.ts';

/** One zone, two controllers, a dozen machines of eight CPUs. */
function twelveMachines(
  more: ConstructorParameters<typeof TestCluster>[0] = {},
  lines?: LogLines,
): TestCluster {
  const initial = [smallMachines(12)];
  const world = new TestCluster({ initial, ...more }, lines?.of);
  if (lines) lines.now = () => world.time.now;
  return world;
}

/** Submits a broken job: its tasks fail on every machine, until its user cancels it. */
function submitBroken(world: TestCluster, id: string, tasks: number, cancelInS: number): void {
  const work = newWork({ ...plainJob, id, tasks }, () => 5, true);
  world.workload.set(id, work);
  const atS = world.time.now / 1000;
  world.users.begin(work, { atS, cancelAtS: atS + cancelInS, resubmitAtS: null });
}

const countFailedTasks = (lines: LogLines, job: string, fromS: number, toS: number): number =>
  lines.lines.filter(
    (l) =>
      l.message === 'task failed' &&
      l.atS >= fromS &&
      l.atS < toS &&
      (l.fields as { task: string }).task.startsWith(`${job}/`),
  ).length;

describe('a job that fails on every machine', () => {
  it('cordons no machine, delays no other job, and is retried with growing backoff', async () => {
    const lines = new LogLines();
    const world = twelveMachines({}, lines);
    await world.begin();
    const t = world.time.now / 1000;
    for (const id of ['j-10', 'j-11', 'j-12']) submitBroken(world, id, 40, 100);
    world.submit({ id: 'j-1', tasks: 48 }, 10);
    await world.run(45);
    assert.equal(world.checker.finalState('j-1'), 'done', 'the healthy job is not delayed');
    await world.run(90);
    assert.deepEqual(lines.since(t, 'machine cordoned'), []);
    assert.equal(world.cloud.counts.returned, 0);
    const early = countFailedTasks(lines, 'j-10', t, t + 20);
    const late = countFailedTasks(lines, 'j-10', t + 60, t + 100);
    assert.ok(
      early <= 3 * 40 && late <= 6,
      `${String(early)} attempts in 20 s, ${String(late)} in 40 s later`,
    );
    assert.ok(late > 0, 'an accepted job is still retried');
    assert.equal(world.checker.finalState('j-10'), 'cancelled');
    assert.deepEqual(world.checker.violations, []);
  });

  it('is distinguished from faulty machines: only these are cordoned, and no healthy job is delayed', async () => {
    const lines = new LogLines();
    const world = twelveMachines({}, lines);
    await world.begin();
    const t = world.time.now / 1000;
    const faultyWorkers = [...world.workers.values()].slice(0, 3);
    for (const worker of faultyWorkers) worker.failsAllTasks = true;
    submitBroken(world, 'j-10', 20, 80);
    for (let n = 1; n <= 6; n++) {
      world.submit({ id: `j-${String(n)}`, tasks: 16 }, 8);
      await world.run(4);
    }
    await world.run(60);
    for (let n = 1; n <= 6; n++)
      assert.equal(world.checker.finalState(`j-${String(n)}`), 'done', `j-${String(n)}`);
    const cordoned = lines.lines
      .filter((l) => l.atS >= t && l.message === 'machine cordoned')
      .map((l) => (l.fields as { machine: string }).machine);
    assert.deepEqual(new Set(cordoned), new Set(faultyWorkers.map((worker) => worker.id)));
    await world.run(60);
    assert.deepEqual(world.checker.violations, []);
  });

  it('is still recognized after a failover, and is cancelled in time after it', async () => {
    const lines = new LogLines();
    const world = twelveMachines({}, lines);
    await world.begin();
    submitBroken(world, 'j-10', 60, 60);
    await world.run(20);
    world.killController(0);
    const t = world.time.now / 1000;
    await world.run(25);
    const tries = countFailedTasks(lines, 'j-10', t, t + 25);
    assert.ok(tries <= 8, `${String(tries)} attempts in the 25 s after the failover`);
    world.startController(0);
    await world.run(60);
    assert.equal(world.checker.finalState('j-10'), 'cancelled');
    assert.deepEqual(world.checker.runningTasks('j-10'), []);
    assert.deepEqual(world.checker.violations, []);
  });

  it('does not include a job with earlier results, even if almost all machines fail every task later', async () => {
    const lines = new LogLines();
    const world = twelveMachines({}, lines);
    await world.begin();
    world.submit({ id: 'j-1', tasks: 200 }, 6);
    await world.run(10);
    const faultyWorkers = [...world.workers.values()].slice(0, 11);
    for (const worker of faultyWorkers) worker.failsAllTasks = true;
    await world.run(20);
    assert.ok(lines.since(0, 'machine cordoned').length >= 3);
    world.cloud.hasOutage = true; // the last healthy machine has to suffice
    await world.run(300);
    world.assertAllDone();
  });
});
