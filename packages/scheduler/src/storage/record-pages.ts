import type { Int } from '../protocol/json.ts';

export interface Page {
  readonly key: string;
  /** Its version as last known; 0 while it does not exist, null after a write of unknown outcome. */
  version: Int | null;
  /** Entries by name, with the bytes kept free for each. */
  readonly names: Map<string, number>;
  bytes: number;
  dirty: boolean;
  /** Something in it should be written soon, and not only at the next turn. */
  urgent: boolean;
}

/**
 * Small records of one kind that a part's owner keeps many to a value, since the state service limits
 * changes and not their size. This keeps which entry is on which page; what is written is made when a page is.
 */
export class RecordPages {
  private readonly pages = new Map<string, Page>();
  private readonly pageOf = new Map<string, Page>();
  private counter = 0;

  constructor(
    private readonly prefix: string,
    /** Bytes of entries on a page; a single larger entry has a page of its own. */
    private readonly limit: number,
  ) {}

  /** A page as an owner before left it. */
  restore(key: string, version: Int, entries: Iterable<[string, number]>): void {
    const page: Page = { key, version, names: new Map(), bytes: 0, dirty: false, urgent: false };
    this.pages.set(key, page);
    for (const [name, bytes] of entries) this.put(page, name, bytes);
  }

  /** Marks the entry's page to be written; gives the entry a page if it has none. */
  touch(name: string, bytes: number, urgent: boolean): void {
    let page = this.pageOf.get(name);
    if (!page) {
      page = [...this.pages.values()].find((p) => p.bytes + bytes <= this.limit) ?? this.newPage();
      this.put(page, name, bytes);
    }
    page.dirty = true;
    page.urgent ||= urgent;
  }

  remove(name: string): void {
    const page = this.pageOf.get(name);
    if (!page) return;
    this.pageOf.delete(name);
    page.bytes -= page.names.get(name) ?? 0;
    page.names.delete(name);
    page.dirty = true;
  }

  /** The next page to be written, the urgent ones first; it goes to the end, so that all have their turn. */
  next(urgentOnly: boolean): Page | null {
    const pages = [...this.pages.values()];
    const page = pages.find((p) => p.urgent) ?? (urgentOnly ? undefined : pages.find((p) => p.dirty));
    if (!page) return null;
    this.pages.delete(page.key);
    this.pages.set(page.key, page);
    return page;
  }

  private put(page: Page, name: string, bytes: number): void {
    page.names.set(name, bytes);
    page.bytes += bytes;
    this.pageOf.set(name, page);
  }

  private newPage(): Page {
    let key: string;
    do key = `${this.prefix}${String(this.counter++)}`;
    while (this.pages.has(key));
    const page: Page = { key, version: 0, names: new Map(), bytes: 0, dirty: false, urgent: false };
    this.pages.set(key, page);
    return page;
  }
}
