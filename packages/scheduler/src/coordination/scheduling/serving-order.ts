/**
 * The order in which the jobs' pending tasks are served. It is not the order of arrival, which makes all jobs
 * late in a backlog (docs/design.md, "What was changed, and why").
 *
 * The functions are pure: every leader computes the order from records that all leaders follow, so the shards
 * of a job agree.
 */
import {
  DEFAULT_OBJECTIVE_MS,
  OPTIMISTIC_RUN_RATIO,
  STARVATION_MS,
  TASK_OVERHEAD_MS,
} from '../../constants.ts';
import type { JobSpec } from '../../protocol/users.ts';
import type { Settings } from '../../settings.ts';

/** The pending tasks of a job, or of a slice of it. */
export interface PendingWork {
  /** The job. */
  readonly spec: JobSpec;
  /** Time of day of the submission, milliseconds. */
  readonly at: number;
  /**
   * From 0 to 1. For a job: the share of its tasks that is unsettled. For a slice: the share of the slice's
   * tasks that is pending.
   */
  readonly pendingShare: number;
}

/** A job with the inputs of the serving order. */
export interface PlannedJob extends PendingWork {
  /** Number of unsettled tasks; at most 1 for a job that fails wherever it runs. */
  readonly tasks: number;
  /** Whether the job fits into its team's guarantee. */
  guaranteed: boolean;
}

/** What the serving order depends on besides the jobs. */
export interface ServingOrderInputs {
  /** CPUs of all machines. */
  readonly cores: number;
  /** Time of day, milliseconds. */
  readonly now: number;
  /** Objectives of the job classes, and quotas of the teams. */
  readonly settings: Settings;
}

/**
 * The latest time of day, in milliseconds, at which the job's pending tasks must start to meet the first of
 * its objectives that can still be met. Infinite if no objective can be met; minus infinity if the job is
 * starving. Estimates are often too high, so an objective is given up only when even a much shorter run would
 * miss it.
 */
export function latestStart(job: PendingWork, now: number, settings: Settings): number {
  if (isStarving(job, now)) return -Infinity;
  const runMs = estimatedRunMs(job, settings);
  const deadlines = meetableDeadlines(job, runMs, { now, settings });
  return deadlines.length > 0 ? Math.min(...deadlines) - runMs : Infinity;
}

/**
 * The jobs' positions in the serving order, by id. Jobs are ordered by level: by priority, then guaranteed
 * jobs before the others. Within a level, starving jobs come first, the oldest of them first; the rest is
 * ordered so that the most jobs meet an objective.
 */
export function servingOrder(jobs: readonly PlannedJob[], inputs: ServingOrderInputs): Map<string, number> {
  const { now } = inputs;
  const served: JobPlan[] = [];
  const levelOf = (job: PlannedJob): number => job.spec.priority * 2 + (job.guaranteed ? 0 : 1);
  const levels = [...new Set(jobs.map(levelOf))].sort((a, b) => a - b);
  let precedingWorkMs = 0;
  for (const level of levels) {
    const jobsOfLevel = jobs.filter((job) => levelOf(job) === level);
    const plans = jobsOfLevel.map((job) => planJob(job, inputs));
    const starving = plans.filter(({ job }) => isStarving(job, now));
    starving.sort((a, b) => a.job.at - b.job.at);
    const others = plans.filter(({ job }) => !isStarving(job, now));
    const ordered = orderByObjectives(others, now, precedingWorkMs);
    for (const plan of ordered) precedingWorkMs += plan.workMs;
    served.push(...starving, ...ordered);
  }
  return new Map(served.map((plan, position) => [plan.job.spec.id, position]));
}

interface JobPlan {
  readonly job: PlannedJob;
  /** Milliseconds that the job's tasks take if they have all machines to themselves. */
  readonly workMs: number;
  /** Milliseconds that they take at least, however many machines there are. */
  readonly runMs: number;
  /** Deadlines of the objectives that can still be met, in milliseconds, the earliest first. */
  readonly deadlines: readonly number[];
}

function planJob(job: PlannedJob, inputs: ServingOrderInputs): JobPlan {
  const { cores, settings } = inputs;
  const runMs = estimatedRunMs(job, settings);
  const estimateMs = job.spec.estimateS * 1000;
  return {
    job,
    workMs: (job.tasks * job.spec.cores * estimateMs) / Math.max(1, cores),
    runMs,
    deadlines: meetableDeadlines(job, runMs, inputs).sort((a, b) => a - b),
  };
}

