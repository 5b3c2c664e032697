import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import type { TransactionFault } from '../src/key-value-store-server.ts';
import { TestCluster } from './test-cluster.ts';

/** One zone in two parts with a single large machine, so that one part has none for a job that needs it. */
async function oneLarge(): Promise<TestCluster> {
  const world = new TestCluster({
    initial: [
      { type: 'small', zone: 'a', spot: false, count: 4 },
      { type: 'large', zone: 'a', spot: false, count: 1 },
    ],
  });
  await world.begin();
  return world;
}

/** Meddles with the first move of the job's tasks: the first change of its record alone after its acceptance. */
function meddle(
  world: TestCluster,
  job: string,
  fate: TransactionFault,
  onSent: (node: number) => void = () => {},
): () => number {
  let moves = -1; // the acceptance comes first
  world.store.transactionFaultFor = (keys, from) => {
    if (keys.length !== 1 || keys[0] !== `live/job/${job}`) return null;
    if (moves++ !== 0) return null;
    onSent(Number(from.name.split('-')[1]));
    return fate;
  };
  return () => moves;
}

/** The tasks given to each part, moves included. */
function given(world: TestCluster, job: string): Map<string, number> {
  const tasks = new Map<string, number>();
  for (const { part, count } of world.slicesOf(job)) tasks.set(part, (tasks.get(part) ?? 0) + count);
  return tasks;
}

const needsLarge = { tasks: 6, cores: 2, types: ['large'] };

describe('waiting tasks', () => {
  it('move from a part without a machine for them to one that has it idle', async () => {
    const world = await oneLarge();
    world.submit(needsLarge, 10);
    await world.run(2);
    assert.equal(given(world, 'j-1').size, 2, 'both parts were given some');
    await world.until('all in one part', () => [...given(world, 'j-1').values()].includes(6), 20);
    await world.until('the rest running', () => world.checker.started === 6, 3);
    await world.run(60);
    world.assertAllDone();
    assert.deepEqual([world.checker.started, world.checker.repeated], [6, 0]);
  });

  for (const [what, fate] of [
    ['carried out, the answer lost', { appliedAfterMs: 0, answered: false }],
    ['never carried out', { appliedAfterMs: null, answered: false }],
    ['carried out late, after it was sent again', { appliedAfterMs: 4000, answered: false }],
  ] as const) {
    it(`move once where the commit has no answer: ${what}`, async () => {
      const world = await oneLarge();
      const moves = meddle(world, 'j-1', fate);
      world.submit(needsLarge, 10);
      await world.run(60);
      assert.ok(moves() >= 1);
      world.assertAllDone();
      assert.deepEqual([world.checker.started, world.checker.repeated], [6, 0]);
    });
  }

  for (const [what, fate] of [
    ['nor is known whether it was carried out', { appliedAfterMs: 0, answered: false }],
    ['and it arrives after the next owner’s takeover', { appliedAfterMs: 12_000, answered: false }],
  ] as const) {
    it(`are not lost where the owner ends when it has given them up and told nobody, ${what}`, async () => {
      const world = await oneLarge();
      meddle(world, 'j-1', fate, (node) => {
        world.time.after(1, () => world.killController(node));
        world.time.after(20_000, () => world.startController(node));
      });
      world.submit(needsLarge, 10);
      await world.run(120);
      world.assertAllDone();
      assert.equal(world.checker.started, 6);
    });
  }

  it('are not lost where the owner they move to ends as the move is carried out', async () => {
    const world = await oneLarge();
    meddle(world, 'j-1', { appliedAfterMs: 0, answered: true }, (node) => {
      world.time.after(1, () => world.killController(1 - node));
      world.time.after(8000, () => world.startController(1 - node));
    });
    world.submit(needsLarge, 10);
    await world.run(150);
    world.assertAllDone();
  });

  it('that are withdrawn while they move start nowhere', async () => {
    const world = await oneLarge();
    meddle(world, 'j-1', { appliedAfterMs: 600, answered: true }, () => {
      world.time.after(100, () => void world.users.cancelIfAccepted('j-1'));
    });
    world.submit(needsLarge, 100);
    await world.run(90);
    assert.deepEqual(world.checker.violations, []);
    assert.equal(world.checker.finalState('j-1'), 'cancelled');
    assert.deepEqual(world.checker.runningTasks('j-1'), []);
  });

  it('that must be together, or apart, move within their zone only', async () => {
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
      const zones = (): Map<string, number> => {
        const tasks = new Map<string, number>();
        for (const [part, count] of given(world, 'j-1')) {
          const zone = part.split('.')[0] ?? '';
          tasks.set(zone, (tasks.get(zone) ?? 0) + count);
        }
        return tasks;
      };
      const before = zones();
      await world.until('moved', () => world.slicesOf('j-1').some((slice) => slice.count === 0), 20);
      assert.deepEqual(zones(), before);
      await world.until('all done', () => work.results.size === 6, 60);
      await world.run(10);
      world.assertAllDone();
    }
  });
});
