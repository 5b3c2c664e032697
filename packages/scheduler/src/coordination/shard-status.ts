/** What a shard's leader reports to its peers, computed from the shard's machines and slices. */
import { LOAD_WITHOUT_MACHINES, SILENT_HEARTBEATS } from '../constants.ts';
import type { Machine } from '../storage/machine.ts';
import type { Slice } from '../storage/slice.ts';
import type { LoadSummary } from '../protocol/peer-messages.ts';
import type { Settings } from '../settings.ts';
import type { FailingJobs } from './jobs/failing-jobs.ts';

/** How many tasks machines have reported, by job id. */
export function runningTasks(machines: Iterable<Machine>): Record<string, number> {
  const counts: Record<string, number> = {};
  for (const machine of machines) {
    for (const { slice, phase } of machine.attempts.values()) {
      const job = slice?.spec.id;
      if (job !== undefined && phase === 'seen') counts[job] = (counts[job] ?? 0) + 1;
    }
  }
  return counts;
}

/** How long the job's longest-running task has run, in milliseconds, on machines that are not silent. */
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

/** How many of the machines are unreconciled. */
export function unreconciledCount(machines: Iterable<Machine>): number {
  let count = 0;
  for (const machine of machines) if (machine.unreconciled) count++;
  return count;
}

/**
 * The average load of the schedulable machines, and their cores. Pending and unreconciled tasks count as
 * load, by their cores' share of all cores. Of a slice whose job is failing, at most one task counts. The
 * load of a shard without machines is so high that the shard is chosen last.
 */
export function loadSummary(
  schedulable: Machine[],
  slices: Iterable<Slice>,
  failingJobs: FailingJobs,
): LoadSummary {
  const cores = schedulable.reduce((sum, { type }) => sum + (type?.cores ?? 0), 0);
  const load = schedulable.reduce((sum, machine) => sum + machine.load + machine.bookedSinceHeartbeat, 0);
  let pendingCores = 0;
  for (const { spec, pending, unreconciled } of slices) {
    const tasks = pending.length + unreconciled.size;
    pendingCores += (failingJobs.isFailing(spec.id) ? Math.min(1, tasks) : tasks) * spec.cores;
  }
  const averageLoad = cores > 0 ? load / schedulable.length + pendingCores / cores : LOAD_WITHOUT_MACHINES;
  return { averageLoad, schedulableMachines: schedulable.length, schedulableCores: cores };
}
