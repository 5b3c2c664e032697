/**
 * The watch cache: a controller's copy of all records under `live/`, kept up to date by one watch.
 *
 * Invariant: the copy always equals the key-value store at one revision. A listener that is notified of a
 * slice has therefore been notified of every earlier change of leadership. The answer to each watch is also
 * the controller's proof of contact with the store, on which its leader lease depends (docs/design.md,
 * "Leader lease").
 */
import { MAX_LIST_PAGES, RETRY_MS, WATCH_HOLD_MS } from '../constants.ts';
import { type Entry, type Revision, RevisionCompacted } from '../protocol/key-value.ts';
import type { Log } from '../transport/log.ts';
import type { Clock } from '../transport/clock.ts';
import type { KeyValueStore } from './key-value-store.ts';
import { decodeLiveRecord } from './record-codec.ts';
import { LIVE_PREFIX, type LiveRecord } from './records.ts';

/** Receives the changes of the cache, synchronously and in order. */
export interface WatchListener {
  /** All records have just been read again; the differences from the previous copy follow as changes. */
  onLoading(): void;
  /** A record changed. `version` is its new version or, for a deletion, a revision at which it is deleted. */
  onChange(change: LiveRecord, version: Revision): void;
  /** All changes up to the cache's current revision have been passed on. */
  onCaughtUp(): void;
}

/** A caller of `confirmWithin`, which waits for the answer to a request sent at `since` or later. */
interface Waiter {
  readonly since: number;
  readonly wake: () => void;
}

/** A controller's copy of everything under `live/`; see the module's invariant. */
export class WatchCache {
  /** All entries under `live/`, by key. */
  private readonly entries = new Map<string, Entry>();
  /**
   * When the request was sent whose answer is the latest proof of contact; minus infinity before the first
   * answer.
   */
  confirmedAt = -Infinity;
  private revision: Revision = 0;
  private firstSeen: Revision | null = null;
  private readonly waiters = new Set<Waiter>();

  constructor(
    private readonly deps: {
      readonly store: KeyValueStore;
      readonly clock: Clock;
      readonly log: Log;
      readonly listener: WatchListener;
    },
  ) {}

  /** The revision that this copy equals. */
  get currentRevision(): Revision {
    return this.revision;
  }

  /** The first revision of the key-value store that this process has seen; null before the first answer. */
  get firstRevision(): Revision | null {
    return this.firstSeen;
  }

  /** The version of a key under `live/`; 0 for a key that does not exist, as in a precondition. */
  version(key: string): Revision {
    return this.entries.get(key)?.version ?? 0;
  }

  /**
   * Returns true once a request sent no earlier than this call is answered. The copy then contains everything
   * that was committed before the call. Returns false if no such answer arrives within `ms`. One watch serves
   * all callers in place of one read for each.
   */
  async confirmWithin(ms: number): Promise<boolean> {
    const { clock } = this.deps;
    const since = clock.now();
    const confirmed = new AbortController();
    const waiter: Waiter = { since, wake: () => confirmed.abort() };
    this.waiters.add(waiter);
    await clock.sleep(ms, confirmed.signal);
    this.waiters.delete(waiter);
    return this.confirmedAt >= since;
  }

  /** Reads all records, then watches them until the signal is aborted. A failed request is retried. */
  async run(signal: AbortSignal): Promise<void> {
    const { store, clock, log, listener } = this.deps;
    let loaded = false;
    while (!signal.aborted) {
      const startedAt = clock.now();
      try {
        if (loaded) await this.watchOnce(startedAt);
        else await this.load(startedAt);
        loaded = true;
        listener.onCaughtUp();
        for (const { since, wake } of this.waiters) if (startedAt >= since) wake();
        const gapMs = store.watchGapMs - (clock.now() - startedAt);
        if (gapMs > 0) await clock.sleep(gapMs, signal);
      } catch (error) {
        // eslint-disable-next-line @typescript-eslint/no-unnecessary-condition -- aborted during the request
        if (signal.aborted) return;
        if (error instanceof RevisionCompacted) loaded = false;
        else log.debug({ err: String(error) }, 'reading records from the key-value store failed; retrying');
        await clock.sleep(RETRY_MS, signal);
      }
    }
  }

  /** Applies the changes since the copy's revision. The store answers at once while a caller waits. */
  private async watchOnce(sentAt: number): Promise<void> {
    const holdMs = this.waiters.size > 0 ? 0 : WATCH_HOLD_MS;
    const { revision, events } = await this.deps.store.watch(LIVE_PREFIX, this.revision, holdMs);
    for (const event of events) {
      if (event.op === 'put') this.put(event);
      else if (this.entries.delete(event.key)) this.notify(event.key, undefined, event.version);
    }
    this.revision = revision;
    this.confirmedAt = sentAt;
  }

  /**
   * Reads all records again. The pages of a list are read at different revisions, so the changes since the
   * first page are applied before the listener is notified. Otherwise the listener could receive a slice that
   * is newer than the leadership it received.
   */
  private async load(sentAt: number): Promise<void> {
    const { store } = this.deps;
    const fresh = new Map<string, Entry>();
    let after: string | null = null;
    let firstRevision: Revision | null = null;
    for (let pages = 0; pages < MAX_LIST_PAGES; pages++) {
      const page = await store.list(LIVE_PREFIX, after);
      firstRevision ??= page.revision;
      this.firstSeen ??= page.revision;
      for (const entry of page.entries) fresh.set(entry.key, entry);
      after = page.entries.at(-1)?.key ?? null;
      if (!page.more || after === null) break;
    }
    const changes = await store.watch(LIVE_PREFIX, firstRevision ?? 0, 0);
    for (const event of changes.events) {
      if (event.op === 'put') fresh.set(event.key, event);
      else fresh.delete(event.key);
    }
    this.replaceEntries(fresh, changes.revision);
    this.revision = changes.revision;
    this.confirmedAt = sentAt;
  }

  /** Replaces the copy by `fresh`, and notifies the listener only of the differences. */
  private replaceEntries(fresh: ReadonlyMap<string, Entry>, revision: Revision): void {
    const deleted = [...this.entries.keys()].filter((key) => !fresh.has(key));
    this.deps.listener.onLoading();
    for (const entry of fresh.values()) {
      if (this.entries.get(entry.key)?.version !== entry.version) this.put(entry);
    }
    for (const key of deleted) {
      this.entries.delete(key);
      this.notify(key, undefined, revision);
    }
  }

  /**
   * Stores an entry. Copies its fields one by one, as the argument may be a watch event with one more field.
   */
  private put(entry: Entry): void {
    this.entries.set(entry.key, { key: entry.key, value: entry.value, version: entry.version });
    this.notify(entry.key, entry.value, entry.version);
  }

  /** Notifies the listener unless the key is of an unknown kind; `value` is undefined for a deletion. */
  private notify(key: string, value: unknown, version: Revision): void {
    const change = decodeLiveRecord(key, value);
    if (change) this.deps.listener.onChange(change, version);
  }
}
