/** Time as the code sees it: milliseconds of a steady clock, and waits that a signal can cut short. */
export interface Clock {
  now(): number;
  /** Resolves after `ms`, or at once when the signal is aborted. */
  sleep(ms: number, signal?: AbortSignal): Promise<void>;
  /** Runs it after what goes on now, before any time passes. A virtual clock must know of all that is still to run. */
  soon(run: () => void): void;
}

export const systemClock: Clock = {
  now: () => performance.now(),
  sleep: (ms, signal) =>
    new Promise((resolve) => {
      if (signal?.aborted) return resolve();
      const done = (): void => {
        clearTimeout(timer);
        signal?.removeEventListener('abort', done);
        resolve();
      };
      const timer = setTimeout(done, ms);
      signal?.addEventListener('abort', done);
    }),
  soon: (run) => void setImmediate(run),
};
