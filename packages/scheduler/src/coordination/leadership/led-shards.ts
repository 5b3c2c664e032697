/**
 * The shards that this node leads. A leadership lasts from the moment at which the watch cache shows this
 * node as the leader until it shows another leader or fencing token.
 */
import { UNFENCED_TOLERATED } from '../../constants.ts';
import type { Handover, ShardStatus } from '../../protocol/peer-messages.ts';
import type { Heartbeat } from '../../protocol/workers.ts';
import { type FencingTokens, fencingTokensOf, isDirectSuccessor } from '../../storage/fencing-tokens.ts';
import { type LeadershipRecord, sliceName } from '../../storage/records.ts';
import type { JobCompletion } from '../jobs/job-completion.ts';
import type { ShardLeader } from '../shard-leader.ts';
import type { HeartbeatRouter } from '../workers/heartbeat-router.ts';
import { LedShard, type LedShardContext } from './led-shard.ts';
import type { Membership } from './membership.ts';

/** What {@link LedShards} needs of its node. */
export interface LedShardsContext extends LedShardContext {
  readonly membership: Membership;
  readonly jobCompletion: JobCompletion;
  readonly heartbeats: HeartbeatRouter;
}

/** Starts and ends this node's leaderships, and runs the shards in between. */
export class LedShards {
  private readonly led = new Map<string, LedShard>();
  /**
   * The last handover message of each shard; it can arrive before the record that makes this node the leader.
   */
  private readonly handovers = new Map<string, Handover>();

  constructor(private readonly context: LedShardsContext) {}

  /** The shard, if this node leads it. */
  get(name: string): LedShard | undefined {
    return this.led.get(name);
  }

  /** The names of the shards that this node leads. */
  get names(): string[] {
    return [...this.led.keys()];
  }

  /** The leaders of all shards that this node leads. */
  shardLeaders(): ShardLeader[] {
    return [...this.led.values()].map((led) => led.shard);
  }

  /** Whether a shard that this node leads still has many unreconciled machines. */
  get isReconciling(): boolean {
    return this.shardLeaders().some((shard) => shard.unreconciledCount > UNFENCED_TOLERATED);
  }

  /** Begins or ends this node's leadership of the shard to match the leadership record in the watch cache. */
  updateLeadership(name: string): void {
    const { membership } = this.context;
    const record = membership.leaderOf(name);
    const isLeader = record !== null && membership.isSelf(record);
    const led = this.led.get(name);
    if (led && (!isLeader || led.shard.fencingToken !== record.fencingToken)) this.end(led, record);
    this.context.heartbeats.wake();
    if (isLeader && !this.led.has(name)) this.begin(name, fencingTokensOf(record));
  }

  private begin(name: string, tokens: FencingTokens): void {
    const led = new LedShard(name, tokens, this.context, (job) => this.completeIfLedHere(job));
    const { shard } = led;
    const { watchCache } = this.context;
    this.led.set(name, led);
    this.context.log.info(
      {
        shard: name,
        firstFencingToken: tokens.first,
        fencingToken: tokens.last,
        revision: watchCache.currentRevision,
        machines: shard.machines.size,
        slices: led.initialSliceCount,
      },
      'shard leadership acquired',
    );
    const handover = this.handovers.get(name);
    if (handover) shard.acceptHandover(handover);
    shard.tick();
    this.updateCloudShare();
  }

  private end(led: LedShard, record: LeadershipRecord | null): void {
    const { shard } = led;
    led.stop();
    this.led.delete(shard.name);
    if (record) this.sendHandover(shard, record);
    this.updateCloudShare();
    this.context.log.info({ shard: shard.name, leader: record?.leader ?? null }, 'shard leadership lost');
  }

  /**
   * Sends the next leader the tasks that run nowhere. They are sent only once this node no longer starts any
   * of the shard's tasks, and only to the immediate successor: a leader in between could have started some of
   * them (docs/design.md, "Handover").
   */
  private sendHandover(shard: ShardLeader, record: LeadershipRecord): void {
    const { fencingToken, leader } = record;
    const { membership, peers } = this.context;
    if (!isDirectSuccessor(shard.tokens.last, fencingTokensOf(record))) return;
    const notRunning = shard.tasksNotRunning();
    const handover: Handover = { kind: 'handover', shard: shard.name, fencingToken, notRunning };
    if (membership.isSelf(record)) this.onHandover(handover);
    else peers.send(leader, handover);
  }

  private updateCloudShare(): void {
    this.context.cloud.setShare(this.led.size / this.context.shardMap.names.length);
  }

  /** Completes a job if this node leads the shards of all its slices and has all results. True if so. */
  private completeIfLedHere(id: string): boolean {
    const job = this.context.openJobs.jobs.get(id);
    if (!job) return false;
    const isComplete = job.record.slices.every(({ shard, count }, index) => {
      const slice = this.led.get(shard)?.shard.slices.get(sliceName(shard, id, index));
      return count === 0 || (slice?.count === count && slice.settled.full);
    });
    if (isComplete) this.context.jobCompletion.onAllTasksSettled(id);
    return isComplete;
  }

  /**
   * A peer reports a shard's status. A higher fencing token than this node's shows that another node is the
   * newer leader: this node never starts a task under its older leadership again.
   */
  onShardStatus(node: string, { shard: name, fencingToken }: ShardStatus): void {
    const led = this.led.get(name);
    if (!led || fencingToken <= Math.max(led.shard.fencingToken, led.successor?.fencingToken ?? 0)) return;
    led.successor = { node, fencingToken };
    led.shard.markSuperseded();
  }

  /**
   * The node to which the machine should send its heartbeats, while this node's watch cache still shows this
   * node as the shard's leader. That is the newer leader, if its status reports arrive and it has fenced the
   * machine or already has schedulable machines. Until then this node continues to renew worker leases as
   * long as its leader lease allows. Null if the machine stays with this node.
   */
  redirectTarget(name: string, heartbeat: Heartbeat): string | null {
    const led = this.led.get(name);
    if (!led?.successor) return null;
    const status = this.context.shardLoads.freshStatus(name)?.status;
    if (!status || status.fencingToken < led.successor.fencingToken) return null;
    const isFencedThere = heartbeat.fencingToken > led.shard.fencingToken;
    return isFencedThere || status.schedulableMachines > 0 ? led.successor.node : null;
  }

  /** A shard's former leader has sent the tasks of the shard that run nowhere. */
  onHandover(message: Handover): void {
    // A late copy of an earlier message must not replace a later one.
    if ((this.handovers.get(message.shard)?.fencingToken ?? 0) > message.fencingToken) return;
    this.handovers.set(message.shard, message);
    this.led.get(message.shard)?.shard.acceptHandover(message);
  }

  /** A peer has connected: the next tick reports all shards to it. */
  onConnect(): void {
    for (const { statusReporter } of this.led.values()) statusReporter.expedite();
  }

  /** Runs the periodic work of every shard, and reports each status that is due. */
  tick(): void {
    const { workBudget } = this.context;
    workBudget.refill();
    for (const { lowPriorityStarts, shard, statusReporter } of this.led.values()) {
      lowPriorityStarts.remaining = workBudget.lowPriorityStartsPerShard(this.led.size);
      shard.tick();
      statusReporter.reportIfDue();
    }
  }

  /** Runs the periodic work of every shard's autoscaler. */
  tickAutoscalers(): void {
    for (const { autoscaler } of this.led.values()) autoscaler.tick();
  }

  /** Every shard that this node leads. */
  values(): Iterable<LedShard> {
    return this.led.values();
  }
}
