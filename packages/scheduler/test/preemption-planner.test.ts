import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { PreemptionPlanner } from '../src/coordination/scheduling/preemption-planner.ts';
import { machine, decodedJobSpec, startAttempt } from './support/builders.ts';

describe('preemption planner', () => {
  it('stops the fewest tasks, latest started first, and uses freed resources for one task only', () => {
    const low = decodedJobSpec({ urgenza: 'low', cores: 4 });
    const [one, two] = [machine('one'), machine('two')];
    const older = [startAttempt(one, low, 1, 10), startAttempt(one, low, 2, 20)];
    startAttempt(two, low, 3, 30);
    startAttempt(two, decodedJobSpec({ urgenza: 'critical', cores: 4 }), 4, 40);
    const planner = new PreemptionPlanner(
      decodedJobSpec({ urgenza: 'urgent', cores: 4 }),
      [one, two],
      new Map(),
    );
    assert.deepEqual(planner.next()?.victims, [two.attempts.get('j-1#3')]);
    assert.deepEqual(planner.next()?.victims, [older[1]]);
    assert.deepEqual(planner.next()?.victims, [older[0]]);
    assert.equal(planner.next(), null);
  });
});
