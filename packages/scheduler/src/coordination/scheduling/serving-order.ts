/**
 * The order in which the jobs' pending tasks are served. It is not the order of arrival, which in a backlog
 * makes all jobs late alike (docs/design.md, "What was changed, and why").
 *
 * Pure: every leader computes the order from records that all of them follow, so that the shards of a job
 * agree.
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
  /** The share of the job's tasks that is still pending, from 0 to 1. */
  readonly pendingShare: number;
}

/** A job as the serving order looks at it. */
export interface PlannedJob extends PendingWork {
  /** Tasks not settled anywhere. */
  readonly tasks: number;
  /** Whether the job fits into its team's guarantee. */
  guaranteed: boolean;
}

/** What the serving order depends on beside the jobs. */
export interface ServingOrderInputs {
  /** CPUs of all machines. */
  readonly cores: number;
  /** Time of day, milliseconds. */
  readonly now: number;
  /** Objectives of the job classes, and quotas of the teams. */
  readonly settings: Settings;
}

/**
 * The time of day, in milliseconds, at which the job's pending tasks must start at the latest to meet the
 * first of its objectives that can still be met; infinite where none can, and minus infinity where the job is
 * starving. Estimates are often too high, so an objective is only given up when even a much shorter run would
 * miss it.
 */
export function latestStart(job: PendingWork, now: number, settings: Settings): number {
  if (isStarving(job, now)) return -Infinity;
  const runMs = estimatedRunMs(job, settings);
  const deadlines = meetableDeadlines(job, runMs, { now, settings });
  return deadlines.length > 0 ? Math.min(...deadlines) - runMs : Infinity;
}

/**
 * The jobs' positions in the serving order, by id: by priority, then those within their team's guarantee,
 * then so that the most jobs meet an objective. Starving jobs go before the others of their level, the oldest
 * first.
 */
export function servingOrder(jobs: readonly PlannedJob[], inputs: ServingOrderInputs): Map<string, number> {
  const { now } = inputs;
  const served: JobPlan[] = [];
  const levelOf = (job: PlannedJob): number => job.spec.priority * 2 + (job.guaranteed ? 0 : 1);
  const levels = [...new Set(jobs.map(levelOf))].sort((a, b) => a - b);
  let busyMs = 0;
  for (const level of levels) {
    const jobsOfLevel = jobs.filter((job) => levelOf(job) === level);
    const plans = jobsOfLevel.map((job) => planJob(job, inputs));
    const starving = plans.filter(({ job }) => isStarving(job, now));
    starving.sort((a, b) => a.job.at - b.job.at);
    const others = plans.filter(({ job }) => !isStarving(job, now));
    const ordered = orderByObjectives(others, now, busyMs);
    for (const plan of ordered) busyMs += plan.workMs;
    served.push(...starving, ...ordered);
  }
  return new Map(served.map((plan, position) => [plan.job.spec.id, position]));
}

interface JobPlan {
  readonly job: PlannedJob;
  /** Milliseconds that the job's tasks take with all machines for themselves. */
  readonly workMs: number;
  /** Milliseconds that they take at the least. */
  readonly runMs: number;
  /** When the objectives that can still be met end, in milliseconds, the first one first. */
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
 * Orders jobs of one level, after `busyMs` of work before them: those that meet their first objective; then
 * those put off, tried for their next objective in the same way; last what can meet none, least work first.
 */
function orderByObjectives(plans: JobPlan[], now: number, busyMs: number): JobPlan[] {
  const ordered: JobPlan[] = [];
  let remaining = plans;
  let elapsedWorkMs = busyMs;
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
 * The rule of Moore and Hodgson, which has the most jobs on time: whenever one would be late, the job with
 * the most work so far is put off. The jobs are taken by the time at which they must have started: machines
 * work side by side, so a long run must start sooner than a short one due at the same time.
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

/** Whether the job was submitted so long ago that it goes before the others of its level: none may starve. */
function isStarving(job: PendingWork, now: number): boolean {
  return now - job.at > STARVATION_MS;
}

/** How long the pending tasks run, in milliseconds; a team's quota may make them run in several rounds. */
function estimatedRunMs({ spec, pendingShare }: PendingWork, settings: Settings): number {
  const maxCores = settings.teams.get(spec.team)?.maxCores ?? Infinity;
  const rounds = Math.max(1, (spec.tasks * pendingShare * spec.cores) / maxCores);
  return spec.estimateS * 1000 * rounds + TASK_OVERHEAD_MS;
}

/** The ends of the objectives that a run somewhat shorter than estimated can still meet, in milliseconds. */
function meetableDeadlines(
  job: PendingWork,
  runMs: number,
  { now, settings }: Pick<ServingOrderInputs, 'now' | 'settings'>,
): number[] {
  return objectiveDeadlines(job, settings).filter((endAt) => endAt - runMs * OPTIMISTIC_RUN_RATIO >= now);
}

/**
 * Until when the job should be done by each of its objectives, or by its deadline where no objective applies.
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
