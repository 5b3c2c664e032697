import type { Violation } from '../src/invariant-rules.ts';
import { readCommands } from '../src/protocol/wire.ts';
import { acceptanceScenarios } from './acceptance-scenarios.ts';
import { commandCopyScenarios } from './command-copy-scenarios.ts';
import { idleWaitScenarios } from './idle-wait-scenarios.ts';
import { lateReportScenarios } from './late-report-scenarios.ts';
import { machineFaultScenarios } from './machine-fault-scenarios.ts';
import { ScenarioCluster, siteTimings, runRefusedLeader, unlimitedStore } from './refused-leader.ts';
import { heartbeatScenarios } from './heartbeat-scenarios.ts';
import { restartScenarios } from './restart-scenarios.ts';
import { requirePrecondition, type ScriptedScenario } from './scripted-scenario.ts';
import { storeOutageScenarios } from './store-outage-scenarios.ts';
import { userRequestScenarios } from './user-request-scenarios.ts';
import { smallMachines } from './test-cluster.ts';

const longRunS = 1000;

const violationsOf = async (plan: Parameters<typeof runRefusedLeader>[0]): Promise<Violation[]> => {
  const outcome = await runRefusedLeader(plan);
  requirePrecondition('tasks on machines when the cancellations were confirmed', outcome.tasksOnMachines > 0);
  return outcome.violations;
};

/**
 * Guards against cancelled tasks that outlive a takeover. The key-value store refuses a leader, and workers
 * stay with this leader until its leader lease expires. Then they send one heartbeat to its successor, and
 * after the response they receive nothing. The response renews their worker leases, so it must also stop the
 * tasks that were cancelled long before.
 */
