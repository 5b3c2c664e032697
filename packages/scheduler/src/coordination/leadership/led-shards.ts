import { setMaxListeners } from 'node:events';
import {
  LOAD_REPORT_STEP,
  FENCING_CALLS_PER_CPU_S,
  UNFENCED_TOLERATED,
  LAG_FREE_MS,
  LOW_PRIORITY_STARTS_PER_CPU_S,
  PEER_KEEPALIVE_MS,
  LEADERSHIP_TICK_MS,
} from '../../constants.ts';
import type { CachedPages } from '../../storage/cached-pages.ts';
import type { OpenJobs } from '../../storage/open-jobs.ts';
import { type MachinesRecord, type ProgressRecord, sliceName } from '../../storage/records.ts';
import type { MachineType } from '../../protocol/cloud.ts';
import type { Handover, PeerMessage, ShardStatus } from '../../protocol/peer-messages.ts';
import type { Heartbeat } from '../../protocol/workers.ts';
import type { EventLoopLag } from '../../transport/event-loop-lag.ts';
import type { ShardLoads } from '../scheduling/shard-loads.ts';
import type { CloudRequests } from '../autoscaling/cloud-requests.ts';
import type { Membership } from './membership.ts';
import type { Reachability } from './reachability.ts';
import { ShardLeader } from '../shard-leader.ts';
import type { NodeContext } from '../shard-context.ts';
import type { ShardMap } from './shard-map.ts';
import { Autoscaler } from '../autoscaling/autoscaler.ts';

export interface LedShard {
  shard: ShardLeader;
  autoscaler: Autoscaler;
  abort: AbortController;
  lowPriorityStarts: { left: number };
  lastReported: { idle: boolean; average: number; at: number };
  /** The node that a sibling's message shows to have followed this one, while the records here do not show it yet. */
  redirectFor: { node: string; fencingToken: number } | null;
}

/** What a part needs, but for what is found out here, and what its owner needs besides. */
export interface LedShardsContext extends NodeContext {
  signal: AbortSignal;
  membership: Membership;
  reachability: Reachability;
  shardMap: ShardMap;
  shardLoads: ShardLoads;
  cloud: CloudRequests;
  openJobs: OpenJobs;
  eventLoopLag: EventLoopLag;
  catalog: () => MachineType[] | null;
  /** What the replica has of the part's pages. */
  machinePages: CachedPages<MachinesRecord>;
  progressPages: CachedPages<ProgressRecord>;
  sendToPeer: (peer: string, message: PeerMessage) => boolean;
  /** All tasks of the job have their results, and this node has heard of all of them. */
  onAllSettled: (job: string) => void;
  /** Who owns what may have changed. */
  onLeadersChanged: () => void;
}

/** The parts that this node owns, from the moment the replica shows it to that in which it shows another owner. */
export class LedShards {
  private readonly led = new Map<string, LedShard>();
  /** What the last owner before told of each part. */
  private readonly handovers = new Map<string, Handover>();
  /** Calls to machines not fenced yet that may still be made in this tick, by all parts together. */
  private fencingCalls = 0;

  constructor(private readonly context: LedShardsContext) {}

  get(name: string): LedShard | undefined {
    return this.led.get(name);
  }

  get names(): string[] {
    return [...this.led.keys()];
  }

  all(): ShardLeader[] {
    return [...this.led.values()].map((led) => led.shard);
  }

  /** Whether many machines of parts just taken over are still to be asked to accept this node. */
  get isReconciling(): boolean {
    return [...this.led.values()].some(({ shard }) => shard.unfenced > UNFENCED_TOLERATED);
  }

