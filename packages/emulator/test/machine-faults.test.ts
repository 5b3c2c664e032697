import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { idleWaitScenarios } from './idle-wait-scenarios.ts';
import { machineFaultScenarios, workersWithoutHeartbeats } from './machine-fault-scenarios.ts';
import { heartbeatScenarios } from './heartbeat-scenarios.ts';

describe('machines and leaders whose troubles meet', () => {
  for (const [name, scenario] of Object.entries({ ...machineFaultScenarios, ...heartbeatScenarios })) {
    it(name, async () => assert.deepEqual(await scenario(), []));
  }

  it('gives a machine that reaches no controller nothing that its lease would kill', async () => {
    assert.equal((await workersWithoutHeartbeats(false)).lostEpochs, 0);
  });
});

describe('waits beside room, all troubles over', () => {
  for (const [name, scenario] of Object.entries(idleWaitScenarios)) {
    it(name, async () => assert.deepEqual(await scenario(), []));
  }
});
