/** Time, which is injected so that tests and simulations can run in virtual time. */

/** A monotonic clock in milliseconds, with timers. */
export interface Clock {
  /** Milliseconds since an arbitrary start; never decreases. */
  now(): number;
  /** Resolves after `ms`, or at once when the signal is aborted. It never rejects. */
  sleep(ms: number, signal?: AbortSignal): Promise<void>;
  /**
   * Runs a callback after the current turn of the event loop, before any virtual time passes. A virtual clock
   * must know of every callback that is still to run.
   */
  defer(run: () => void): void;
}

/** The monotonic clock of the process. */
export const systemClock: Clock = {
  now: () => performance.now(),
  sleep: (ms, signal) =>
    new Promise((resolve) => {
      if (signal?.aborted) return resolve();
      const end = (): void => {
        clearTimeout(timer);
        signal?.removeEventListener('abort', end);
        resolve();
      };
      const timer = setTimeout(end, ms);
      signal?.addEventListener('abort', end);
    }),
  defer: (run) => void setImmediate(run),
};
