/** One controller: the interface that its process, or a simulation, calls. */
import {
  AUTOSCALE_TICK_MS,
  FINAL_RECORD_TICK_MS,
  LEADERSHIP_TICK_MS,
  MACHINE_LIST_MS,
  MIGRATION_TICK_MS,
  PEER_KEEPALIVE_MS,
  QUOTA_REBALANCE_MS,
  READ_LEASE_RENEWAL_MS,
  REACHABILITY_PROBE_MS,
} from '../constants.ts';
import type { ApiHandlers, HeartbeatReply } from '../protocol/http-api.ts';
import { userAnswers, type JobSpec, type UserAnswer } from '../protocol/users.ts';
import type { Heartbeat } from '../protocol/workers.ts';
import { runPeriodically } from '../transport/background-task.ts';
import type { ControllerDependencies } from './controller-dependencies.ts';
import { NodeComponents } from './node-components.ts';

/** Serves users, workers and peers, and runs the background tasks of the shards that the node leads. */
export class Controller implements ApiHandlers {
  private readonly components: NodeComponents;

  constructor(deps: ControllerDependencies) {
    this.components = new NodeComponents(deps);
  }

  /** Runs until the signal is aborted. */
  async run(): Promise<void> {
    const { catalog, endReporting, eventLoopLag, failover, finalRecords, ledShards } = this.components;
    const { machineList, migration } = this.components;
    const { prober, quotaRebalancer, registration, signal, watchCache } = this.components;
    const start = (name: string, everyMs: number, task: () => Promise<void> | void): Promise<void> =>
      runPeriodically(name, everyMs, this.components, task);
    await Promise.all([
      eventLoopLag.run(signal),
      watchCache.run(signal),
      registration.run(signal),
      failover.run(signal),
      start('shards', LEADERSHIP_TICK_MS, () => this.tickShards()),
      start('autoscaling', AUTOSCALE_TICK_MS, () => ledShards.tickAutoscalers()),
      start('machine list', MACHINE_LIST_MS, () => machineList.refresh()),
      start('reachability', REACHABILITY_PROBE_MS, () => prober.probeAll()),
      catalog.run(),
      start('final records', FINAL_RECORD_TICK_MS, () => finalRecords.readMissing()),
      start('read leases', READ_LEASE_RENEWAL_MS, () => endReporting.renew()),
      start('quotas', QUOTA_REBALANCE_MS, () => quotaRebalancer.rebalance()),
      start('migration', MIGRATION_TICK_MS, () => migration.migrateOne()),
      start('peer keepalive', PEER_KEEPALIVE_MS, () => this.sendKeepalives()),
    ]);
  }

  /** A user submits a job. */
  submit(spec: JobSpec): Promise<UserAnswer> {
    const { jobRequests, shardMapGuard } = this.components;
    if (shardMapGuard.hasForeignShardMap) return Promise.resolve(userAnswers.undecided);
    return jobRequests.submit(spec);
  }

  /** A user asks for a job's status. */
  status(id: string): Promise<UserAnswer> {
    return this.components.jobRequests.status(id);
  }

  /** A user cancels a job. */
  cancel(id: string): Promise<UserAnswer> {
    return this.components.jobRequests.cancel(id);
  }

  /** Whether a load balancer should send users here. */
  ready(): boolean {
    return this.components.readiness.isReady();
  }

  /** A worker sends a heartbeat. */
  heartbeat(heartbeat: Heartbeat): Promise<HeartbeatReply> {
    return this.components.heartbeats.handle(heartbeat);
  }

  /** This node has connected to a peer. */
  onConnect(): void {
    this.components.ledShards.onConnect();
  }

  /** A message from the named peer has arrived; it is not decoded yet. */
  onMessage(from: string, raw: unknown): void {
    this.components.peerMessages.onMessage(from, raw);
  }

  /** The names of the shards that this node leads; for tests. */
  get ledShards(): string[] {
    return this.components.ledShards.names;
  }

  private tickShards(): void {
    const { dispatcher, failingJobs, jobCompletion, ledShards } = this.components;
    if (dispatcher.isLoaded) jobCompletion.completeSettledJobs();
    failingJobs.tick();
    ledShards.tick();
  }

  /** A leader's status reports show peers that it is up; a node without shards sends keepalives instead. */
  private sendKeepalives(): void {
    const { ledShards, peers } = this.components;
    if (ledShards.names.length === 0) peers.broadcast({ kind: 'keepalive' });
  }
}
