import type { Violation } from '../src/invariant-rules.ts';
import { controllerAddress, type Deployment } from '../src/deployment.ts';
import type { Host, Reply } from '../src/network.ts';
import type { JobSpec } from '@onyxkeel/scheduler';
import { readJobState, encodeSubmission } from '../src/protocol/wire.ts';
import { newWork } from '../src/workload.ts';
import { requirePrecondition } from './scripted-scenario.ts';
import { plainJob, TestCluster } from './test-cluster.ts';

/** The timing settings of the sites, in seconds (BRIEF and the pages after it). */
export const siteTimings = {
  caalv: { heartbeatS: 5, leaseS: 31, cancelS: 61 },
  matkaturva: { heartbeatS: 2.5, leaseS: 16, cancelS: 36 },
} satisfies Record<string, Partial<Deployment>>;

export interface RefusedLeaderPlan {
  site: keyof typeof siteTimings;
  /** Seconds from the refusal of the leader to the cancellations. */
  cancelAfterS: number;
  /** Seconds from the cancellations to the outage for all nodes. */
  outageAfterS: number;
  /** Seconds of the outage. By default longer than the cancellation time and a lease together. */
  outageS?: number;
  /** Whether the other nodes reach no worker, so that the workers stay with the refused leader. */
  workersReachOnlyLeader: boolean;
  /** Whether the leader is also partitioned from the other nodes. */
  leaderIsolated: boolean;
  seed?: number;
  /** One more fault, and the seconds from the refusal until it is injected. */
  extraFault?: { afterS: number; inject: (cluster: ScenarioCluster) => void };
}

/** Limits of a key-value store that rejects no call of a scenario. */
export const unlimitedStore: Deployment['store'] = {
  rps: 100_000,
  writeRps: 100_000,
  valueKb: 32,
  txnOps: 12,
};

/** A test cluster in which users can send requests to one given node. */
export class ScenarioCluster extends TestCluster {
  /** The node that leads the shard with the most machines when the scenario begins. */
  leader = 0;

  get otherNodes(): number[] {
    return this.deployment.nodes.map((_, n) => n).filter((n) => n !== this.leader);
  }

  async cancelAtNode(job: string, node: number): Promise<boolean> {
    this.checker.onCancelRequested(job);
    return this.queryNode(job, node, 'cancel');
  }

  /** A user submits the job to the node and does not poll it, or repeats its submission. True if it is accepted. */
  async submitToNode(node: number, spec: Partial<JobSpec>, runS: number): Promise<boolean> {
    const wanted = newWork({ ...plainJob, ...spec }, () => runS, false);
    const work = this.workload.get(wanted.spec.id) ?? wanted;
    this.workload.set(work.spec.id, work);
    work.submitted = true;
    const askedAt = this.time.now;
    const address = controllerAddress(node);
    const call = { address, method: 'POST' as const, path: '/v1/jobs', deadlineMs: 5000 };
    const body = encodeSubmission(work.spec);
    const reply = await this.network.exchange(this.usersHost, { ...call, body }).catch(() => null);
    if (!reply) return false;
    this.checker.onAnswer(work.spec.id, 'submit', askedAt, reply.status, readJobState(reply.body));
    return reply.status === 200 || reply.status === 201;
  }

  /** A user polls or cancels the job at the node. The checker records the answer. True on status 200. */
  async queryNode(job: string, node: number, question: 'poll' | 'cancel' = 'poll'): Promise<boolean> {
    const askedAt = this.time.now;
    const address = controllerAddress(node);
    const how =
      question === 'poll'
        ? { method: 'GET' as const, path: `/v1/jobs/${job}`, deadlineMs: 2000 }
        : { method: 'POST' as const, path: `/v1/jobs/${job}/withdraw`, deadlineMs: 5000 };
    const reply = await this.network.exchange(this.usersHost, { address, ...how }).catch(() => null);
    if (!reply) return false;
    this.checker.onAnswer(job, question, askedAt, reply.status, readJobState(reply.body));
    return reply.status === 200;
  }

  /** Writes a record, in place of a controller. */
  writeRecord(key: string, value: unknown): Promise<Reply> {
    const body = JSON.stringify({ when: [], writes: [{ put: key, v: value }] });
    const call = { address: 'state:1', method: 'POST' as const, path: '/txn', body, deadlineMs: 1000 };
    return this.network.exchange(this.usersHost, call);
  }

  /** Delivers a copy of a heartbeat to the node. True if the node answers it as the shard's leader. */
  async deliverHeartbeat(body: string, node: number, from: Host = this.usersHost): Promise<boolean> {
    const address = controllerAddress(node);
    const call = { address, method: 'POST' as const, path: '/checkin', body, deadlineMs: 4000 };
    const reply = await this.network.exchange(from, call).catch(() => null);
    return reply?.status === 200;
  }

  /**
   * Writes so many records that a process that starts later does not read the ends before
   * (`RECENT_ENDS_REVISIONS`). Needs `unlimitedStore`.
   */
  async writeManyRecords(): Promise<void> {
    const writes = Array.from({ length: 2500 }, () => this.writeRecord('test/record', 1));
    await this.run(1);
    const replies = await Promise.all(writes);
    requirePrecondition(
      'all records are written',
      replies.every(({ status }) => status === 200),
    );
  }

  get shards(): string[] {
    return this.store.keys('live/part/').map((key) => key.slice('live/part/'.length));
  }

  /** The machines in the shard's records. */
  machinesOf(shard: string): string[] {
    return this.store
      .keys(`live/machines/${shard}/`)
      .flatMap((key) => Object.keys((this.store.read(key) as { machines: object }).machines));
  }

  tokenOf(shard: string): number {
    return (this.store.read(`live/part/${shard}`) as { token: number }).token;
  }

  /** The first fencing token of the shard's leadership. */
  firstTokenOf(shard: string): number {
    const { token, tokens } = this.store.read(`live/part/${shard}`) as { token: number; tokens: number };
    return token - tokens + 1;
  }

  ownerOf(shard: string): number {
    return Number((this.store.read(`live/part/${shard}`) as { owner: string }).owner.split('-')[1]);
  }
}

/**
 * Guards against cancelled tasks that keep running under a refused leader. The key-value store refuses only
 * the leader, and another node confirms cancellations. Then the store is down for all nodes, by default for
 * longer than `cancel_s`, while workers go on sending heartbeats to the old leader. All tasks outlast the
 * scenario: some run, with and without checkpoints, some fetch their image, and some launches are in flight.
 * Returns the violations and the number of tasks that were on machines right after the cancellations.
 */
export async function runRefusedLeader(
  plan: RefusedLeaderPlan,
): Promise<{ violations: Violation[]; tasksOnMachines: number }> {
  const timings = siteTimings[plan.site];
  // Each zone is a shard. The first has most of the machines, and its node is the leader.
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
  // Fetching its image takes longer than the scenario.
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
  // The launch commands of this job are in flight when the refusal begins.
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
