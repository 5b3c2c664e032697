/** Scenarios of controllers that restart while records are written late or results arrive. */
import type { Violation } from '../src/invariant-rules.ts';
import type { TransactionFault } from '../src/key-value-store-server.ts';
import { ScenarioCluster } from './refused-leader.ts';
import { requirePrecondition, type ScriptedScenario } from './scripted-scenario.ts';
import { smallMachines } from './test-cluster.ts';

const singleZone = { zones: ['a'], nodes: ['a', 'a', 'a'] };

/**
 * Two of every three writes to keys that begin with `kind` are applied late, after newer ones, and never
 * answered. Meanwhile jobs are accepted, run and cancelled.
 */
async function lateWritesOf(kind: string, seed = 1): Promise<Violation[]> {
  const cluster = new ScenarioCluster({ ...singleZone, initial: [smallMachines(10)] }, undefined, seed);
  let matchingWrites = 0;
  const applyLate = (keys: string[]): TransactionFault | null => {
    if (!keys.some((key) => key.startsWith(kind)) || matchingWrites++ % 3 === 2) return null;
    return { appliedAfterMs: 2000 + ((matchingWrites * 3700) % 10_000), answered: false };
  };
  // Machine records are written when machines come up, so the fault must begin first.
  if (kind === 'live/machines/') cluster.store.transactionFaultFor = applyLate;
  await cluster.begin();
  cluster.store.transactionFaultFor = applyLate;
  const jobs = Array.from({ length: 10 }, (_, n) => `j-${String(n)}`);
  for (const [n, id] of jobs.entries()) {
    // Tasks complete at different times, so that each page is written many times.
    cluster.submit({ id, tasks: 6, cores: 1, zone: 'a' }, 4 + 3 * n);
    await cluster.run(2);
    if (n % 4 === 3) void cluster.cancelAtNode(id, n % 3);
    if (n === 5) {
      cluster.killController(0);
      cluster.time.after(1500, () => cluster.startController(0, 50));
    }
  }
  await cluster.run(45);
  cluster.killController(1);
  await cluster.run(15);
  cluster.store.transactionFaultFor = null;
  cluster.startController(1, 50);
  await cluster.run(120);
  requirePrecondition(`writes to ${kind}`, matchingWrites > 0);
  for (const id of jobs)
    if (cluster.checker.finalState(id) === null) cluster.checker.reportViolation('stuck', [id], id);
  return cluster.checker.violations;
}

/**
 * Jobs of two and three tasks whose results arrive at long intervals. Controllers stop and restart between
 * them, so that the results of a job reach several leaders.
 */
async function resultsAcrossLeaderChanges(): Promise<Violation[]> {
  const cluster = new ScenarioCluster({ ...singleZone, initial: [smallMachines(8)] });
  await cluster.begin();
  const works = [2, 3, 2, 3].map((tasks, n) => {
    const id = `j-${String(n)}`;
    const work = cluster.submit({ id, tasks, cores: 4 }, 0);
    // The first task completes within seconds. About two controllers stop before each later one completes.
    Object.assign(work, { runS: (index: number) => 6 + 26 * index + n });
    return work;
  });
  for (const [node, atS] of [0, 1, 2, 0].map((each, n) => [each, 10 + 16 * n] as const)) {
    cluster.time.after(atS * 1000, () => {
      // Right after results were received, mostly before they are persisted.
      cluster.killController(node);
      cluster.time.after(5200, () => cluster.startController(node, 50));
    });
  }
  await cluster.run(150);
  for (const { spec, results } of works)
    if (cluster.checker.finalState(spec.id) !== 'done' || results.size < spec.tasks)
      cluster.checker.reportViolation('stuck', [spec.id], spec.id);
  return cluster.checker.violations;
}

/**
 * A controller restarts before its peers notice. Its shard has no leader until the shard is taken over again.
 */
async function restartBeforeDetection(): Promise<Violation[]> {
  const zones = ['a', 'b', 'c'];
  const initial = zones.map((zone) => ({ type: 'small', zone, spot: false, count: 3 }));
  const cluster = new ScenarioCluster({ zones, nodes: zones, initial });
  await cluster.begin();
  cluster.killController(0);
  await cluster.run(0.06);
  cluster.startController(0, 50);
  await cluster.run(1);
  cluster.submit({ tasks: 6, zone: 'a' }, 5);
  await cluster.run(60);
  if (cluster.checker.finalState('j-1') !== 'done') cluster.checker.reportViolation('stuck', ['j-1'], 'j-1');
  return cluster.checker.violations;
}

export const restartScenarios: Record<string, ScriptedScenario> = {
  ...Object.fromEntries(
    ['live/job/', 'live/progress/', 'live/machines/', 'live/part/', 'live/node/'].map(
      (kind): [string, ScriptedScenario] => [`writes to ${kind} applied late`, () => lateWritesOf(kind)],
    ),
  ),
  ...Object.fromEntries(
    [2, 4].map((seed): [string, ScriptedScenario] => [
      `writes to live/progress/ applied late, seed ${String(seed)}`,
      () => lateWritesOf('live/progress/', seed),
    ]),
  ),
  'a node that restarts within a fraction of a second': restartBeforeDetection,
  'results recorded across several leader changes': resultsAcrossLeaderChanges,
};
