import type { Violation } from '../src/invariant-rules.ts';
import type { TransactionFault } from '../src/key-value-store-server.ts';
import { controllerName, type Deployment } from '../src/deployment.ts';
import { ScenarioCluster, unlimitedStore } from './refused-leader.ts';
import {
  requirePrecondition,
  type ScriptedScenario,
  violationsAfterCompletion,
} from './scripted-scenario.ts';
import { smallMachines } from './test-cluster.ts';

const longRunS = 1000;
/** Seconds after which a node reports an end although no majority is known to know it. */
const reportWithoutMajorityS = 21;
/** Seconds of an outage in which a job without any answer counts as forgotten. */
const longOutageS = 115;
const polledJobs = ['j-2', 'j-3', 'j-4'];

/** Three controllers in one zone, unless the deployment says otherwise. */
export async function startCluster(deployment: Partial<Deployment> = {}): Promise<ScenarioCluster> {
  const cluster = new ScenarioCluster({
    zones: ['a'],
    nodes: ['a', 'a', 'a'],
    initial: [smallMachines(9)],
    ...deployment,
  });
  await cluster.begin();
  return cluster;
}

/** Submits jobs whose users poll them throughout the scenario, so that most polls are answered. */
async function submitPolledJobs(cluster: ScenarioCluster): Promise<void> {
  for (const id of polledJobs) cluster.submit({ id, tasks: 1, cores: 1 }, longRunS);
  await cluster.until('all jobs run', () => polledJobs.every((id) => isRunning(cluster, id)), 30);
}

const isRunning = (cluster: ScenarioCluster, id: string): boolean =>
  cluster.checker.runningTasks(id).length > 0;

const isOpenInStore = (cluster: ScenarioCluster, id: string): boolean =>
  cluster.store.read(`live/job/${id}`) !== undefined;

/** A cancellation of `j-1` at node 0 is applied and not answered. */
async function cancelWithoutAnswer(cluster: ScenarioCluster): Promise<void> {
  cluster.store.transactionFaultFor = (keys): TransactionFault | null =>
    keys.includes('job/j-1') ? { appliedAfterMs: 0, answered: false } : null;
  void cluster.cancelAtNode('j-1', 0);
  await cluster.until('the cancellation is applied', () => !isOpenInStore(cluster, 'j-1'), 5, 5);
}

interface IsolatedLeader {
  cluster: ScenarioCluster;
  /** The node that leads the shard of `j-1`. */
  leader: number;
  /** Ends the partition. */
  heal: () => void;
}

/** The short job `j-1` runs, and the leader of its shard is partitioned from its peers. */
async function startIsolatedLeader(deployment: Partial<Deployment> = {}): Promise<IsolatedLeader> {
  const cluster = await startCluster(deployment);
  void cluster.submitToNode(0, { tasks: 1, cores: 1 }, 4);
  await cluster.until('the job runs', () => isRunning(cluster, 'j-1'), 30);
  const leader = cluster.ownerOf(cluster.slicesOf('j-1')[0]?.part ?? '');
  const leaderName = controllerName(leader);
  const heal = cluster.network.startPartition('drop', (x, y) => x.name === leaderName && y.kind === 'node');
  return { cluster, leader, heal };
}

/** Polls `j-1` at one node after the other. Returns how many polls were answered. */
async function countAnswered(cluster: ScenarioCluster, nodes: number[]): Promise<number> {
  let answered = 0;
  for (const node of nodes) {
    void cluster.queryNode('j-1', node).then((isAnswered) => (answered += Number(isAnswered)));
    await cluster.run(2.5);
  }
  return answered;
}

/** Ends the outage, cancels the jobs that are still running, and waits until their users know the end. */
async function endOutage(cluster: ScenarioCluster): Promise<void> {
  cluster.store.setOutage(false);
  await cluster.run(5);
  for (const id of polledJobs) void cluster.users.cancelIfAccepted(id);
  await cluster.run(60);
}

/**
 * Guards against `forgotten` of seed 1, run 15 of `meetings`: a cancellation is applied but not answered. All
 * controllers see that the open record is gone, none has read the final record, and then the key-value store
 * is down for all of them. The user polls the job meanwhile.
 */
