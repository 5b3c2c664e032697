import type { Violation } from '../src/invariant-checker.ts';
import type { Deployment } from '../src/cluster.ts';
import type { JobSpec } from '@onyxkeel/scheduler';
import { readJobState, encodeSubmission } from '../src/protocol/wire.ts';
import { newWork } from '../src/workload.ts';
import { plainJob, TestCluster } from './test-cluster.ts';

/** The settings of the sites, in seconds (BRIEF and the pages after it). */
export const siteTimings = {
  caalv: { heartbeatS: 5, leaseS: 31, cancelS: 61 },
  matkaturva: { heartbeatS: 2.5, leaseS: 16, cancelS: 36 },
} satisfies Record<string, Partial<Deployment>>;

export interface RefusedLeaderPlan {
  site: keyof typeof siteTimings;
  /** Seconds from the refusal of the leader to the cancellations, and from those to the outage of all. */
  cancelAfterS: number;
  outageAfterS: number;
  /** Seconds of the outage; by default longer than a cancellation and a lease together. */
  outageS?: number;
  /** Whether the other nodes reach no worker, so that the workers can do nothing but stay with the leader. */
  workersReachOnlyLeader: boolean;
  /** Whether the leader and its siblings hear nothing of each other either. */
  leaderIsolated: boolean;
  seed?: number;
  /** Seconds from the refusal to the end of the taking of one more trouble, and the trouble. */
  extraFault?: { afterS: number; inject: (cluster: ScenarioCluster) => void };
}

/** A world in which a user's cancellation is put to one node. */
export class ScenarioCluster extends TestCluster {
  /** The node that owns most machines when the story begins. */
  leader = 0;
  confirmedAt = Infinity;

  get otherNodes(): number[] {
    return this.deployment.nodes.map((_, n) => n).filter((n) => n !== this.leader);
  }

  async cancelAtNode(job: string, node: number): Promise<boolean> {
    this.checker.onCancelAsked(job);
    return this.queryNode(job, node, 'cancel');
  }

  /** A user submits the job to that node, and asks nothing more about it. */
  async submitToNode(node: number, spec: Partial<JobSpec>, runS: number): Promise<void> {
    const work = newWork({ ...plainJob, ...spec }, () => runS, false);
    this.workload.set(work.spec.id, work);
    work.submitted = true;
    const askedAt = this.time.now;
    const address = `127.0.0.1:${String(9000 + node)}`;
    const call = { address, method: 'POST' as const, path: '/v1/jobs', deadlineMs: 5000 };
    const body = encodeSubmission(work.spec);
    const reply = await this.network.exchange(this.usersHost, { ...call, body }).catch(() => null);
    if (reply) this.checker.onAnswer(work.spec.id, 'submit', askedAt, reply.status, readJobState(reply.body));
  }

  /** A user asks that node about the job, and the judge is told of the answer. True if it was answered. */
  async queryNode(job: string, node: number, question: 'poll' | 'cancel' = 'poll'): Promise<boolean> {
    const askedAt = this.time.now;
    const address = `127.0.0.1:${String(9000 + node)}`;
    const how =
      question === 'poll'
        ? { method: 'GET' as const, path: `/v1/jobs/${job}`, deadlineMs: 2000 }
        : { method: 'POST' as const, path: `/v1/jobs/${job}/withdraw`, deadlineMs: 5000 };
    const reply = await this.network.exchange(this.usersHost, { address, ...how }).catch(() => null);
    if (!reply) return false;
    this.checker.onAnswer(job, question, askedAt, reply.status, readJobState(reply.body));
    return reply.status === 200;
  }

  get shards(): string[] {
    return this.store.keys('live/part/').map((key) => key.slice('live/part/'.length));
  }

  /** The machines that the part's records name. */
  machinesOf(shard: string): string[] {
    return this.store
      .keys(`live/machines/${shard}/`)
      .flatMap((key) => Object.keys((this.store.read(key) as { machines: object }).machines));
  }

