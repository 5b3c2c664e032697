import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { siteTimings } from './refused-leader.ts';
import { smallMachines, TestCluster } from './test-cluster.ts';

const SECONDS = 150;
const JOBS_PER_S = 4;
/** Seconds that each task runs. */
const RUN_S = 1;

type Site = keyof typeof siteTimings;

/** A machine that is given four one-task jobs a second, of which every fourth is cancelled at once. */
async function runBusyMachine(site: Site): Promise<TestCluster> {
  const initial = [smallMachines(1)];
  const cluster = new TestCluster({ nodes: ['a'], ...siteTimings[site], initial });
  await cluster.begin();
  for (let n = 0; n < SECONDS * JOBS_PER_S; n++) {
    const id = `j-${String(n)}`;
    cluster.submit({ id, tasks: 1, cores: 1, imageGb: 0.01 }, RUN_S);
    await cluster.run(1 / JOBS_PER_S);
    if (n % 4 === 3) void cluster.users.cancelIfAccepted(id);
  }
  await cluster.run(30);
  return cluster;
}

describe('a machine with four one-task jobs a second, a quarter of them cancelled', () => {
  for (const site of Object.keys(siteTimings) as Site[]) {
    it(`keeps its lease, and drops no reply and refuses no launch: ${site}`, async (t) => {
      const cluster = await runBusyMachine(site);
      const [worker] = cluster.workers.values();
      assert.ok(worker);
      t.diagnostic(JSON.stringify({ ...worker.counts, token: worker.fencingToken }));
      assert.deepEqual(cluster.checker.violations, []);
      assert.equal(worker.lostEpochs, 0);
      assert.equal(worker.counts.droppedReplies, 0);
      assert.equal(worker.counts.refusedLaunches, 0);
      for (const id of cluster.workload.keys()) assert.notEqual(cluster.checker.finalState(id), null, id);
    });
  }
});
