import {
  ISOLATED_AFTER_MS,
  CLOUD_DEADLINE_MS,
  MACHINE_LIST_MS,
  PEER_KEEPALIVE_MS,
  MIGRATION_TICK_MS,
  LEADERSHIP_TICK_MS,
  QUOTA_REBALANCE_MS,
  REACHABILITY_PROBE_MS,
  AUTOSCALE_TICK_MS,
  STORE_DEADLINE_MS,
} from '../constants.ts';
import { CachedPages } from '../storage/cached-pages.ts';
import { OpenJobs } from '../storage/open-jobs.ts';
import type { MachinesRecord, ProgressRecord } from '../storage/records.ts';
import { KeyValueStore } from '../storage/key-value-store.ts';
import { WatchCache } from '../storage/watch-cache.ts';
import { cloudClient, type MachineType } from '../protocol/cloud.ts';
import type { ApiHandlers, HeartbeatReply } from '../protocol/http-api.ts';
import {
  decodePeerMessage,
  encodePeerMessage,
  type PeerWireMessage,
} from '../protocol/peer-message-codec.ts';
import type { PeerMessage } from '../protocol/peer-messages.ts';
import { keyValueApi } from '../protocol/key-value.ts';
import { userAnswers, type JobSpec, type UserAnswer } from '../protocol/users.ts';
import type { Heartbeat } from '../protocol/workers.ts';
import type { Settings } from '../settings.ts';
import type { Clock } from '../transport/clock.ts';
import { EventLoopLag } from '../transport/event-loop-lag.ts';
import type { HttpClient } from '../transport/http-client.ts';
import type { Random } from '../transport/random.ts';
import { type Log, runPeriodically } from '../transport/background-task.ts';
import { ShardLoads } from './scheduling/shard-loads.ts';
import { MachineTypeCatalog } from './autoscaling/machine-type-catalog.ts';
import { CloudRequests } from './autoscaling/cloud-requests.ts';
import { HeartbeatRouter } from './workers/heartbeat-router.ts';
import { FailingJobs } from './jobs/failing-jobs.ts';
import { JobRequests } from './jobs/job-requests.ts';
import { JobCompletion } from './jobs/job-completion.ts';
import { JobOrder } from './scheduling/job-order.ts';
import { Quotas } from './quota/quotas.ts';
import { QuotaRebalancer } from './quota/quota-rebalancer.ts';
import { Membership } from './leadership/membership.ts';
import { PendingTaskMigration } from './scheduling/pending-task-migration.ts';
import { LedShards } from './leadership/led-shards.ts';
import { shardMap, type ShardMap } from './leadership/shard-map.ts';
import { leaderLeaseMs } from '../leader-lease.ts';
import { ReachabilityProber } from './leadership/reachability-prober.ts';
import { WatchDispatcher } from './watch-dispatcher.ts';
import { RequestForwarding } from './leadership/request-forwarding.ts';
import { UnanimousRead, type JobObservation } from './leadership/unanimous-read.ts';

export interface ControllerDeps {
  settings: Settings;
  /** New at every start of the process. */
  incarnation: string;
  clock: Clock;
  wallClock: () => number;
  random: Random;
  log: Log;
  http: HttpClient;
  sendToPeer: (peer: string, message: PeerWireMessage) => boolean;
  connectedPeers: () => string[];
  signal: AbortSignal;
}

