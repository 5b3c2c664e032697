import { UNSERVED_FEW } from './constants.ts';
import type { Work } from './workload.ts';

export interface Share {
  asked: number;
  served: number;
}
/** Jobs asked for and served, by class and by team. */
export interface Served {
  classes: Record<string, Share>;
  teams: Record<string, Share>;
}

/**
 * The operators' measure of a day at fleet size: of each class and team, the jobs that their users were told are done,
 * of those that were submitted, could run and were not withdrawn. Services and jobs with a mistake have no end of their
 * own and do not count.
 */
export function served(
  works: Iterable<Work>,
  judge: { finalState: (id: string) => 'done' | 'cancelled' | null; isRefused: (id: string) => boolean },
): Served {
  const all: Served = { classes: {}, teams: {} };
  for (const { spec, submitted, broken } of works) {
    const final = judge.finalState(spec.id);
    if (!submitted || broken || spec.kind !== 'batch' || final === 'cancelled' || judge.isRefused(spec.id))
      continue;
    for (const share of [
      (all.classes[spec.class] ??= { asked: 0, served: 0 }),
      (all.teams[spec.team] ??= { asked: 0, served: 0 }),
    ]) {
      share.asked++;
      if (final === 'done') share.served++;
    }
  }
  return all;
}

/** The classes and teams of which less than half was served: any one fails the day. */
export function unserved({ classes, teams }: Served): string[] {
  return Object.entries({ ...classes, ...teams })
    .filter(([, { asked, served: got }]) => asked >= UNSERVED_FEW && got < asked / 2)
    .map(([of, { asked, served: got }]) => `${of}: ${String(got)} of ${String(asked)} jobs`);
}
