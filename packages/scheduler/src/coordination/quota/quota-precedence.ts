/** Which of two shards that both lack a team's quota goes first: docs/design.md, "Quotas". */
import { QUOTA_PRECEDENCE_MS, QUOTA_ROTATION_MS } from '../../constants.ts';

/**
 * Whether a shard has precedence over another. Precedence rotates with the time of day, so that no shard
 * lacks quota forever; the controllers' clocks agree well enough for this. `shardNames`: all shards, in the
 * same order on every controller. `wallNowMs`: time of day, in milliseconds.
 */
export function hasPrecedence(
  pair: {
    readonly shard: string;
    /** The other shard. */
    readonly other: string;
  },
  shardNames: readonly string[],
  wallNowMs: number,
): boolean {
  // In a rotation of one period for each shard, one shard may precede another in all periods but one. So the
  // other shard waits for its turn for up to `shardNames.length - 1` periods.
  const periodMs = Math.min(QUOTA_PRECEDENCE_MS, QUOTA_ROTATION_MS / Math.max(1, shardNames.length - 1));
  const period = Math.floor(wallNowMs / periodMs);
  const rank = (shard: string): number => (shardNames.indexOf(shard) + period) % shardNames.length;
  return rank(pair.shard) < rank(pair.other);
}
