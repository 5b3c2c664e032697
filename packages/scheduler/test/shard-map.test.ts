import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { shardMap } from '../src/coordination/leadership/shard-map.ts';

describe('shard map', () => {
  it('divides zones only if there are more controllers than zones, and always maps a machine to the same shard', () => {
    assert.deepEqual(shardMap(['a', 'b', 'c'], 3).names, ['a', 'b', 'c']);
    const divided = shardMap(['a', 'b'], 4);
    assert.deepEqual(divided.names, ['a.0', 'a.1', 'b.0', 'b.1']);
    const shard = divided.shardOf({ id: 'n-000017', zone: 'b' });
    assert.ok(shard?.startsWith('b.'));
    assert.equal(shardMap(['a', 'b'], 4).shardOf({ id: 'n-000017', zone: 'b' }), shard);
    assert.equal(divided.shardOf({ id: 'n-1', zone: 'x' }), null);
  });
});
