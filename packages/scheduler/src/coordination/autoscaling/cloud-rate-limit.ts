/** This node's share of the cloud's request limit. */
import { CLOUD_BURST_S, CLOUD_SHARE } from '../../constants.ts';
import type { Clock } from '../../transport/clock.ts';
import { RateLimiter } from '../../transport/rate-limiter.ts';

/** The cloud's limit, as set by the operators. */
export interface CloudLimits {
  /** Requests per second that the cloud accepts from all controllers together. */
  readonly rps: number;
  /** Number of controllers. */
  readonly nodes: number;
}

interface CloudRateLimitContext {
  readonly clock: Clock;
  readonly signal: AbortSignal;
  readonly limits: CloudLimits;
}

/** Delays this node's requests so that all controllers together stay below the cloud's limit. */
export class CloudRateLimit {
  private readonly rateLimiter: RateLimiter;

  constructor(private readonly context: CloudRateLimitContext) {
    const { rate, burst } = this.rateFor(1 / context.limits.nodes);
    this.rateLimiter = new RateLimiter(context.clock, rate, burst);
  }

  /**
   * Sets this node's share of the limit to its share of the shards, because a node that leads more shards
   * sends more requests. The share is never below an equal one.
   */
  setShare(shareOfShards: number): void {
    const { rate, burst } = this.rateFor(Math.max(shareOfShards, 1 / this.context.limits.nodes));
    this.rateLimiter.setRate(rate, burst);
  }

  /**
   * Resolves when a request may be sent and `reserve` more requests could still follow, or once the process
   * terminates.
   */
  async acquire(reserve: number): Promise<void> {
    const { clock, signal } = this.context;
    for (;;) {
      const delayMs = this.rateLimiter.delayMs(1, reserve);
      if (delayMs === 0 || signal.aborted) break;
      await clock.sleep(delayMs, signal);
    }
    this.rateLimiter.take(1);
  }

  private rateFor(share: number): { rate: number; burst: number } {
    const rate = this.context.limits.rps * CLOUD_SHARE * share;
    return { rate, burst: Math.max(1, rate * CLOUD_BURST_S) };
  }
}
