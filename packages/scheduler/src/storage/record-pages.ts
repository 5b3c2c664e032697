/**
 * Assigns small records to pages. The key-value store limits the number of writes and not their size, so a
 * shard's leader keeps many small records of one kind in one value.
 */
import type { Revision } from '../protocol/key-value.ts';

/** One stored value that holds many small records. */
export interface Page {
  readonly key: string;
  /** Its last known version; 0 while it does not exist, null after a write whose outcome is unknown. */
  version: Revision | null;
  /** Bytes reserved for each entry, by the entry's name. */
  readonly reservedBytes: Map<string, number>;
  /** Sum of the reserved bytes. */
  bytes: number;
  /** Whether it has changes that are not written yet. */
  dirty: boolean;
  /** Whether it should be written before the pages that are only dirty. */
  urgent: boolean;
}

/**
 * The pages of one kind of a shard: which entry is on which page, and which page is to be written next. When
 * a page is written, the caller assembles its contents, clears `dirty` and `urgent`, and sets `version`.
 */
export class RecordPages {
  private readonly pages = new Map<string, Page>();
  /** The page of each entry, by the entry's name. */
  private readonly pageOf = new Map<string, Page>();
  /** Number for the key of the next new page, unless the key is in use. */
  private nextPageNumber = 0;

  constructor(
    /** Prefix of the pages' keys. */
    private readonly prefix: string,
    /** Maximum bytes of entries on a page; a larger entry gets its own page. */
    private readonly limit: number,
  ) {}

  /** Adds a page that a former leader wrote, with the bytes to reserve for each of its entries. */
  restore(key: string, version: Revision, entries: Iterable<[name: string, bytes: number]>): void {
    const page = this.addPage(key, version);
    for (const [name, bytes] of entries) this.put(page, name, bytes);
  }

  /**
   * Marks the entry's page to be written. An entry without a page is put on the first page with room. `bytes`
   * is used only then, so it must be the entry's maximum size.
   */
  markDirty(name: string, bytes: number, urgent: boolean): void {
    let page = this.pageOf.get(name);
    if (!page) {
      const withRoom = [...this.pages.values()].find((each) => each.bytes + bytes <= this.limit);
      page = withRoom ?? this.newPage();
      this.put(page, name, bytes);
    }
    page.dirty = true;
    page.urgent ||= urgent;
  }

  /** Removes the entry from its page and marks the page to be written. */
  remove(name: string): void {
    const page = this.pageOf.get(name);
    if (!page) return;
    this.pageOf.delete(name);
    page.bytes -= page.reservedBytes.get(name) ?? 0;
    page.reservedBytes.delete(name);
    page.dirty = true;
  }

  /**
   * The next page to be written, urgent pages first; with `urgentOnly`, no other pages. The page moves to the
   * end of the order, so that each page gets its turn.
   */
  nextToWrite(urgentOnly: boolean): Page | null {
    const pages = [...this.pages.values()];
    const urgent = pages.find((each) => each.urgent);
    const page = urgent ?? (urgentOnly ? undefined : pages.find((each) => each.dirty));
    if (!page) return null;
    this.pages.delete(page.key);
    this.pages.set(page.key, page);
    return page;
  }

  private put(page: Page, name: string, bytes: number): void {
    page.reservedBytes.set(name, bytes);
    page.bytes += bytes;
    this.pageOf.set(name, page);
  }

  /** A page under a key that no other page of this shard and kind has. */
  private newPage(): Page {
    let key: string;
    do key = `${this.prefix}${String(this.nextPageNumber++)}`;
    while (this.pages.has(key));
    return this.addPage(key, 0);
  }

  private addPage(key: string, version: Revision): Page {
    const page: Page = { key, version, reservedBytes: new Map(), bytes: 0, dirty: false, urgent: false };
    this.pages.set(key, page);
    return page;
  }
}
