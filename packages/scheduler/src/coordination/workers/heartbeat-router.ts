import { HEARTBEAT_HOLD_MS } from '../../constants.ts';
import type { HeartbeatReply } from '../../protocol/http-api.ts';
import type { Heartbeat } from '../../protocol/workers.ts';
import type { Clock } from '../../transport/clock.ts';
import type { Membership } from '../leadership/membership.ts';
import { unboundedAbortController, type LedShards } from '../leadership/led-shards.ts';
import type { ShardMap } from '../leadership/shard-map.ts';

/** Workers' reports: answered by their part's owner, else sent to it, or held while that is about to change. */
export class HeartbeatRouter {
  /** Aborted, and replaced, whenever who owns what or who is up changes. */
  private leadershipChange = unboundedAbortController();

  constructor(
    private readonly context: {
      node: string;
      clock: Clock;
      shards: ShardMap;
      membership: Membership;
      led: LedShards;
      hasLeaderLease: () => boolean;
    },
  ) {}

  /** Who owns what, or who is up, may have changed: what is held is looked at again. */
  wake(): void {
    // After this turn: a part that begins now is there by then.
    const { leadershipChange: leaders } = this;
    this.leadershipChange = unboundedAbortController();
    this.context.clock.soon(() => leaders.abort());
  }

  async handle(heartbeat: Heartbeat): Promise<HeartbeatReply> {
    const { node, clock, shards, membership, led, hasLeaderLease } = this.context;
    const name = shards.shardOf({ id: heartbeat.machine, zone: heartbeat.zone });
    if (name === null) return { kind: 'unavailable' };
    const began = clock.now();
    for (;;) {
      const shard = led.get(name)?.shard;
      const successor = led.successor(name, heartbeat);
      if (successor !== null) return { kind: 'redirect', node: successor };
      // A worker that has seen a higher token would drop the answer and let its lease run out here.
      if (shard && heartbeat.fencingToken <= shard.fencingToken && hasLeaderLease()) {
        const commands = shard.onHeartbeat(heartbeat);
        return commands
          ? { kind: 'commands', fencingToken: shard.fencingToken, commands }
          : { kind: 'unavailable' };
      }
      const record = membership.leaderOf(name);
      if (record && record.leader !== node && membership.liveNodes().includes(record.leader)) {
        return { kind: 'redirect', node: record.leader };
      }
      // The part is between two owners, or its records are being read: most often over in a moment.
      const left = began + HEARTBEAT_HOLD_MS - clock.now();
      if (left <= 0) return { kind: 'redirect', node: null };
      // Woken by a change of owners: after a crash hundreds of reports are held.
      await clock.sleep(left, this.leadershipChange.signal);
    }
  }
}