/** One controller node: wires the replica, the membership, the owned parts and the users' requests together. */
export class Controller implements ApiHandlers {
  private readonly shardMap: ShardMap;
  private readonly store: KeyValueStore;
  private readonly watchCache: WatchCache;
  private readonly membership: Membership;
  private readonly quotas: Quotas;
  private readonly shardLoads: ShardLoads;
  private readonly jobRequests: JobRequests;
  private readonly cloud: CloudRequests;
  private readonly catalog: MachineTypeCatalog;
  private readonly jobCompletion: JobCompletion;
  private readonly quotaRebalancer: QuotaRebalancer;
  private readonly ledShardsRegistry: LedShards;
  private readonly reachability: ReachabilityProber;
  private readonly forwarding: RequestForwarding;
  private readonly migration: PendingTaskMigration;
  private readonly unanimousRead: UnanimousRead;
  private readonly heartbeats: HeartbeatRouter;
  private readonly dispatcher: WatchDispatcher;
  private readonly failingJobs = new FailingJobs({
    longestRunMs: (job) =>
      Math.max(0, ...this.ledShardsRegistry.all().map((shard) => shard.longestRunMs(job))),
    onChanged: (job) => this.ledShardsRegistry.all().forEach((shard) => shard.onFailingChanged(job)),
  });
  private readonly openJobs = new OpenJobs();
  private readonly machinePages = new CachedPages<MachinesRecord>();
  private readonly progressPages = new CachedPages<ProgressRecord>();
  private readonly leaderLeaseMs: number;
  private readonly eventLoopLag: EventLoopLag;
  private lastPeerContactAt = -Infinity;

  constructor(private readonly deps: ControllerDeps) {
    const { settings, clock, log, http, signal, random } = deps;
    const nodes = settings.peers.length + 1;
    this.shardMap = shardMap(settings.zones, nodes);
    this.shardLoads = new ShardLoads(clock);
    this.eventLoopLag = new EventLoopLag(clock);
    const api = keyValueApi({
      http,
      address: settings.keyValueStore,
      deadlineMs: STORE_DEADLINE_MS,
      signal,
    });
    this.store = new KeyValueStore(api, clock, {
      rps: settings.storeRps,
      writeRps: settings.storeWriteRps,
      nodes,
    });
    this.watchCache = new WatchCache({
      store: this.store,
      clock,
      log,
      listener: {
        onLoading: () => this.dispatcher.onLoading(),
        onChange: (change, version) => this.dispatcher.onChange(change, version),
        onCaughtUp: () => this.dispatcher.onCaughtUp(),
      },
    });
    this.membership = new Membership({
      self: { name: settings.node, zone: settings.zone, incarnation: deps.incarnation },
      peers: settings.peers,
      clock,
      log,
      store: this.store,
      watchCache: this.watchCache,
      shardMap: this.shardMap,
      isReconciling: () => this.ledShardsRegistry.isReconciling,
    });
    this.quotas = new Quotas(settings.teams, this.shardMap.names);
    this.cloud = new CloudRequests(
      cloudClient({ http, address: settings.cloud, deadlineMs: CLOUD_DEADLINE_MS, signal }),
      clock,
      log,
      signal,
      `${settings.node}-${deps.incarnation}`,
      { rps: settings.cloudRps, nodes },
    );
    this.catalog = new MachineTypeCatalog({ cloud: this.cloud, clock, log, signal });
    this.jobRequests = new JobRequests({
      settings,
      clock,
      wallClock: deps.wallClock,
      random,
      store: this.store,
      watchCache: this.watchCache,
      shardLoads: this.shardLoads,
      shardMap: this.shardMap,
      catalog: () => this.catalog.types,
      openSpec: (job) => this.openJobs.jobs.get(job)?.record.spec ?? null,
      progress: (job) => this.progress(job),
      isOpenByAll: (job) => this.unanimousRead.isJobOpen(job),
      forward: (op, body) => this.forwarding.forward(op, body),
      onCancelled: (job) => {
        this.dispatcher.onJobCancelled(job);
        for (const { name } of settings.peers) this.send(name, { kind: 'jobsCancelled', jobIds: [job] });
      },
    });
    const { store, watchCache, quotas, shardLoads, openJobs } = this;
    const { wallClock } = deps;
    this.jobCompletion = new JobCompletion({
      clock,
      wallClock,
      log,
      store,
      openJobs,
      owns: (shard) => this.ledShardsRegistry.get(shard) !== undefined,
      onDone: (job) => this.jobRequests.remember(job, 'done'),
    });
    const shardNames = this.shardMap.names;
    this.quotaRebalancer = new QuotaRebalancer({
      log,
      wallClock,
      store,
      watchCache,
      quotas,
      shardLoads,
      shardNames,
      shards: () => this.ledShardsRegistry.all(),
    });
    this.leaderLeaseMs = leaderLeaseMs(settings);
    const { membership, machinePages, progressPages, failingJobs } = this;
    const order = new JobOrder({ settings, clock, wallClock, openJobs, quotas, shardLoads, failingJobs });
    const catalog = (): MachineType[] | null => this.catalog.types;
    this.ledShardsRegistry = new LedShards({
      settings,
      clock,
      wallClock,
      random,
      log,
      http,
      signal,
      store,
      watchCache,
      membership,
      shardMap: this.shardMap,
      quotas,
      shardLoads,
      failingJobs,
      cloud: this.cloud,
      openJobs,
      eventLoopLag: this.eventLoopLag,
      catalog,
      jobOrder: () => order.positions(),
      onAllSettled: (job) => this.jobCompletion.onAllSettled(job),
      hasLeaderLease: () => this.hasLeaderLease(),
      leaderLeaseMs: this.leaderLeaseMs,
      machinePages,
      progressPages,
      sendToPeer: (peer, message) => this.send(peer, message),
      onLeadersChanged: () => this.heartbeats.wake(),
    });
    const onReached = (shard: string): void => this.ledShardsRegistry.get(shard)?.autoscaler.onReached();
    this.reachability = new ReachabilityProber({ http, signal, random, membership, machinePages, onReached });
    const {
      ledShardsRegistry: led,
      reachability: reach,
      jobRequests: jobs,
      jobCompletion,
      shardMap: shards,
    } = this;
    this.heartbeats = new HeartbeatRouter({
      node: settings.node,
      clock,
      shards,
      membership,
      led,
      hasLeaderLease: () => this.hasLeaderLease(),
    });
    this.dispatcher = new WatchDispatcher({
      clock,
      log,
      shardNames,
      membership,
      led,
      reach,
      heartbeats: this.heartbeats,
      machinePages,
      progressPages,
      openJobs,
      jobs,
      jobCompletion,
      failingJobs,
      quotas,
    });
    this.migration = new PendingTaskMigration({
      clock,
      random,
      log,
      store,
      watchCache,
      shardLoads,
      shards: this.shardMap,
      catalog,
      isFailing: (job) => failingJobs.isFailing(job),
      known: (job) => {
        const open = openJobs.jobs.get(job);
        return open ? { record: open.record, unsettled: openJobs.unsettledBySlice(open) } : null;
      },
      led: () => this.ledShardsRegistry.all(),
    });
    this.unanimousRead = new UnanimousRead({
      clock,
      signal,
      incarnation: deps.incarnation,
      peers: settings.peers.map((peer) => peer.name),
      connectedPeers: deps.connectedPeers,
      sendToPeer: (peer, message) => this.send(peer, message),
      observeJob: (job) => this.observation(job),
    });
    this.forwarding = new RequestForwarding({
      clock,
      log,
      signal,
      incarnation: deps.incarnation,
      sendToPeer: (peer, message) => this.send(peer, message),
      connectedPeers: deps.connectedPeers,
      here: (op, body) => this.jobRequests.handleLocally(op, body),
    });
  }

