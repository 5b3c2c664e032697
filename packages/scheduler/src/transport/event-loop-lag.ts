/** Measures event-loop lag: how late the process's timers fire when it has no processor time. */
import { LAG_SAMPLE_MS, LAG_THRESHOLD_MS } from '../constants.ts';
import type { Clock } from './clock.ts';

/**
 * Tells whether this process has lagged. What seems unanswered meanwhile may lie unread in its own sockets,
 * so it proves nothing about the peer or machine that was called.
 */
export class EventLoopLag {
  /** When the last late timer fired. */
  private laggedAt = -Infinity;

  constructor(private readonly clock: Clock) {}

  /** Samples the lag until the signal is aborted. */
  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      const due = this.clock.now() + LAG_SAMPLE_MS;
      await this.clock.sleep(LAG_SAMPLE_MS, signal);
      if (this.clock.now() - due > LAG_THRESHOLD_MS) this.laggedAt = this.clock.now();
    }
  }

  /** Whether the process lagged at `at`, in milliseconds of the clock, or later. */
  laggedSince(at: number): boolean {
    return this.laggedAt >= at;
  }
}
