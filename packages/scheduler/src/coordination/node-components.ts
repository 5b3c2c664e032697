/** The wiring of a controller: creates its components and connects them. */
import { CLOUD_DEADLINE_MS, STORE_DEADLINE_MS } from '../constants.ts';
import { LeaderLease, leaderLeaseMs } from '../leader-lease.ts';
import { cloudClient } from '../protocol/cloud.ts';
import { keyValueApi } from '../protocol/key-value.ts';
import { CachedPages } from '../storage/cached-pages.ts';
import { KeyValueStore } from '../storage/key-value-store.ts';
import { WatchCache } from '../storage/watch-cache.ts';
import { LastOpenRevisions } from '../storage/last-open-revisions.ts';
import { OpenJobs } from '../storage/open-jobs.ts';
import type { MachinesRecord, ProgressRecord } from '../storage/records.ts';
import type { Settings } from '../settings.ts';
import type { Log } from '../transport/background-task.ts';
import type { Clock } from '../transport/clock.ts';
import { EventLoopLag } from '../transport/event-loop-lag.ts';
import type { HttpClient } from '../transport/http-client.ts';
import type { Random } from '../transport/random.ts';
import { CloudRequests } from './autoscaling/cloud-requests.ts';
import { MachineTypeCatalog } from './autoscaling/machine-type-catalog.ts';
import type { ControllerDependencies } from './controller-dependencies.ts';
import { JobView } from './job-view.ts';
import { EndAcknowledgements } from './jobs/end-acknowledgements.ts';
import { EndReporting } from './jobs/end-reporting.ts';
import { FailingJobs } from './jobs/failing-jobs.ts';
import { FinalRecordReader } from './jobs/final-record-reader.ts';
import { FinishedJobs } from './jobs/finished-jobs.ts';
import { JobAnnouncements } from './jobs/job-announcements.ts';
import { JobCompletion } from './jobs/job-completion.ts';
import { JobRequests } from './jobs/job-requests.ts';
import { RecentEndsReader } from './jobs/recent-ends-reader.ts';
import { Failover } from './leadership/failover.ts';
import { LeaderCandidates } from './leadership/leader-candidates.ts';
import { LeadershipWriter } from './leadership/leadership-writer.ts';
import { LedShards } from './leadership/led-shards.ts';
import { MachineListReader } from './leadership/machine-list-reader.ts';
import { Membership, type NodeIdentity } from './leadership/membership.ts';
import { NodeRegistration } from './leadership/node-registration.ts';
import { ObservationResponder } from './leadership/observation-responder.ts';
import { PeerReadLeases } from './leadership/peer-read-leases.ts';
import { ReachabilityProber } from './leadership/reachability-prober.ts';
import { Reachability } from './leadership/reachability.ts';
import { RequestForwarding } from './leadership/request-forwarding.ts';
import { ShardMapGuard } from './leadership/shard-map-guard.ts';
import { shardMap, type ShardMap } from './leadership/shard-map.ts';
import { UnanimousRead } from './leadership/unanimous-read.ts';
import { WorkBudget } from './leadership/work-budget.ts';
import { PeerChannel } from './peer-channel.ts';
import { PeerMessageDispatcher } from './peer-message-dispatcher.ts';
import { QuotaRebalancer } from './quota/quota-rebalancer.ts';
import { Quotas } from './quota/quotas.ts';
import { Readiness } from './readiness.ts';
import { JobOrder } from './scheduling/job-order.ts';
import { PendingTaskMigration } from './scheduling/pending-task-migration.ts';
import { ShardLoads } from './scheduling/shard-loads.ts';
import { WatchDispatcher } from './watch-dispatcher.ts';
import { HeartbeatRouter } from './workers/heartbeat-router.ts';

/**
 * The components of one controller, which share its process's clock, log and connections. A component that is
 * given `this` declares what it needs as an interface that this class satisfies. Its constructor does not
 * read from `this`, because some components do not exist yet; its methods do. So components can need each
 * other.
 */
export class NodeComponents {
  readonly settings: Settings;
  readonly clock: Clock;
  /** Time of day, milliseconds. */
  readonly wallClock: () => number;
  readonly random: Random;
  readonly log: Log;
  readonly http: HttpClient;
  /** Aborted at the end of the process. */
  readonly signal: AbortSignal;
  readonly self: NodeIdentity;

  readonly eventLoopLag: EventLoopLag;
  readonly peers: PeerChannel;
  readonly shardMap: ShardMap;
  readonly quotas: Quotas;
  readonly shardLoads: ShardLoads;
  readonly openJobs = new OpenJobs();
  /** Revisions at which jobs were open that the watch cache does not have, or not any more. */
  readonly lastOpenRevisions = new LastOpenRevisions();
  /** The shards' machine records, as the watch cache has them. */
  readonly machinePages = new CachedPages<MachinesRecord>();
  /** The shards' progress records, as the watch cache has them. */
  readonly progressPages = new CachedPages<ProgressRecord>();

