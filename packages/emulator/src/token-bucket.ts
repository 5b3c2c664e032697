import type { VirtualTime } from './time.ts';

/** A limit a second with bursts, as the state service and the cloud have them. */
export class TokenBucket {
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

  /** Takes so many if they are there. */
  take(count: number): boolean {
    this.left = Math.min(this.burst, this.left + ((this.time.now - this.at) / 1000) * this.perSecond);
    this.at = this.time.now;
    if (this.left < count) return false;
    this.left -= count;
    return true;
  }
}
