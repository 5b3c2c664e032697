import {
  OPTIMISTIC_RUN_RATIO,
  DEFAULT_OBJECTIVE_MS,
  TASK_OVERHEAD_MS,
  STARVATION_MS,
} from '../../constants.ts';
import type { JobSpec } from '../../protocol/users.ts';
import type { Settings } from '../../settings.ts';

export interface PendingWork {
  spec: JobSpec;
  /** Time of day of the submission, milliseconds. */
  at: number;
  /** The share of the job's tasks that still waits. */
  pendingShare: number;
}

/** How long the waiting tasks run; a team's limit may make them run in several rounds. */
function estimatedRunMs({ spec, pendingShare: left }: PendingWork, settings: Settings): number {
  const most = settings.teams.get(spec.team)?.maxCores ?? Infinity;
  const rounds = Math.max(1, (spec.tasks * left * spec.cores) / most);
  return spec.estimateS * 1000 * rounds + TASK_OVERHEAD_MS;
}

/** Until when the job should be done by each of its aims, or by its deadline where no aim speaks of it. */
function objectiveDeadlines({ spec, at }: PendingWork, settings: Settings): number[] {
  const deadline = spec.deadlineS === null ? null : spec.deadlineS * 1000;
  const aims = (settings.objectives.get(spec.class) ?? []).flatMap((aim) => {
    if (aim.kind === 'finished') return [aim.withinMs];
    return deadline === null ? [] : [deadline * aim.times];
  });
  if (aims.length === 0) aims.push(deadline ?? DEFAULT_OBJECTIVE_MS);
  return aims.map((within) => at + within);
}

/**
 * When the job's waiting tasks must start at the latest for the first of its aims that can still be met;
 * infinite where none can. Estimates are often too high, so an aim is only given up when even a much shorter run would miss it.
 */
export function latestStart(job: PendingWork, now: number, settings: Settings): number {
  if (now - job.at > STARVATION_MS) return -Infinity;
  const run = estimatedRunMs(job, settings);
  const ends = objectiveDeadlines(job, settings).filter((end) => end - run * OPTIMISTIC_RUN_RATIO >= now);
  return ends.length > 0 ? Math.min(...ends) - run : Infinity;
}

export interface PlannedJob extends PendingWork {
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
  jobs: PlannedJob[],
  cores: number,
  now: number,
  settings: Settings,
): Map<string, number> {
  const order: string[] = [];
  const level = (job: PlannedJob): number => job.spec.priority * 2 + (job.guaranteed ? 0 : 1);
  let busyMs = 0;
  for (const rank of [...new Set(jobs.map(level))].sort((a, b) => a - b)) {
    const group = jobs.filter((job) => level(job) === rank).map((job) => planJob(job, cores, now, settings));
    const starving = group.filter((p) => now - p.job.at > STARVATION_MS).sort((a, b) => a.job.at - b.job.at);
    for (const p of starving) order.push(p.job.spec.id);
    let open = group.filter((p) => now - p.job.at <= STARVATION_MS);
    while (open.some((p) => p.due.length > 0)) {
      const { kept, late } = mostOnTime(open, now + busyMs);
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

interface JobPlan {
  job: PlannedJob;
  /** Time the job's tasks take with all the machines, and at the least. */
  workMs: number;
  runMs: number;
  /** When its aims that can still be met end, soonest first. */
  due: number[];
}

function planJob(job: PlannedJob, cores: number, now: number, settings: Settings): JobPlan {
  const runMs = estimatedRunMs(job, settings);
  const estimate = job.spec.estimateS * 1000;
  return {
    job,
    workMs: (job.tasks * job.spec.cores * estimate) / Math.max(1, cores),
    runMs,
    due: objectiveDeadlines(job, settings)
      .filter((end) => end - runMs * OPTIMISTIC_RUN_RATIO >= now)
      .sort((a, b) => a - b),
  };
}

function mostOnTime(plans: JobPlan[], from: number): { kept: JobPlan[]; late: JobPlan[] } {
  const kept: JobPlan[] = [];
  const late = plans.filter((p) => p.due.length === 0);
  let at = from;
  for (const p of plans
    .filter((each) => each.due.length > 0)
    .sort((a, b) => (a.due[0] ?? 0) - a.runMs - ((b.due[0] ?? 0) - b.runMs))) {
    kept.push(p);
    const end = Math.max(at + p.runMs * OPTIMISTIC_RUN_RATIO, at + p.workMs);
    at += p.workMs;
    if (end <= (p.due[0] ?? 0)) continue;
    const largest = kept.reduce((a, b) => (b.workMs >= a.workMs ? b : a));
    kept.splice(kept.indexOf(largest), 1);
    late.push(largest);
    at -= largest.workMs;
  }
  return { kept, late };
}