  /** Runs until the signal is aborted. */
  async run(): Promise<void> {
    const { clock, log, signal } = this.deps;
    const duty = { clock, log, signal };
    await Promise.all([
      this.eventLoopLag.run(signal),
      this.watchCache.run(signal),
      this.membership.run(signal),
      runPeriodically('parts', LEADERSHIP_TICK_MS, duty, () => this.tickShards()),
      runPeriodically('renting', AUTOSCALE_TICK_MS, duty, () => this.ledShardsRegistry.tickAutoscalers()),
      runPeriodically('machine list', MACHINE_LIST_MS, duty, () =>
        this.ledShardsRegistry.refreshMachineList(),
      ),
      runPeriodically('reach', REACHABILITY_PROBE_MS, duty, () => this.reachability.probeAll()),
      this.catalog.run(),
      runPeriodically('limits', QUOTA_REBALANCE_MS, duty, () => this.quotaRebalancer.rebalance()),
      runPeriodically('moves', MIGRATION_TICK_MS, duty, () => this.migration.migrateOne()),
      runPeriodically('peer keepalive', PEER_KEEPALIVE_MS, duty, () => this.sendKeepalives()),
    ]);
  }

  /** Sends a message to a peer that is connected; false if it is not. */
  private send(peer: string, message: PeerMessage): boolean {
    return this.deps.sendToPeer(peer, encodePeerMessage(message));
  }