  /** Starts or ends this node's ownership of the part, as the replica shows it at this very revision. */
  check(name: string): void {
    const record = this.context.membership.leaderOf(name);
    const mine = record !== null && this.context.membership.isSelf(record);
    const current = this.led.get(name);
    if (current && (!mine || current.shard.fencingToken !== record.fencingToken)) {
      current.abort.abort();
      this.led.delete(name);
      // Told only now that nothing more is started here; a later owner than the next could not rely on it.
      if (record && !mine && record.fencingToken === current.shard.fencingToken + 1) {
        const free = current.shard.tasksNotRunning();
        this.context.sendToPeer(record.leader, {
          kind: 'handover',
          shard: name,
          fencingToken: record.fencingToken,
          notRunning: free,
        });
      }
      this.context.cloud.setShare(this.led.size / this.context.shardMap.names.length);
      this.context.log.info({ shard: name, to: record?.leader ?? null }, 'part given up');
    }
    this.context.onLeadersChanged();
    if (mine && !this.led.has(name)) this.begin(name, record.fencingToken);
  }

  private begin(name: string, fencingToken: number): void {
    const { settings, clock, log } = this.context;
    const abort = unboundedAbortController();
    const ends = AbortSignal.any([this.context.signal, abort.signal]);
    setMaxListeners(0, ends); // every open call of the part listens
    this.context.failingJobs.inherit(name);
    const slices = [...this.context.openJobs.jobs.values()].flatMap((job) =>
      this.context.openJobs.slicesOf(job, name),
    );
    const lowStarts = { left: 0 };
    const shard = new ShardLeader(
      name,
      fencingToken,
      {
        ...this.context,
        typeOf: (type) => this.context.catalog()?.find((t) => t.name === type) ?? null,
        laggedSince: (at) => this.context.eventLoopLag.laggedSince(at),
        takeFencingCall: () => this.fencingCalls-- > 0,
        lowPriorityStarts: lowStarts,
        onSliceDone: (job) => this.completeJobIfAllHere(job),
        onSuperseded: (outdated) => log.info({ shard: outdated }, 'a machine knows a newer owner'),
      },
      ends,
      {
        machines: this.context.machinePages.of(name),
        progress: this.context.progressPages.of(name),
        slices,
      },
    );
    const renting = new Autoscaler(shard, this.context.shardMap.zoneOf(name), {
      settings,
      clock,
      log,
      cloud: this.context.cloud,
      failingJobs: this.context.failingJobs,
      catalog: this.context.catalog,
      onUnreachable: () => void this.context.reachability.setReachability(name, false),
      reachedByNone: () => this.context.reachability.isUnreachableByAll(name),
      belongs: (id) =>
        this.context.shardMap.shardOf({ id, zone: this.context.shardMap.zoneOf(name) }) === name,
    });
    this.led.set(name, {
      shard,
      autoscaler: renting,
      abort,
      lowPriorityStarts: lowStarts,
      lastReported: { idle: false, average: -1, at: -Infinity },
      redirectFor: null,
    });
    log.info(
      { shard: name, fencingToken, machines: shard.machines.size, slices: slices.length },
      'part owned',
    );
    const handover = this.handovers.get(name);
    if (handover) shard.acceptHandover(handover);
    shard.tick();
    this.context.cloud.setShare(this.led.size / this.context.shardMap.names.length);
  }

  /** Has the job ended if this node owns all its slices and has the results of all their tasks. True if so. */
  private completeJobIfAllHere(id: string): boolean {
    const job = this.context.openJobs.jobs.get(id);
    if (!job) return false;
    const all = job.record.slices.every(({ shard, count }, index) => {
      const slice = this.led.get(shard)?.shard.slices.get(sliceName(shard, id, index));
      return count === 0 || (slice?.count === count && slice.settled.full);
    });
    if (all) this.context.onAllSettled(id);
    return all;
  }

  /** A sibling tells of a part with the token of its owner: a higher one than this node's ends its ownership for good. */
  onShardStatus(node: string, message: ShardStatus): void {
    const led = this.led.get(message.shard);
    if (!led || message.fencingToken <= Math.max(led.shard.fencingToken, led.redirectFor?.fencingToken ?? 0))
      return;
    led.redirectFor = { node, fencingToken: message.fencingToken };
    led.shard.markSuperseded();
  }

