/**
 * The true state of a run's jobs: what users submit, how long tasks run, which results and progress exist.
 */
import type { JobSpec } from '@onyxkeel/scheduler';

/** The true state of a job, outside the scheduler. It survives the loss of machines. */
export interface Work {
  /** The specification that is submitted. */
  readonly spec: JobSpec;
  /** Seconds that the task actually takes on a machine of ordinary speed. */
  runS(index: number): number;
  /** Whether the job has an error, so that its tasks fail on every machine. */
  readonly broken: boolean;
  /** Whether its user has started to submit it. Until then workers have no record of it. */
  submitted: boolean;
  /** When its user first tried to submit it, in virtual milliseconds. */
  submittedAt: number;
  /** Indexes of the tasks that have a result. Results are stored outside the machines. */
  readonly results: Set<number>;
  /** Seconds of saved progress by task index. Progress is stored outside the machines. */
  readonly saved: Map<number, number>;
}

/** A job that has not been submitted yet. */
export function newWork(spec: JobSpec, runS: (index: number) => number, broken: boolean): Work {
  return {
    spec,
    runS,
    broken,
    submitted: false,
    submittedAt: Infinity,
    results: new Set(),
    saved: new Map(),
  };
}

/** The jobs of a run, by id. */
export type Workload = Map<string, Work>;

/** Finds a task by its name (`job/index`). Null if its job has not been submitted or has no such task. */
export function findTask(workload: Workload, task: string): { work: Work; index: number } | null {
  const slash = task.lastIndexOf('/');
  const work = workload.get(task.slice(0, slash));
  const index = Number(task.slice(slash + 1));
  if (!work?.submitted || !Number.isInteger(index) || index < 0 || index >= work.spec.tasks) return null;
  return { work, index };
}
