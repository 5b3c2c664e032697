import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { commandCopyScenarios } from './command-copy-scenarios.ts';

// Guards against `ran_twice`, `ran_again` and `ran_cancelled`: a copy of an executed launch starts its task again.
describe('copies of executed launches violate no invariant', () => {
  for (const [name, scenario] of Object.entries(commandCopyScenarios)) {
    it(name, async () => assert.deepEqual(await scenario(), []));
  }
});
