import type { Violation } from '../src/invariant-checker.ts';
import type { TransactionFault } from '../src/key-value-store-server.ts';
import { ScenarioCluster } from './refused-leader.ts';
import {
  requirePrecondition,
  type ScriptedScenario,
  violationsAfterCompletion,
} from './scripted-scenario.ts';

const longRunS = 1000;
/** Seconds of an outage in which a job without any answer counts as forgotten. */
const longOutageS = 115;
const polledJobs = ['j-2', 'j-3', 'j-4'];

/** Three controllers in one zone. */
async function startCluster(): Promise<ScenarioCluster> {
  const cluster = new ScenarioCluster({
    zones: ['a'],
    nodes: ['a', 'a', 'a'],
    initial: [{ type: 'small', zone: 'a', spot: false, count: 9 }],
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
async function startIsolatedLeader(): Promise<IsolatedLeader> {
  const cluster = await startCluster();
  void cluster.submitToNode(0, { tasks: 1, cores: 1 }, 4);
  await cluster.until('the job runs', () => isRunning(cluster, 'j-1'), 30);
  const leader = cluster.ownerOf(cluster.slicesOf('j-1')[0]?.part ?? '');
  const leaderName = `node-${String(leader)}`;
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

/**
 * Guards against an answer that is older than one given. A controller that its peers cannot reach completes a
 * job and tells the user. It restarts, and its new process sees only that there is no open record. The others
 * have seen the open record deleted. Then the key-value store is down, and users ask all of them again.
 */
async function completionToldBeforeRestart(): Promise<Violation[]> {
  const { cluster, leader, heal } = await startIsolatedLeader();
  await cluster.until('the job ends', () => !isOpenInStore(cluster, 'j-1'), 30, 5);
  await cluster.run(0.03);
  void cluster.queryNode('j-1', leader);
  await cluster.run(0.03);
  requirePrecondition('the end is told', cluster.checker.finalState('j-1') === 'done');
  cluster.killController(leader);
  heal();
  cluster.startController(leader, 20);
  // The new process reads its watch cache, and the others have not read the final record yet.
  await cluster.run(0.15);
  cluster.store.setOutage(true);
  await cluster.run(6);
  for (let n = 0; n < 9; n++) {
    void cluster.queryNode('j-1', n % 3);
    await cluster.run(1);
  }
  cluster.store.setOutage(false);
  await cluster.run(20);
  return violationsAfterCompletion(cluster);
}

/**
 * Guards against `forgotten` of seed 1, run 15 of `meetings`: a cancellation is applied but not answered, since
 * the controller that sent it ends and is back. Its new process cannot tell what the one before it has
 * reported. Seconds later, with nothing asked meanwhile, the key-value store is down. The user then polls.
 */
async function unansweredCancellationAndRestart(): Promise<Violation[]> {
  const cluster = await startCluster();
  void cluster.submitToNode(0, { tasks: 1, cores: 1 }, longRunS);
  await submitPolledJobs(cluster);
  await cancelWithoutAnswer(cluster);
  cluster.killController(0);
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
  await cluster.run(6);
  requirePrecondition('one node knows the end', (await countAnswered(cluster, [leader])) === 1);
  const others = [0, 1, 2].filter((node) => node !== leader);
  const answered = await countAnswered(cluster, others);
  if (answered < 2) cluster.checker.reportViolation('forgotten', ['j-1', answered], 'polls not answered');
  cluster.store.setOutage(false);
  await cluster.run(20);
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
  'a completion told by a node that then restarts, before a store outage': completionToldBeforeRestart,
  'an unanswered cancellation and a restart, seconds before a store outage': unansweredCancellationAndRestart,
  'a job whose end one node knows, polled at the others in a store outage': endKnownToOneNode,
};
