/** Writes of leadership records: docs/design.md, "Leadership". */
import { MAX_FENCING_TOKEN } from '../../constants.ts';
import type { Precondition } from '../../protocol/key-value.ts';
import type { KeyValueStore } from '../../storage/key-value-store.ts';
import { fencingTokensAfter } from '../../storage/fencing-tokens.ts';
import type { WatchCache } from '../../storage/watch-cache.ts';
import { encodeLeadership } from '../../storage/record-codec.ts';
import { type LeaderIdentity, leadershipKey, type LeadershipRecord, nodeKey } from '../../storage/records.ts';
import type { Log } from '../../transport/background-task.ts';

/** A change of a shard's leader that a node asks for. */
export interface LeadershipChange {
  readonly shard: string;
  /** The record that is replaced; null if the shard never had a leader. */
  readonly before: LeadershipRecord | null;
  readonly successor: LeaderIdentity;
  /**
   * A node, such as the former leader, whose record must not change before the write is carried out. Null if
   * there is none.
   */
  readonly unchangedNode: string | null;
  /** Only logged. */
  readonly reason: 'failover' | 'leader cannot reach shard' | 'home node up' | 'fencing tokens used up';
}

/** Replaces leadership records by compare-and-swap, each with higher fencing tokens. */
export class LeadershipWriter {
  constructor(
    private readonly store: KeyValueStore,
    private readonly watchCache: WatchCache,
    private readonly shardMapVersion: string,
    private readonly log: Log,
  ) {}

  /** Sends the change once. Never rejects: the watch cache shows whether the change was committed. */
  async write({ shard, before, successor, unchangedNode, reason }: LeadershipChange): Promise<void> {
    const key = leadershipKey(shard);
    const preconditions = [this.unchanged(key)];
    if (unchangedNode !== null) preconditions.push(this.unchanged(nodeKey(unchangedNode)));
    const { first, last: fencingToken } = fencingTokensAfter(before);
    const formerLeader = before?.leader ?? null;
    const fields = { shard, reason, formerLeader, ...successor, firstFencingToken: first, fencingToken };
    if (fencingToken > MAX_FENCING_TOKEN) {
      this.log.error(fields, 'shard leadership not written: fencing tokens used up');
      return;
    }
    const value: LeadershipRecord = {
      ...successor,
      fencingToken,
      fencingTokenCount: fencingToken - first + 1,
      shardMapVersion: this.shardMapVersion,
    };
    try {
      const result = await this.store.compareAndSwap(
        preconditions,
        [{ op: 'put', key, value: encodeLeadership(value) }],
        'leadership',
      );
      const isWritten = result.kind === 'committed';
      this.log.info(
        { ...fields, result: result.kind },
        isWritten ? 'shard leadership written' : 'shard leadership not written: precondition failed',
      );
    } catch (error) {
      this.log.info(
        { ...fields, err: String(error) },
        'shard leadership write failed; it may have been carried out',
      );
    }
  }

  private unchanged(key: string): Precondition {
    return { key, version: this.watchCache.version(key) };
  }
}
