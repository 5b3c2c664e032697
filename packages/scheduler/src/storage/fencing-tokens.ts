/** The fencing tokens of a leadership: a range, of which each machine of the shard is shown its own part. */
import { TOKENS_PER_LEADERSHIP } from '../constants.ts';
import type { FencingToken } from '../protocol/workers.ts';
import type { LeadershipRecord } from './records.ts';

/** The fencing tokens of one leadership. All of an earlier leadership are lower, all of a later one higher. */
export interface FencingTokens {
  /** The token under which the leadership begins on every machine. */
  readonly first: FencingToken;
  /** The token in the leadership record. No machine has been shown a higher one. */
  readonly last: FencingToken;
}

/** The fencing tokens of the leadership that the record describes. */
export function fencingTokensOf(record: LeadershipRecord): FencingTokens {
  return { first: record.fencingToken - record.fencingTokenCount + 1, last: record.fencingToken };
}

/** The fencing tokens of the leadership that follows the recorded one; null: the shard never had a leader. */
export function fencingTokensAfter(record: LeadershipRecord | null): FencingTokens {
  const last = record?.fencingToken ?? 0;
  return { first: last + 1, last: last + TOKENS_PER_LEADERSHIP };
}

/** Whether the leadership with the tokens `next` directly follows the one whose last token is `last`. */
export function isDirectSuccessor(last: FencingToken, next: FencingTokens): boolean {
  return next.first === last + 1;
}
