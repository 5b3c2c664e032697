/** The rate limiter of the outside services. */
import type { VirtualTime } from './time.ts';

/** A rate limit with bursts, as the key-value store and the cloud have them; full at first. */
export class TokenBucket {
  /** Tokens at `at`, which is when `take` was last called. */
  private left: number;
  private at: number;

  constructor(
    private readonly time: VirtualTime,
    private readonly perSecond: number,
    private readonly burst: number,
  ) {
    this.left = burst;
    this.at = time.now;
  }

  /** Takes `count` tokens if they are there; returns whether it did. */
  take(count: number): boolean {
    this.left = Math.min(this.burst, this.left + ((this.time.now - this.at) / 1000) * this.perSecond);
    this.at = this.time.now;
    if (this.left < count) return false;
    this.left -= count;
    return true;
  }
}
