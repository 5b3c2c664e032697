import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { OpenJobs } from '../src/storage/open-jobs.ts';
import { sliceName } from '../src/storage/records.ts';
import { TaskSet } from '../src/storage/task-set.ts';
import { decodedJobSpec } from './support/builders.ts';

const PAGE = 'live/progress/a/0';
const SLICE = sliceName('a', 'j-1', 0);

/** The encoded set of these positions in a slice of six tasks. */
function encodedSet(positions: number[]): string {
  const set = new TaskSet(6);
  for (const position of positions) set.add(position);
  return set.encode();
}

// Guards against `not_done` (docs/incidents/results-during-a-migration.md). Earlier versions wrote such records.
describe('progress of a slice whose last tasks have migrated', () => {
  const spec = decodedJobSpec({ pratiche: 6 });
  const whole = { spec, at: 0, slices: [{ shard: 'a', from: 0, count: 6 }] };
  const migrated = {
    ...whole,
    slices: [
      { shard: 'a', from: 0, count: 4 },
      { shard: 'b', from: 4, count: 2 },
    ],
  };

  for (const order of ['before', 'after'] as const) {
    it(`does not include their results, recorded ${order} the migration`, () => {
      const openJobs = new OpenJobs();
      openJobs.set('j-1', order === 'before' ? whole : migrated, 1, 0);
      openJobs.setProgress(PAGE, { settled: { [SLICE]: encodedSet([0, 2, 3, 4, 5]) } }, 0);
      if (order === 'before') openJobs.set('j-1', migrated, 2, 0);
      const job = openJobs.jobs.get('j-1');
      assert.ok(job);
      assert.deepEqual(openJobs.unsettledBySlice(job), [1, 2]);
      assert.equal(job.unsettledTasks, 3);
      const unsettled = [0, 1, 2, 3, 4, 5, 6].filter((index) => openJobs.isUnsettled('j-1', index));
      assert.deepEqual(unsettled, [1, 4, 5]);
      assert.equal(openJobs.isUnsettled('j-2', 0), false, 'a job that is not open');
      openJobs.setProgress('live/progress/b/0', { settled: { [sliceName('b', 'j-1', 1)]: 'Aw==' } }, 0);
      assert.deepEqual([...openJobs.complete], [], 'task 1 has no result');
    });
  }
});
