import type { Violation } from '../src/invariant-rules.ts';
import type { TransactionFault } from '../src/key-value-store-server.ts';
import { ScenarioCluster, siteTimings, runRefusedLeader } from './refused-leader.ts';
import {
  violationsAfterCompletion,
  requirePrecondition,
  type ScriptedScenario,
} from './scripted-scenario.ts';
import { smallMachines } from './test-cluster.ts';

const longRunS = 1000;
const singleZone = { zones: ['a'], nodes: ['a', 'a', 'a'] };

/**
 * A cancellation is applied but its response is lost, and the repeated request reads it back. The leader that
 * owns the tasks has no contact with the key-value store, so the tasks stop soon only if a peer notifies it.
 */
export async function cancellationReadBack(): Promise<{ violations: Violation[]; stoppedAfterS: number }> {
  const cluster = new ScenarioCluster({
    ...singleZone,
    nodes: ['a', 'a'],
    ...siteTimings.caalv,
    initial: [smallMachines(6)],
  });
  await cluster.begin();
  cluster.submit({ tasks: 24, cores: 2 }, longRunS);
  await cluster.until('all tasks run', () => cluster.checker.runningTasks('j-1').length === 24, 40);
  const [shard = ''] = cluster.ledShards(0);
  const ownedMachines = cluster.machinesOf(shard);
  const owner = cluster.controllerHost(0);
  if (owner) cluster.store.setRefused(owner, true);
  // The other node reaches no worker, so a takeover stops no tasks.
  cluster.network.startPartition('drop', (x, y) => x.name === 'node-1' && y.kind === 'worker');
  cluster.store.transactionFaultFor = (keys): TransactionFault | null =>
    keys.includes('job/j-1') ? { appliedAfterMs: 0, answered: false } : null;
  const remainingTasks = (): number =>
    ownedMachines.reduce((n, id) => n + (cluster.workers.get(id)?.jobIds().length ?? 0), 0);
  requirePrecondition('tasks on machines when the user cancels', remainingTasks() > 0);
  let confirmed = false;
  for (let attempts = 0; attempts < 6 && !confirmed; attempts++) {
    void cluster.cancelAtNode('j-1', 1).then((done) => (confirmed ||= done));
    await cluster.run(1);
  }
  requirePrecondition('cancellation confirmed', confirmed);
  const confirmedAt = cluster.time.now;
  while (remainingTasks() > 0 && cluster.time.now < confirmedAt + 90_000) await cluster.run(0.5);
  return { violations: cluster.checker.violations, stoppedAfterS: (cluster.time.now - confirmedAt) / 1000 };
}

/**
 * A cancellation, a poll and a repeated submission coincide with the last task's completion, for every pair
 * of nodes.
 */
async function requestsAtCompletion(): Promise<Violation[]> {
  const cluster = new ScenarioCluster({ ...singleZone, initial: [smallMachines(8)] });
  await cluster.begin();
  const ends = { done: 0, cancelled: 0 };
  let n = 0;
  for (const cancelNode of [0, 1, 2])
    for (const queriedNode of [0, 1, 2])
      for (const appliedAfterMs of [0, 6, 12, 18, 24, 40]) {
        const id = `j-${String(n++)}`;
        let endReached = false;
        // The completion's transaction has arrived. It is applied before, between or after those of the
        // users' requests.
        cluster.store.transactionFaultFor = (keys): TransactionFault | null => {
          if (endReached || !keys.includes(`job/${id}`)) return null;
          endReached = true;
          void cluster.cancelAtNode(id, cancelNode);
          void cluster.queryNode(id, queriedNode);
          void cluster.users.sendRequest(id, 'submit', work, cluster.balancer.backends[queriedNode]?.address);
          return { appliedAfterMs, answered: true };
        };
        const work = cluster.submit({ id, tasks: 2, cores: 1 }, 1);
        await cluster.until('the last task completes', () => endReached, 20, 1);
        for (let ms = 0; ms < 60; ms += 10) {
          for (const node of [0, 1, 2]) void cluster.queryNode(id, node);
          await cluster.run(0.01);
        }
        await cluster.run(0.5);
        const final = cluster.checker.finalState(id);
        if (final) ends[final]++;
      }
  await cluster.run(20);
  requirePrecondition('some jobs cancelled in time and some too late', ends.done > 0 && ends.cancelled > 0);
  return violationsAfterCompletion(cluster);
}

/**
 * Jobs are cancelled during a takeover and the handover back: before, between and after their steps, one job
 * every quarter of a second, at any node.
 */
