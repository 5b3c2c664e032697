/** The rule `unserved`: how many jobs of each class and team a run serves, and in which groups too few. */
import {
  LARGEST_JOBS_START_MS,
  LARGEST_JOBS_MIN,
  LARGEST_JOBS_SHARE,
  SERVED_SHARE_MIN_JOBS,
} from './constants.ts';
import type { Work } from './workload.ts';

/** The number of jobs that users asked for, and how many of them were served. */
export interface ServedShare {
  asked: number;
  served: number;
}

/**
 * Numbers of served jobs by class, by team, and among the largest jobs of each class. A largest job counts as
 * served if its first task starts in time.
 */
export interface Served {
  classes: Record<string, ServedShare>;
  teams: Record<string, ServedShare>;
  largest: Record<string, ServedShare>;
}

/** What the invariant checker knows of jobs. */
interface JobOutcomes {
  /** The final state that an answer reported; null if none has yet. */
  finalState: (id: string) => 'done' | 'cancelled' | null;
  /** Whether a controller rejected a submission because the job can never run. */
  isRefused: (id: string) => boolean;
  /** By job: when its first task started, in virtual milliseconds. */
  firstStarts: ReadonlyMap<string, number>;
}

/**
 * The operators' measure of a run at fleet size. It counts, for each class and team, the jobs that were
 * submitted, could run and were not cancelled, and those of them that an answer reported as `done`. Services
 * and broken jobs never end by themselves and do not count. A class's largest jobs must start within four
 * minutes of their submission (docs/questions.md).
 */
export function countServed(works: Iterable<Work>, checker: JobOutcomes): Served {
  const all: Served = { classes: {}, teams: {}, largest: {} };
  const byClass = new Map<string, Work[]>();
  const count = (share: ServedShare, isServed: boolean): void => {
    share.asked++;
    if (isServed) share.served++;
  };
  for (const work of works) {
    const { spec, submitted, broken } = work;
    const final = checker.finalState(spec.id);
    if (!submitted || broken || spec.kind !== 'batch' || final === 'cancelled' || checker.isRefused(spec.id))
      continue;
    count((all.classes[spec.class] ??= { asked: 0, served: 0 }), final === 'done');
    count((all.teams[spec.team] ??= { asked: 0, served: 0 }), final === 'done');
    byClass.set(spec.class, [...(byClass.get(spec.class) ?? []), work]);
  }
  for (const [name, jobs] of byClass) {
    for (const { spec, submittedAt } of largestOf(jobs)) {
      const hasBegunInTime =
        (checker.firstStarts.get(spec.id) ?? Infinity) - submittedAt <= LARGEST_JOBS_START_MS;
      count((all.largest[name] ??= { asked: 0, served: 0 }), hasBegunInTime);
    }
  }
  return all;
}

/** The jobs of a class that request the most CPUs in total; none if the class has too few jobs to judge. */
function largestOf(jobs: Work[]): Work[] {
  if (jobs.length < SERVED_SHARE_MIN_JOBS) return [];
  const cpus = ({ spec }: Work): number => spec.tasks * spec.cores;
  const count = Math.max(LARGEST_JOBS_MIN, Math.ceil(jobs.length * LARGEST_JOBS_SHARE));
  return [...jobs].sort((a, b) => cpus(b) - cpus(a)).slice(0, count);
}

/** A group of jobs of which less than half were served. */
export interface UnservedGroup extends ServedShare {
  /** `all` jobs of a class or a team, or the `largest` jobs of a class; a code in recorded events. */
  group: 'all' | 'largest';
  /** The class or the team. */
  name: string;
}

/**
 * The classes, teams and sets of largest jobs of which less than half were served. Each of them breaks the
 * rule. A class or team of fewer than `SERVED_SHARE_MIN_JOBS` jobs is not judged.
 */
export function findUnserved({ classes, teams, largest }: Served): UnservedGroup[] {
  const all: UnservedGroup[] = Object.entries({ ...classes, ...teams })
    .filter(([, { asked }]) => asked >= SERVED_SHARE_MIN_JOBS)
    .map(([name, share]) => ({ group: 'all', name, ...share }));
  const allLargest = Object.entries(largest).map(([name, share]): UnservedGroup => ({
    group: 'largest',
    name,
    ...share,
  }));
  return [...all, ...allLargest].filter(({ asked, served }) => served < asked / 2);
}

/** Describes the group for people. */
export function describeUnserved({ group, name, asked, served }: UnservedGroup): string {
  const jobs = group === 'largest' ? `largest of ${name}` : name;
  return `${jobs}: ${String(served)} of ${String(asked)} jobs`;
}
