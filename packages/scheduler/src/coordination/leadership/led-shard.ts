/** The components of a shard while this node leads it. */
import { setMaxListeners } from 'node:events';
import type { CachedPages } from '../../storage/cached-pages.ts';
import type { FencingTokens } from '../../storage/fencing-tokens.ts';
import type { OpenJobs } from '../../storage/open-jobs.ts';
import type { MachinesRecord, ProgressRecord } from '../../storage/records.ts';
import { parseTaskName } from '../../protocol/workers.ts';
import type { EventLoopLag } from '../../transport/event-loop-lag.ts';
import { unboundedAbortController } from '../../transport/unbounded-abort-controller.ts';
import { Autoscaler } from '../autoscaling/autoscaler.ts';
import type { CloudRequests } from '../autoscaling/cloud-requests.ts';
import type { MachineTypeCatalog } from '../autoscaling/machine-type-catalog.ts';
import type { PeerChannel } from '../peer-channel.ts';
import type { ShardLoads } from '../scheduling/shard-loads.ts';
import type { NodeContext } from '../shard-context.ts';
import { ShardLeader } from '../shard-leader.ts';
import type { Reachability } from './reachability.ts';
import type { ShardMap } from './shard-map.ts';
import { ShardStatusReporter } from './shard-status-reporter.ts';
import type { WorkBudget } from './work-budget.ts';

/** What a led shard needs of its node. */
export interface LedShardContext extends NodeContext {
  /** Aborted at the end of the process. */
  readonly signal: AbortSignal;
  readonly reachability: Reachability;
  readonly shardMap: ShardMap;
  readonly shardLoads: ShardLoads;
  readonly cloud: CloudRequests;
  readonly openJobs: OpenJobs;
  readonly eventLoopLag: EventLoopLag;
  readonly peers: PeerChannel;
  readonly workBudget: WorkBudget;
  readonly catalog: MachineTypeCatalog;
  /** The shards' machine records, as the watch cache has them. */
  readonly machinePages: CachedPages<MachinesRecord>;
  /** The shards' progress records, as the watch cache has them. */
  readonly progressPages: CachedPages<ProgressRecord>;
}

/** A shard that this node leads. */
export class LedShard {
  /** The shard's machines, tasks and commands. */
  readonly shard: ShardLeader;
  /** Rents and returns the shard's machines. */
  readonly autoscaler: Autoscaler;
  /** Reports the shard's load to the peers. */
  readonly statusReporter: ShardStatusReporter;
  /** Starts of short tasks of low priority that are left in this tick; read by the shard's scheduler. */
  readonly lowPriorityStarts = { remaining: 0 };
  /** The next leader, known from a peer's message before the watch cache shows it. */
  successor: { readonly node: string; readonly fencingToken: number } | null = null;
  /** How many of the shard's slices were open when the leadership began. */
  readonly initialSliceCount: number;
  private readonly abort = unboundedAbortController();

  /** `onSliceDone` is called when a slice of the job has all its results: see `ShardContext`. */
  constructor(
    name: string,
    tokens: FencingTokens,
    context: LedShardContext,
    onSliceDone: (job: string) => boolean,
  ) {
    context.failingJobs.adoptPeerReport(name);
    const { machinePages, openJobs, progressPages } = context;
    const slices = [...openJobs.jobs.values()].flatMap((job) => openJobs.slicesOf(job, name));
    this.initialSliceCount = slices.length;
    const signal = AbortSignal.any([context.signal, this.abort.signal]);
    setMaxListeners(0, signal); // every call in progress in the shard listens to it
    this.shard = new ShardLeader(
      name,
      tokens,
      {
        ...context,
        typeOf: (typeName) => context.catalog.types?.find((type) => type.name === typeName) ?? null,
        isResultNeeded: (task) => {
          const parsed = parseTaskName(task);
          return parsed !== null && openJobs.isUnsettled(parsed.job, parsed.index);
        },
        laggedSince: (at) => context.eventLoopLag.laggedSince(at),
        takeFencingCall: () => context.workBudget.takeFencingCall(),
        lowPriorityStarts: this.lowPriorityStarts,
        onSliceDone,
        onSuperseded: (shard) =>
          context.log.info({ shard }, 'shard leader superseded or out of attempt numbers'),
      },
      signal,
      { machines: machinePages.pagesOf(name), progress: progressPages.pagesOf(name), slices },
    );
    this.autoscaler = this.createAutoscaler(context);
    this.statusReporter = new ShardStatusReporter(this.shard, this.autoscaler, context);
  }

  /** Cancels all calls and timers of the shard. */
  stop(): void {
    this.abort.abort();
  }

  private createAutoscaler(context: LedShardContext): Autoscaler {
    const { catalog, clock, cloud, failingJobs, log, reachability, settings, shardMap } = context;
    const { name } = this.shard;
    const zone = shardMap.zoneOf(name);
    return new Autoscaler(this.shard, zone, {
      settings,
      clock,
      log,
      cloud,
      failingJobs,
      catalog: () => catalog.types,
      onUnreachable: () => void reachability.setReachability(name, false),
      isUnreachableByAll: () => reachability.isUnreachableByAll(name),
      belongsToShard: (id) => shardMap.shardOf({ id, zone }) === name,
    });
  }
}
