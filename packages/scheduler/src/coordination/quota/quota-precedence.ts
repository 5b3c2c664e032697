/** Which of two shards that both lack a team's quota goes first: docs/design.md, "Quotas". */
import { QUOTA_PRECEDENCE_MS, QUOTA_ROTATION_MS } from '../../constants.ts';

/**
 * Whether a shard goes before another. The precedence rotates with the time of day, so that no shard lacks
 * quota for ever; the controllers' clocks agree well enough. `shardNames`: all shards, in an order that every
 * controller has alike. `wallNowMs`: time of day, milliseconds.
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
  // A shard that goes before another may do so in all periods of a rotation but one.
  const periodMs = Math.min(QUOTA_PRECEDENCE_MS, QUOTA_ROTATION_MS / Math.max(1, shardNames.length - 1));
  const period = Math.floor(wallNowMs / periodMs);
  const rank = (shard: string): number => (shardNames.indexOf(shard) + period) % shardNames.length;
  return rank(pair.shard) < rank(pair.other);
}