async function unansweredCancellation(
  injectFault: (cluster: ScenarioCluster) => Promise<void> = () => Promise.resolve(),
): Promise<Violation[]> {
  const cluster = await startCluster();
  cluster.submit({ id: 'j-1', tasks: 1, cores: 1 }, longRunS);
  await submitPolledJobs(cluster);
  await injectFault(cluster);
  await cancelWithoutAnswer(cluster);
  await cluster.run(0.2);
  cluster.store.setOutage(true);
  await cluster.run(longOutageS);
  requirePrecondition('no user knows the end', cluster.checker.finalState('j-1') === null);
  await endOutage(cluster);
  requirePrecondition('the end is told', cluster.checker.finalState('j-1') === 'cancelled');
  return violationsAfterCompletion(cluster);
}

/** The leader of `j-1`, isolated from its peers, completes the job while the store refuses the peers. */
async function completeAtIsolatedLeader(deployment: Partial<Deployment> = {}): Promise<IsolatedLeader> {
  const isolated = await startIsolatedLeader(deployment);
  const { cluster, leader } = isolated;
  setPeersRefused(cluster, leader, true);
  await cluster.until('the job ends', () => !isOpenInStore(cluster, 'j-1'), 30, 5);
  await cluster.run(0.03);
  void cluster.queryNode('j-1', leader);
  await cluster.run(0.5);
  return isolated;
}

/** The key-value store refuses all controllers but the leader, or serves them again. */
function setPeersRefused(cluster: ScenarioCluster, leader: number, refused: boolean): void {
  for (const node of [0, 1, 2]) {
    const host = cluster.controllerHost(node);
    if (node !== leader && host) cluster.store.setRefused(host, refused);
  }
}

/** The leader restarts and reaches its peers again, while the key-value store is down for all. Users poll. */
async function restartAndPollInOutage({ cluster, leader, heal }: IsolatedLeader): Promise<number> {
  cluster.killController(leader);
  heal();
  cluster.startController(leader, 20);
  // Time to read the watch cache, unless the key-value store is down already.
  await cluster.run(0.15);
  cluster.store.setOutage(true);
  await cluster.run(6);
  const answered = await countAnswered(cluster, [0, 1, 2, 0, 1, 2, 0, 1, 2]);
  cluster.store.setOutage(false);
  setPeersRefused(cluster, leader, false);
  await cluster.run(30);
  return answered;
}

/**
 * Guards against an answer that is older than one given. A controller that its peers cannot reach completes a
 * job and, as no peer acknowledges the end, tells the user only after the read leases. It restarts. The others
 * still see the job as open. Then the key-value store is down, and users ask all of them again. The new process
 * reads how the job ended. If it is `unread`, it sees nothing at all; if the job ended `longBefore`, it sees only
 * that there is no open record.
 */
async function completionToldBeforeRestart(how: {
  unread?: boolean;
  longBefore?: boolean;
}): Promise<Violation[]> {
  const { unread = false, longBefore = false } = how;
  const isolated = await completeAtIsolatedLeader(longBefore ? { store: unlimitedStore } : {});
  const { cluster, leader } = isolated;
  requirePrecondition('the end is not told before', cluster.checker.finalState('j-1') === null);
  await cluster.run(reportWithoutMajorityS);
  void cluster.queryNode('j-1', leader);
  await cluster.run(0.5);
  requirePrecondition('the end is told', cluster.checker.finalState('j-1') === 'done');
  if (longBefore) await cluster.writeManyRecords();
  if (unread) cluster.store.setOutage(true);
  await restartAndPollInOutage(isolated);
  return violationsAfterCompletion(cluster);
}

/**
 * Guards against an older answer, and against polls that fail for a whole outage. A controller that its peers
 * cannot reach completes a job. It restarts before it may tell the end, in an outage of the key-value store.
 * The others show that it has told nobody.
 */
async function restartBeforeReport(): Promise<Violation[]> {
  const isolated = await completeAtIsolatedLeader();
  const { cluster, leader } = isolated;
  cluster.store.setOutage(true);
  const answered = await restartAndPollInOutage(isolated);
  // The new process cannot show the job's state.
  if (answered < 6) cluster.checker.reportViolation('forgotten', ['j-1', answered], 'polls not answered');
  await countAnswered(cluster, [leader]);
  return violationsAfterCompletion(cluster);
}

/**
 * Guards against `forgotten` of seed 21, runs 388 and 469 of `returns`: a controller restarts in an outage of
 * the key-value store, twice. Its new process can read nothing. Users poll throughout the outage.
 */
