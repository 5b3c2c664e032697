import type { Clock } from './clock.ts';

export interface Log {
  debug(fields: object, message: string): void;
  info(fields: object, message: string): void;
  warn(fields: object, message: string): void;
  error(fields: object, message: string): void;
}

/**
 * A long-lived duty: runs `turn` every `everyMs` until the signal is aborted. A turn that throws is
 * logged and the next one goes on, so that no single failure ends a duty for good.
 */
export async function runPeriodically(
  name: string,
  everyMs: number,
  deps: { clock: Clock; signal: AbortSignal; log: Log },
  turn: () => Promise<void> | void,
): Promise<void> {
  while (!deps.signal.aborted) {
    try {
      await turn();
    } catch (error) {
      deps.log.error({ routine: name, err: String(error), stack: (error as Error).stack }, 'duty failed');
    }
    await deps.clock.sleep(everyMs, deps.signal);
  }
}
