/** Routing of the heartbeats that reach this node: answered here, or redirected to their shard's leader. */
import { HEARTBEAT_HOLD_MS } from '../../constants.ts';
import type { HeartbeatReply } from '../../protocol/http-api.ts';
import type { Heartbeat } from '../../protocol/workers.ts';
import type { Clock } from '../../transport/clock.ts';
import { unboundedAbortController } from '../../transport/unbounded-abort-controller.ts';
import type { Membership, NodeIdentity } from '../leadership/membership.ts';
import type { LedShards } from '../leadership/led-shards.ts';
import type { ShardMap } from '../leadership/shard-map.ts';

/** What the router needs of its node. */
export interface HeartbeatRouterContext {
  /** This node. */
  readonly self: NodeIdentity;
  /** Monotonic time, milliseconds. */
  readonly clock: Clock;
  /** The deployment's shards. */
  readonly shardMap: ShardMap;
  /** The live nodes, and the leaders of the shards. */
  readonly membership: Membership;
  /** The shards that this node leads. */
  readonly ledShards: LedShards;
  /** Whether contact with the key-value store is recent enough to act as a leader. */
  readonly hasLeaderLease: () => boolean;
}

/**
 * Has each heartbeat answered by the leader of its machine's shard: here, or by redirecting the worker. While
 * the leader is about to change, the heartbeat waits for up to `HEARTBEAT_HOLD_MS`.
 */
export class HeartbeatRouter {
  /** Aborted, and replaced, whenever the leaders or the live nodes change. */
  private leadershipChange = unboundedAbortController();

  constructor(private readonly context: HeartbeatRouterContext) {}

  /** The leaders or the live nodes may have changed: waiting heartbeats are routed again. */
  wake(): void {
    // After this turn of the event loop: a leadership that begins in it can then be found.
    const { leadershipChange } = this;
    this.leadershipChange = unboundedAbortController();
    this.context.clock.defer(() => leadershipChange.abort());
  }

  /** Answers the heartbeat, or says which node does. */
  async handle(heartbeat: Heartbeat): Promise<HeartbeatReply> {
    const { clock, shardMap } = this.context;
    const shardName = shardMap.shardOf({ id: heartbeat.machine, zone: heartbeat.zone });
    if (shardName === null) return { kind: 'unavailable' };
    const receivedAt = clock.now();
    for (;;) {
      const reply = this.replyNow(shardName, heartbeat);
      if (reply) return reply;
      // The shard is between two leaders, or its records are being read: most often over in a moment.
      const leftMs = receivedAt + HEARTBEAT_HOLD_MS - clock.now();
      if (leftMs <= 0) return { kind: 'redirect', node: null };
      // Woken by a change rather than polling: after a crash hundreds of heartbeats wait.
      await clock.sleep(leftMs, this.leadershipChange.signal);
    }
  }

  /** The reply by the present leadership; null while no live leader of the shard is known. */
  private replyNow(shardName: string, heartbeat: Heartbeat): HeartbeatReply | null {
    const { self, membership, ledShards, hasLeaderLease } = this.context;
    const leader = ledShards.get(shardName)?.shard;
    const successor = ledShards.successor(shardName, heartbeat);
    if (successor !== null) return { kind: 'redirect', node: successor };
    // A worker that has seen a higher fencing token would drop the reply and let its lease run out here.
    if (leader && heartbeat.fencingToken <= leader.fencingToken && hasLeaderLease()) {
      const commands = leader.onHeartbeat(heartbeat);
      return commands
        ? { kind: 'commands', fencingToken: leader.fencingToken, commands }
        : { kind: 'unavailable' };
    }
    const record = membership.leaderOf(shardName);
    if (record && record.leader !== self.name && membership.liveNodes().includes(record.leader))
      return { kind: 'redirect', node: record.leader };
    return null;
  }
}
