import type { Int } from '../protocol/json.ts';

/** The pages of one kind that the parts' owners keep, as the replica has them. */
export class KnownPages<T> {
  private readonly parts = new Map<string, Map<string, { record: T; version: Int }>>();

  /** `record` null: the page is gone. */
  keep(part: string, key: string, record: T | null, version: Int): void {
    const known = this.parts.get(part) ?? new Map<string, { record: T; version: Int }>();
    this.parts.set(part, known);
    if (record) known.set(key, { record, version });
    else known.delete(key);
  }

  /** The part's pages: key, record, version. */
  of(part: string): [string, T, Int][] {
    return [...(this.parts.get(part) ?? [])].map(([key, { record, version }]) => [key, record, version]);
  }
}
