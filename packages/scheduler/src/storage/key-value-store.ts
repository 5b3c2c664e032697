import {
  WATCH_REQUEST_SHARE,
  WATCH_HOLD_MS,
  MAX_LIST_PAGES,
  RETRY_MS,
  STORE_LIMIT_SHARE,
  USER_QUEUE_MS,
} from '../constants.ts';
import type { Clock } from '../transport/clock.ts';
import { RateLimiter } from '../transport/rate-limiter.ts';
import type { Log } from '../transport/background-task.ts';
import type { Int } from '../protocol/json.ts';
import {
  type Precondition,
  type Entry,
  RequestRejected,
  type KeyValueApi,
  RevisionCompacted,
  type CompareAndSwapResult,
  type Write,
} from '../protocol/key-value.ts';
import { decodeLiveRecord } from './record-codec.ts';
import { LIVE_PREFIX, type LiveRecord } from './records.ts';

/** Whose call goes first when the state service's limits are near: ownership, then users, then the rest. */
export type Lane = 'leadership' | 'user' | 'background';

/** The state service's calls, kept below this node's share of its limits. */
export class KeyValueStore {
  private readonly requests: RateLimiter;
  private readonly writes: RateLimiter;
  /** Milliseconds from one follow to the next at least. */
  readonly watchGapMs: number;

  constructor(
    private readonly api: KeyValueApi,
    private readonly clock: Clock,
    limits: { rps: number; writeRps: number; nodes: number },
  ) {
    const share = STORE_LIMIT_SHARE / limits.nodes;
    this.requests = new RateLimiter(clock, limits.rps * share, limits.rps * share);
    this.writes = new RateLimiter(clock, limits.writeRps * share, limits.writeRps * share);
    this.watchGapMs = 1000 / (limits.rps * share * WATCH_REQUEST_SHARE);
  }

  async get(key: string, lane: Lane): Promise<Entry | null> {
    await this.acquire(lane, 0);
    return this.api.get(key);
  }

  async compareAndSwap(
    conditions: Precondition[],
    writes: Write[],
    lane: Lane,
  ): Promise<CompareAndSwapResult> {
    await this.acquire(lane, writes.length);
    return this.api.compareAndSwap(conditions, writes);
  }

  async grantLease(lifeMs: number): Promise<Int> {
    await this.acquire('leadership', 0);
    return this.api.grantLease(lifeMs);
  }

  async renewLease(lease: Int): Promise<boolean> {
    await this.acquire('leadership', 0);
    return this.api.renewLease(lease);
  }

  async list(prefix: string, after: string | null): ReturnType<KeyValueApi['list']> {
    await this.acquire('leadership', 0);
    return this.api.list(prefix, after);
  }

  async watch(prefix: string, from: Int, holdMs: number): ReturnType<KeyValueApi['watch']> {
    await this.acquire('leadership', 0);
    return this.api.watch(prefix, from, holdMs);
  }

  private async acquire(lane: Lane, writes: number): Promise<void> {
    // The rest leaves a third of each bucket to users and ownership.
    const left = (pace: RateLimiter): number => (lane === 'background' ? pace.burst / 3 : 0);
    const began = this.clock.now();
    while (lane !== 'leadership') {
      const wait = Math.max(
        this.requests.delayMs(1, left(this.requests)),
        writes > 0 ? this.writes.delayMs(writes, left(this.writes)) : 0,
      );
      if (wait === 0) break;
      if (lane === 'user' && this.clock.now() + wait - began > USER_QUEUE_MS)
        throw new RequestRejected('own pacing');
      await this.clock.sleep(wait);
    }
    this.requests.take(1);
    if (writes > 0) this.writes.take(writes);
  }
}

export interface Versioned<T> {
  record: T;
  version: Int;
}

/**
 * This node's copy of everything under `live/`, kept by one follow, so that it always equals the state
 * service at one revision: whoever sees a slice has seen every change of ownership before it.
 */
export class WatchCache {
  readonly entries = new Map<string, Entry>();
  /** When the request was sent whose answer last proved contact; minus infinity before the first. */
  confirmedAt = -Infinity;
  private revision: Int = 0;
  /** Who waits for a proof of contact sent after they began to wait. */
  private readonly waiters = new Set<{ since: number; wake: () => void }>();

