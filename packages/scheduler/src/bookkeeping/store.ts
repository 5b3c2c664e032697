import {
  FOLLOW_SHARE,
  FOLLOW_HOLD_MS,
  LIVE_PAGE_LIMIT,
  RETRY_MS,
  STATE_SHARE,
  USER_WAIT_MS,
} from '../constants.ts';
import type { Clock } from '../transport/clock.ts';
import { Pace } from '../transport/pace.ts';
import type { Log } from '../transport/routine.ts';
import type { Int } from '../protocol/json.ts';
import {
  type Condition,
  type Entry,
  StateRefused,
  type StateApi,
  TooOld,
  type TxnResult,
  type Write,
} from '../protocol/state.ts';
import { readLive } from './record-codec.ts';
import { LIVE, type LiveRecord } from './records.ts';

/** Whose call goes first when the state service's limits are near: ownership, then users, then the rest. */
export type Lane = 'ownership' | 'user' | 'work';

/** The state service's calls, kept below this node's share of its limits. */
export class Store {
  private readonly requests: Pace;
  private readonly changes: Pace;
  /** Milliseconds from one follow to the next at least. */
  readonly followGapMs: number;

  constructor(
    private readonly api: StateApi,
    private readonly clock: Clock,
    limits: { rps: number; writeRps: number; nodes: number },
  ) {
    const share = STATE_SHARE / limits.nodes;
    this.requests = new Pace(clock, limits.rps * share, limits.rps * share);
    this.changes = new Pace(clock, limits.writeRps * share, limits.writeRps * share);
    this.followGapMs = 1000 / (limits.rps * share * FOLLOW_SHARE);
  }

  async get(key: string, lane: Lane): Promise<Entry | null> {
    await this.turn(lane, 0);
    return this.api.get(key);
  }

  async txn(conditions: Condition[], writes: Write[], lane: Lane): Promise<TxnResult> {
    await this.turn(lane, writes.length);
    return this.api.txn(conditions, writes);
  }

  async grant(lifeMs: number): Promise<Int> {
    await this.turn('ownership', 0);
    return this.api.grant(lifeMs);
  }

  async extend(lease: Int): Promise<boolean> {
    await this.turn('ownership', 0);
    return this.api.extend(lease);
  }

  async list(prefix: string, after: string | null): ReturnType<StateApi['list']> {
    await this.turn('ownership', 0);
    return this.api.list(prefix, after);
  }

  async follow(prefix: string, from: Int, holdMs: number): ReturnType<StateApi['follow']> {
    await this.turn('ownership', 0);
    return this.api.follow(prefix, from, holdMs);
  }

  private async turn(lane: Lane, writes: number): Promise<void> {
    // The rest leaves a third of each bucket to users and ownership.
    const left = (pace: Pace): number => (lane === 'work' ? pace.burst / 3 : 0);
    const began = this.clock.now();
    while (lane !== 'ownership') {
      const wait = Math.max(
        this.requests.wait(1, left(this.requests)),
        writes > 0 ? this.changes.wait(writes, left(this.changes)) : 0,
      );
      if (wait === 0) break;
      if (lane === 'user' && this.clock.now() + wait - began > USER_WAIT_MS)
        throw new StateRefused('own pacing');
      await this.clock.sleep(wait);
    }
    this.requests.take(1);
    if (writes > 0) this.changes.take(writes);
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
export class Replica {
  readonly entries = new Map<string, Entry>();
  /** When the request was sent whose answer last proved contact; minus infinity before the first. */
  provenAt = -Infinity;
  private revision: Int = 0;
  /** Who waits for a proof of contact sent after they began to wait. */
  private readonly waiting = new Set<{ since: number; wake: () => void }>();

  constructor(
    private readonly store: Store,
    private readonly clock: Clock,
    private readonly log: Log,
    private readonly onLoading: () => void,
    private readonly onChange: (change: LiveRecord, version: Int) => void,
    private readonly onCaughtUp: () => void,
  ) {}

  /** The revision that this copy equals. */
  get asOf(): Int {
    return this.revision;
  }

  version(key: string): Int {
    return this.entries.get(key)?.version ?? 0;
  }

  /**
   * True once an answer is in whose request was sent from now on: this copy then has all that was committed
   * before the call. False if none comes in time. One follow serves all that wait, instead of a read for each.
   */
  async provenWithin(ms: number): Promise<boolean> {
    const since = this.clock.now();
    const end = new AbortController();
    const entry = { since, wake: () => end.abort() };
    this.waiting.add(entry);
    await this.clock.sleep(ms, end.signal);
    this.waiting.delete(entry);
    return this.provenAt >= since;
  }

  /** Reads everything, then follows, until the signal is aborted. */
  async run(signal: AbortSignal): Promise<void> {
    let loaded = false;
    while (!signal.aborted) {
      const began = this.clock.now();
      try {
        if (loaded) await this.followOnce(began);
        else await this.load(began);
        loaded = true;
        this.onCaughtUp();
        for (const { since, wake } of this.waiting) if (began >= since) wake();
        const spent = this.clock.now() - began;
        const gap = this.store.followGapMs - spent;
        if (gap > 0) await this.clock.sleep(gap, signal);
      } catch (error) {
        if (signal.aborted) return;
        if (error instanceof TooOld) loaded = false;
        else this.log.debug({ err: String(error) }, 'no contact with the state service');
        await this.clock.sleep(RETRY_MS, signal);
      }
    }
  }

  private async followOnce(sentAt: number): Promise<void> {
    const hold = this.waiting.size > 0 ? 0 : FOLLOW_HOLD_MS;
    const { revision, events } = await this.store.follow(LIVE, this.revision, hold);
    for (const event of events) {
      if (event.op === 'put') this.put(event);
      else if (this.entries.delete(event.key)) this.tell(event.key, undefined, event.version);
    }
    this.revision = revision;
    this.provenAt = sentAt;
  }

  /**
   * Pages of a list are read at different revisions. The changes since the first page are applied before
   * anything is told, else a slice could be seen that is newer than the ownership seen with it.
   */
  private async load(sentAt: number): Promise<void> {
    const fresh = new Map<string, Entry>();
    let after: string | null = null;
    let first: Int | null = null;
    for (let pages = 0; pages < LIVE_PAGE_LIMIT; pages++) {
      const page = await this.store.list(LIVE, after);
      first ??= page.revision;
      for (const entry of page.entries) fresh.set(entry.key, entry);
      after = page.entries.at(-1)?.key ?? null;
      if (!page.more || after === null) break;
    }
    const since = await this.store.follow(LIVE, first ?? 0, 0);
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
      this.tell(key, undefined, since.revision);
    }
    this.revision = since.revision;
    this.provenAt = sentAt;
  }

  private put(entry: Entry): void {
    this.entries.set(entry.key, { key: entry.key, value: entry.value, version: entry.version });
    this.tell(entry.key, entry.value, entry.version);
  }

  private tell(key: string, value: unknown, version: Int): void {
    const change = readLive(key, value);
    if (change) this.onChange(change, version);
  }
}
