/** The rule `unserved`: how many jobs of each class and team are served in a run, and which too few. */
import {
  LARGEST_JOBS_START_MS,
  LARGEST_JOBS_MIN,
  LARGEST_JOBS_SHARE,
  SERVED_SHARE_MIN_JOBS,
} from './constants.ts';
import type { Work } from './workload.ts';

/** Of so many jobs asked for, so many were served. */
export interface ServedShare {
  asked: number;
  served: number;
}

/** Jobs asked for and served, by class and by team; and each class's largest jobs, served if they began in time. */
export interface Served {
  classes: Record<string, ServedShare>;
  teams: Record<string, ServedShare>;
  largest: Record<string, ServedShare>;
}

/** What the invariant checker knows of jobs. */
interface JobOutcomes {
  /** The end that an answer reported; null while none has. */
  finalState: (id: string) => 'done' | 'cancelled' | null;
  /** Whether a submission was answered that the job can never run. */
  isRefused: (id: string) => boolean;
  /** By job, when its first task started, in virtual milliseconds. */
  firstStarts: ReadonlyMap<string, number>;
}

/**
 * The operators' measure of a run at fleet size: of each class and team, the jobs whose users got the answer that they are
 * done, of those that were submitted, could run and were not cancelled. Services and jobs with a mistake have no end of
 * their own and do not count. Of a class's largest jobs it asks that they begin within four minutes (docs/questions.md).
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

/** The jobs of a class that ask for most CPUs in all their tasks; none where the class has too few to tell. */
function largestOf(jobs: Work[]): Work[] {
  if (jobs.length < SERVED_SHARE_MIN_JOBS) return [];
  const cpus = ({ spec }: Work): number => spec.tasks * spec.cores;
  const count = Math.max(LARGEST_JOBS_MIN, Math.ceil(jobs.length * LARGEST_JOBS_SHARE));
  return [...jobs].sort((a, b) => cpus(b) - cpus(a)).slice(0, count);
}

/** A group of jobs of which less than half was served. */
export interface UnservedGroup extends ServedShare {
  /** `all` jobs of a class or a team, or the `largest` jobs of a class; a code in recorded events. */
  group: 'all' | 'largest';
  /** The class or the team. */
  name: string;
}

/** The classes, teams and largest jobs of a class of which less than half was served; any one breaks the rule. */
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

/** What was served of the group, as text for people. */
export function describeUnserved({ group, name, asked, served }: UnservedGroup): string {
  const jobs = group === 'largest' ? `largest of ${name}` : name;
  return `${jobs}: ${String(served)} of ${String(asked)} jobs`;
}
