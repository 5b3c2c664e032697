import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { runSeededScenario, scenarioSeed } from '../src/randomized-testing.ts';
import { commandCopyScenarios } from './command-copy-scenarios.ts';

// Guards against `ran_twice`, `ran_again` and `ran_cancelled`: a copy of an executed launch starts its task again.
describe('copies of executed launches violate no invariant', () => {
  for (const [name, scenario] of Object.entries(commandCopyScenarios)) {
    it(name, async () => assert.deepEqual(await scenario(), []));
  }
});

/** Runs of the size `copies` that this test makes. The long run is in docs/emulator.md. */
const RUNS = 12;

describe('random scenarios with copies of executed commands', () => {
  it('violate no invariant', async () => {
    for (let number = 0; number < RUNS; number++) {
      const { scenario, outcome } = await runSeededScenario('copies', scenarioSeed(1, number));
      assert.deepEqual(outcome.violations, [], `npm run explore -- --day '${JSON.stringify(scenario)}'`);
    }
  });
});
