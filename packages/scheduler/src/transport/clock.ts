/** Time as the code sees it: milliseconds of a steady clock, and waits that a signal can cut short. */
export interface Clock {
  now(): number;
  /** Resolves after `ms`, or at once when the signal is aborted. */
  sleep(ms: number, signal?: AbortSignal): Promise<void>;
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
};
