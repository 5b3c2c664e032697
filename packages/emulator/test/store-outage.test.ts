import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { storeOutageScenarios } from './store-outage-scenarios.ts';

describe('polls during an outage of the key-value store violate no invariant', () => {
  for (const [name, scenario] of Object.entries(storeOutageScenarios)) {
    it(name, async () => assert.deepEqual(await scenario(), []));
  }
});