  tokenOf(shard: string): number {
    return (this.store.read(`live/part/${shard}`) as { token: number }).token;
  }

  ownerOf(shard: string): number {
    return Number((this.store.read(`live/part/${shard}`) as { owner: string }).owner.split('-')[1]);
  }
}

/**
 * The meeting that broke most (LATER.md of the hunt sites): the state service refuses the leading controller alone,
 * another confirms cancellations, then the state service is down for all, for longer than `cancel_s`, while workers go
 * on reporting to the old leader. Tasks are longer than all of it: running with and without checkpoints, fetching, and
 * with launches in flight. Returns the rules broken, and how many tasks were on machines when the users were told.
 */
export async function runRefusedLeader(
  plan: RefusedLeaderPlan,
): Promise<{ violations: Violation[]; tasksOnMachines: number }> {
  const timings = siteTimings[plan.site];
  // Each zone is a part; the first has most of the machines, and its node is the leader.
  const zones = ['a', 'b', 'c'];
  const initial = zones.map((zone, n) => ({ type: 'small', zone, spot: false, count: n === 0 ? 9 : 2 }));
  const cluster = new ScenarioCluster(
    { ...timings, zones, nodes: zones, initial },
    undefined,
    plan.seed ?? 1,
  );
  await cluster.begin();
  const longRunS = 1000;
  cluster.submit({ id: 'j-1', tasks: 9, cores: 2, zone: 'a' }, longRunS);
  cluster.submit({ id: 'j-2', tasks: 9, cores: 2, zone: 'a', checkpointS: 5, saveS: 30 }, longRunS);
  // Its image takes longer than all of this.
  cluster.submit({ id: 'j-3', tasks: 5, cores: 1, zone: 'a', image: 'img-3', imageGb: 500 }, longRunS);
  const jobs = ['j-1', 'j-2', 'j-3'];
  await cluster.until(
    'running',
    () => jobs.slice(0, 2).every((j) => cluster.checker.runningTasks(j).length === 9),
    40,
  );
  await cluster.run(2);
  const host = cluster.controllerHost(cluster.leader);
  const name = host?.name ?? '';
  const healWorkerPartition = plan.workersReachOnlyLeader
    ? cluster.network.startPartition(
        'drop',
        (x, y) => x.kind === 'node' && x.name !== name && y.kind === 'worker',
      )
    : (): void => {};
  // Launches are on their way as it begins.
  cluster.submit({ id: 'j-4', tasks: 9, cores: 2, zone: 'a' }, longRunS);
  jobs.push('j-4');
  await cluster.run(0.05);
  if (host) cluster.store.setRefused(host, true);
  const healPeerPartition = plan.leaderIsolated
    ? cluster.network.startPartition(
        'drop',
        (x, y) => x.kind === 'node' && x.name !== name && y.name === name,
      )
    : (): void => {};
  const { extraFault } = plan;
  if (extraFault) cluster.time.after(extraFault.afterS * 1000, () => extraFault.inject(cluster));
  await cluster.run(plan.cancelAfterS);
  const confirmingNode = cluster.otherNodes[0] ?? 0;
  for (const job of jobs) {
    let confirmed = false;
    for (let attempts = 0; attempts < 3 && !confirmed; attempts++) {
      void cluster.cancelAtNode(job, confirmingNode).then((done) => (confirmed = done));
      await cluster.run(0.1);
    }
  }
  const tasksOnMachines = jobs.reduce((total, job) => total + cluster.checker.runningTasks(job).length, 0);
  await cluster.run(plan.outageAfterS);
  cluster.store.setOutage(true);
  await cluster.run(plan.outageS ?? timings.cancelS + timings.leaseS + 20);
  cluster.store.setOutage(false);
  await cluster.run(5);
  if (host) cluster.store.setRefused(host, false);
  healWorkerPartition();
  healPeerPartition();
  await cluster.run(timings.cancelS);
  return { violations: cluster.checker.violations, tasksOnMachines };
}
