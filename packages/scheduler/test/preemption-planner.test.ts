import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { PreemptionPlanner } from '../src/coordination/scheduling/preemption-planner.ts';
import { machine, spec, startAttempt } from './support/builders.ts';

describe('preemption planner', () => {
  it('stops the fewest tasks, the latest started first, and counts freed resources once for each task that needs them', () => {
    const low = spec({ urgenza: 'low', cores: 4 });
    const [one, two] = [machine('one'), machine('two')];
    const older = [startAttempt(one, low, 1, 10), startAttempt(one, low, 2, 20)];
    startAttempt(two, low, 3, 30);
    startAttempt(two, spec({ urgenza: 'critical', cores: 4 }), 4, 40);
    const evictor = new PreemptionPlanner(spec({ urgenza: 'urgent', cores: 4 }), [one, two], new Map());
    assert.deepEqual(evictor.next()?.victims, [two.attempts.get('j-1#3')]);
    assert.deepEqual(evictor.next()?.victims, [older[1]]);
    assert.deepEqual(evictor.next()?.victims, [older[0]]);
    assert.equal(evictor.next(), null);
  });
});
