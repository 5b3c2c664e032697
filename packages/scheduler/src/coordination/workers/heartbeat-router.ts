/** Routes the heartbeats that reach this node: answers them, or redirects them to their shard's leader. */
import { HEARTBEAT_HOLD_MS } from '../../constants.ts';
import type { HeartbeatReply } from '../../protocol/http-api.ts';
import type { Heartbeat } from '../../protocol/workers.ts';
import type { Clock } from '../../transport/clock.ts';
import { unboundedAbortController } from '../../transport/unbounded-abort-controller.ts';
import type { Membership, NodeIdentity } from '../leadership/membership.ts';
import type { LedShards } from '../leadership/led-shards.ts';
import type { ShardMap } from '../leadership/shard-map.ts';

/** What the router needs from its node. */
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
 * Answers a heartbeat if this node leads the machine's shard, and otherwise redirects the worker to the
 * leader. While the leader is about to change, the heartbeat waits for up to `HEARTBEAT_HOLD_MS`.
 */
export class HeartbeatRouter {
  /** Aborted, and replaced, whenever the leaders or the live nodes change. */
  private leadershipChange = unboundedAbortController();

  constructor(private readonly context: HeartbeatRouterContext) {}

  /** Routes waiting heartbeats again, because the leaders or the live nodes may have changed. */
  wake(): void {
    // Runs after this turn of the event loop, so that a leadership that starts in this turn is found.
    const { leadershipChange } = this;
    this.leadershipChange = unboundedAbortController();
    this.context.clock.defer(() => leadershipChange.abort());
  }

  /** Answers the heartbeat, or redirects the worker. A redirect to null names no node. */
  async handle(heartbeat: Heartbeat): Promise<HeartbeatReply> {
    const { clock, shardMap } = this.context;
    const shardName = shardMap.shardOf({ id: heartbeat.machine, zone: heartbeat.zone });
    if (shardName === null) return { kind: 'unavailable' };
    const receivedAt = clock.now();
    for (;;) {
      const reply = this.replyNow(shardName, heartbeat);
      if (reply) return reply;
      // The shard is between two leaders, or its records are being read. Usually this ends within a moment.
      const remainingMs = receivedAt + HEARTBEAT_HOLD_MS - clock.now();
      if (remainingMs <= 0) return { kind: 'redirect', node: null };
      // Waits for a change instead of polling, because hundreds of heartbeats wait after a crash.
      await clock.sleep(remainingMs, this.leadershipChange.signal);
    }
  }

  /** The reply according to the current leadership. Null while no node is known that may answer. */
  private replyNow(shardName: string, heartbeat: Heartbeat): HeartbeatReply | null {
    const { self, membership, ledShards, hasLeaderLease } = this.context;
    const leader = ledShards.get(shardName)?.shard;
    const successor = ledShards.redirectTarget(shardName, heartbeat);
    if (successor !== null) return { kind: 'redirect', node: successor };
    // A worker that has seen a higher fencing token would drop this node's reply, and its worker lease would
    // expire.
    if (leader && heartbeat.fencingToken <= leader.tokens.last && hasLeaderLease())
      return { kind: 'commands', ...leader.onHeartbeat(heartbeat) };
    const record = membership.leaderOf(shardName);
    if (record && record.leader !== self.name && membership.liveNodes().includes(record.leader))
      return { kind: 'redirect', node: record.leader };
    return null;
  }
}