  readonly store: KeyValueStore;
  readonly watchCache: WatchCache;
  readonly dispatcher = new WatchDispatcher(this);
  /** How long after its last confirmed contact a leader may still answer heartbeats, in milliseconds. */
  readonly leaderLeaseMs: number;
  readonly leaderLease: LeaderLease;
  readonly membership: Membership;
  readonly shardMapGuard: ShardMapGuard;
  readonly reachability: Reachability = new Reachability(this);
  readonly prober = new ReachabilityProber(this);
  readonly registration: NodeRegistration = new NodeRegistration(this);
  readonly leaderCandidates: LeaderCandidates;
  readonly leadershipWriter: LeadershipWriter;
  readonly failover = new Failover(this);
  readonly workBudget: WorkBudget;
  readonly ledShards: LedShards = new LedShards(this);
  readonly heartbeats: HeartbeatRouter = new HeartbeatRouter(this);

  readonly cloud: CloudRequests;
  readonly catalog: MachineTypeCatalog;
  readonly machineList = new MachineListReader(this);
  readonly failingJobs: FailingJobs;
  readonly endAcknowledgements: EndAcknowledgements;
  readonly finishedJobs: FinishedJobs;
  readonly jobRequests: JobRequests;
  readonly jobCompletion: JobCompletion;
  readonly finalRecords: FinalRecordReader;
  readonly recentEnds: RecentEndsReader;
  readonly jobView = new JobView(this);
  readonly jobAnnouncements = new JobAnnouncements(this);
  readonly readLeases = new PeerReadLeases(this);
  readonly observationResponder = new ObservationResponder(this);
  readonly endReporting = new EndReporting(this);
  readonly unanimousRead = new UnanimousRead(this);
  readonly forwarding = new RequestForwarding(this);
  readonly peerMessages = new PeerMessageDispatcher(this);
  readonly readiness = new Readiness(this);
  readonly quotaRebalancer = new QuotaRebalancer(this);
  readonly migration: PendingTaskMigration;
  private readonly order: JobOrder;

  constructor(deps: ControllerDependencies) {
    const { clock, incarnation, log, settings } = deps;
    this.settings = settings;
    this.clock = clock;
    this.wallClock = deps.wallClock;
    this.random = deps.random;
    this.log = log;
    this.http = deps.http;
    this.signal = deps.signal;
    this.self = { name: settings.node, zone: settings.zone, incarnation };

    const peerNames = settings.peers.map(({ name }) => name);
    this.eventLoopLag = new EventLoopLag(clock);
    this.peers = new PeerChannel(deps, peerNames);
    this.shardMap = shardMap(settings.zones, peerNames.length + 1);
    this.quotas = new Quotas(settings.teams, this.shardMap.names);
    this.shardLoads = new ShardLoads(clock);
    this.store = this.createStore();
    this.watchCache = this.createWatchCache();

    const { store, watchCache } = this;
    const { version } = this.shardMap;
    this.leaderLeaseMs = leaderLeaseMs(settings);
    this.leaderLease = new LeaderLease(clock, watchCache, this.leaderLeaseMs);
    this.membership = new Membership(this.self, version, clock);
    this.shardMapGuard = new ShardMapGuard(this.shardMap, this.membership, log);
    this.leaderCandidates = new LeaderCandidates(this.self, settings.peers, this.shardMap, this.membership);
    this.leadershipWriter = new LeadershipWriter(store, watchCache, version, log);
    this.workBudget = new WorkBudget(clock, this.eventLoopLag, settings.cores);

    this.cloud = this.createCloud();
    this.catalog = new MachineTypeCatalog(this);
    this.failingJobs = this.createFailingJobs();
    const nodes = { self: settings.node, majority: this.majority };
    this.endAcknowledgements = new EndAcknowledgements(clock, nodes);
    this.finishedJobs = new FinishedJobs(this.endAcknowledgements);
    this.jobRequests = this.createJobRequests();
    this.jobCompletion = this.createJobCompletion();
    this.finalRecords = this.createFinalRecordReader();
    this.recentEnds = this.createRecentEndsReader();
    this.order = new JobOrder(this);
    this.migration = this.createMigration();
  }

  /** The jobs' positions in the serving order, by id; the same map until they are recomputed. */
  readonly jobOrder = (): Map<string, number> => this.order.positions();

  /** Whether contact with the key-value store is recent enough to act as a leader. */
  readonly hasLeaderLease = (): boolean => this.leaderLease.isValid();