async function cancellationsDuringTakeover(
  injectExtraFault: (cluster: ScenarioCluster) => void = () => {},
): Promise<Violation[]> {
  const cluster = new ScenarioCluster({
    ...singleZone,
    ...siteTimings.matkaturva,
    initial: [smallMachines(16)],
  });
  await cluster.begin();
  const [shard = ''] = cluster.ledShards(0);
  const jobs = Array.from({ length: 56 }, (_, n) => `j-${String(n)}`);
  for (const id of jobs) cluster.submit({ id, tasks: 2, cores: 1 }, longRunS);
  await cluster.until(
    'all tasks run',
    () => jobs.every((id) => cluster.checker.runningTasks(id).length === 2),
    60,
  );
  const owners = new Set<number>();
  const cancelled: { at: number; owner: number }[] = [];
  let isBack = false;
  for (const [n, id] of jobs.entries()) {
    if (n === 4) cluster.killController(0);
    if (n === 12) injectExtraFault(cluster);
    // The takeover may not be over by the 24th job: a node lease lasts 4 s, and late writes delay it.
    if (n >= 24 && owners.size > 1 && !isBack) {
      isBack = true;
      cluster.startController(0, 50);
    }
    const owner = cluster.ownerOf(shard);
    owners.add(owner);
    const before = cluster.time.now;
    void cluster.users.cancelIfAccepted(id).then(() => cancelled.push({ at: before, owner }));
    await cluster.run(0.25);
  }
  await cluster.run(siteTimings.matkaturva.cancelS + 10);
  requirePrecondition('the shard changed leaders during the cancellations', owners.size > 1);
  requirePrecondition('all jobs cancelled', cancelled.length === jobs.length);
  return violationsAfterCompletion(cluster);
}

/**
 * Four one-task jobs a second for minutes. Users cancel a quarter of them, some at once and some while they
 * run.
 */
async function manyShortJobs(
  injectExtraFault: (cluster: ScenarioCluster) => void = () => {},
): Promise<Violation[]> {
  const cluster = new ScenarioCluster({
    ...singleZone,
    initial: [smallMachines(14)],
    teams: [{ name: 'red', cores: 8, maxCores: 0 }],
  });
  await cluster.begin();
  const seconds = 150;
  for (let n = 0; n < 4 * seconds; n++) {
    const id = `j-${String(n)}`;
    cluster.submit({ id, tasks: 1, cores: 1 }, 3 + (n % 9));
    if (n % 4 === 0) cluster.time.after(200 + 700 * (n % 13), () => void cluster.users.cancelIfAccepted(id));
    if (n === 240) injectExtraFault(cluster);
    await cluster.run(0.25);
  }
  await cluster.run(60);
  const ends = [...cluster.workload.keys()].map((id) => cluster.checker.finalState(id));
  requirePrecondition('cancelled jobs', ends.filter((end) => end === 'cancelled').length > (4 * seconds) / 8);
  const done = ends.filter((end) => end === 'done').length;
  if (done < (4 * seconds) / 2) cluster.checker.reportViolation('unserved', [done], `${String(done)} done`);
  return violationsAfterCompletion(cluster);
}

/**
 * Jobs are cancelled shortly after the key-value store refuses the leader, in each run 50 ms later than in
 * the last. All nodes lose the store about a second after the refusal.
 */
async function cancellationsAroundRefusal(
  site: keyof typeof siteTimings,
  fromMs: number,
): Promise<Violation[]> {
  const violations: Violation[] = [];
  for (let ms = fromMs; ms < fromMs + 300; ms += 50) {
    const plan = { site, cancelAfterS: ms / 1000, outageAfterS: Math.max(0.05, 1 - ms / 1000 - 0.4) };
    const outcome = await runRefusedLeader({ ...plan, workersReachOnlyLeader: true, leaderIsolated: true });
    requirePrecondition(
      'tasks on machines when the cancellations were confirmed',
      outcome.tasksOnMachines > 0,
    );
    violations.push(...outcome.violations);
  }
  return violations;
}

const restartSecondNodeQuickly = (cluster: ScenarioCluster): void => {
  cluster.killController(1);
  cluster.time.after(180, () => cluster.startController(1, 20));
};
const freezeWorkers = (cluster: ScenarioCluster): void => {
  for (const worker of [...cluster.workers.values()].slice(0, 3))
    worker.host.clock.frozenUntil = cluster.time.now + 9000;
};
const delayWrites = (cluster: ScenarioCluster): void => {
  cluster.store.lateWriteShare = 0.3;
  cluster.time.after(15_000, () => (cluster.store.lateWriteShare = 0));
};
const extraFaults = {
  'a node that restarts within 0.2 s': restartSecondNodeQuickly,
  'frozen machines': freezeWorkers,
  'late writes': delayWrites,
};

export const cancellationScenarios: Record<string, ScriptedScenario> = {
  'an unanswered cancellation read back by another node': async () =>
    (await cancellationReadBack()).violations,
  'a cancellation, a poll and a submission as the last task completes': requestsAtCompletion,
  'jobs cancelled during a takeover': () => cancellationsDuringTakeover(),
  'four one-task jobs a second, a quarter cancelled': () => manyShortJobs(),
  ...Object.fromEntries(
    Object.entries(extraFaults).flatMap(([name, injectExtraFault]): [string, ScriptedScenario][] => [
      [`jobs cancelled during a takeover, and ${name}`, () => cancellationsDuringTakeover(injectExtraFault)],
      [
        `four one-task jobs a second, a quarter cancelled, and ${name}`,
        () => manyShortJobs(injectExtraFault),
      ],
    ]),
  ),
  'jobs cancelled around the refusal of the leader, caalv': () => cancellationsAroundRefusal('caalv', 0),
  'jobs cancelled around the refusal of the leader, matkaturva': () =>
    cancellationsAroundRefusal('matkaturva', 0),
};
