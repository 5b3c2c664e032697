/** The jobs of a run as they really are: what users submit, how long tasks run, and what became of them. */
import type { JobSpec } from '@onyxkeel/scheduler';

/** What is true of a job outside the service; machines may die without losing it. */
export interface Work {
  /** As it is submitted. */
  readonly spec: JobSpec;
  /** Seconds that the task really runs on a machine of ordinary speed. */
  runS(index: number): number;
  /** Submitted with a mistake: its tasks fail wherever they run. */
  readonly broken: boolean;
  /** Whether its user has begun to submit it: until then workers do not know it. */
  submitted: boolean;
  /** When its user first tried to, in virtual milliseconds. */
  submittedAt: number;
  /** Tasks that have a result, which is kept outside the machines. */
  readonly results: Set<number>;
  /** Seconds of each task's run that are saved, outside the machines. */
  readonly saved: Map<number, number>;
}

/** A job that nobody has submitted yet. */
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

/** Finds a task by its name (`job/index`); null unless its job has been submitted and has such a task. */
export function findTask(workload: Workload, task: string): { work: Work; index: number } | null {
  const slash = task.lastIndexOf('/');
  const work = workload.get(task.slice(0, slash));
  const index = Number(task.slice(slash + 1));
  if (!work?.submitted || !Number.isInteger(index) || index < 0 || index >= work.spec.tasks) return null;
  return { work, index };
}
