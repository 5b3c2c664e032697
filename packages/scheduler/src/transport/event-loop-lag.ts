/** Measures event-loop lag: how late timers fire when the process lacks processor time. */
import { LAG_SAMPLE_MS, LAG_THRESHOLD_MS } from '../constants.ts';
import type { Clock } from './clock.ts';

/**
 * Records when the event loop of this process lagged. Answers to calls that seem unanswered in that time may
 * lie unread in its own sockets, so a missing answer proves nothing about the peer or machine that was
 * called.
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
