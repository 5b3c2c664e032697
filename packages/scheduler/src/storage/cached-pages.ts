/** Decoded copies of all shards' pages of machines or of progress, as the watch received them. */
import type { Revision } from '../protocol/key-value.ts';
import type { ShardId } from '../protocol/peer-messages.ts';

/**
 * The pages of one kind that the shards' leaders write, as last received by the watch. A new leader starts
 * from them.
 */
export class CachedPages<T> {
  private readonly shards = new Map<ShardId, Map<string, { record: T; version: Revision }>>();

  /** Stores a page after a change; `record` is null for a deleted page. */
  update(shard: ShardId, key: string, record: T | null, version: Revision): void {
    const pages = this.shards.get(shard) ?? new Map<string, { record: T; version: Revision }>();
    this.shards.set(shard, pages);
    if (record) pages.set(key, { record, version });
    else pages.delete(key);
  }

  /** The shard's pages, each as its key, record and version. */
  pagesOf(shard: ShardId): [key: string, record: T, version: Revision][] {
    return [...(this.shards.get(shard) ?? [])].map(([key, { record, version }]) => [key, record, version]);
  }
}
