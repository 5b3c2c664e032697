import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import type { Deployment } from '../src/deployment.ts';
import { LogLines, TestCluster } from './test-cluster.ts';

/**
 * Half of a fleet's controllers, with the slower of its two settings (`paces` in
 * scenario-deployment.ts): 50 writes a second for all controllers together.
 */
const fleet = {
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
const bestEffortJob = { team: 'guests', class: 'guest', priority: 3, cores: 0.25, ramGb: 0.5, spot: true };

describe('a best-effort team: no guaranteed quota and no limit', () => {
  it('submits many single-task jobs: all jobs are accepted in time, and jobs of other teams are not delayed', async () => {
    const world = new TestCluster(fleet);
    await world.begin();
    for (let n = 0; n < 500; n++) {
      world.submit({ ...bestEffortJob, id: `j-${String(1000 + n)}`, tasks: 1 }, 10);
      if (n % 40 === 0) world.submit({ id: `j-${String(n + 1)}`, tasks: 16 }, 8);
      if (n === 250) world.killController(1);
      if (n === 370) world.startController(1);
      await world.run(0.05);
    }
    await world.run(90);
    world.assertAllDone();
    const { acceptedQuickly: quick, submitted } = world.users.counts;
    assert.ok(
      quick >= 0.98 * submitted,
      `${String(quick)} of ${String(submitted)} accepted within half a second`,
    );
    const took = world.users.completionTimesMs.get('short') ?? [];
    assert.ok(Math.max(...took) < 30_000, `jobs of other teams took ${Math.max(...took).toFixed(0)} ms`);
    // Each job takes one write to accept it, two to end it, and a few for its progress.
    assert.ok(world.store.counts.changes < 513 * 5, `${String(world.store.counts.changes)} writes`);
  });

  it('submits one job of thousands of tasks: it completes through a failover and delays no other team', async () => {
    const world = new TestCluster(fleet);
    await world.begin();
    world.submit({ ...bestEffortJob, id: 'j-1', tasks: 4000 }, 4);
    for (let n = 0; n < 10; n++) {
      world.submit({ id: `j-${String(n + 10)}`, tasks: 24 }, 8);
      if (n === 3) world.killController(0);
      if (n === 7) world.startController(0);
      await world.run(3);
    }
    await world.run(90);
    world.assertAllDone();
    const took = world.users.completionTimesMs.get('short') ?? [];
    assert.ok(Math.max(...took) < 35_000, `jobs of other teams took ${Math.max(...took).toFixed(0)} ms`);
  });

  it('is not starved by an endless backlog: its job completes on capacity that other jobs can’t use', async () => {
    const world = new TestCluster(fleet);
    await world.begin();
    // Five such tasks leave one of a machine's sixteen CPUs idle.
    for (let n = 0; n < 60; n++) {
      world.submit({ id: `j-${String(n + 10)}`, tasks: 120, cores: 3, spot: true }, 8);
      if (n === 10) world.submit({ ...bestEffortJob, id: 'j-1', tasks: 60 }, 4);
      await world.run(1);
    }
    assert.equal(world.checker.finalState('j-1'), 'done');
    assert.ok(
      [...world.workload.keys()].some((id) => world.checker.finalState(id) === null),
      'the backlog is still pending',
    );
    assert.deepEqual(world.checker.violations, []);
  });

  it('fills idle capacity with low-priority work, which is not started and preempted over and over', async () => {
    const lines = new LogLines();
    const world = new TestCluster(fleet, lines.of);
    await world.begin();
    const idleTimeJob = { ...bestEffortJob, cores: 2, estimateS: 100, checkpointS: 10, saveS: 2 };
    const job = world.submit({ ...idleTimeJob, id: 'j-1', tasks: 300 }, 100);
    for (let n = 0; n < 12; n++) {
      // Bursts of jobs that must start soon after their submission.
      world.submit({ id: `j-${String(n + 10)}`, priority: 1, tasks: 100, estimateS: 8, deadlineS: 20 }, 8);
      await world.run(15);
    }
    const starts = world.checker.started - 1200;
    assert.ok(starts < 2.5 * 300, `${String(starts)} starts of 300 tasks`);
    await world.run(260);
    assert.equal(job.results.size, 300);
    world.assertAllDone();
  });
});
