/** The rate limiter of the simulated outside services. */
import type { VirtualTime } from './time.ts';

/**
 * A token bucket: a rate limit that allows bursts, as the key-value store and the cloud have. Initially full.
 */
export class TokenBucket {
  /** Tokens at the time `updatedAt`. */
  private tokens: number;
  /** When `take` was last called. */
  private updatedAt: number;

  constructor(
    private readonly time: VirtualTime,
    private readonly perSecond: number,
    private readonly burst: number,
  ) {
    this.tokens = burst;
    this.updatedAt = time.now;
  }

  /** Takes `count` tokens if that many are available. Returns whether it took them. */
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
