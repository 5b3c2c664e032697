import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import {
  leaderIsolatedFromPeersAndStore,
  workersCutFromNewLeader,
  healthyInOutage,
  leaderFaultScenarios,
} from './leader-fault-scenarios.ts';
import { siteTimings, runRefusedLeader } from './refused-leader.ts';

describe('two troubles that meet', () => {
  for (const [name, scenario] of Object.entries(leaderFaultScenarios)) {
    it(name, async () => assert.deepEqual(await scenario(), []));
  }

  it('a refused leader with a cancellation before, at and after the takeover, an outage soon and late', async () => {
    for (const site of Object.keys(siteTimings) as (keyof typeof siteTimings)[])
      for (const cancelAfterS of [0.1, 4])
        for (const outageAfterS of [0.2, 6]) {
          const plan = {
            site,
            cancelAfterS,
            outageAfterS,
            workersReachOnlyLeader: true,
            leaderIsolated: false,
          };
          assert.deepEqual((await runRefusedLeader(plan)).violations, [], JSON.stringify(plan));
        }
  });

  it('sends users elsewhere from a node that has lost the state service and its siblings, and not in an outage', async () => {
    assert.equal((await leaderIsolatedFromPeersAndStore()).slowSubmissions, 0);
    assert.equal(await healthyInOutage(), 2);
  });

  it('holds nothing for deaf machines beyond the leases of the owner before', async () => {
    const { cancelS, leaseS } = siteTimings.caalv;
    assert.ok((await workersCutFromNewLeader()).restartedAfterS <= cancelS + leaseS);
  });
});
