import fc from 'fast-check';
import { createHash } from 'node:crypto';
import type { Day } from './day.ts';
import { days } from './draw.ts';
import { type Outcome, playDay } from './play.ts';
import { sizes } from './sizes.ts';

export type SizeName = keyof typeof sizes;

/** A day's seed, from the explorer's and the day's number: the same however the days are spread over cores. */
export function daySeed(seed: number, number: number): number {
  return createHash('sha256')
    .update(`${String(seed)}/${String(number)}`)
    .digest()
    .readInt32BE(0);
}

/** The digest of a run of days, from the digests of each in order. */
export function runDigest(digests: string[]): string {
  const hash = createHash('sha256');
  for (const digest of digests) hash.update(digest);
  return hash.digest('hex');
}

export interface Explored {
  day: Day;
  outcome: Outcome;
}

/** Draws the day of that seed and plays it to its first broken rule, or to its end. */
export async function explore(size: SizeName, seed: number): Promise<Explored> {
  const [day] = drawn(size, seed);
  if (!day) throw new Error('no day drawn');
  return { day, outcome: await playDay(day, { stopAtFirst: true }) };
}

/** The day that `shrink` starts from: the first that the same parameters come to. */
function drawn(size: SizeName, seed: number): Day[] {
  const found: Day[] = [];
  const property = fc.property(days(sizes[size]), (day) => void found.push(day));
  fc.assert(property, { seed, numRuns: 1, plugins: [fc.unbiased()] });
  return found;
}

/**
 * The smallest day found that breaks the same rule: fewer faults and jobs, smaller numbers. Bounded in time, as each
 * try is a day played; what is found by then is kept.
 */
export async function shrink(
  size: SizeName,
  seed: number,
  rule: string,
  limitMs: number,
): Promise<Explored | null> {
  let smallest: Explored | null = null;
  const property = fc.asyncProperty(days(sizes[size]), async (day) => {
    const outcome = await playDay(day, { stopAtFirst: true });
    if (outcome.violations[0]?.rule !== rule) return;
    smallest = { day, outcome };
    throw new Error(rule);
  });
  await fc.check(property, {
    seed,
    numRuns: 1,
    plugins: [fc.unbiased(), fc.interruptAfterTimeLimit(limitMs, { failOnInterrupt: false })],
  });
  return smallest;
}