  /**
   * Where a machine of a part that this node still owns by its own records should report instead: at the newer owner, if
   * that one is heard and the machine has accepted it, or others have. Where the newer owner hears none, this one goes on
   * renewing leases for as long as its proof of contact allows.
   */
  successor(name: string, heartbeat: Heartbeat): string | null {
    const led = this.led.get(name);
    if (!led?.redirectFor) return null;
    const told = this.context.shardLoads.fresh(name)?.message;
    if (!told || told.fencingToken < led.redirectFor.fencingToken) return null;
    return heartbeat.fencingToken > led.shard.fencingToken || told.schedulableMachines > 0
      ? led.redirectFor.node
      : null;
  }

  /** It may be here before the record that makes this node the owner. */
  onHandover(message: Handover): void {
    // A late copy of an older one must not take the newer one's place.
    if ((this.handovers.get(message.shard)?.fencingToken ?? 0) > message.fencingToken) return;
    this.handovers.set(message.shard, message);
    this.led.get(message.shard)?.shard.acceptHandover(message);
  }

  /** A sibling is connected: it is told of all parts at once. */
  onConnect(): void {
    for (const led of this.led.values()) led.lastReported.at = -Infinity;
  }

  private reportStatus(name: string, led: LedShard): void {
    const now = this.context.clock.now();
    const { shard, lastReported: told } = led;
    const summary = shard.loadSummary();
    const idle = shard.idleCount;
    const due = now - told.at >= PEER_KEEPALIVE_MS;
    // The design's events: the last idle machine comes or goes, or the average moves a set step.
    if (!due && idle > 0 === told.idle && Math.abs(summary.averageLoad - told.average) < LOAD_REPORT_STEP)
      return;
    led.lastReported = { idle: idle > 0, average: summary.averageLoad, at: now };
    const message: ShardStatus = {
      kind: 'shardStatus',
      shard: name,
      fencingToken: shard.fencingToken,
      idleMachines: idle,
      quotaDemand: Object.fromEntries(shard.usage.quotaDemand),
      runningTasks: shard.runningTasks(),
      pools: shard.machinePools(),
      failingJobs: this.context.failingJobs.toReport(),
      bootingCores: led.autoscaler.bootingCores(now),
      ...summary,
    };
    this.context.shardLoads.set(message, true);
    for (const peer of this.context.settings.peers) this.context.sendToPeer(peer.name, message);
  }

  /** Lets every part do what is due, and tells siblings of it. */
  tick(): void {
    // A node that is late first serves what reaches it: most machines report by themselves.
    const inTime = !this.context.eventLoopLag.laggedSince(this.context.clock.now() - LAG_FREE_MS);
    const perTick = (FENCING_CALLS_PER_CPU_S * this.context.settings.cores * LEADERSHIP_TICK_MS) / 1000;
    this.fencingCalls = inTime ? Math.ceil(perTick) : 0;
    const lowPerTick =
      (LOW_PRIORITY_STARTS_PER_CPU_S * this.context.settings.cores * LEADERSHIP_TICK_MS) / 1000;
    for (const [name, led] of this.led) {
      led.lowPriorityStarts.left = inTime ? Math.ceil(lowPerTick / this.led.size) : 0;
      led.shard.tick();
      this.reportStatus(name, led);
    }
  }

  tickAutoscalers(): void {
    for (const { autoscaler: renting } of this.led.values()) renting.tick();
  }

  /** Reads the cloud's list for the parts' renters. */
  async refreshMachineList(): Promise<void> {
    if (this.led.size === 0) return;
    const readAt = this.context.clock.now();
    const machines = await this.context.cloud.list().catch((error: unknown) => {
      this.context.log.debug({ err: String(error) }, 'machine list not read');
      return null;
    });
    if (!machines) return;
    for (const [name, led] of this.led) {
      led.autoscaler.onList(
        machines.filter((m) => this.context.shardMap.shardOf(m) === name),
        readAt,
      );
    }
  }
}

/** An abort that any number of calls may listen to. */
export function unboundedAbortController(): AbortController {
  const abort = new AbortController();
  setMaxListeners(0, abort.signal);
  return abort;
}
