/** Supervised background tasks, and the interface of the log. */
import type { Clock } from './clock.ts';

/** A structured log: fields first, then a fixed sentence. */
export interface Log {
  /** What helps only whoever looks into one event. */
  debug(fields: object, message: string): void;
  /** What operators want to see in normal service. */
  info(fields: object, message: string): void;
  /** What the service copes with by itself. */
  warn(fields: object, message: string): void;
  /** What should not happen. */
  error(fields: object, message: string): void;
}

/**
 * Runs `turn` periodically, with `everyMs` between the end of one turn and the start of the next, until the
 * signal is aborted. An error is logged, and the next turn comes as usual, so that no single failure ends a
 * background task for good.
 */
export async function runPeriodically(
  name: string,
  everyMs: number,
  deps: { readonly clock: Clock; readonly signal: AbortSignal; readonly log: Log },
  turn: () => Promise<void> | void,
): Promise<void> {
  const { clock, signal, log } = deps;
  while (!signal.aborted) {
    try {
      await turn();
    } catch (error) {
      const stack = error instanceof Error ? error.stack : undefined;
      log.error({ backgroundTask: name, err: String(error), stack }, 'background task failed');
    }
    await clock.sleep(everyMs, signal);
  }
}
