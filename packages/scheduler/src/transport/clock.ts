/** Time, passed in wherever it is needed so that tests and simulations can run in virtual time. */

/** A steady clock in milliseconds, and timers on it. */
export interface Clock {
  /** Milliseconds since an arbitrary moment; never goes back. */
  now(): number;
  /** Resolves after `ms`, or at once when the signal is aborted; it never rejects. */
  sleep(ms: number, signal?: AbortSignal): Promise<void>;
  /**
   * Runs a callback after the current turn, before any time passes. A virtual clock must know of all that is
   * still to run.
   */
  soon(run: () => void): void;
}

/** The process's own steady clock. */
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
  soon: (run) => void setImmediate(run),
};
