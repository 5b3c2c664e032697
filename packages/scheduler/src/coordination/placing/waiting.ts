import { HOPEFUL_RUN, NO_AIM_MS, OVERHEAD_MS, STARVING_MS } from '../../constants.ts';
import type { JobSpec } from '../../protocol/users.ts';
import type { Settings } from '../../settings.ts';

export interface Waiting {
  spec: JobSpec;
  /** Time of day of the submission, milliseconds. */
  at: number;
  /** The share of the job's tasks that still waits. */
  left: number;
}

/** How long the waiting tasks run; a team's limit may make them run in several rounds. */
function reckonedRun({ spec, left }: Waiting, settings: Settings): number {
  const most = settings.teams.get(spec.team)?.maxCores ?? Infinity;
  const rounds = Math.max(1, (spec.tasks * left * spec.cores) / most);
  return spec.estimateS * 1000 * rounds + OVERHEAD_MS;
}

/** Until when the job should be done by each of its aims, or by its deadline where no aim speaks of it. */
function aimEnds({ spec, at }: Waiting, settings: Settings): number[] {
  const deadline = spec.deadlineS === null ? null : spec.deadlineS * 1000;
  const aims = (settings.aims.get(spec.class) ?? []).flatMap((aim) => {
    if (aim.kind === 'finished') return [aim.withinMs];
    return deadline === null ? [] : [deadline * aim.times];
  });
  if (aims.length === 0) aims.push(deadline ?? NO_AIM_MS);
  return aims.map((within) => at + within);
}

/**
 * When the job's waiting tasks must start at the latest for the first of its aims that can still be met;
 * infinite where none can. Estimates are often too high, so an aim is only given up when even a much shorter run would miss it.
 */
export function latestStart(job: Waiting, now: number, settings: Settings): number {
  if (now - job.at > STARVING_MS) return -Infinity;
  const run = reckonedRun(job, settings);
  const ends = aimEnds(job, settings).filter((end) => end - run * HOPEFUL_RUN >= now);
  return ends.length > 0 ? Math.min(...ends) - run : Infinity;
}

export interface Planned extends Waiting {
  /** Tasks not settled anywhere. */
  tasks: number;
  guaranteed: boolean;
}

/**
 * The order in which jobs' waits are served: priority, then within the team's guarantee, then so that the
 * most jobs meet an aim. The last is the rule of Moore and Hodgson, by the time at which a job must have
 * started (machines work side by side, so a long run must start sooner than a short one due at the same
 * time): whenever one would be late, the job with the most work is put off; those put off are tried for their next aim, and what can
 * meet none comes last, least work first.
 *
 * Exception (ours) to the design's arrival order: in a backlog, arrival order makes all jobs late alike.
 * Every owner reckons this from the records that all follow, so that the parts of a job agree.
 */
export function servingOrder(
  jobs: Planned[],
  cores: number,
  now: number,
  settings: Settings,
): Map<string, number> {
  const order: string[] = [];
  const level = (job: Planned): number => job.spec.priority * 2 + (job.guaranteed ? 0 : 1);
  let busyMs = 0;
  for (const rank of [...new Set(jobs.map(level))].sort((a, b) => a - b)) {
    const group = jobs.filter((job) => level(job) === rank).map((job) => plan(job, cores, now, settings));
    const starving = group.filter((p) => now - p.job.at > STARVING_MS).sort((a, b) => a.job.at - b.job.at);
    for (const p of starving) order.push(p.job.spec.id);
    let open = group.filter((p) => now - p.job.at <= STARVING_MS);
    while (open.some((p) => p.due.length > 0)) {
      const { kept, late } = mostInTime(open, now + busyMs);
      for (const p of kept) {
        order.push(p.job.spec.id);
        busyMs += p.workMs;
      }
      open = late.map((p) => ({ ...p, due: p.due.slice(1) }));
    }
    for (const p of open.sort((a, b) => a.workMs - b.workMs)) {
      order.push(p.job.spec.id);
      busyMs += p.workMs;
    }
  }
  return new Map(order.map((id, position) => [id, position]));
}

interface Plan {
  job: Planned;
  /** Time the job's tasks take with all the machines, and at the least. */
  workMs: number;
  runMs: number;
  /** When its aims that can still be met end, soonest first. */
  due: number[];
}

function plan(job: Planned, cores: number, now: number, settings: Settings): Plan {
  const runMs = reckonedRun(job, settings);
  const estimate = job.spec.estimateS * 1000;
  return {
    job,
    workMs: (job.tasks * job.spec.cores * estimate) / Math.max(1, cores),
    runMs,
    due: aimEnds(job, settings)
      .filter((end) => end - runMs * HOPEFUL_RUN >= now)
      .sort((a, b) => a - b),
  };
}

function mostInTime(plans: Plan[], from: number): { kept: Plan[]; late: Plan[] } {
  const kept: Plan[] = [];
  const late = plans.filter((p) => p.due.length === 0);
  let at = from;
  for (const p of plans
    .filter((each) => each.due.length > 0)
    .sort((a, b) => (a.due[0] ?? 0) - a.runMs - ((b.due[0] ?? 0) - b.runMs))) {
    kept.push(p);
    const end = Math.max(at + p.runMs * HOPEFUL_RUN, at + p.workMs);
    at += p.workMs;
    if (end <= (p.due[0] ?? 0)) continue;
    const largest = kept.reduce((a, b) => (b.workMs >= a.workMs ? b : a));
    kept.splice(kept.indexOf(largest), 1);
    late.push(largest);
    at -= largest.workMs;
  }
  return { kept, late };
}
