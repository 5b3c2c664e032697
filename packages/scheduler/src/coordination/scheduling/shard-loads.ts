import { LOAD_WITHOUT_MACHINES, SHARD_STATUS_STALE_MS } from '../../constants.ts';
import type { ShardStatus } from '../../protocol/peer-messages.ts';
import type { Clock } from '../../transport/clock.ts';
import type { Random } from '../../transport/random.ts';

/**
 * What this node knows of every part's load, from its owner's last message. It steers only where new
 * tasks go; nothing that must hold depends on it.
 */
export class ShardLoads {
  private readonly shards = new Map<string, ShardStatus & { raised: number; own: boolean; at: number }>();

  constructor(private readonly clock: Clock) {}

  /** `own`: from a part of this very node. False if it is out of date. */
  set(message: ShardStatus, own: boolean): boolean {
    // Messages of a former owner that arrive late would undo its successor's.
    if ((this.shards.get(message.shard)?.fencingToken ?? 0) > message.fencingToken) return false;
    this.shards.set(message.shard, { ...message, raised: 0, own, at: this.clock.now() });
    return true;
  }

  get(shard: string): ShardStatus | null {
    return this.shards.get(shard) ?? null;
  }

  /** What the part's owner told last, if that is new enough to believe, and since when it is known. */
  fresh(shard: string): { message: ShardStatus; at: number } | null {
    const known = this.shards.get(shard);
    if (!known || this.clock.now() - known.at > SHARD_STATUS_STALE_MS) return null;
    return { message: known, at: known.at };
  }

  all(): ShardStatus[] {
    return [...this.shards.values()];
  }

  /**
   * Parts that can do with more, if there are any. One whose owner has fallen silent has likely lost it or is
   * cut off, and what it is given waits for a takeover; where no sibling is heard, that says nothing about any
   * of them. One without machines is not left to chance either: of two drawn, both may have none, and a job
   * is late by its last task.
   */
  private usable(candidates: string[]): string[] {
    const since = this.clock.now() - SHARD_STATUS_STALE_MS;
    const fresh = candidates.filter((shard) => (this.shards.get(shard)?.at ?? -Infinity) >= since);
    const heard = fresh.some((shard) => this.shards.get(shard)?.own === false) ? fresh : candidates;
    const supplied = heard.filter(
      (shard) => (this.shards.get(shard)?.averageLoad ?? 0) < LOAD_WITHOUT_MACHINES,
    );
    return supplied.length > 0 ? supplied : heard;
  }

  /**
   * The design's choice between parts: one flagged idle (each task sent uses up one of its idle machines),
   * else the lower average of two random parts. Its average then rises by one over its machine count until
   * its owner's next message.
   */
  choose(candidates: string[], random: Random): string {
    const able = this.usable(candidates);
    const idle = able.filter((shard) => this.shards.get(shard)?.idleMachines ?? false);
    const among = idle.length > 0 ? idle : [...able];
    const first = take(among, random);
    const second = idle.length > 0 ? first : (take(among, random) ?? first);
    const chosen = this.loadOf(first) <= this.loadOf(second) ? first : second;
    if (chosen === undefined) throw new Error('no part to choose from');
    const known = this.shards.get(chosen);
    if (known) {
      known.raised += 1 / Math.max(1, known.schedulableMachines);
      if (known.idleMachines > 0) known.idleMachines--;
    }
    return chosen;
  }

  private loadOf(shard: string | undefined): number {
    const known = shard === undefined ? undefined : this.shards.get(shard);
    return known ? known.averageLoad + known.raised : 0;
  }
}

function take(list: string[], random: Random): string | undefined {
  return list.length === 0 ? undefined : list.splice(random.below(list.length), 1)[0];
}
