import type { Violation } from '../src/invariant-checker.ts';
import type { TransactionFault } from '../src/key-value-store-server.ts';
import { readCommands } from '../src/protocol/wire.ts';
import { idleWaitScenarios } from './idle-wait-scenarios.ts';
import { machineFaultScenarios } from './machine-fault-scenarios.ts';
import { ScenarioCluster, siteTimings, runRefusedLeader } from './refused-leader.ts';
import { heartbeatScenarios } from './heartbeat-scenarios.ts';
import { requirePrecondition, type ScriptedScenario } from './scripted-scenario.ts';
import { userRequestScenarios } from './user-request-scenarios.ts';

const longRunS = 1000;
const singleZone = { zones: ['a'], nodes: ['a', 'a'] };
const smallMachines = (count: number): { type: string; zone: string; spot: boolean; count: number }[] => [
  { type: 'small', zone: 'a', spot: false, count },
];

const violationsOf = async (plan: Parameters<typeof runRefusedLeader>[0]): Promise<Violation[]> => {
  const outcome = await runRefusedLeader(plan);
  requirePrecondition('tasks on machines when the users were told', outcome.tasksOnMachines > 0);
  return outcome.violations;
};

/**
 * Machines that stay with a refused leader until its proof of contact ends, then report to its successor once, and hear
 * nothing after that answer: it renews their leases, so it must stop what was cancelled long before.
 */
async function firstHeartbeatResponse(): Promise<Violation[]> {
  const cluster = new ScenarioCluster({ ...singleZone, ...siteTimings.caalv, initial: smallMachines(6) });
  await cluster.begin();
  const [shard = ''] = cluster.ledShards(0);
  cluster.submit({ tasks: 24, cores: 2 }, longRunS);
  await cluster.until('running', () => cluster.checker.runningTasks('j-1').length === 24, 40);
  const host = cluster.controllerHost(0);
  if (host) cluster.store.setRefused(host, true);
  const healPeerPartition = cluster.network.startPartition(
    'drop',
    (x, y) => x.kind === 'node' && y.kind === 'node',
  );
  const healWorkerPartition = cluster.network.startPartition(
    'drop',
    (x, y) => x.name === 'node-1' && y.kind === 'worker',
  );
  await cluster.run(0.3);
  requirePrecondition('told', await cancelUntilConfirmed(cluster, 'j-1', 1));
  await cluster.until('taken over', () => cluster.ownerOf(shard) === 1, 15);
  await cluster.run(29);
  // Deaf as soon as they have heard the new owner once, in an answer to a report of their own.
  cluster.network.commandDelayMs = () => 1e9;
  const token = (cluster.store.read(`live/part/${shard}`) as { token: number }).token;
  cluster.network.dropOneWay((a, b) => {
    const worker = b.kind === 'worker' ? cluster.workers.get(b.name) : undefined;
    return a.kind === 'node' && worker !== undefined && worker.fencingToken >= token;
  });
  healWorkerPartition();
  await cluster.run(60);
  healPeerPartition();
  return cluster.checker.violations;
}

async function cancelUntilConfirmed(cluster: ScenarioCluster, job: string, node: number): Promise<boolean> {
  let confirmed = false;
  for (let attempts = 0; attempts < 20 && !confirmed; attempts++) {
    void cluster.cancelAtNode(job, node).then((done) => (confirmed ||= done));
    await cluster.run(0.2);
  }
  return confirmed;
}

/** An order to start a task, held up for longer than a cancellation's time, on a machine that is heard throughout. */
async function delayedLaunchCommand(): Promise<Violation[]> {
  const cluster = new ScenarioCluster({
    ...singleZone,
    nodes: ['a'],
    ...siteTimings.caalv,
    initial: smallMachines(2),
  });
  await cluster.begin();
  cluster.submit({ id: 'j-1', tasks: 2, cores: 2 }, longRunS);
  await cluster.until('running', () => cluster.checker.runningTasks('j-1').length === 2, 30);
  await cluster.run(3);
  let delayedLaunches = 0;
  cluster.network.commandDelayMs = (_, body) => {
    const isLaunch = readCommands(body, true)?.commands.some(
      (o) => o.op === 'launch' && o.task.startsWith('j-2/'),
    );
    return isLaunch === true && delayedLaunches++ === 0 ? 80_000 : 0;
  };
  // One task, so that it is told in a call of its own and not in the answer to a report.
  cluster.submit({ id: 'j-2', tasks: 1, cores: 1 }, longRunS);
  await cluster.until('sent', () => delayedLaunches > 0, 10, 5);
  requirePrecondition('told', await cancelUntilConfirmed(cluster, 'j-2', 0));
  await cluster.run(120);
  return cluster.checker.violations;
}

