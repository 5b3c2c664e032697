import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import {
  leaderIsolatedFromPeersAndStore,
  workersCutFromNewLeader,
  healthyInOutage,
  leaderFaultScenarios,
} from './leader-fault-scenarios.ts';
import { restartScenarios } from './restart-scenarios.ts';
import { siteTimings, runRefusedLeader } from './refused-leader.ts';

describe('combined leader faults violate no invariant', () => {
  for (const [name, scenario] of Object.entries({ ...leaderFaultScenarios, ...restartScenarios })) {
    it(name, async () => assert.deepEqual(await scenario(), []));
  }

  it('cancellations around a takeover, with an early or late outage, violate no invariant', async () => {
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

  it('routes users away from an isolated node, but keeps all nodes in a store outage', async () => {
    assert.equal((await leaderIsolatedFromPeersAndStore()).slowSubmissions, 0);
    assert.equal(await healthyInOutage(), 2);
  });

  it('restarts tasks of workers cut off from the new leader once the former leases have expired', async () => {
    const { cancelS, leaseS } = siteTimings.caalv;
    assert.ok((await workersCutFromNewLeader()).restartedAfterS <= cancelS + leaseS);
  });
});
