import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { cancellationReadBack, userRequestScenarios } from './user-request-scenarios.ts';

describe('users’ requests that meet a trouble, or one another', () => {
  for (const [name, scenario] of Object.entries(userRequestScenarios)) {
    it(name, async () => assert.deepEqual(await scenario(), []));
  }

  it('stops what a withdrawal without an answer has cancelled as soon as it is read back, at whatever node', async () => {
    const { violations, stoppedAfterS } = await cancellationReadBack();
    assert.deepEqual(violations, []);
    assert.ok(stoppedAfterS <= 2, `gone after ${String(stoppedAfterS)} s`);
  });
});
