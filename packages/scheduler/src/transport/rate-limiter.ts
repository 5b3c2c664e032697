/** A token bucket, which limits the rate of calls and the size of a burst. */
import type { Clock } from './clock.ts';

/**
 * Keeps calls below the rate limit of an external service. The caller gets the delay, sleeps for so long and
 * then takes tokens. An urgent call may take tokens without a delay. This can make the number of tokens
 * negative, which delays the other calls.
 */
export class RateLimiter {
  /** Tokens in the bucket at `updatedAt`; may be negative after urgent calls. */
  private tokens: number;
  private updatedAt: number;

  constructor(
    private readonly clock: Clock,
    /** Tokens added each second. */
    private perSecond: number,
    /** Tokens in a full bucket; the bucket starts full. */
    private capacity: number,
  ) {
    this.tokens = capacity;
    this.updatedAt = clock.now();
  }

  /** Tokens in a full bucket. */
  get burst(): number {
    return this.capacity;
  }

  /** Milliseconds until `cost` tokens can be taken with `reserve` tokens left; 0 if they can be taken now. */
  delayMs(cost: number, reserve = 0): number {
    const now = this.clock.now();
    const refill = ((now - this.updatedAt) / 1000) * this.perSecond;
    this.tokens = Math.min(this.capacity, this.tokens + refill);
    this.updatedAt = now;
    // A call that needs more than a full bucket proceeds when the bucket is full, or it would wait for ever.
    const needed = Math.min(cost + reserve, this.capacity);
    return this.tokens >= needed ? 0 : Math.ceil(((needed - this.tokens) / this.perSecond) * 1000);
  }

  /** Changes the rate and the bucket's size from now on. Tokens in the bucket stay, up to the new size. */
  setRate(perSecond: number, burst: number): void {
    this.delayMs(0);
    this.perSecond = perSecond;
    this.capacity = burst;
  }

  /** Takes tokens, even if there are too few. */
  take(cost: number): void {
    this.tokens -= cost;
  }
}
