import type { Violation } from '../src/invariant-rules.ts';
import { controllerName } from '../src/deployment.ts';
import type { TransactionFault } from '../src/key-value-store-server.ts';
import { cancellationScenarios } from './cancellation-scenarios.ts';
import { ScenarioCluster } from './refused-leader.ts';
import {
  violationsAfterCompletion,
  requirePrecondition,
  type ScriptedScenario,
} from './scripted-scenario.ts';
import { smallMachines } from './test-cluster.ts';

const longRunS = 1000;
const singleZone = { zones: ['a'], nodes: ['a', 'a', 'a'] };
/** Makes users query all nodes. Returns a function that counts the queries sent directly to a node so far. */
function countDirectQueries(cluster: ScenarioCluster): () => number {
  let directQueries = 0;
  const ask = cluster.users.sendRequest.bind(cluster.users);
  cluster.users.sendRequest = (id, question, work, node): Promise<number> => {
    if (node !== undefined && node !== null) directQueries++;
    return ask(id, question, work, node);
  };
  cluster.users.queriesAllNodes = true;
  return () => directQueries;
}

/**
 * Guards against inconsistent answers of different nodes about one job. Users query all nodes repeatedly
 * within milliseconds and repeat the submission, right after a job was accepted, completed or confirmed as
 * cancelled. Every third job is cancelled soon after its submission. Meanwhile a fault affects the first node
 * or all nodes. `injectFault` is called with the job's number before each submission, and with -1 at the end,
 * when it ends the fault.
 */
async function queryAllNodesDuring(
  injectFault: (cluster: ScenarioCluster, n: number) => void,
  seed = 1,
): Promise<Violation[]> {
  const cluster = new ScenarioCluster({ ...singleZone, initial: [smallMachines(12)] }, undefined, seed);
  await cluster.begin();
  const directQueries = countDirectQueries(cluster);
  for (let n = 0; n < 24; n++) {
    const id = `j-${String(n)}`;
    injectFault(cluster, n);
    cluster.submit({ id, tasks: 1 + (n % 3), cores: 1 }, 1 + (n % 4));
    await cluster.run(0.7);
    if (n % 3 === 0) void cluster.users.cancelIfAccepted(id);
  }
  injectFault(cluster, -1);
  await cluster.run(60);
  const ends = [...cluster.workload.keys()].map((id) => cluster.checker.finalState(id));
  requirePrecondition('direct queries', directQueries() > 24 * 6);
  requirePrecondition('both done and cancelled jobs', ends.includes('done') && ends.includes('cancelled'));
  return violationsAfterCompletion(cluster);
}

/** The key-value store refuses the first node intermittently. */
const refuseFirstNodeIntermittently = (cluster: ScenarioCluster, n: number): void => {
  const host = cluster.controllerHost(0);
  if (host) cluster.store.setRefused(host, n >= 0 && n % 6 < 4);
};
const restartFirstNode = (cluster: ScenarioCluster, n: number): void => {
  if (n < 0 || n % 4 !== 1) return;
  cluster.killController(0);
  cluster.time.after(150, () => cluster.startController(0, 50));
};

/**
 * Two of every three writes to keys that begin with `kind` are applied at once but not answered, while users
 * query all nodes.
 */
async function lostWriteResponses(kind: string): Promise<Violation[]> {
  const cluster = new ScenarioCluster({
    ...singleZone,
    initial: [smallMachines(10)],
    teams: [{ name: 'red', cores: 8, maxCores: 24 }],
  });
  let matchingWrites = 0;
  const loseResponse = (keys: string[]): TransactionFault | null => {
    if (!keys.some((key) => key.startsWith(kind)) || matchingWrites++ % 3 === 2) return null;
    return { appliedAfterMs: 0, answered: false };
  };
  if (kind === 'live/machines/') cluster.store.transactionFaultFor = loseResponse;
  await cluster.begin();
  const directQueries = countDirectQueries(cluster);
  cluster.store.transactionFaultFor = loseResponse;
  for (let n = 0; n < 16; n++) {
    const id = `j-${String(n)}`;
    cluster.submit({ id, tasks: 6, cores: 1 + (n % 4) }, 2 + (n % 7));
    await cluster.run(2);
    if (n % 3 === 1) void cluster.users.cancelIfAccepted(id);
    if (n === 5) {
      cluster.killController(0);
      cluster.time.after(1500, () => cluster.startController(0, 50));
    }
  }
  await cluster.run(90);
  requirePrecondition(`unanswered writes to ${kind}`, matchingWrites > 0);
  requirePrecondition('direct queries', directQueries() > 0);
  cluster.store.transactionFaultFor = null;
  await cluster.run(60);
  return violationsAfterCompletion(cluster);
}

/**
 * A one-way partition from the key-value store to one node at a time. The store applies the node's
 * transactions, but the node receives neither responses nor watch events for them, while the other nodes read
 * what it wrote.
 */