  private hasLeaderLease(): boolean {
    return this.deps.clock.now() - this.watchCache.confirmedAt < this.leaderLeaseMs;
  }

  // --- users ---

  submit(spec: JobSpec): Promise<UserAnswer> {
    if (this.membership.hasForeignShardMap) return Promise.resolve(userAnswers.undecided);
    return this.jobRequests.submit(spec);
  }
  status(id: string): Promise<UserAnswer> {
    return this.jobRequests.status(id);
  }
  cancel(id: string): Promise<UserAnswer> {
    return this.jobRequests.cancel(id);
  }

  ready(): boolean {
    return (
      this.dispatcher.loaded &&
      this.catalog.types !== null &&
      !this.membership.hasForeignShardMap &&
      !this.isIsolated
    );
  }

  /**
   * Whether this node has lost the state service and hears of no sibling either: its users are better served by others.
   * In an outage for all the siblings are heard, and nobody is sent away.
   */
  private get isIsolated(): boolean {
    const { clock, settings } = this.deps;
    const silent = (since: number): boolean => clock.now() - since > ISOLATED_AFTER_MS;
    return settings.peers.length > 0 && silent(this.watchCache.confirmedAt) && silent(this.lastPeerContactAt);
  }

  /** What this node says of a job to one that wants to tell that it is open. */
  private observation(job: string): JobObservation | null {
    if (!this.dispatcher.loaded) return null; // while the records are read anew, they are not all there
    if (this.jobRequests.isOver(job) || this.openJobs.isClosed(job)) return { kind: 'over' };
    const open = this.openJobs.jobs.get(job);
    return open
      ? { kind: 'open', version: open.version }
      : { kind: 'none', asOf: this.watchCache.currentRevision };
  }

  private progress(job: string): { left: number; running: number } {
    const left = this.openJobs.jobs.get(job)?.unsettledTasks ?? 0;
    let running = 0;
    for (const message of this.shardLoads.all()) running += message.runningTasks[job] ?? 0;
    return { left, running };
  }

  // --- workers ---

  heartbeat(heartbeat: Heartbeat): Promise<HeartbeatReply> {
    return this.heartbeats.handle(heartbeat);
  }

  // --- siblings ---

  onConnect(): void {
    this.ledShardsRegistry.onConnect();
  }

  onMessage(from: string, raw: unknown): void {
    const message = decodePeerMessage(raw);
    this.lastPeerContactAt = this.deps.clock.now();
    switch (message?.kind) {
      case 'keepalive':
        return;
      case 'shardStatus':
        if (!this.shardLoads.set(message, false)) return;
        this.failingJobs.onPeerReport(message.shard, message.failingJobs);
        return this.ledShardsRegistry.onShardStatus(from, message);
      case 'handover':
        return this.ledShardsRegistry.onHandover(message);
      case 'jobsCancelled':
        return message.jobIds.forEach((job) => this.dispatcher.onJobCancelled(job));
      case 'observationRequest':
        return this.unanimousRead.onRequest(from, message);
      case 'observationReply':
        return this.unanimousRead.onReply(from, message);
      case 'forwardedRequest':
        return void this.forwarding.answer(from, message);
      case 'forwardedReply':
        return this.forwarding.onAnswer(message);
      case undefined:
        this.deps.log.debug({ from }, 'unknown message');
    }
  }

  // --- duties ---

  private tickShards(): void {
    if (this.dispatcher.loaded) this.jobCompletion.endAll();
    this.failingJobs.tick();
    this.ledShardsRegistry.tick();
  }

  /** Owners tell of their parts; a node without any tells that it is there. */
  private sendKeepalives(): void {
    if (this.ledShardsRegistry.names.length > 0) return;
    for (const { name } of this.deps.settings.peers) this.send(name, { kind: 'keepalive' });
  }

  /** For tests and logs. */
  get ledShards(): string[] {
    return this.ledShardsRegistry.names;
  }
}
