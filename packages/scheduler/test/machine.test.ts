import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { detach, freeCapacity } from '../src/storage/machine.ts';
import { machine, decodedJobSpec, startAttempt } from './support/builders.ts';

describe('free capacity', () => {
  it('is recomputed only when the attempts of the machine change', () => {
    const idleMachine = machine('m');
    assert.equal(freeCapacity(idleMachine)?.cores, 8);
    assert.equal(freeCapacity(idleMachine), freeCapacity(idleMachine));
    const attempt = startAttempt(idleMachine, decodedJobSpec(), 1);
    assert.equal(freeCapacity(idleMachine)?.cores, 6);
    detach(idleMachine, attempt);
    assert.deepEqual(freeCapacity(idleMachine), { cores: 8, accelerators: 0, ramGb: 32 });
  });
});
