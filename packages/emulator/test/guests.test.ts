import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import type { Deployment } from '../src/cluster.ts';
import { LogLines, TestCluster } from './test-cluster.ts';

/** Half of a fleet's controllers on the slower of its two paces: 50 changes a second in all. */
const shared = {
  zones: ['a', 'b'],
  nodes: ['a', 'a', 'b', 'b'],
  initial: ['a', 'b'].map((zone) => ({ type: 'large', zone, spot: false, count: 16 })),
  teams: [
    { name: 'red', cores: 100, maxCores: 400 },
    { name: 'guests', cores: 0, maxCores: 0 },
  ],
  heartbeatS: 5,
  leaseS: 31,
  cancelS: 61,
  store: { rps: 250, writeRps: 50, valueKb: 8, txnOps: 40 },
} satisfies Partial<Deployment>;
const guest = { team: 'guests', class: 'guest', priority: 3, cores: 0.25, ramGb: 0.5, spot: true };

describe('a guest team without a guarantee or a limit', () => {
  it('submits a swarm of single-task jobs: all is accepted in time, and the others’ jobs end as ever', async () => {
    const world = new TestCluster(shared);
    await world.begin();
    for (let n = 0; n < 500; n++) {
      world.submit({ ...guest, id: `j-${String(1000 + n)}`, tasks: 1 }, 10);
      if (n % 40 === 0) world.submit({ id: `j-${String(n + 1)}`, tasks: 16 }, 8);
      if (n === 250) world.killController(1);
      if (n === 370) world.startController(1);
      await world.run(0.05);
    }
    await world.run(90);
    world.assertAllDone();
    const { quick, submitted } = world.users.counts;
    assert.ok(
      quick >= 0.98 * submitted,
      `${String(quick)} of ${String(submitted)} accepted within half a second`,
    );
    const took = world.users.tookMs.get('short') ?? [];
    assert.ok(Math.max(...took) < 30_000, `the others took ${Math.max(...took).toFixed(0)} ms`);
    // One change to accept, two to end, and few for what is recorded between.
    assert.ok(world.store.counts.changes < 513 * 5, `${String(world.store.counts.changes)} changes`);
  });

  it('submits one array of thousands of tasks: it is done through a takeover, and holds nobody up', async () => {
    const world = new TestCluster(shared);
    await world.begin();
    world.submit({ ...guest, id: 'j-1', tasks: 4000 }, 4);
    for (let n = 0; n < 10; n++) {
      world.submit({ id: `j-${String(n + 10)}`, tasks: 24 }, 8);
      if (n === 3) world.killController(0);
      if (n === 7) world.startController(0);
      await world.run(3);
    }
    await world.run(90);
    world.assertAllDone();
    const took = world.users.tookMs.get('short') ?? [];
    assert.ok(Math.max(...took) < 35_000, `the others took ${Math.max(...took).toFixed(0)} ms`);
  });

  it('has its turn in a backlog that does not end, in what the rest leaves', async () => {
    const world = new TestCluster(shared);
    await world.begin();
    // Of sixteen CPUs of a machine five such tasks leave one.
    for (let n = 0; n < 60; n++) {
      world.submit({ id: `j-${String(n + 10)}`, tasks: 120, cores: 3, spot: true }, 8);
      if (n === 10) world.submit({ ...guest, id: 'j-1', tasks: 60 }, 4);
      await world.run(1);
    }
    assert.equal(world.checker.finalState('j-1'), 'done');
    assert.ok(
      [...world.workload.keys()].some((id) => world.checker.finalState(id) === null),
      'the rest still waits',
    );
    assert.deepEqual(world.checker.violations, []);
  });

  it('fills what is unused with idle-time work, which does not start and stop without end', async () => {
    const lines = new LogLines();
    const world = new TestCluster(shared, lines.of);
    await world.begin();
    const idle = { ...guest, cores: 2, estimateS: 100, checkpointS: 10, saveS: 2 };
    const job = world.submit({ ...idle, id: 'j-1', tasks: 300 }, 100);
    for (let n = 0; n < 12; n++) {
      // Bursts that must have started a moment after they came.
      world.submit({ id: `j-${String(n + 10)}`, priority: 1, tasks: 100, estimateS: 8, deadlineS: 20 }, 8);
      await world.run(15);
    }
    const begun = world.checker.started - 1200;
    assert.ok(begun < 2.5 * 300, `${String(begun)} starts of 300 tasks`);
    await world.run(260);
    assert.equal(job.results.size, 300);
    world.assertAllDone();
  });
});