async function restartsInOutage(): Promise<Violation[]> {
  const cluster = await startCluster();
  cluster.submit({ id: 'j-1', tasks: 1, cores: 1 }, longRunS);
  await submitPolledJobs(cluster);
  cluster.store.setOutage(true);
  for (const backMs of [50, 9000]) {
    await cluster.run(3);
    cluster.killController(1);
    await cluster.run(backMs / 1000);
    cluster.startController(1, 50);
    await cluster.run(2);
    const answered = await countAnswered(cluster, [0, 2]);
    if (answered < 2) cluster.checker.reportViolation('forgotten', ['j-1', answered], 'polls not answered');
  }
  await cluster.run(longOutageS);
  await endOutage(cluster);
  void cluster.users.cancelIfAccepted('j-1');
  await cluster.run(60);
  return violationsAfterCompletion(cluster);
}

/**
 * Guards against an answer that is older than one given. A cancellation is told once a majority knows it. The
 * nodes of that majority restart in an outage of the key-value store, within the read leases of the node that
 * has missed the end.
 */
async function restartOfMajority(): Promise<Violation[]> {
  const cluster = await startCluster();
  void cluster.submitToNode(0, { tasks: 1, cores: 1 }, longRunS);
  await cluster.until('the job runs', () => isRunning(cluster, 'j-1'), 30);
  const host = cluster.controllerHost(0);
  if (host) cluster.store.setRefused(host, true);
  const heal = cluster.network.startPartition('drop', (x, y) => x.name === 'node-0' && y.kind === 'node');
  await cluster.run(0.5);
  void cluster.cancelAtNode('j-1', 1);
  await cluster.run(0.5);
  requirePrecondition('the end is told', cluster.checker.finalState('j-1') === 'cancelled');
  cluster.store.setOutage(true);
  for (const node of [1, 2]) {
    cluster.killController(node);
    cluster.startController(node, 20);
  }
  heal();
  await cluster.run(3);
  await countAnswered(cluster, [0, 1, 2, 0, 1, 2]);
  cluster.store.setOutage(false);
  if (host) cluster.store.setRefused(host, false);
  await cluster.run(30);
  return violationsAfterCompletion(cluster);
}

/**
 * Guards against `forgotten` of seed 1, run 15 of `meetings`: a cancellation is applied but not answered, since
 * the controller that sent it ends and is back. Its new process cannot tell what the one before it has
 * reported, or reads it at its start unless the job ended `longBefore`. Seconds later, with nothing asked
 * meanwhile, the key-value store is down. The user then polls.
 */
async function unansweredCancellationAndRestart({ longBefore = false } = {}): Promise<Violation[]> {
  const cluster = await startCluster(longBefore ? { store: unlimitedStore } : {});
  void cluster.submitToNode(0, { tasks: 1, cores: 1 }, longRunS);
  await submitPolledJobs(cluster);
  await cancelWithoutAnswer(cluster);
  cluster.killController(0);
  if (longBefore) await cluster.writeManyRecords();
  cluster.startController(0, 50);
  await cluster.run(3);
  cluster.store.setOutage(true);
  requirePrecondition('no user knows the end', cluster.checker.finalState('j-1') === null);
  const answered = await countAnswered(cluster, [0, 1, 2, 0, 1, 2, 0, 1, 2]);
  if (answered < 9) cluster.checker.reportViolation('forgotten', ['j-1', answered], 'polls not answered');
  await endOutage(cluster);
  await countAnswered(cluster, [1]);
  return violationsAfterCompletion(cluster);
}

/**
 * Guards against polls that fail although a peer knows the answer. The key-value store is down from the moment
 * at which a job's end is committed, and no peer receives the notice of the controller that committed it.
 */
async function endKnownToOneNode(): Promise<Violation[]> {
  const { cluster, leader, heal } = await startIsolatedLeader();
  cluster.store.onPut = (key): void => {
    if (key === 'job/j-1') cluster.store.setOutage(true);
  };
  await cluster.until('the job ends', () => !isOpenInStore(cluster, 'j-1'), 30, 5);
  await cluster.run(0.1);
  heal();
  const others = [0, 1, 2].filter((node) => node !== leader);
  const [first = 0] = others;
  if ((await countAnswered(cluster, [first])) < 1)
    cluster.checker.reportViolation('forgotten', ['j-1', first], 'the first poll not answered');
  await cluster.run(6);
  requirePrecondition('one node knows the end', (await countAnswered(cluster, [leader])) === 1);
  const answered = await countAnswered(cluster, others);
  if (answered < 2) cluster.checker.reportViolation('forgotten', ['j-1', answered], 'polls not answered');
  cluster.store.setOutage(false);
  await cluster.run(20);
  return violationsAfterCompletion(cluster);
}

