/**
 * Randomized simulation testing: generates scenarios by seed, runs them, and shrinks those that break a rule.
 */
import fc from 'fast-check';
import { AssertionError } from 'node:assert';
import { createHash } from 'node:crypto';
import type { Scenario } from './scenario.ts';
import { scenarios } from './scenario-generator.ts';
import { type RunOutcome, runScenario } from './simulated-run.ts';
import { scenarioSizes } from './scenario-sizes.ts';

/** The name of a size of scenarios, as the option `--size` takes it. */
export type SizeName = keyof typeof scenarioSizes;

/** The seed of the scenario with this number. It does not depend on which thread runs the scenario. */
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

/** A scenario, and the outcome of its simulated run. */
export interface SeededRun {
  scenario: Scenario;
  outcome: RunOutcome;
}

/** Generates the scenario of the seed and runs it to its first broken rule, or to its end. */
export async function runSeededScenario(size: SizeName, seed: number): Promise<SeededRun> {
  const [scenario] = drawScenarios(size, seed);
  if (!scenario) throw new AssertionError({ message: `no scenario generated for seed ${String(seed)}` });
  return { scenario, outcome: await runScenario(scenario, { stopAtFirst: true }) };
}

/** Tells fast-check that a scenario still breaks the rule. */
class RuleBroken extends Error {
  readonly code = 'RULE_BROKEN';
}

/** Generates one scenario: the one that `shrinkScenario` starts from, given the same size and seed. */
function drawScenarios(size: SizeName, seed: number): Scenario[] {
  const drawn: Scenario[] = [];
  const property = fc.property(scenarios(scenarioSizes[size]), (scenario) => void drawn.push(scenario));
  fc.assert(property, { seed, numRuns: 1, plugins: [fc.unbiased()] });
  return drawn;
}

/**
 * The smallest scenario found that breaks the same rule, with fewer faults and jobs and smaller numbers; null
 * if none is found. Stops after `limitMs` of real time, as each attempt is a simulated run, and returns the
 * smallest found by then.
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
