import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import type { OpenJobRecord, SliceRange } from '../src/storage/records.ts';
import { maxToZone } from '../src/coordination/scheduling/migration-constraints.ts';
import { decodeSubmission } from '../src/protocol/users.ts';
import { jobSubmission } from './support/cluster.ts';

const zoneOf = (shard: string): string => shard.split('.')[0] ?? shard;

/** An open job with `count` tasks in each given shard; `left` of these are unsettled. */
function openJob(
  rules: object,
  given: [shard: string, count: number, left: number][],
): Parameters<typeof maxToZone>[0] {
  const tasks = given.reduce((sum, [, count]) => sum + count, 0);
  const spec = decodeSubmission({ ...jobSubmission('j-1', tasks), ...rules });
  assert.ok(spec);
  let from = 0;
  const slices = given.map(([shard, count]): SliceRange => ({
    shard,
    from: (from += count) - count,
    count,
  }));
  return {
    record: { spec, at: 0, slices } satisfies OpenJobRecord,
    unsettled: given.map(([, , left]) => left),
  };
}

describe('number of pending tasks of a job that may migrate to another zone', () => {
  it('is unlimited when the job has no zone constraint', () => {
    assert.equal(maxToZone(openJob({}, [['a', 8, 8]]), 'b', zoneOf, 3), Infinity);
  });

  it('is all or none for a single-zone job: all only if every unsettled task is pending in this shard', () => {
    const rules = { same_place: true };
    assert.equal(maxToZone(openJob(rules, [['a', 8, 5]]), 'b', zoneOf, 5), 5);
    assert.equal(
      maxToZone(openJob(rules, [['a', 8, 5]]), 'b', zoneOf, 4),
      0,
      'one unsettled task may be running',
    );
    const shards: [string, number, number][] = [
      ['a.0', 4, 4],
      ['a.1', 4, 1],
    ];
    assert.equal(
      maxToZone(openJob(rules, shards), 'b', zoneOf, 4),
      0,
      'an unsettled task of another shard may be running',
    );
    assert.equal(
      maxToZone(
        openJob(rules, [
          ['a.0', 4, 4],
          ['a.1', 4, 0],
        ]),
        'b',
        zoneOf,
        4,
      ),
      4,
    );
  });

  it('limits the unsettled tasks of a spread job in the target zone to half of all tasks of the job', () => {
    const rules = { apart: true };
    const shards: [string, number, number][] = [
      ['a', 4, 4],
      ['b.0', 2, 2],
      ['b.1', 2, 1],
      ['c', 1, 1],
    ];
    assert.equal(maxToZone(openJob(rules, shards), 'b', zoneOf, 4), 2);
    assert.equal(maxToZone(openJob(rules, shards), 'c', zoneOf, 4), 4);
    assert.equal(
      maxToZone(
        openJob(rules, [
          ['a', 4, 4],
          ['b', 4, 4],
        ]),
        'b',
        zoneOf,
        4,
      ),
      0,
    );
    assert.equal(maxToZone(openJob({ ...rules, same_place: true }, [['a', 4, 4]]), 'b', zoneOf, 4), 0);
    assert.equal(maxToZone(openJob({ ...rules, same_place: true }, [['a', 4, 2]]), 'b', zoneOf, 2), 2);
  });
});
