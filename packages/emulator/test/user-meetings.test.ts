import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { readBack, userStories } from './user-stories.ts';

describe('users’ requests that meet a trouble, or one another', () => {
  for (const [name, story] of Object.entries(userStories)) {
    it(name, async () => assert.deepEqual(await story(), []));
  }

  it('stops what a withdrawal without an answer has cancelled as soon as it is read back, at whatever node', async () => {
    const { broken, goneAfterS } = await readBack();
    assert.deepEqual(broken, []);
    assert.ok(goneAfterS <= 2, `gone after ${String(goneAfterS)} s`);
  });
});
