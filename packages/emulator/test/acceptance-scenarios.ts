import { controllerName } from '../src/deployment.ts';
import type { Violation } from '../src/invariant-rules.ts';
import type { TransactionFault } from '../src/key-value-store-server.ts';
import type { ScenarioCluster } from './refused-leader.ts';
import {
  requirePrecondition,
  type ScriptedScenario,
  violationsAfterCompletion,
} from './scripted-scenario.ts';
import { startCluster } from './store-outage-scenarios.ts';

const allNodes = [0, 1, 2];
const runS = 4;
/** Seconds of an outage after which all nodes know that they have lost contact with the store. */
const contactLostS = 6;

const openKey = (job: string): string => `live/job/${job}`;

/** Users submit jobs, all at the same moment, to the first nodes. Returns the jobs' ids. */
function submitTogether(cluster: ScenarioCluster, count: number): string[] {
  const ids = Array.from({ length: count }, (_, number) => `j-${String(number + 1)}`);
  ids.forEach((id, number) => {
    void cluster.submitToNode(number % allNodes.length, { id, tasks: 1, cores: 1 }, runS);
  });
  return ids;
}

/** The store is down for all nodes from the moment at which it has committed the last of these records. */
function failOnceCommitted(cluster: ScenarioCluster, keys: readonly string[]): void {
  const missing = new Set(keys);
  cluster.store.onPut = (key): void => {
    if (missing.delete(key) && missing.size === 0) cluster.store.setOutage(true);
  };
}

/** The store's answers do not reach these nodes, so that their watches show nothing. Returns what ends it. */
function cutAnswersTo(cluster: ScenarioCluster, nodes: readonly number[]): () => void {
  const names = new Set(nodes.map(controllerName));
  return cluster.network.dropOneWay((from, to) => from.kind === 'state' && names.has(to.name));
}

/** The node and its peers do not reach one another. Returns what ends it. */
function isolate(cluster: ScenarioCluster, node: number): () => void {
  const name = controllerName(node);
  return cluster.network.startPartition('drop', (x, y) => x.name === name && y.kind === 'node');
}

function requireAccepted(cluster: ScenarioCluster, jobs: readonly string[]): void {
  for (const job of jobs) requirePrecondition(`${job} is accepted`, cluster.checker.isAccepted(job));
}

/** Every poll of the jobs at the nodes must be answered. */
async function requireAnswers(
  cluster: ScenarioCluster,
  jobs: readonly string[],
  nodes: readonly number[],
): Promise<void> {
  for (const node of nodes) {
    const polls = jobs.map((job) => cluster.queryNode(job, node));
    await requireAll(cluster, jobs, polls, `polls at node ${String(node)}`);
  }
}

/** Every submission that is repeated at the node must be answered. */
async function requireRepeatedAnswers(
  cluster: ScenarioCluster,
  jobs: readonly string[],
  node: number,
): Promise<void> {
  const submissions = jobs.map((id) => cluster.submitToNode(node, { id, tasks: 1, cores: 1 }, runS));
  await requireAll(cluster, jobs, submissions, `submissions at node ${String(node)}`);
}

/** Waits until each request, one for each job, is answered; otherwise the job is forgotten. */
async function requireAll(
  cluster: ScenarioCluster,
  jobs: readonly string[],
  requests: readonly Promise<boolean>[],
  what: string,
): Promise<void> {
  await cluster.run(2.5);
  for (const [index, isAnswered] of (await Promise.all(requests)).entries()) {
    const job = jobs[index] ?? '';
    if (!isAnswered) cluster.checker.reportViolation('forgotten', [job, what], `${what} not answered`);
  }
}

async function restart(cluster: ScenarioCluster, node: number, awayS: number): Promise<void> {
  cluster.killController(node);
  await cluster.run(awayS);
  cluster.startController(node, 20);
}

/** Ends the outage. Users ask again once the jobs have run. */
async function endOutage(cluster: ScenarioCluster, jobs: readonly string[]): Promise<Violation[]> {
  cluster.store.setOutage(false);
  await cluster.run(30);
  for (const node of allNodes) for (const job of jobs) void cluster.queryNode(job, node);
  await cluster.run(5);
  return violationsAfterCompletion(cluster);
}

/** Guards against `forgotten` of review/2: jobs are accepted, and the store is down before any watch shows them. */
async function acceptedTogether(): Promise<Violation[]> {
  const cluster = await startCluster();
  const jobs = submitTogether(cluster, 8);
  failOnceCommitted(cluster, jobs.map(openKey));
  await cluster.run(contactLostS);
  requireAccepted(cluster, jobs);
  await requireAnswers(cluster, jobs, allNodes);
  await requireRepeatedAnswers(cluster, jobs, 1);
  return endOutage(cluster, jobs);
}

/** Guards against `forgotten`: the node that has accepted a job just before an outage restarts in it. */
async function acceptedBeforeRestart(awayS: number): Promise<Violation[]> {
  const cluster = await startCluster();
  const jobs = submitTogether(cluster, 1);
  failOnceCommitted(cluster, jobs.map(openKey));
  await cluster.run(0.1);
  requireAccepted(cluster, jobs);
  await restart(cluster, 0, awayS);
  await cluster.run(contactLostS);
  await requireAnswers(cluster, jobs, [1, 2]);
  return endOutage(cluster, jobs);
}