async function firstHeartbeatResponse(): Promise<Violation[]> {
  // The third node reaches no worker. It acknowledges the end of the job.
  const cluster = new ScenarioCluster({
    zones: ['a', 'b'],
    nodes: ['a', 'a', 'b'],
    ...siteTimings.caalv,
    initial: [smallMachines(6)],
  });
  await cluster.begin();
  const [shard = ''] = cluster.ledShards(0);
  cluster.submit({ tasks: 24, cores: 2 }, longRunS);
  await cluster.until('all tasks run', () => cluster.checker.runningTasks('j-1').length === 24, 40);
  const host = cluster.controllerHost(0);
  if (host) cluster.store.setRefused(host, true);
  const healPeerPartition = cluster.network.startPartition(
    'drop',
    (x, y) => x.name === 'node-0' && y.kind === 'node',
  );
  cluster.network.startPartition('drop', (x, y) => x.name === 'node-2' && y.kind === 'worker');
  const healWorkerPartition = cluster.network.startPartition(
    'drop',
    (x, y) => x.name === 'node-1' && y.kind === 'worker',
  );
  await cluster.run(0.3);
  requirePrecondition('cancellation confirmed', await cancelUntilConfirmed(cluster, 'j-1', 1));
  await cluster.until('the shard is taken over', () => cluster.ownerOf(shard) === 1, 15);
  await cluster.run(29);
  // Workers receive nothing more once they have received one response of the new leader to a heartbeat.
  cluster.network.commandDelayMs = () => 1e9;
  const firstToken = cluster.firstTokenOf(shard);
  cluster.network.dropOneWay((a, b) => {
    const worker = b.kind === 'worker' ? cluster.workers.get(b.name) : undefined;
    return a.kind === 'node' && worker !== undefined && worker.fencingToken >= firstToken;
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

/**
 * A launch command is delayed for longer than the cancellation time (`cancelS`), and its job is cancelled
 * meanwhile. The worker's heartbeats arrive.
 */
async function delayedLaunchCommand(): Promise<Violation[]> {
  const cluster = new ScenarioCluster({
    zones: ['a'],
    nodes: ['a'],
    ...siteTimings.caalv,
    initial: [smallMachines(2)],
  });
  await cluster.begin();
  cluster.submit({ id: 'j-1', tasks: 2, cores: 2 }, longRunS);
  await cluster.until('all tasks run', () => cluster.checker.runningTasks('j-1').length === 2, 30);
  await cluster.run(3);
  let delayedLaunches = 0;
  cluster.network.commandDelayMs = (_, body) => {
    const isLaunch = readCommands(body, true)?.commands.some(
      (o) => o.op === 'launch' && o.task.startsWith('j-2/'),
    );
    return isLaunch === true && delayedLaunches++ === 0 ? 80_000 : 0;
  };
  // One task, so that the launch command is sent in its own call and not in a heartbeat response.
  cluster.submit({ id: 'j-2', tasks: 1, cores: 1 }, longRunS);
  await cluster.until('the launch command is sent', () => delayedLaunches > 0, 10, 5);
  requirePrecondition('cancellation confirmed', await cancelUntilConfirmed(cluster, 'j-2', 0));
  await cluster.run(120);
  return cluster.checker.violations;
}

/**
 * A stale heartbeat arrives after newer ones. The response to it may renew the worker lease if a newer
 * heartbeat is in flight, so it must also stop cancelled tasks.
 */
async function staleHeartbeatAnswered(): Promise<Violation[]> {
  const cluster = new ScenarioCluster({
    zones: ['a'],
    nodes: ['a'],
    ...siteTimings.caalv,
    initial: [smallMachines(2)],
  });
  await cluster.begin();
  cluster.submit({ tasks: 2, cores: 2 }, longRunS);
  await cluster.until('all tasks run', () => cluster.checker.runningTasks('j-1').length === 2, 30);
  const [worker] = cluster.workers.values();
  if (!worker) throw new Error('no machine');
  const staleHeartbeat = worker.nextHeartbeatText();
  await cluster.run(12);
  // Commands sent directly to workers are lost, so only heartbeat responses can stop tasks.
  cluster.network.commandDelayMs = () => 1e9;
  requirePrecondition('cancellation confirmed', await cancelUntilConfirmed(cluster, 'j-1', 0));
  const call = { address: '127.0.0.1:9000', method: 'POST' as const, path: '/checkin', deadlineMs: 1000 };
  const reply = await Promise.all([
    cluster.network.exchange(worker.host, { ...call, body: staleHeartbeat }),
    cluster.run(1),
  ]).then(([answer]) => answer);
  const haltCommands = readCommands(reply.body, false)?.commands.filter((order) => order.op === 'halt') ?? [];
  const tasksOnMachine = [...worker.tasks.values()].length;
  requirePrecondition('tasks on the worker', tasksOnMachine > 0);
  if (haltCommands.length < tasksOnMachine)
    cluster.checker.reportViolation(
      'ran_cancelled',
      [haltCommands.length, tasksOnMachine],
      'a heartbeat response renews a worker lease and does not stop all cancelled tasks',
    );
  await cluster.run(80);
  return cluster.checker.violations;
}

/**
 * A leader stops. Some workers with long tasks receive nothing from the next leader, but their heartbeats
 * arrive, so they look healthy. The cloud has an outage, so no machine can be returned. The tasks of these
 * workers must run elsewhere once the former leases have expired, and not before.
 */
export async function workersCutFromNewLeader(): Promise<{
  violations: Violation[];
  restartedAfterS: number;
}> {
  const cluster = new ScenarioCluster({
    zones: ['a'],
    nodes: ['a', 'a'],
    ...siteTimings.caalv,
    initial: [smallMachines(10)],
  });
  await cluster.begin();
  const [shard = ''] = cluster.ledShards(0);
  cluster.submit({ tasks: 20, cores: 2 }, longRunS);
  await cluster.until('all tasks run', () => cluster.checker.runningTasks('j-1').length === 20, 40);
  cluster.cloud.hasOutage = true;
  await cluster.run(5);
  const ownedHosts = new Set(
    [...cluster.workers.values()].filter((w) => w.fencingToken > 0).map((w) => w.host),
  );
  const unreachableHosts = [...ownedHosts].slice(0, 4);
  cluster.network.dropOneWay((a, b) => a.kind === 'node' && unreachableHosts.includes(b));
  cluster.killController(0);
  await cluster.until('the shard is taken over', () => cluster.ownerOf(shard) === 1, 15);
  const takeoverAt = cluster.time.now;
  const { leaseS, cancelS } = siteTimings.caalv;
  // Within this time the former leader's lease expires, and so does the worker lease that it may have renewed
  // last. After that no task is held back.
  await cluster.run(cancelS + 15);
  const started = cluster.checker.runningTasks('j-1').length;
  await cluster.until('all running again', () => cluster.checker.runningTasks('j-1').length === 20, 60);
  const restartedAfterS = started === 20 ? cancelS + 15 : (cluster.time.now - takeoverAt) / 1000;
  await cluster.run(leaseS);
  return { violations: cluster.checker.violations, restartedAfterS };
}

/**
 * Other nodes accept jobs while the leader is refused, and just before the key-value store is down for all
 * nodes. Nodes that have not seen these jobs must not keep the other nodes from answering that the jobs are
 * open.
 */
async function acceptedWithoutLeader(): Promise<Violation[]> {
  const cluster = new ScenarioCluster({ zones: ['a'], nodes: ['a', 'a', 'a'], initial: [smallMachines(9)] });
  await cluster.begin();
  // Most queries are about jobs that all nodes have seen.
  for (let n = 0; n < 12; n++) cluster.submit({ id: `j-${String(100 + n)}`, tasks: 1, cores: 1 }, 300);
  await cluster.run(5);
  const host = cluster.controllerHost(0);
  if (host) cluster.store.setRefused(host, true);
  await cluster.run(1);
  cluster.submit({ id: 'j-1', tasks: 1, cores: 1 }, 30);
  await cluster.run(1.5);
  cluster.submit({ id: 'j-2', tasks: 1, cores: 1 }, 30);
  await cluster.until(
    'both jobs are accepted',
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
 * A partitioned leader has missed a cancellation, and the nodes that confirmed it have restarted. Since then
 * they have only seen that there is no record of the job. In the following outage the leader is queried about
 * the job. `longBefore`: there are too many later changes for the new processes to read how the job ended.
 */
async function cancelledWithoutLeader({ longBefore }: { longBefore: boolean }): Promise<Violation[]> {
  const cluster = new ScenarioCluster({
    zones: ['a'],
    nodes: ['a', 'a', 'a'],
    initial: [smallMachines(9)],
    ...(longBefore ? { store: unlimitedStore } : {}),
  });
  await cluster.begin();
  // Users do not poll the job, so only the node that confirms the cancellation has read its record.
  void cluster.submitToNode(0, { tasks: 1, cores: 1 }, 300);
  await cluster.until('the job is accepted', () => cluster.checker.isAccepted('j-1'), 5);
  const host = cluster.controllerHost(0);
  if (host) cluster.store.setRefused(host, true);
  const healPeerPartition = cluster.network.startPartition(
    'drop',
    (x, y) => x.name === 'node-0' && y.kind === 'node',
  );
  await cluster.run(0.5);
  requirePrecondition('cancellation confirmed', await cancelUntilConfirmed(cluster, 'j-1', 1));
  if (longBefore) await cluster.writeManyRecords();
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

/**
 * A leader is isolated from the key-value store and its peers, but users reach it. Other nodes must soon
 * serve them.
 */
export async function leaderIsolatedFromPeersAndStore(): Promise<{
  violations: Violation[];
  slowSubmissions: number;
}> {
  const cluster = new ScenarioCluster({ zones: ['a'], nodes: ['a', 'a', 'a'], initial: [smallMachines(9)] });
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
  const { submitted, acceptedQuickly } = cluster.users.counts;
  return {
    violations: cluster.checker.violations,
    slowSubmissions: submitted - before.submitted - (acceptedQuickly - before.acceptedQuickly),
  };
}

/**
 * During a store outage for all nodes, counts every second how many of the first two controllers the load
 * balancer considers healthy. Returns the lowest count.
 */
export async function healthyInOutage(): Promise<number> {
  const cluster = new ScenarioCluster({ zones: ['a'], nodes: ['a', 'a', 'a'], initial: [smallMachines(6)] });
  await cluster.begin();
  cluster.killController(2); // restarts without records: it leads no shard and is not ready, but it is alive
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

/**
 * Faults that are added, one a scenario, while the key-value store refuses the leader, jobs are cancelled and
 * all nodes lose the store.
 */
const extraFaults: Record<string, (cluster: ScenarioCluster) => void> = {
  'the node that confirmed the cancellation restarts': (cluster) =>
    cluster.otherNodes.slice(0, 1).forEach((n) => {
      cluster.killController(n);
      cluster.time.after(400, () => cluster.startController(n, 50));
    }),
  'both other nodes stop for good': (cluster) => cluster.otherNodes.forEach((n) => cluster.killController(n)),
  'the old leader freezes and resumes': (cluster) => cluster.freezeController(cluster.leader, 20_000),
  'commands and responses to workers are lost': (cluster) =>
    void cluster.network.dropOneWay((a, b) => a.kind === 'node' && b.kind === 'worker' && b.zone === 'a'),
  'the outage is interrupted': (cluster) => {
    cluster.time.after(15_000, () => cluster.store.setOutage(false));
    cluster.time.after(17_000, () => cluster.store.setOutage(true));
  },
  'writes are applied late': (cluster) => (cluster.store.lateWriteShare = 0.7),
  'old heartbeats are duplicated': (cluster) =>
    (cluster.network.copies.heartbeats = { share: 0.7, withinMs: 70_000 }),
  'the leader restarts': (cluster) => {
    cluster.killController(cluster.leader);
    cluster.time.after(300, () => cluster.startController(cluster.leader, 50));
  },
};

export const leaderFaultScenarios: Record<string, ScriptedScenario> = {
  'a refused leader, a cancellation at another node, a store outage for all nodes': () =>
    violationsOf(basePlan),
  ...Object.fromEntries(
    Object.entries(extraFaults).flatMap(([name, inject]) =>
      [2, 12].map((afterS): [string, ScriptedScenario] => [
        `a refused leader, a cancellation, an outage, and ${name} after ${String(afterS)} s`,
        () => violationsOf({ ...basePlan, extraFault: { afterS, inject } }),
      ]),
    ),
  ),
  'the first response to workers that stayed with a refused leader': firstHeartbeatResponse,
  'a launch command delayed beyond the cancellation': delayedLaunchCommand,
  'a response to a stale heartbeat': staleHeartbeatAnswered,
  'a cancellation missed by the leader, confirmed by a node that then restarts': () =>
    cancelledWithoutLeader({ longBefore: false }),
  'a cancellation missed by the leader, confirmed long before that node restarts': () =>
    cancelledWithoutLeader({ longBefore: true }),
  'jobs accepted without the leader before a store outage': acceptedWithoutLeader,
  'a leader isolated from the key-value store and its peers': async () =>
    (await leaderIsolatedFromPeersAndStore()).violations,
  'workers that the new leader cannot reach': async () => (await workersCutFromNewLeader()).violations,
};

/** All scenarios by name. The mutants refer to these names. */
export const scenarios: Record<string, ScriptedScenario> = {
  ...leaderFaultScenarios,
  ...restartScenarios,
  ...idleWaitScenarios,
  ...machineFaultScenarios,
  ...heartbeatScenarios,
  ...userRequestScenarios,
  ...acceptanceScenarios,
  ...storeOutageScenarios,
  ...lateReportScenarios,
  ...commandCopyScenarios,
};
