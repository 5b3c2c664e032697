import type { Clock } from './clock.ts';

/**
 * A token bucket that keeps calls below a limit of an outside service. Urgent calls (ownership) never
 * wait but are counted, so that the others make room for them.
 */
export class RateLimiter {
  private tokens: number;
  private updated: number;

  constructor(
    private readonly clock: Clock,
    private perSecond: number,
    public burst: number,
  ) {
    this.tokens = burst;
    this.updated = clock.now();
  }

  /** Milliseconds until `cost` could be taken with `reserve` left over; 0 if that is now. */
  delayMs(cost: number, reserve = 0): number {
    const now = this.clock.now();
    this.tokens = Math.min(this.burst, this.tokens + ((now - this.updated) / 1000) * this.perSecond);
    this.updated = now;
    // A call dearer than the whole bucket passes when the bucket is full, else it would wait for ever.
    const needed = Math.min(cost + reserve, this.burst);
    return this.tokens >= needed ? 0 : Math.ceil(((needed - this.tokens) / this.perSecond) * 1000);
  }

  /** From now on another rate holds; what has been saved up stays. */
  setRate(perSecond: number, burst: number): void {
    this.delayMs(0);
    this.perSecond = perSecond;
    this.burst = burst;
  }

  take(cost: number): void {
    this.tokens -= cost;
  }
}
