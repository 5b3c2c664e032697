import { LATE_MS, LATENESS_LOOK_MS } from '../constants.ts';
import type { Clock } from './clock.ts';

/**
 * Whether this process has been late: its timers fire long after their time when it has no processor time. What
 * seems to go unanswered meanwhile may lie unread in its own sockets, so it proves nothing about others.
 */
export class Lateness {
  private lateAt = -Infinity;

  constructor(private readonly clock: Clock) {}

  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      const due = this.clock.now() + LATENESS_LOOK_MS;
      await this.clock.sleep(LATENESS_LOOK_MS, signal);
      if (this.clock.now() - due > LATE_MS) this.lateAt = this.clock.now();
    }
  }

  /** Whether it was late at any time from then on. */
  since(at: number): boolean {
    return this.lateAt >= at;
  }
}