/**
 * Guards against `forgotten`: an acceptance is not answered, the node reads the job back, and restarts in the
 * outage that follows. The watches of the others have not shown the job.
 */
async function acceptanceReadBack(): Promise<Violation[]> {
  const cluster = await startCluster();
  cluster.store.transactionFaultFor = (keys): TransactionFault | null =>
    keys.includes(openKey('j-1')) ? { appliedAfterMs: 0, answered: false } : null;
  const heal = cutAnswersTo(cluster, [1, 2]);
  const jobs = submitTogether(cluster, 1);
  await cluster.until('the job is accepted', () => cluster.checker.isAccepted('j-1'), 5, 5);
  cluster.store.setOutage(true);
  heal();
  await restart(cluster, 0, 0.5);
  await cluster.run(contactLostS);
  await requireAnswers(cluster, jobs, [1, 2]);
  return endOutage(cluster, jobs);
}

/**
 * Guards against `forgotten`: the node that has committed an acceptance ends before the answer, and is back in the
 * outage that follows. The job is submitted again at another node before it; the third has seen nothing.
 */
async function acceptanceRepeated(): Promise<Violation[]> {
  const cluster = await startCluster();
  const heal = cutAnswersTo(cluster, [2]);
  const jobs = submitTogether(cluster, 1);
  await cluster.until('the job is committed', () => cluster.store.read(openKey('j-1')) !== undefined, 5, 1);
  cluster.killController(0);
  await cluster.run(0.2);
  requirePrecondition('the job is not accepted yet', !cluster.checker.isAccepted('j-1'));
  void cluster.submitToNode(1, { id: 'j-1', tasks: 1, cores: 1 }, runS);
  await cluster.until('the job is accepted', () => cluster.checker.isAccepted('j-1'), 5, 1);
  cluster.store.setOutage(true);
  heal();
  cluster.startController(0, 20);
  await cluster.run(contactLostS);
  await requireAnswers(cluster, jobs, [1, 2]);
  return endOutage(cluster, jobs);
}

/** Guards against `forgotten`: a node that the store refuses forwards a submission just before an outage for all. */
async function acceptanceForwarded(): Promise<Violation[]> {
  const cluster = await startCluster();
  const host = cluster.controllerHost(0);
  if (host) cluster.store.setRefused(host, true);
  await cluster.run(contactLostS);
  const jobs = submitTogether(cluster, 1);
  failOnceCommitted(cluster, jobs.map(openKey));
  await cluster.run(contactLostS);
  requireAccepted(cluster, jobs);
  await requireAnswers(cluster, jobs, allNodes);
  if (host) cluster.store.setRefused(host, false);
  return endOutage(cluster, jobs);
}

/**
 * Guards against `forgotten`: the notices of an acceptance are lost, so that only the node that has accepted the
 * job knows it. Others learn it when they are polled, and that node restarts in the outage.
 */
async function noticesLost(): Promise<Violation[]> {
  const cluster = await startCluster();
  const heal = isolate(cluster, 0);
  await cluster.run(0.1);
  const jobs = submitTogether(cluster, 1);
  failOnceCommitted(cluster, jobs.map(openKey));
  await cluster.run(0.2);
  requireAccepted(cluster, jobs);
  heal();
  await cluster.run(contactLostS);
  await requireAnswers(cluster, jobs, [1, 2]);
  await restart(cluster, 0, 0.5);
  await cluster.run(3);
  await requireAnswers(cluster, jobs, [1, 2]);
  return endOutage(cluster, jobs);
}

/**
 * Guards against an answer that is older than one given. A job is accepted and cancelled before the third node's
 * watch shows it; that node has the notice of the acceptance, and not the one of the end. The other two, a majority
 * that knew the end and told it, restart in an outage.
 */
async function acceptedAndCancelled(): Promise<Violation[]> {
  const cluster = await startCluster();
  const healStore = cutAnswersTo(cluster, [2]);
  const jobs = submitTogether(cluster, 1);
  await cluster.until('the job is accepted', () => cluster.checker.isAccepted('j-1'), 5, 1);
  await cluster.run(0.02);
  const healPeers = isolate(cluster, 2);
  void cluster.cancelAtNode('j-1', 0);
  await cluster.until('the end is told', () => cluster.checker.finalState('j-1') === 'cancelled', 5, 1);
  cluster.store.setOutage(true);
  for (const node of [0, 1]) await restart(cluster, node, 0.05);
  healStore();
  healPeers();
  await cluster.run(contactLostS);
  for (const node of [...allNodes, ...allNodes]) {
    void cluster.queryNode('j-1', node);
    await cluster.run(2.5);
  }
  return endOutage(cluster, jobs);
}

export const acceptanceScenarios: Record<string, ScriptedScenario> = {
  'jobs accepted at the same moment, then a store outage for all nodes': acceptedTogether,
  'a job accepted by a node that restarts within a store outage': () => acceptedBeforeRestart(0.05),
  'a job accepted by a node that is away for some seconds of a store outage': () => acceptedBeforeRestart(4),
  'an acceptance that is read back by a node that restarts in a store outage': acceptanceReadBack,
  'an acceptance that is repeated at another node, then a store outage': acceptanceRepeated,
  'an acceptance that is forwarded, then a store outage': acceptanceForwarded,
  'an acceptance that no peer is told, then a store outage': noticesLost,
  'a job accepted and cancelled before a watch shows it, then a store outage': acceptedAndCancelled,
};
