import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { sliceCapacity } from '../src/storage/records.ts';
import { TaskSet } from '../src/storage/task-set.ts';

describe('task set', () => {
  it('has the same tasks after encoding and decoding, and rejects repeated and out-of-range positions', () => {
    const set = new TaskSet(20);
    for (const p of [0, 7, 8, 19]) assert.ok(set.add(p));
    assert.equal(set.add(7), false);
    assert.equal(set.add(20), false);
    const again = new TaskSet(20, set.encode());
    assert.equal(again.size, 4);
    assert.deepEqual([again.has(19), again.has(18)], [true, false]);
  });

  // Guards against `not_done` (docs/incidents/results-during-a-migration.md).
  it('made smaller than the encoded set has and encodes no member beyond its capacity', () => {
    const larger = new TaskSet(8);
    for (const position of [0, 2, 5]) larger.add(position);
    const smaller = new TaskSet(4, larger.encode());
    assert.deepEqual([smaller.size, smaller.has(5)], [2, false]);
    assert.equal(new TaskSet(8, smaller.encode()).size, 2);
    assert.equal(TaskSet.countIn(larger.encode(), 4), 2);
  });

  it('encodes a full slice in fewer bytes than the key-value store allows for a value', () => {
    for (const kb of [8, 32]) {
      const capacity = sliceCapacity(kb);
      const set = new TaskSet(capacity);
      for (let p = 0; p < capacity; p++) set.add(p);
      assert.ok(set.full);
      assert.ok(set.encode().length + 2000 < kb * 1024);
    }
  });
});
