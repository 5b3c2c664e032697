import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { acceptanceScenarios } from './acceptance-scenarios.ts';

describe('jobs accepted just before an outage of the key-value store violate no invariant', () => {
  for (const [name, scenario] of Object.entries(acceptanceScenarios)) {
    it(name, async () => assert.deepEqual(await scenario(), []));
  }
});