async function responsesLostOneWay(): Promise<Violation[]> {
  const cluster = new ScenarioCluster({
    ...singleZone,
    initial: [smallMachines(12)],
    teams: [{ name: 'red', cores: 8, maxCores: 24 }],
  });
  await cluster.begin();
  const directQueries = countDirectQueries(cluster);
  let unseenWrites = 0;
  for (let n = 0; n < 12; n++) {
    for (let k = 0; k < 2; k++) cluster.submit({ id: `j-${String(2 * n + k)}`, tasks: 8, cores: 2 }, 5 + n);
    await cluster.run(1.5);
    const heal = cluster.network.dropOneWay((a, b) => a.kind === 'state' && b.name === controllerName(n % 3));
    const before = cluster.store.counts.changes;
    if (n % 2 === 0) void cluster.cancelAtNode(`j-${String(2 * n)}`, n % 3);
    await cluster.run(3);
    unseenWrites += cluster.store.counts.changes - before;
    heal();
    await cluster.run(2);
  }
  requirePrecondition('writes during the partition', unseenWrites > 0);
  requirePrecondition('direct queries', directQueries() > 0);
  await cluster.run(150);
  return violationsAfterCompletion(cluster);
}

/**
 * Guards against exceeding a team's limit. A leader gives up quota that it has no capacity for. The
 * transaction is applied, but the leader receives no response, and the receiving shard uses the quota. Then
 * machines of the giving shard have free capacity again.
 */
async function quotaTransferResponseLost(): Promise<Violation[]> {
  const cluster = new ScenarioCluster({
    zones: ['a'],
    nodes: ['a', 'a'],
    initial: [smallMachines(10)],
    teams: [
      { name: 'red', cores: 8, maxCores: 24 },
      { name: 'blue', cores: 8, maxCores: 0 },
    ],
  });
  await cluster.begin();
  const machines = [0, 1].map((node) => cluster.machinesOf(cluster.ledShards(node)[0] ?? ''));
  requirePrecondition(
    'machines in both shards',
    machines.every((each) => each.length >= 2),
  );
  cluster.submit({ id: 'j-1', team: 'blue', tasks: 10, cores: 8 }, longRunS);
  await cluster.until('all machines are full', () => cluster.checker.runningTasks('j-1').length === 10, 60);
  cluster.submit({ id: 'j-2', tasks: 48, cores: 1 }, longRunS);
  await cluster.run(5);
  const completeTasksOf = (node: number): void => {
    for (const id of machines[node] ?? [])
      cluster.workers.get(id)?.completeTasks((task) => task.startsWith('j-1/'));
  };
  let quotaWrites = 0;
  cluster.store.onPut = (key): void => void (quotaWrites += Number(key === 'live/quota/red'));
  const heal = cluster.network.dropOneWay((a, b) => a.kind === 'state' && b.name === 'node-0');
  completeTasksOf(1);
  await cluster.until('the quota is transferred', () => quotaWrites > 0, 10, 20);
  await cluster.run(1.5);
  completeTasksOf(0);
  await cluster.run(3);
  requirePrecondition('quota used by the receiving shard', cluster.checker.usedCores('red') > 12);
  heal();
  await cluster.run(40);
  return cluster.checker.violations;
}

export const userRequestScenarios: Record<string, ScriptedScenario> = {
  'users query all nodes': () => queryAllNodesDuring(() => {}),
  ...Object.fromEntries(
    [4, 5].map((seed): [string, ScriptedScenario] => [
      `users query all nodes, seed ${String(seed)}`,
      () => queryAllNodesDuring(() => {}, seed),
    ]),
  ),
  'users query all nodes, the store is slow': () =>
    queryAllNodesDuring((cluster, n) => (cluster.store.extraLatencyMs = n >= 0 ? 700 : 0)),
  'users query all nodes, the store refuses one of them': () =>
    queryAllNodesDuring(refuseFirstNodeIntermittently),
  'users query all nodes, one of them has just restarted': () => queryAllNodesDuring(restartFirstNode),
  'users query all nodes, the store has an outage': () =>
    queryAllNodesDuring((cluster, n) => cluster.store.setOutage(n >= 0 && n % 8 > 5)),
  'users query all nodes, writes are not answered': () =>
    queryAllNodesDuring((cluster, n) => (cluster.store.lostAnswerShare = n >= 0 ? 0.4 : 0)),
  'users query all nodes, a leader is partitioned from its peers and refused': () => {
    let heal = (): void => {};
    return queryAllNodesDuring((cluster, n) => {
      refuseFirstNodeIntermittently(cluster, n);
      if (n % 6 === 0)
        heal = cluster.network.startPartition('drop', (x, y) => x.name === 'node-0' && y.kind === 'node');
      if (n % 6 === 4 || n < 0) heal();
    });
  },
  ...Object.fromEntries(
    ['live/job/', 'job/', 'live/progress/', 'live/machines/', 'live/part/', 'live/node/', 'live/quota/'].map(
      (kind): [string, ScriptedScenario] => [
        `writes to ${kind} applied at once but not answered`,
        () => lostWriteResponses(kind),
      ],
    ),
  ),
  'a one-way partition from the key-value store to a node': responsesLostOneWay,
  'a quota transfer whose response does not reach the giving node': quotaTransferResponseLost,
  ...cancellationScenarios,
};
