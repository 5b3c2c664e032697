import type { Int } from '../protocol/json.ts';

/** The pages of one kind that the parts' owners keep, as the replica has them. */
export class CachedPages<T> {
  private readonly shards = new Map<string, Map<string, { record: T; version: Int }>>();

  /** `record` null: the page is gone. */
  update(shard: string, key: string, record: T | null, version: Int): void {
    const known = this.shards.get(shard) ?? new Map<string, { record: T; version: Int }>();
    this.shards.set(shard, known);
    if (record) known.set(key, { record, version });
    else known.delete(key);
  }

  /** The part's pages: key, record, version. */
  of(shard: string): [string, T, Int][] {
    return [...(this.shards.get(shard) ?? [])].map(([key, { record, version }]) => [key, record, version]);
  }
}
