/**
 * Reports of a shard's load to the peers, which assign new tasks to shards by it: docs/design.md, "What was
 * kept".
 */
import { LOAD_REPORT_STEP, PEER_KEEPALIVE_MS } from '../../constants.ts';
import type { ShardStatus } from '../../protocol/peer-messages.ts';
import type { Clock } from '../../transport/clock.ts';
import type { Autoscaler } from '../autoscaling/autoscaler.ts';
import type { FailingJobs } from '../jobs/failing-jobs.ts';
import type { PeerChannel } from '../peer-channel.ts';
import type { ShardLoads } from '../scheduling/shard-loads.ts';
import type { ShardLeader } from '../shard-leader.ts';

/** What {@link ShardStatusReporter} needs of its node. */
export interface ShardStatusReporterContext {
  readonly clock: Clock;
  readonly failingJobs: FailingJobs;
  readonly peers: PeerChannel;
  readonly shardLoads: ShardLoads;
}

/** Reports the status of one shard that this node leads. */
export class ShardStatusReporter {
  private last = { hasIdle: false, averageLoad: -1, at: -Infinity };

  constructor(
    private readonly shard: ShardLeader,
    private readonly autoscaler: Autoscaler,
    private readonly context: ShardStatusReporterContext,
  ) {}

  /** Makes the next report due, whether or not the status has changed. */
  expedite(): void {
    this.last.at = -Infinity;
  }

  /**
   * Reports when the shard gains its first idle machine or loses its last one, when the average load has
   * changed by `LOAD_REPORT_STEP` since the last report, and once per keepalive period.
   */
  reportIfDue(): void {
    const { shard, last } = this;
    const now = this.context.clock.now();
    const summary = shard.loadSummary();
    const { averageLoad } = summary;
    const idleMachines = shard.idleCount;
    const hasIdle = idleMachines > 0;
    const isDue = now - last.at >= PEER_KEEPALIVE_MS;
    if (!isDue && hasIdle === last.hasIdle && Math.abs(averageLoad - last.averageLoad) < LOAD_REPORT_STEP)
      return;
    this.last = { hasIdle, averageLoad, at: now };
    const message: ShardStatus = {
      kind: 'shardStatus',
      shard: shard.name,
      fencingToken: shard.fencingToken,
      idleMachines,
      quotaDemand: Object.fromEntries(shard.usage.quotaDemand),
      runningTasks: shard.runningTasks(),
      pools: shard.machinePools(),
      failingJobs: this.context.failingJobs.jobsToReport(),
      bootingCores: this.autoscaler.bootingCores(now),
      ...summary,
    };
    this.context.shardLoads.set(message, true);
    this.context.peers.broadcast(message);
  }
}