/** A copy of an old report is answered, which renews the lease if the worker's own report is in flight: it stops as well. */
async function staleHeartbeatAnswered(): Promise<Violation[]> {
  const cluster = new ScenarioCluster({
    ...singleZone,
    nodes: ['a'],
    ...siteTimings.caalv,
    initial: smallMachines(2),
  });
  await cluster.begin();
  cluster.submit({ tasks: 2, cores: 2 }, longRunS);
  await cluster.until('running', () => cluster.checker.runningTasks('j-1').length === 2, 30);
  const [worker] = cluster.workers.values();
  if (!worker) throw new Error('no machine');
  const staleHeartbeat = worker.nextHeartbeatText();
  await cluster.run(12);
  // What is sent straight to the machines is lost, so that only answers can stop anything.
  cluster.network.commandDelayMs = () => 1e9;
  requirePrecondition('told', await cancelUntilConfirmed(cluster, 'j-1', 0));
  const call = { address: '127.0.0.1:9000', method: 'POST' as const, path: '/checkin', deadlineMs: 1000 };
  const reply = await Promise.all([
    cluster.network.exchange(worker.host, { ...call, body: staleHeartbeat }),
    cluster.run(1),
  ]).then(([answer]) => answer);
  const haltCommands = readCommands(reply.body, false)?.commands.filter((order) => order.op === 'halt') ?? [];
  const tasksOnMachine = [...worker.tasks.values()].length;
  requirePrecondition('tasks on the machine', tasksOnMachine > 0);
  if (haltCommands.length < tasksOnMachine)
    cluster.checker.reportViolation(
      'ran_cancelled',
      [haltCommands.length, tasksOnMachine],
      'an answer renews a lease and stops nothing',
    );
  await cluster.run(80);
  return cluster.checker.violations;
}

/**
 * A leader ends while machines with long tasks are deaf to the next one, and none can be returned. Their reports arrive,
 * so they look alive: what they ran must run elsewhere once the old owner's leases are over, and never before.
 */
export async function workersCutFromNewLeader(): Promise<{
  violations: Violation[];
  restartedAfterS: number;
}> {
  const cluster = new ScenarioCluster({ ...singleZone, ...siteTimings.caalv, initial: smallMachines(10) });
  await cluster.begin();
  const [shard = ''] = cluster.ledShards(0);
  cluster.submit({ tasks: 20, cores: 2 }, longRunS);
  await cluster.until('running', () => cluster.checker.runningTasks('j-1').length === 20, 40);
  cluster.cloud.hasOutage = true;
  await cluster.run(5);
  const ownedHosts = new Set(
    [...cluster.workers.values()].filter((w) => w.fencingToken > 0).map((w) => w.host),
  );
  const unreachableHosts = [...ownedHosts].slice(0, 4);
  cluster.network.dropOneWay((a, b) => a.kind === 'node' && unreachableHosts.includes(b));
  cluster.killController(0);
  await cluster.until('taken over', () => cluster.ownerOf(shard) === 1, 15);
  const takeoverAt = cluster.time.now;
  const { leaseS, cancelS } = siteTimings.caalv;
  // The old owner's proof, and the lease that it may have renewed last: nothing is held after that.
  await cluster.run(cancelS + 15);
  const started = cluster.checker.runningTasks('j-1').length;
  await cluster.until('all running again', () => cluster.checker.runningTasks('j-1').length === 20, 60);
  const restartedAfterS = started === 20 ? cancelS + 15 : (cluster.time.now - takeoverAt) / 1000;
  await cluster.run(leaseS);
  return { violations: cluster.checker.violations, restartedAfterS };
}

/**
 * Jobs accepted by others while the leader is refused, and in the last moment before the state service is down for all:
 * the nodes that have not seen them come must not keep all others from telling that they are open.
 */
async function acceptedWithoutLeader(): Promise<Violation[]> {
  const cluster = new ScenarioCluster({ zones: ['a'], nodes: ['a', 'a', 'a'], initial: smallMachines(9) });
  await cluster.begin();
  // Most questions are about jobs that all know.
  for (let n = 0; n < 12; n++) cluster.submit({ id: `j-${String(100 + n)}`, tasks: 1, cores: 1 }, 300);
  await cluster.run(5);
  const host = cluster.controllerHost(0);
  if (host) cluster.store.setRefused(host, true);
  await cluster.run(1);
  cluster.submit({ id: 'j-1', tasks: 1, cores: 1 }, 30);
  await cluster.run(1.5);
  cluster.submit({ id: 'j-2', tasks: 1, cores: 1 }, 30);
  await cluster.until(
    'accepted',
    () => cluster.checker.isAccepted('j-1') && cluster.checker.isAccepted('j-2'),
    5,
    1,
  );
  cluster.store.setOutage(true);
  await cluster.run(125);
  cluster.store.setOutage(false);
  await cluster.run(10);
  if (host) cluster.store.setRefused(host, false);
  await cluster.run(60);
  return cluster.checker.violations;
}

