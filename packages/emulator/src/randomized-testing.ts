import fc from 'fast-check';
import { createHash } from 'node:crypto';
import type { Scenario } from './scenario.ts';
import { scenarios } from './scenario-generator.ts';
import { type RunOutcome, runScenario } from './simulated-run.ts';
import { scenarioSizes } from './scenario-sizes.ts';

export type SizeName = keyof typeof scenarioSizes;

/** A day's seed, from the explorer's and the day's number: the same however the days are spread over cores. */
export function scenarioSeed(seed: number, number: number): number {
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

export interface SeededRun {
  scenario: Scenario;
  outcome: RunOutcome;
}

/** Draws the day of that seed and plays it to its first broken rule, or to its end. */
export async function runSeededScenario(size: SizeName, seed: number): Promise<SeededRun> {
  const [scenario] = drawScenarios(size, seed);
  if (!scenario) throw new Error('no scenario drawn');
  return { scenario, outcome: await runScenario(scenario, { stopAtFirst: true }) };
}

/** The day that `shrink` starts from: the first that the same parameters come to. */
function drawScenarios(size: SizeName, seed: number): Scenario[] {
  const found: Scenario[] = [];
  const property = fc.property(scenarios(scenarioSizes[size]), (scenario) => void found.push(scenario));
  fc.assert(property, { seed, numRuns: 1, plugins: [fc.unbiased()] });
  return found;
}

/**
 * The smallest day found that breaks the same rule: fewer faults and jobs, smaller numbers. Bounded in time, as each
 * try is a day played; what is found by then is kept.
 */
export async function shrinkScenario(
  size: SizeName,
  seed: number,
  rule: string,
  limitMs: number,
): Promise<SeededRun | null> {
  let smallest: SeededRun | null = null;
  const property = fc.asyncProperty(scenarios(scenarioSizes[size]), async (scenario) => {
    const outcome = await runScenario(scenario, { stopAtFirst: true });
    if (outcome.violations[0]?.rule !== rule) return;
    smallest = { scenario, outcome };
    throw new Error(rule);
  });
  await fc.check(property, {
    seed,
    numRuns: 1,
    plugins: [fc.unbiased(), fc.interruptAfterTimeLimit(limitMs, { failOnInterrupt: false })],
  });
  return smallest;
}
