import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { idleWaitStories } from './idle-wait-stories.ts';
import { machineStories, muteMachines } from './machine-stories.ts';
import { reportStories } from './report-stories.ts';

describe('machines and leaders whose troubles meet', () => {
  for (const [name, story] of Object.entries({ ...machineStories, ...reportStories })) {
    it(name, async () => assert.deepEqual(await story(), []));
  }

  it('gives a machine that reaches no controller nothing that its lease would kill', async () => {
    assert.equal((await muteMachines(false)).lost, 0);
  });
});

describe('waits beside room, all troubles over', () => {
  for (const [name, story] of Object.entries(idleWaitStories)) {
    it(name, async () => assert.deepEqual(await story(), []));
  }
});