/**
 * A leader that is cut off has missed a cancellation, and the processes that told of it are gone; the next ones have
 * only seen that there is no record of the job. In the outage that follows, the leader is asked about it.
 */
async function cancelledWithoutLeader(): Promise<Violation[]> {
  const cluster = new ScenarioCluster({ zones: ['a'], nodes: ['a', 'a', 'a'], initial: smallMachines(9) });
  await cluster.begin();
  // Nobody asks about it, so that only the one that tells its user of the end has read it.
  void cluster.submitToNode(0, { tasks: 1, cores: 1 }, 300);
  await cluster.until('accepted', () => cluster.checker.isAccepted('j-1'), 5);
  const host = cluster.controllerHost(0);
  if (host) cluster.store.setRefused(host, true);
  const healPeerPartition = cluster.network.startPartition(
    'drop',
    (x, y) => x.name === 'node-0' && y.kind === 'node',
  );
  await cluster.run(0.5);
  requirePrecondition('told', await cancelUntilConfirmed(cluster, 'j-1', 1));
  for (const node of cluster.otherNodes) cluster.killController(node);
  await cluster.run(0.3);
  for (const node of cluster.otherNodes) cluster.startController(node, 50);
  await cluster.run(4);
  cluster.store.setOutage(true);
  healPeerPartition();
  await cluster.run(6);
  for (let n = 0; n < 5; n++) {
    void cluster.queryNode('j-1', 0);
    await cluster.run(2);
  }
  cluster.store.setOutage(false);
  if (host) cluster.store.setRefused(host, false);
  await cluster.run(40);
  return cluster.checker.violations;
}

