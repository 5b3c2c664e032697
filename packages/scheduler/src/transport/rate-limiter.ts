/** A token bucket, which bounds the rate of calls and the size of a burst. */
import type { Clock } from './clock.ts';

/**
 * Keeps calls below the rate limit of an outside service. The caller asks for the delay, sleeps, and then
 * takes; an urgent call may take at once, which can leave the bucket below zero, so that the others make room
 * for it.
 */
export class RateLimiter {
  /** Tokens in the bucket at `updatedAt`; below zero after urgent calls. */
  private tokens: number;
  private updatedAt: number;

  constructor(
    private readonly clock: Clock,
    /** Tokens added each second. */
    private perSecond: number,
    /** Tokens in a full bucket, as it is at first. */
    private capacity: number,
  ) {
    this.tokens = capacity;
    this.updatedAt = clock.now();
  }

  /** Tokens in a full bucket. */
  get burst(): number {
    return this.capacity;
  }

  /** Milliseconds until `cost` tokens can be taken with `reserve` left over; 0 if that is now. */
  delayMs(cost: number, reserve = 0): number {
    const now = this.clock.now();
    const refill = ((now - this.updatedAt) / 1000) * this.perSecond;
    this.tokens = Math.min(this.capacity, this.tokens + refill);
    this.updatedAt = now;
    // A call that costs more than a full bucket passes when the bucket is full, else it would wait for ever.
    const needed = Math.min(cost + reserve, this.capacity);
    return this.tokens >= needed ? 0 : Math.ceil(((needed - this.tokens) / this.perSecond) * 1000);
  }

  /** Changes the rate and the bucket's size from now on; tokens in the bucket stay. */
  setRate(perSecond: number, burst: number): void {
    this.delayMs(0);
    this.perSecond = perSecond;
    this.capacity = burst;
  }

  /** Takes tokens, whether or not there are enough. */
  take(cost: number): void {
    this.tokens -= cost;
  }
}
