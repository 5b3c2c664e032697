import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import type { TransactionFault } from '../src/key-value-store-server.ts';
import { TestCluster } from './test-cluster.ts';

/** One zone with two shards and one large machine, so that one shard has no machine for jobs that need it. */
async function startWithOneLargeMachine(): Promise<TestCluster> {
  const world = new TestCluster({
    initial: [
      { type: 'small', zone: 'a', spot: false, count: 4 },
      { type: 'large', zone: 'a', spot: false, count: 1 },
    ],
  });
  await world.begin();
  return world;
}

/**
 * Injects the fault into the first migration of the job's tasks: the first transaction after the job's
 * acceptance that writes only the job's record. Calls `onSent` with the node that sent it. Returns a function
 * that gives the number of such transactions so far, retries included.
 */
function failFirstMigration(
  world: TestCluster,
  job: string,
  fault: TransactionFault,
  onSent: (node: number) => void = () => {},
): () => number {
  let migrations = -1; // the first transaction is the acceptance
  world.store.transactionFaultFor = (keys, from) => {
    if (keys.length !== 1 || keys[0] !== `live/job/${job}`) return null;
    if (migrations++ !== 0) return null;
    onSent(Number(from.name.split('-')[1]));
    return fault;
  };
  return () => migrations;
}

/** The number of the job's tasks in each shard, summed over the job's slices there. */
function tasksByShard(world: TestCluster, job: string): Map<string, number> {
  const tasks = new Map<string, number>();
  for (const { part, count } of world.slicesOf(job)) tasks.set(part, (tasks.get(part) ?? 0) + count);
  return tasks;
}

const needsLarge = { tasks: 6, cores: 2, types: ['large'] };

describe('pending tasks', () => {
  it('migrate from a shard without a machine that fits to a shard where one is idle', async () => {
    const world = await startWithOneLargeMachine();
    world.submit(needsLarge, 10);
    await world.run(2);
    assert.equal(tasksByShard(world, 'j-1').size, 2, 'both shards have some');
    await world.until('all in one shard', () => [...tasksByShard(world, 'j-1').values()].includes(6), 20);
    await world.until('all started', () => world.checker.started === 6, 3);
    await world.run(60);
    world.assertAllDone();
    assert.deepEqual([world.checker.started, world.checker.repeated], [6, 0]);
  });

  for (const [what, fault] of [
    ['applied, the answer lost', { appliedAfterMs: 0, answered: false }],
    ['never applied', { appliedAfterMs: null, answered: false }],
    ['applied late, after the retry', { appliedAfterMs: 4000, answered: false }],
  ] as const) {
    it(`migrate once when the transaction gets no answer: ${what}`, async () => {
      const world = await startWithOneLargeMachine();
      const migrations = failFirstMigration(world, 'j-1', fault);
      world.submit(needsLarge, 10);
      await world.run(60);
      assert.ok(migrations() >= 1);
      world.assertAllDone();
      assert.deepEqual([world.checker.started, world.checker.repeated], [6, 0]);
    });
  }

  for (const [what, fault] of [
    ['and the transaction is applied without an answer', { appliedAfterMs: 0, answered: false }],
    ['and the transaction is applied after the failover', { appliedAfterMs: 12_000, answered: false }],
  ] as const) {
    it(`are not lost when the leader is killed after sending the migration, ${what}`, async () => {
      const world = await startWithOneLargeMachine();
      failFirstMigration(world, 'j-1', fault, (node) => {
        world.time.after(1, () => world.killController(node));
        world.time.after(20_000, () => world.startController(node));
      });
      world.submit(needsLarge, 10);
      await world.run(120);
      world.assertAllDone();
      assert.equal(world.checker.started, 6);
    });
  }

  it('are not lost when the target leader is killed as the migration is applied', async () => {
    const world = await startWithOneLargeMachine();
    failFirstMigration(world, 'j-1', { appliedAfterMs: 0, answered: true }, (node) => {
      world.time.after(1, () => world.killController(1 - node));
      world.time.after(8000, () => world.startController(1 - node));
    });
    world.submit(needsLarge, 10);
    await world.run(150);
    world.assertAllDone();
  });

  it('of a job cancelled during the migration start in no shard', async () => {
    const world = await startWithOneLargeMachine();
    failFirstMigration(world, 'j-1', { appliedAfterMs: 600, answered: true }, () => {
      world.time.after(100, () => void world.users.cancelIfAccepted('j-1'));
    });
    world.submit(needsLarge, 100);
    await world.run(90);
    assert.deepEqual(world.checker.violations, []);
    assert.equal(world.checker.finalState('j-1'), 'cancelled');
    assert.deepEqual(world.checker.runningTasks('j-1'), []);
  });

  it('of a job with oneZone or spread migrate only within their zone', async () => {
    for (const rule of [{ oneZone: true }, { spread: true }]) {
      const world = new TestCluster({
        zones: ['a', 'b'],
        nodes: ['a', 'a', 'b', 'b'],
        initial: ['a', 'b'].flatMap((zone) => [
          { type: 'small', zone, spot: false, count: 4 },
          { type: 'large', zone, spot: false, count: 1 },
        ]),
      });
      await world.begin();
      const work = world.submit({ ...needsLarge, ...rule }, 10);
      await world.run(2);
      const tasksByZone = (): Map<string, number> => {
        const tasks = new Map<string, number>();
        for (const [shard, count] of tasksByShard(world, 'j-1')) {
          const zone = shard.split('.')[0] ?? '';
          tasks.set(zone, (tasks.get(zone) ?? 0) + count);
        }
        return tasks;
      };
      const before = tasksByZone();
      await world.until('migrated', () => world.slicesOf('j-1').some((slice) => slice.count === 0), 20);
      assert.deepEqual(tasksByZone(), before);
      await world.until('all done', () => work.results.size === 6, 60);
      await world.run(10);
      world.assertAllDone();
    }
  });
});