/**
 * Orders the jobs of one level, which start after `precedingWorkMs` of other work. The jobs that meet their
 * first objective come first. Then the postponed jobs are ordered in the same way by their next objective.
 * Jobs that can meet no objective come last, those with the least work first.
 */
function orderByObjectives(plans: JobPlan[], now: number, precedingWorkMs: number): JobPlan[] {
  const ordered: JobPlan[] = [];
  let remaining = plans;
  let elapsedWorkMs = precedingWorkMs;
  while (remaining.some((plan) => plan.deadlines.length > 0)) {
    const { onTime, late } = splitByFirstDeadline(remaining, now + elapsedWorkMs);
    for (const plan of onTime) elapsedWorkMs += plan.workMs;
    ordered.push(...onTime);
    remaining = late.map((plan) => ({ ...plan, deadlines: plan.deadlines.slice(1) }));
  }
  remaining.sort((a, b) => a.workMs - b.workMs);
  return [...ordered, ...remaining];
}

/**
 * The algorithm of Moore and Hodgson, which maximizes the number of jobs on time: whenever a job would be
 * late, the job with the most work so far is postponed. The jobs are taken in order of their latest start.
 * Machines work in parallel, so a long run must start sooner than a short run with the same deadline.
 */
function splitByFirstDeadline(
  plans: readonly JobPlan[],
  startAt: number,
): { onTime: JobPlan[]; late: JobPlan[] } {
  const onTime: JobPlan[] = [];
  const late = plans.filter((plan) => plan.deadlines.length === 0);
  const withDeadline = plans.filter((plan) => plan.deadlines.length > 0);
  withDeadline.sort((a, b) => firstDeadline(a) - a.runMs - (firstDeadline(b) - b.runMs));
  let workDoneAt = startAt;
  for (const plan of withDeadline) {
    onTime.push(plan);
    const endAt = Math.max(workDoneAt + plan.runMs * OPTIMISTIC_RUN_RATIO, workDoneAt + plan.workMs);
    workDoneAt += plan.workMs;
    if (endAt <= firstDeadline(plan)) continue;
    const largest = onTime.reduce((a, b) => (b.workMs >= a.workMs ? b : a));
    onTime.splice(onTime.indexOf(largest), 1);
    late.push(largest);
    workDoneAt -= largest.workMs;
  }
  return { onTime, late };
}

function firstDeadline(plan: JobPlan): number {
  return plan.deadlines[0] ?? 0;
}

/**
 * Whether the job was submitted so long ago that it precedes the others of its level, so that no job starves.
 */
function isStarving(job: PendingWork, now: number): boolean {
  return now - job.at > STARVATION_MS;
}

/**
 * Estimated run time of the pending tasks, in milliseconds. Tasks that exceed their team's quota together run
 * in batches, one after another.
 */
function estimatedRunMs({ spec, pendingShare }: PendingWork, settings: Settings): number {
  const maxCores = settings.teams.get(spec.team)?.maxCores ?? Infinity;
  const batches = Math.max(1, (spec.tasks * pendingShare * spec.cores) / maxCores);
  return spec.estimateS * 1000 * batches + TASK_OVERHEAD_MS;
}

/**
 * The deadlines, in milliseconds, that the job can still meet if its run takes only `OPTIMISTIC_RUN_RATIO` of
 * the estimate.
 */
function meetableDeadlines(
  job: PendingWork,
  runMs: number,
  { now, settings }: Pick<ServingOrderInputs, 'now' | 'settings'>,
): number[] {
  return objectiveDeadlines(job, settings).filter((endAt) => endAt - runMs * OPTIMISTIC_RUN_RATIO >= now);
}

/**
 * The deadlines of the job's objectives, in milliseconds. If no objective applies, the job's own deadline or
 * the default objective.
 */
function objectiveDeadlines({ spec, at }: PendingWork, settings: Settings): number[] {
  const deadlineMs = spec.deadlineS === null ? null : spec.deadlineS * 1000;
  const objectives = (settings.objectives.get(spec.class) ?? []).flatMap((objective) => {
    if (objective.kind === 'finished') return [objective.withinMs];
    return deadlineMs === null ? [] : [deadlineMs * objective.times];
  });
  if (objectives.length === 0) objectives.push(deadlineMs ?? DEFAULT_OBJECTIVE_MS);
  return objectives.map((withinMs) => at + withinMs);
}
