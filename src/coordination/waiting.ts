import { HOPEFUL_RUN, NO_AIM_MS, OVERHEAD_MS, STARVING_MS } from '../constants.ts';
import type { JobSpec } from '../protocol/users.ts';
import type { Settings } from '../settings.ts';

export interface Waiting {
  spec: JobSpec;
  /** Time of day of the submission, milliseconds. */
  at: number;
  /** The share of the job's tasks that still waits. */
  left: number;
}

/**
 * When the job's waiting tasks must start at the latest for the first of its aims that can still be met;
 * infinite where none can. A team's limit may make the tasks run in several rounds. Estimates are often too
 * high, so an aim is only given up when even a much shorter run would miss it.
 */
export function latestStart(job: Waiting, now: number, settings: Settings): number {
  const { spec, at, left } = job;
  if (now - at > STARVING_MS) return -Infinity;
  const most = settings.teams.get(spec.team)?.maxCores ?? Infinity;
  const rounds = Math.max(1, (spec.tasks * left * spec.cores) / most);
  const run = spec.estimateS * 1000 * rounds + OVERHEAD_MS;
  const deadline = spec.deadlineS === null ? null : spec.deadlineS * 1000;
  const aims = (settings.aims.get(spec.class) ?? []).flatMap((aim) => {
    if (aim.kind === 'finished') return [aim.withinMs];
    return deadline === null ? [] : [deadline * aim.times];
  });
  if (aims.length === 0) aims.push(deadline ?? NO_AIM_MS);
  const ends = aims.map((within) => at + within).filter((end) => end - run * HOPEFUL_RUN >= now);
  return ends.length > 0 ? Math.min(...ends) - run : Infinity;
}

/**
 * The order in which waits are served, lowest first: priority, then within the team's guarantee, then
 * least slack, and those that can meet no aim any more last, in arrival order.
 *
 * Exception (ours) to the design's arrival order: in a backlog, arrival order makes all jobs late alike.
 */
export function servingOrder<T extends Waiting>(
  jobs: T[],
  now: number,
  settings: Settings,
  withinGuarantee: (job: string) => boolean,
): T[] {
  return jobs
    .map((job) => ({
      job,
      rank: job.spec.priority * 2 + (withinGuarantee(job.spec.id) ? 0 : 1),
      start: latestStart(job, now, settings),
    }))
    .sort((a, b) => a.rank - b.rank || compare(a.start, b.start) || a.job.at - b.job.at)
    .map((entry) => entry.job);
}

/** Both may be infinite, where a difference says nothing. */
function compare(a: number, b: number): number {
  return a === b ? 0 : a < b ? -1 : 1;
}
