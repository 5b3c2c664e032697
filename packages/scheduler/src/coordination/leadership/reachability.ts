/**
 * Which shards' machines this node can call. The findings are published in the node's record, so that a shard
 * behind a partition moves to a leader that can reach its machines: docs/design.md, "Leadership".
 */
import { REACHABILITY_SETTLED_MS } from '../../constants.ts';
import type { Clock } from '../../transport/clock.ts';
import type { Log } from '../../transport/background-task.ts';
import type { Membership } from './membership.ts';
import type { NodeRegistration } from './node-registration.ts';

/** What {@link Reachability} needs of its node. */
export interface ReachabilityContext {
  readonly clock: Clock;
  readonly log: Log;
  readonly membership: Membership;
  /** Publishes the findings. */
  readonly registration: NodeRegistration;
}

/** This node's own findings about the reachability of shards. */
export class Reachability {
  /** When this node found that it cannot reach a shard, in milliseconds of the clock, by shard. */
  private readonly unreachableSince = new Map<string, number>();
  /** Shards whose leaders cannot reach them, while one of their machines has answered this node. */
  private readonly reachable = new Set<string>();

  constructor(private readonly context: ReachabilityContext) {}

  /** Shards that this node found it cannot reach. */
  get unreachableShards(): string[] {
    return [...this.unreachableSince.keys()];
  }

  /** Shards that this node reaches, unlike their leaders. */
  get reachableShards(): string[] {
    return [...this.reachable];
  }

  /** Whether this node found that it cannot reach the shard. */
  isUnreachable(shard: string): boolean {
    return this.unreachableSince.has(shard);
  }

  /**
   * Notes whether this node reaches the shard's machines; a leader that does not reach them hands the shard
   * over. True if this is a change.
   */
  setReachability(shard: string, isReachable: boolean): boolean {
    const { clock, log, registration } = this.context;
    if (this.isUnreachable(shard) === !isReachable) return false;
    if (isReachable) this.unreachableSince.delete(shard);
    else this.unreachableSince.set(shard, clock.now());
    this.reachable.delete(shard);
    log.info({ shard, reachable: isReachable }, 'shard reachability changed');
    void registration.publish();
    return true;
  }

  /** Notes that a machine has answered this node, if its shard's leader cannot reach the shard. */
  markReachable(shard: string): void {
    const { log, membership, registration } = this.context;
    if (this.reachable.has(shard) || !membership.unreachedByLeader.includes(shard)) return;
    this.reachable.add(shard);
    log.info({ shard }, 'shard reachable from this node but not from its leader');
    void registration.publish();
  }

  /**
   * Drops the reachable shards that no longer need another leader: their leader reaches them, is down or has
   * changed.
   */
  pruneReachable(): void {
    const unreachedByLeader = this.context.membership.unreachedByLeader;
    const dropped = this.reachableShards.filter((shard) => !unreachedByLeader.includes(shard));
    for (const shard of dropped) this.reachable.delete(shard);
    if (dropped.length > 0) void this.context.registration.publish();
  }

  /**
   * Whether no live node reaches the shard although all have had the time to probe it. Then its silent
   * machines are considered lost, and its leader is not considered partitioned from them.
   */
  isUnreachableByAll(shard: string): boolean {
    const since = this.unreachableSince.get(shard) ?? Infinity;
    const { clock, membership } = this.context;
    return clock.now() - since > REACHABILITY_SETTLED_MS && membership.peersReaching(shard).length === 0;
  }
}