/** Two of three writes of every kind are carried out late, after newer ones, while jobs are accepted, run and cancelled. */
async function lateWritesOf(kind: string): Promise<Violation[]> {
  const cluster = new ScenarioCluster({ ...singleZone, nodes: ['a', 'a', 'a'], initial: smallMachines(10) });
  let matchingWrites = 0;
  const applyLate = (keys: string[]): TransactionFault | null => {
    if (!keys.some((key) => key.startsWith(kind)) || matchingWrites++ % 3 === 2) return null;
    return { appliedAfterMs: 2000 + ((matchingWrites * 3700) % 10_000), answered: false };
  };
  // Machines are recorded as they come up.
  if (kind === 'live/machines/') cluster.store.transactionFaultFor = applyLate;
  await cluster.begin();
  cluster.store.transactionFaultFor = applyLate;
  const jobs = Array.from({ length: 10 }, (_, n) => `j-${String(n)}`);
  for (const [n, id] of jobs.entries()) {
    // Tasks end far apart, so that each page is written many times.
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
  requirePrecondition(`writes of ${kind}`, matchingWrites > 0);
  for (const id of jobs)
    if (cluster.checker.finalState(id) === null) cluster.checker.reportViolation('stuck', [id], id);
  return cluster.checker.violations;
}

/** Jobs of two and three tasks whose results come far apart, with the leader changed between any two of them. */
async function resultsAcrossLeaderChanges(): Promise<Violation[]> {
  const cluster = new ScenarioCluster({ ...singleZone, nodes: ['a', 'a', 'a'], initial: smallMachines(8) });
  await cluster.begin();
  const works = [2, 3, 2, 3].map((tasks, n) => {
    const id = `j-${String(n)}`;
    const work = cluster.submit({ id, tasks, cores: 4 }, 0);
    // The first within seconds, the last after two changes of leader.
    Object.assign(work, { runS: (index: number) => 6 + 26 * index + n });
    return work;
  });
  for (const [node, atS] of [0, 1, 2, 0].map((each, n) => [each, 10 + 16 * n] as const)) {
    cluster.time.after(atS * 1000, () => {
      // Right after results were heard, most often before they are recorded.
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

/** A controller is back before anybody has noticed that it was gone: its part has nobody until it is taken over anew. */
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

/** A leader is cut from the state service and its siblings, while users reach it: they are soon served by others. */
export async function leaderIsolatedFromPeersAndStore(): Promise<{
  violations: Violation[];
  slowSubmissions: number;
}> {
  const cluster = new ScenarioCluster({ zones: ['a'], nodes: ['a', 'a', 'a'], initial: smallMachines(9) });
  await cluster.begin();
  const heal = cluster.network.startPartition(
    'hold',
    (x, y) => x.name === 'node-0' && ['state', 'node'].includes(y.kind),
  );
  await cluster.run(9);
  const before = { ...cluster.users.counts };
  for (let n = 0; n < 30; n++) {
    cluster.submit({ id: `j-${String(10 + n)}`, tasks: 1, cores: 1 }, 5);
    await cluster.run(1);
  }
  heal();
  await cluster.run(60);
  const { submitted, quick } = cluster.users.counts;
  return {
    violations: cluster.checker.violations,
    slowSubmissions: submitted - before.submitted - (quick - before.quick),
  };
}

/** The least number of controllers that the load balancer took for healthy in an outage for all. */
export async function healthyInOutage(): Promise<number> {
  const cluster = new ScenarioCluster({ zones: ['a'], nodes: ['a', 'a', 'a'], initial: smallMachines(6) });
  await cluster.begin();
  cluster.killController(2); // back without records, it owns nothing and is not ready, but it is there
  cluster.store.setOutage(true);
  cluster.startController(2, 50);
  let leastHealthy = 3;
  for (let elapsedS = 0; elapsedS < 40; elapsedS++) {
    await cluster.run(1);
    leastHealthy = Math.min(
      leastHealthy,
      cluster.balancer.backends.slice(0, 2).filter((node) => node.healthy).length,
    );
  }
  return leastHealthy;
}

const basePlan = {
  site: 'caalv',
  cancelAfterS: 0.5,
  outageAfterS: 1,
  workersReachOnlyLeader: true,
  leaderIsolated: true,
} as const;

/** One trouble more, while the leader is refused, jobs are cancelled and everybody loses the state service. */
const extraFaults: Record<string, (cluster: ScenarioCluster) => void> = {
  'the new owner ends': (cluster) =>
    cluster.otherNodes.slice(0, 1).forEach((n) => {
      cluster.killController(n);
      cluster.time.after(400, () => cluster.startController(n, 50));
    }),
  'both others end for good': (cluster) => cluster.otherNodes.forEach((n) => cluster.killController(n)),
  'the old leader stands still and wakes': (cluster) => cluster.freezeController(cluster.leader, 20_000),
  'machines are deaf': (cluster) =>
    void cluster.network.dropOneWay((a, b) => a.kind === 'node' && b.kind === 'worker' && b.zone === 'a'),
  'the outage ends in the middle': (cluster) => {
    cluster.time.after(15_000, () => cluster.store.setOutage(false));
    cluster.time.after(17_000, () => cluster.store.setOutage(true));
  },
  'writes are carried out late': (cluster) => (cluster.store.lateWriteShare = 0.7),
  'copies of old reports come': (cluster) =>
    (cluster.network.lateHeartbeats = { share: 0.7, withinMs: 70_000 }),
  'the leader is back as another process': (cluster) => {
    cluster.killController(cluster.leader);
    cluster.time.after(300, () => cluster.startController(cluster.leader, 50));
  },
};

export const leaderFaultScenarios: Record<string, ScriptedScenario> = {
  'a refused leader, a cancellation by another, an outage for all': () => violationsOf(basePlan),
  ...Object.fromEntries(
    Object.entries(extraFaults).flatMap(([name, inject]) =>
      [2, 12].map((afterS): [string, ScriptedScenario] => [
        `the same, and ${name} after ${String(afterS)} s`,
        () => violationsOf({ ...basePlan, extraFault: { afterS, inject } }),
      ]),
    ),
  ),
  'a first answer to machines that were with a refused leader': firstHeartbeatResponse,
  'an order to start that is held up beyond a cancellation': delayedLaunchCommand,
  'an answer to an old copy of a report': staleHeartbeatAnswered,
  'a cancellation unseen by the leader, told by a process that is gone': cancelledWithoutLeader,
  ...Object.fromEntries(
    ['live/job/', 'live/progress/', 'live/machines/', 'live/part/', 'live/node/'].map(
      (kind): [string, ScriptedScenario] => [`writes of ${kind} carried out late`, () => lateWritesOf(kind)],
    ),
  ),
  'a process back within a fraction of a second': restartBeforeDetection,
  'tasks that end far apart across changes of leader': resultsAcrossLeaderChanges,
  'jobs accepted unseen by the leader before an outage': acceptedWithoutLeader,
  'a leader cut from the state service and its siblings': async () =>
    (await leaderIsolatedFromPeersAndStore()).violations,
  'machines deaf to the next owner': async () => (await workersCutFromNewLeader()).violations,
};

/** All stories by name, as the mutants name them. */
export const scenarios: Record<string, ScriptedScenario> = {
  ...leaderFaultScenarios,
  ...idleWaitScenarios,
  ...machineFaultScenarios,
  ...heartbeatScenarios,
  ...userRequestScenarios,
};
