/** The rate limiter of the outside services. */
import type { VirtualTime } from './time.ts';

/** A rate limit with bursts, as the key-value store and the cloud have them; full at first. */
export class TokenBucket {
  /** Tokens at `at`, which is when `take` was last called. */
  private tokens: number;
  private updatedAt: number;

  constructor(
    private readonly time: VirtualTime,
    private readonly perSecond: number,
    private readonly burst: number,
  ) {
    this.tokens = burst;
    this.updatedAt = time.now;
  }

  /** Takes `count` tokens if they are there; returns whether it did. */
  take(count: number): boolean {
    this.tokens = Math.min(
      this.burst,
      this.tokens + ((this.time.now - this.updatedAt) / 1000) * this.perSecond,
    );
    this.updatedAt = this.time.now;
    if (this.tokens < count) return false;
    this.tokens -= count;
    return true;
  }
}
