import { LAG_THRESHOLD_MS, LAG_SAMPLE_MS } from '../constants.ts';
import type { Clock } from './clock.ts';

/**
 * Whether this process has been late: its timers fire long after their time when it has no processor time. What
 * seems to go unanswered meanwhile may lie unread in its own sockets, so it proves nothing about others.
 */
export class EventLoopLag {
  private laggedAt = -Infinity;

  constructor(private readonly clock: Clock) {}

  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      const due = this.clock.now() + LAG_SAMPLE_MS;
      await this.clock.sleep(LAG_SAMPLE_MS, signal);
      if (this.clock.now() - due > LAG_THRESHOLD_MS) this.laggedAt = this.clock.now();
    }
  }

  /** Whether it was late at any time from then on. */
  laggedSince(at: number): boolean {
    return this.laggedAt >= at;
  }
}