  private createStore(): KeyValueStore {
    const { clock, http, settings, signal } = this;
    const api = keyValueApi({
      http,
      address: settings.keyValueStore,
      deadlineMs: STORE_DEADLINE_MS,
      signal,
    });
    const { storeRps: rps, storeWriteRps: writeRps } = settings;
    return new KeyValueStore(api, clock, { rps, writeRps, nodes: this.nodeCount });
  }

  private createWatchCache(): WatchCache {
    const { clock, dispatcher, log, store } = this;
    return new WatchCache({ store, clock, log, listener: dispatcher });
  }

  private createCloud(): CloudRequests {
    const { clock, http, log, self, settings, signal } = this;
    const cloud = cloudClient({ http, address: settings.cloud, deadlineMs: CLOUD_DEADLINE_MS, signal });
    const limits = { rps: settings.cloudRps, nodes: this.nodeCount };
    const requestPrefix = `${self.name}-${self.incarnation}`;
    return new CloudRequests({ cloud, clock, log, signal, requestPrefix, limits });
  }

  /** All nodes of the deployment, this one included, whether they are up or not. */
  private get nodeCount(): number {
    return this.peers.names.length + 1;
  }

  /** How many of all nodes are a majority of them. */
  get majority(): number {
    return Math.floor(this.nodeCount / 2) + 1;
  }

  private createFailingJobs(): FailingJobs {
    const { ledShards } = this;
    return new FailingJobs({
      longestRunMs: (job) => Math.max(0, ...ledShards.shardLeaders().map((shard) => shard.longestRunMs(job))),
      onChanged: (job) => ledShards.shardLeaders().forEach((shard) => shard.onFailingChanged(job)),
    });
  }

  private createJobRequests(): JobRequests {
    const { catalog, clock, endReporting, finishedJobs, forwarding, jobAnnouncements, jobView } = this;
    const { openJobs, random, settings, shardLoads, shardMap, store, unanimousRead } = this;
    const { wallClock, watchCache } = this;
    return new JobRequests({
      settings,
      clock,
      wallClock,
      random,
      store,
      watchCache,
      shardLoads,
      shardMap,
      catalog: () => catalog.types,
      openSpec: (job) => openJobs.jobs.get(job)?.record.spec ?? null,
      progress: (job) => jobView.progress(job),
      finishedJobs,
      isReportable: (job) => endReporting.isReportable(job),
      isUnfinishedForUsers: (job) => unanimousRead.isUnfinishedForUsers(job),
      forward: (operation, body) => forwarding.forward(operation, body),
      onEndLearned: (job, record) => jobAnnouncements.announceEnd(job, record),
      onOpenRead: (job, revision) => jobView.recordOpen(job, revision),
      onAccepted: (job, revision) => jobAnnouncements.announceAcceptance(job, revision),
    });
  }

  private createFinalRecordReader(): FinalRecordReader {
    const { clock, jobAnnouncements, jobRequests, log } = this;
    return new FinalRecordReader({
      clock,
      log,
      isFinished: (job) => jobRequests.isFinished(job),
      read: (job) => jobRequests.readFinalRecord(job),
      onRead: (job, record) => jobAnnouncements.announceEnd(job, record),
    });
  }

  /** Peers are not notified: most of them know these ends, and each is asked which of them it knows. */
  private createRecentEndsReader(): RecentEndsReader {
    const { clock, jobAnnouncements, log, signal, store } = this;
    return new RecentEndsReader({
      clock,
      log,
      signal,
      store,
      onRead: (job, record) => jobAnnouncements.recordEnd(job, record),
    });
  }

  private createJobCompletion(): JobCompletion {
    const { clock, jobAnnouncements, ledShards, log, openJobs, store, wallClock } = this;
    return new JobCompletion({
      clock,
      wallClock,
      log,
      store,
      openJobs,
      leads: (shard) => ledShards.get(shard) !== undefined,
      onDone: (job, revision, tasks) =>
        jobAnnouncements.announceEnd(job, { status: 'done', revision, tasks }),
    });
  }

  private createMigration(): PendingTaskMigration {
    const { catalog, clock, failingJobs, ledShards, log, openJobs } = this;
    const { random, shardLoads, shardMap, store, watchCache } = this;
    return new PendingTaskMigration({
      clock,
      random,
      log,
      store,
      watchCache,
      shardLoads,
      shardMap,
      catalog: () => catalog.types,
      isFailing: (job) => failingJobs.isFailing(job),
      findJob: (job) => {
        const open = openJobs.jobs.get(job);
        return open ? { record: open.record, unsettled: openJobs.unsettledBySlice(open) } : null;
      },
      ledShards: () => ledShards.shardLeaders(),
    });
  }
}
