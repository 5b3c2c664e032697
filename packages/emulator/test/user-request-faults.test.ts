import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { cancellationReadBack } from './cancellation-scenarios.ts';
import { userRequestScenarios } from './user-request-scenarios.ts';

describe('user requests during faults and concurrent requests violate no invariant', () => {
  for (const [name, scenario] of Object.entries(userRequestScenarios)) {
    it(name, async () => assert.deepEqual(await scenario(), []));
  }

  it('stops the tasks of an unanswered cancellation as soon as another node reads it back', async () => {
    const { violations, stoppedAfterS } = await cancellationReadBack();
    assert.deepEqual(violations, []);
    assert.ok(stoppedAfterS <= 2, `tasks stopped only after ${String(stoppedAfterS)} s`);
  });
});
