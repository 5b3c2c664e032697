import { LOAD_WITHOUT_MACHINES, SILENT_HEARTBEATS } from '../constants.ts';
import type { Machine } from '../storage/machine.ts';
import type { Slice } from '../storage/slice.ts';
import type { LoadSummary } from '../protocol/peer-messages.ts';
import type { Settings } from '../settings.ts';
import type { FailingJobs } from './jobs/failing-jobs.ts';

/** What an owner tells the others of a part, reckoned from its machines and slices. */

/** Tasks on machines, by job. */
export function running(machines: Iterable<Machine>): Record<string, number> {
  const counts: Record<string, number> = {};
  for (const machine of machines) {
    for (const attempt of machine.attempts.values()) {
      const job = attempt.slice?.spec.id;
      if (job !== undefined && attempt.phase === 'seen') counts[job] = (counts[job] ?? 0) + 1;
    }
  }
  return counts;
}

/** The longest time, in milliseconds, that a task of the job has run on a machine that is heard. */
export function longestRunMs(
  machines: Iterable<Machine>,
  job: string,
  now: number,
  settings: Settings,
): number {
  let longest = 0;
  for (const machine of machines) {
    if (now - machine.lastContactAt > settings.heartbeatIntervalMs * SILENT_HEARTBEATS) continue;
    for (const { slice, state, runningAt } of machine.attempts.values()) {
      if (slice?.spec.id === job && state === 'running') longest = Math.max(longest, now - runningAt);
    }
  }
  return longest;
}

/** Load in machines' worth, how many machines may take tasks (`open`), and their CPUs. */
export function summary(open: Machine[], slices: Iterable<Slice>, failingJobs: FailingJobs): LoadSummary {
  const cores = open.reduce((sum, machine) => sum + (machine.type?.cores ?? 0), 0);
  const load = open.reduce((sum, machine) => sum + machine.load + machine.bookedSinceHeartbeat, 0);
  let waiting = 0;
  for (const slice of slices) {
    const tasks = slice.pending.length + slice.unreconciled.size;
    waiting += (failingJobs.isFailing(slice.spec.id) ? Math.min(1, tasks) : tasks) * slice.spec.cores;
  }
  // Waits count as load, in machines' worth. A part without machines is the last to be given anything.
  const average = cores > 0 ? load / open.length + waiting / cores : LOAD_WITHOUT_MACHINES;
  return { averageLoad: average, schedulableMachines: open.length, schedulableCores: cores };
}