  constructor(
    private readonly store: KeyValueStore,
    private readonly clock: Clock,
    private readonly log: Log,
    private readonly onLoading: () => void,
    private readonly onChange: (change: LiveRecord, version: Int) => void,
    private readonly onCaughtUp: () => void,
  ) {}

  /** The revision that this copy equals. */
  get currentRevision(): Int {
    return this.revision;
  }

  version(key: string): Int {
    return this.entries.get(key)?.version ?? 0;
  }

  /**
   * True once an answer is in whose request was sent from now on: this copy then has all that was committed
   * before the call. False if none comes in time. One follow serves all that wait, instead of a read for each.
   */
  async confirmWithin(ms: number): Promise<boolean> {
    const since = this.clock.now();
    const end = new AbortController();
    const entry = { since, wake: () => end.abort() };
    this.waiters.add(entry);
    await this.clock.sleep(ms, end.signal);
    this.waiters.delete(entry);
    return this.confirmedAt >= since;
  }

  /** Reads everything, then follows, until the signal is aborted. */
  async run(signal: AbortSignal): Promise<void> {
    let loaded = false;
    while (!signal.aborted) {
      const began = this.clock.now();
      try {
        if (loaded) await this.watchOnce(began);
        else await this.load(began);
        loaded = true;
        this.onCaughtUp();
        for (const { since, wake } of this.waiters) if (began >= since) wake();
        const spent = this.clock.now() - began;
        const gap = this.store.watchGapMs - spent;
        if (gap > 0) await this.clock.sleep(gap, signal);
      } catch (error) {
        // eslint-disable-next-line @typescript-eslint/no-unnecessary-condition -- aborted while it waited
        if (signal.aborted) return;
        if (error instanceof RevisionCompacted) loaded = false;
        else this.log.debug({ err: String(error) }, 'no contact with the state service');
        await this.clock.sleep(RETRY_MS, signal);
      }
    }
  }

  private async watchOnce(sentAt: number): Promise<void> {
    const hold = this.waiters.size > 0 ? 0 : WATCH_HOLD_MS;
    const { revision, events } = await this.store.watch(LIVE_PREFIX, this.revision, hold);
    for (const event of events) {
      if (event.op === 'put') this.put(event);
      else if (this.entries.delete(event.key)) this.notify(event.key, undefined, event.version);
    }
    this.revision = revision;
    this.confirmedAt = sentAt;
  }

  /**
   * Pages of a list are read at different revisions. The changes since the first page are applied before
   * anything is told, else a slice could be seen that is newer than the ownership seen with it.
   */
  private async load(sentAt: number): Promise<void> {
    const fresh = new Map<string, Entry>();
    let after: string | null = null;
    let first: Int | null = null;
    for (let pages = 0; pages < MAX_LIST_PAGES; pages++) {
      const page = await this.store.list(LIVE_PREFIX, after);
      first ??= page.revision;
      for (const entry of page.entries) fresh.set(entry.key, entry);
      after = page.entries.at(-1)?.key ?? null;
      if (!page.more || after === null) break;
    }
    const since = await this.store.watch(LIVE_PREFIX, first ?? 0, 0);
    for (const event of since.events) {
      if (event.op === 'put') fresh.set(event.key, event);
      else fresh.delete(event.key);
    }
    const known = [...this.entries.keys()].filter((key) => !fresh.has(key));
    this.onLoading();
    for (const entry of fresh.values()) {
      if (this.entries.get(entry.key)?.version !== entry.version) this.put(entry);
    }
    for (const key of known) {
      this.entries.delete(key);
      this.notify(key, undefined, since.revision);
    }
    this.revision = since.revision;
    this.confirmedAt = sentAt;
  }

  private put(entry: Entry): void {
    this.entries.set(entry.key, { key: entry.key, value: entry.value, version: entry.version });
    this.notify(entry.key, entry.value, entry.version);
  }

  private notify(key: string, value: unknown, version: Int): void {
    const change = decodeLiveRecord(key, value);
    if (change) this.onChange(change, version);
  }
}
