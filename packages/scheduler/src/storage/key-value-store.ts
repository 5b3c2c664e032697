/**
 * The rate-limited client of the key-value store.
 *
 * The store limits the requests and the writes of a whole deployment and rejects calls above these limits.
 * Each controller therefore keeps to its share of both limits, and orders its calls by lane.
 */
import {
  BACKGROUND_RESERVE_DIVISOR,
  STORE_LIMIT_SHARE,
  USER_QUEUE_MS,
  WATCH_REQUEST_SHARE,
} from '../constants.ts';
import {
  type CompareAndSwapResult,
  type Entry,
  type KeyValueApi,
  type LeaseId,
  type Precondition,
  RequestRejected,
  type Revision,
  type Write,
} from '../protocol/key-value.ts';
import type { Clock } from '../transport/clock.ts';
import { RateLimiter } from '../transport/rate-limiter.ts';

/**
 * Precedence of a call when the limits are nearly reached. `leadership` never waits. `user` waits for a short
 * time and is then rejected. `background` waits without a limit, and leaves a part of the limits to the other
 * two.
 */
export type Lane = 'leadership' | 'user' | 'background';

/** The store's limits for the whole deployment, and the number of controllers that share them. */
export interface StoreLimits {
  /** Requests a second. */
  readonly rps: number;
  /** Written keys a second. */
  readonly writeRps: number;
  /** Controllers of the deployment, each of which takes an equal share. */
  readonly nodes: number;
}

/**
 * Calls to the key-value store, kept below this controller's share of its limits. Besides the errors of
 * `KeyValueApi`, a call in the `user` lane rejects with `RequestRejected` if it would have to wait for longer
 * than `USER_QUEUE_MS`.
 */
export class KeyValueStore {
  private readonly requests: RateLimiter;
  private readonly writes: RateLimiter;
  /** Minimum time from the start of one watch request to the start of the next, in milliseconds. */
  readonly watchGapMs: number;

  constructor(
    private readonly api: KeyValueApi,
    private readonly clock: Clock,
    limits: StoreLimits,
  ) {
    const share = STORE_LIMIT_SHARE / limits.nodes;
    this.requests = new RateLimiter(clock, limits.rps * share, limits.rps * share);
    this.writes = new RateLimiter(clock, limits.writeRps * share, limits.writeRps * share);
    this.watchGapMs = 1000 / (limits.rps * share * WATCH_REQUEST_SHARE);
  }

  /** See `KeyValueApi.get`. */
  async get(key: string, lane: Lane): Promise<Entry | null> {
    await this.acquire(lane, 0);
    return this.api.get(key);
  }

  /** See `KeyValueApi.compareAndSwap`; each write counts against the store's limit of writes. */
  async compareAndSwap(
    conditions: readonly Precondition[],
    writes: readonly Write[],
    lane: Lane,
  ): Promise<CompareAndSwapResult> {
    await this.acquire(lane, writes.length);
    return this.api.compareAndSwap(conditions, writes);
  }

  /** See `KeyValueApi.grantLease`. */
  async grantLease(lifeMs: number): Promise<LeaseId> {
    await this.acquire('leadership', 0);
    return this.api.grantLease(lifeMs);
  }

  /** See `KeyValueApi.renewLease`. */
  async renewLease(lease: LeaseId): Promise<boolean> {
    await this.acquire('leadership', 0);
    return this.api.renewLease(lease);
  }

  /** See `KeyValueApi.list`. */
  async list(prefix: string, after: string | null): ReturnType<KeyValueApi['list']> {
    await this.acquire('leadership', 0);
    return this.api.list(prefix, after);
  }

  /** See `KeyValueApi.watch`. */
  async watch(prefix: string, from: Revision, holdMs: number): ReturnType<KeyValueApi['watch']> {
    await this.acquire('leadership', 0);
    return this.api.watch(prefix, from, holdMs);
  }

  /** Waits until the lane allows the call, and counts it against both limits. */
  private async acquire(lane: Lane, writes: number): Promise<void> {
    const startedAt = this.clock.now();
    while (lane !== 'leadership') {
      const delayMs = this.delayMs(lane, writes);
      if (delayMs === 0) break;
      if (lane === 'user' && this.clock.now() + delayMs - startedAt > USER_QUEUE_MS)
        throw new RequestRejected(`own rate limit allows no call within ${String(USER_QUEUE_MS)} ms`);
      await this.clock.sleep(delayMs);
    }
    this.requests.take(1);
    if (writes > 0) this.writes.take(writes);
  }

  /** Milliseconds until a request with this number of writes is within both limits. */
  private delayMs(lane: Lane, writes: number): number {
    const reserve = (limiter: RateLimiter): number =>
      lane === 'background' ? limiter.burst / BACKGROUND_RESERVE_DIVISOR : 0;
    const requestDelayMs = this.requests.delayMs(1, reserve(this.requests));
    const writeDelayMs = writes > 0 ? this.writes.delayMs(writes, reserve(this.writes)) : 0;
    return Math.max(requestDelayMs, writeDelayMs);
  }
}
