import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { idleWaitScenarios } from './idle-wait-scenarios.ts';
import { machineFaultScenarios, workersWithoutHeartbeats } from './machine-fault-scenarios.ts';
import { heartbeatScenarios } from './heartbeat-scenarios.ts';

describe('combined machine, heartbeat and leader faults violate no invariant', () => {
  for (const [name, scenario] of Object.entries({ ...machineFaultScenarios, ...heartbeatScenarios })) {
    it(name, async () => assert.deepEqual(await scenario(), []));
  }

  it('assigns no tasks to a machine without heartbeats, whose lease would terminate them', async () => {
    assert.equal((await workersWithoutHeartbeats(false)).lostEpochs, 0);
  });
});

describe('no task stays pending beside free capacity once all faults are over', () => {
  for (const [name, scenario] of Object.entries(idleWaitScenarios)) {
    it(name, async () => assert.deepEqual(await scenario(), []));
  }
});
