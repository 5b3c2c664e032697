import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { cutFromBoth, deafToTheNext, healthyInOutage, leaderStories } from './meeting-stories.ts';
import { paces, refusedLeader } from './refused-leader.ts';

describe('two troubles that meet', () => {
  for (const [name, story] of Object.entries(leaderStories)) {
    it(name, async () => assert.deepEqual(await story(), []));
  }

  it('a refused leader with a cancellation before, at and after the takeover, an outage soon and late', async () => {
    for (const pace of Object.keys(paces) as (keyof typeof paces)[])
      for (const cancelAfterS of [0.1, 4])
        for (const outageAfterS of [0.2, 6]) {
          const plan = { pace, cancelAfterS, outageAfterS, loyal: true, mute: false };
          assert.deepEqual((await refusedLeader(plan)).broken, [], JSON.stringify(plan));
        }
  });

  it('sends users elsewhere from a node that has lost the state service and its siblings, and not in an outage', async () => {
    assert.equal((await cutFromBoth()).slow, 0);
    assert.equal(await healthyInOutage(), 2);
  });

  it('holds nothing for deaf machines beyond the leases of the owner before', async () => {
    const { cancelS, leaseS } = paces.caalv;
    assert.ok((await deafToTheNext()).againAfterS <= cancelS + leaseS);
  });
});
