/**
 * Changes of shards' leaders. A shard is failed over when the key-value store shows that its leader is down
 * or has restarted, and handed over when another node should lead it: docs/design.md, "Leadership".
 */
import {
  FAILOVER_BACKOFF_MS,
  FAILOVER_STEP_MS,
  HANDBACK_DELAY_MS,
  LEADERSHIP_TICK_MS,
  STARTUP_SETTLE_MS,
} from '../../constants.ts';
import type { LeadershipRecord } from '../../storage/records.ts';
import type { Clock } from '../../transport/clock.ts';
import { type Log, runPeriodically } from '../../transport/background-task.ts';
import type { LeaderCandidates } from './leader-candidates.ts';
import type { LeadershipChange, LeadershipWriter } from './leadership-writer.ts';
import type { LedShards } from './led-shards.ts';
import type { Membership, NodeIdentity } from './membership.ts';
import type { NodeRegistration } from './node-registration.ts';
import type { Reachability } from './reachability.ts';
import type { ShardMapGuard } from './shard-map-guard.ts';
import type { ShardMap } from './shard-map.ts';

/** What {@link Failover} needs of its node. */
export interface FailoverContext {
  readonly self: NodeIdentity;
  readonly clock: Clock;
  readonly log: Log;
  readonly shardMap: ShardMap;
  readonly shardMapGuard: ShardMapGuard;
  readonly membership: Membership;
  readonly registration: NodeRegistration;
  readonly reachability: Reachability;
  readonly leaderCandidates: LeaderCandidates;
  readonly leadershipWriter: LeadershipWriter;
  readonly ledShards: LedShards;
}

/** Takes over shards without a live leader, and hands this node's shards to nodes that should lead them. */
export class Failover {
  /** When this node first saw a shard without a live leader, in milliseconds of the clock, by shard. */
  private readonly leaderlessSince = new Map<string, number>();

  constructor(private readonly context: FailoverContext) {}

  /** Checks every shard's leader periodically until the signal is aborted. */
  run(signal: AbortSignal): Promise<void> {
    const { clock, log } = this.context;
    return runPeriodically('leadership', LEADERSHIP_TICK_MS, { clock, log, signal }, () =>
      this.checkShards(),
    );
  }

  private async checkShards(): Promise<void> {
    const { clock, membership, registration, shardMap, shardMapGuard } = this.context;
    if (membership.loadedAt === null || shardMapGuard.check() || !registration.hasLease) return;
    const now = clock.now();
    for (const shard of shardMap.names) {
      const record = membership.leaderOf(shard);
      if (record && membership.isLeaderAlive(record)) {
        this.leaderlessSince.delete(shard);
        if (membership.isSelf(record)) await this.endLeadershipIfDue(shard, record, now);
        continue;
      }
      const since = this.leaderlessSince.get(shard) ?? now;
      this.leaderlessSince.set(shard, since);
      const isStarting = now - membership.loadedAt < STARTUP_SETTLE_MS;
      if (record !== null && isStarting && !this.isHome(shard)) continue;
      if (now - since >= this.failoverDelayMs(shard, record === null)) await this.failOver(shard, record);
    }
  }

  private isHome(shard: string): boolean {
    return this.context.leaderCandidates.homeOf(shard) === this.context.self.name;
  }

  /**
   * How long this node waits before it takes over a leaderless shard, so that better candidates act first. A
   * node that is still reconciling waits longer, except for its home shards. Infinite if this node is no
   * candidate.
   */
  private failoverDelayMs(shard: string, isFirstLeader: boolean): number {
    const { leaderCandidates, ledShards, self } = this.context;
    const rank = leaderCandidates.ranked(shard, isFirstLeader).indexOf(self.name);
    if (rank < 0) return Infinity;
    const backoffMs = ledShards.isReconciling && !this.isHome(shard) ? FAILOVER_BACKOFF_MS : 0;
    return rank * FAILOVER_STEP_MS + backoffMs;
  }

  private async failOver(shard: string, before: LeadershipRecord | null): Promise<void> {
    const { name: leader, incarnation } = this.context.self;
    await this.context.leadershipWriter.write({
      shard,
      before,
      successor: { leader, incarnation },
      // When the write is carried out, the former leader must still be down, or up as another incarnation.
      unchangedNode: before?.leader ?? null,
      reason: 'failover',
    });
  }

  /** Hands the shard over if another node should lead it, and otherwise renews its fencing tokens if need be. */
  private async endLeadershipIfDue(shard: string, before: LeadershipRecord, now: number): Promise<void> {
    const { ledShards, leadershipWriter, self } = this.context;
    const handover = this.handoverDue(shard, now);
    if (handover) {
      const { successor, reason } = handover;
      await leadershipWriter.write({ shard, before, successor, unchangedNode: successor.leader, reason });
    } else if (ledShards.get(shard)?.shard.needsNewTokens) {
      await leadershipWriter.write({
        shard,
        before,
        successor: { leader: self.name, incarnation: self.incarnation },
        unchangedNode: self.name,
        reason: 'fencing tokens used up',
      });
    }
  }

  /**
   * The node that should lead the shard in place of this one, and why; null if there is none. Normally that is
   * the shard's home node: a node of the shard's zone is less likely to lose contact with the shard's machines,
   * and the work is shared evenly when each home node leads its shards. A leader that cannot reach the machines
   * hands the shard to a node that has reached one of them since. If no node has, the shard stays: each new
   * leader would only restart the reconciliation.
   */
  private handoverDue(shard: string, now: number): Pick<LeadershipChange, 'successor' | 'reason'> | null {
    const { leaderCandidates, membership, reachability, self } = this.context;
    const isUnreachable = reachability.isUnreachable(shard);
    const leader = isUnreachable ? this.bestReachingPeer(shard) : leaderCandidates.homeOf(shard);
    if (leader === undefined || leader === self.name) return null;
    const node = membership.liveNode(leader);
    if (!node || !membership.canReach(leader, shard)) return null;
    if (!isUnreachable && now - node.since < HANDBACK_DELAY_MS) return null;
    return {
      successor: { leader, incarnation: node.incarnation },
      reason: isUnreachable ? 'leader cannot reach shard' : 'home node up',
    };
  }

  private bestReachingPeer(shard: string): string | undefined {
    const { leaderCandidates, membership } = this.context;
    const reaching = membership.peersReaching(shard);
    return leaderCandidates.ranked(shard, false).find((name) => reaching.includes(name));
  }
}