/**
 * Guards against ends that users learn late: no controller reaches another, all reach the key-value store, and a
 * job ends. Each controller tells the end 3 s later, as the protocol allows.
 */
async function endWithoutMessages(): Promise<Violation[]> {
  const cluster = await startCluster();
  const heal = cluster.network.startPartition('drop', (x, y) => x.kind === 'node' && y.kind === 'node');
  await cluster.run(6);
  void cluster.submitToNode(0, { tasks: 1, cores: 1 }, 4);
  await cluster.until('the job ends', () => cluster.store.read('job/j-1') !== undefined, 30, 5);
  await cluster.run(3);
  for (const node of [0, 1, 2]) {
    const isAnswered = (await countAnswered(cluster, [node])) === 1;
    if (!isAnswered) cluster.checker.reportViolation('forgotten', ['j-1', node], 'the end is not told');
  }
  heal();
  return violationsAfterCompletion(cluster);
}

/**
 * Guards against `forgotten` of seed 71, run 342 of `small`: a job ends, and all controllers that know it end too.
 * Their next processes have read their watch caches, without the final record, when the key-value store is down.
 */
async function endBeforeRestartOfAll(nodes: string[]): Promise<Violation[]> {
  const cluster = await startCluster({ nodes });
  void cluster.submitToNode(0, { tasks: 1, cores: 1 }, 4);
  await cluster.until('the job ends', () => cluster.store.read('job/j-1') !== undefined, 30, 5);
  for (const node of nodes.keys()) cluster.killController(node);
  await cluster.run(6);
  for (const node of nodes.keys()) cluster.startController(node, 20);
  // Time for the requests that follow one another at a start, and none to spare.
  await cluster.run(0.08);
  cluster.store.setOutage(true);
  requirePrecondition('no user knows the end', cluster.checker.finalState('j-1') === null);
  await cluster.run(6);
  const answered = await countAnswered(cluster, [...nodes.keys()]);
  if (answered < nodes.length)
    cluster.checker.reportViolation('forgotten', ['j-1', answered], 'polls not answered');
  cluster.store.setOutage(false);
  await cluster.run(20);
  await countAnswered(cluster, [0]);
  return violationsAfterCompletion(cluster);
}

/** A controller restarts and has loaded its watch cache again. */
async function restartSecondController(cluster: ScenarioCluster): Promise<void> {
  cluster.killController(1);
  await cluster.run(0.2);
  cluster.startController(1, 50);
  await cluster.run(6);
}

export const storeOutageScenarios: Record<string, ScriptedScenario> = {
  'an unanswered cancellation, then a store outage for all nodes': () => unansweredCancellation(),
  'a restart, an unanswered cancellation, then a store outage for all nodes': () =>
    unansweredCancellation(restartSecondController),
  'a completion told by a node that then restarts, before a store outage': () =>
    completionToldBeforeRestart({}),
  'a completion told long before that node restarts, before a store outage': () =>
    completionToldBeforeRestart({ longBefore: true }),
  'a completion told by a node that then restarts, in a store outage': () =>
    completionToldBeforeRestart({ unread: true }),
  'a completion that a node has told nobody before it restarts in a store outage': restartBeforeReport,
  'restarts in a store outage, with jobs polled throughout': restartsInOutage,
  'a cancellation told by a majority whose nodes restart in a store outage': restartOfMajority,
  'an unanswered cancellation and a restart, seconds before a store outage': () =>
    unansweredCancellationAndRestart(),
  'an unanswered cancellation and long after it a restart, seconds before a store outage': () =>
    unansweredCancellationAndRestart({ longBefore: true }),
  'a job that ends before its only controller restarts, then a store outage': () =>
    endBeforeRestartOfAll(['a']),
  'a job that ends before all controllers restart, then a store outage': () =>
    endBeforeRestartOfAll(['a', 'a', 'a']),
  'a job that ends while controllers reach only the store': endWithoutMessages,
  'a job whose end one node knows, polled at the others in a store outage': endKnownToOneNode,
};
