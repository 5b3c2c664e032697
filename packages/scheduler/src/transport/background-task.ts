/** Background tasks that survive errors. */
import type { Clock } from './clock.ts';
import type { Log } from './log.ts';

export type { Log } from './log.ts'; // many modules of coordination/ import it from here

/**
 * Runs `turn` periodically, with `everyMs` between the end of one turn and the start of the next, until the
 * signal is aborted. An error is logged, and the next turn follows as usual, so that no single failure ends a
 * background task.
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
