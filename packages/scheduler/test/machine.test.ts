import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { detach, freeCapacity } from '../src/storage/machine.ts';
import { machine, spec, startAttempt } from './support/builders.ts';

describe('free capacity', () => {
  it('is recomputed only when the attempts of the machine change', () => {
    const m = machine('m');
    assert.equal(freeCapacity(m)?.cores, 8);
    assert.equal(freeCapacity(m), freeCapacity(m));
    const attempt = startAttempt(m, spec(), 1);
    assert.equal(freeCapacity(m)?.cores, 6);
    detach(m, attempt);
    assert.deepEqual(freeCapacity(m), { cores: 8, accelerators: 0, ramGb: 32 });
  });
});
