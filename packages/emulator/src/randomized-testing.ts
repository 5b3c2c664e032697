/** Randomized simulation testing: draws scenarios by seed, runs them, and shrinks those that break a rule. */
import fc from 'fast-check';
import { AssertionError } from 'node:assert';
import { createHash } from 'node:crypto';
import type { Scenario } from './scenario.ts';
import { scenarios } from './scenario-generator.ts';
import { type RunOutcome, runScenario } from './simulated-run.ts';
import { scenarioSizes } from './scenario-sizes.ts';

/** The name of a size of scenarios, as the command line has it. */
export type SizeName = keyof typeof scenarioSizes;

/** The seed of a run's scenario: the same however the scenarios of the run are spread over threads. */
export function scenarioSeed(seed: number, number: number): number {
  return createHash('sha256')
    .update(`${String(seed)}/${String(number)}`)
    .digest()
    .readInt32BE(0);
}

/** One digest of several simulated runs, from the digest of each, in order. */
export function runDigest(digests: string[]): string {
  const hash = createHash('sha256');
  for (const digest of digests) hash.update(digest);
  return hash.digest('hex');
}

/** A scenario, and what its simulated run came to. */
export interface SeededRun {
  scenario: Scenario;
  outcome: RunOutcome;
}

/** Draws the scenario of that seed and runs it to its first broken rule, or to its end. */
export async function runSeededScenario(size: SizeName, seed: number): Promise<SeededRun> {
  const [scenario] = drawScenarios(size, seed);
  if (!scenario) throw new AssertionError({ message: `no scenario drawn for seed ${String(seed)}` });
  return { scenario, outcome: await runScenario(scenario, { stopAtFirst: true }) };
}

/** Tells fast-check that a scenario still breaks the rule. */
class RuleBroken extends Error {
  readonly code = 'RULE_BROKEN';
}

/** The scenario that `shrinkScenario` starts from: the first that the same parameters give. */
function drawScenarios(size: SizeName, seed: number): Scenario[] {
  const drawn: Scenario[] = [];
  const property = fc.property(scenarios(scenarioSizes[size]), (scenario) => void drawn.push(scenario));
  fc.assert(property, { seed, numRuns: 1, plugins: [fc.unbiased()] });
  return drawn;
}

/**
 * The smallest scenario found that breaks the same rule: fewer faults and jobs, smaller numbers. Null if none is found.
 * Bounded by `limitMs` of real time, as each attempt is a simulated run; what is found by then is kept.
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
    throw new RuleBroken(rule);
  });
  await fc.check(property, {
    seed,
    numRuns: 1,
    plugins: [fc.unbiased(), fc.interruptAfterTimeLimit(limitMs, { failOnInterrupt: false })],
  });
  return smallest;
}
