import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import {
  FINAL_RECORD_GRACE_MS,
  FINAL_RECORD_READS,
  FINAL_RECORDS_MISSING_MAX,
  FINISHED_JOBS_CACHED,
  TASK_RETRY_MAX_MS,
  TASK_RETRY_MS,
} from '../src/constants.ts';
import { EndAcknowledgements } from '../src/coordination/jobs/end-acknowledgements.ts';
import { FailingJobBackoff } from '../src/coordination/jobs/failing-job-backoff.ts';
import { FinalRecordReader } from '../src/coordination/jobs/final-record-reader.ts';
import { FinishedJobs } from '../src/coordination/jobs/finished-jobs.ts';
import { assignToShards, NoCandidateShard } from '../src/coordination/jobs/shard-assignment.ts';
import { shardMap } from '../src/coordination/leadership/shard-map.ts';
import { ShardLoads } from '../src/coordination/scheduling/shard-loads.ts';
import { sliceCapacity } from '../src/storage/records.ts';
import { seededRandom } from '../src/transport/random.ts';
import { FakeClock, silentLog } from './support/fakes.ts';
import { jobSpec } from './support/job-spec.ts';

describe('assignment of tasks to shards', () => {
  const map = shardMap(['a', 'b'], 2);
  const context = {
    shardLoads: new ShardLoads(new FakeClock()),
    shardMap: map,
    random: seededRandom(1),
    valueKb: 64,
  };

  it('gives each task to exactly one shard, in consecutive slices, and half of a spread job to each zone', () => {
    const slices = assignToShards(jobSpec({ tasks: 999, spread: true }), new Set(['a', 'b']), context);
    let nextTask = 0;
    for (const { from, count } of slices) {
      assert.equal(from, nextTask);
      nextTask += count;
    }
    assert.equal(nextTask, 999);
    for (const { count } of slices) assert.ok(count <= 500);
  });

  it('gives all tasks of a job confined to one zone to one shard', () => {
    const slices = assignToShards(jobSpec({ tasks: 50, oneZone: true }), new Set(['a', 'b']), context);
    assert.equal(new Set(slices.map(({ shard }) => shard)).size, 1);
  });

  it('creates no slice with more tasks than one record can hold', () => {
    const slices = assignToShards(jobSpec({ tasks: 100_000 }), new Set(['a']), { ...context, valueKb: 5 });
    assert.ok(slices.length > 1);
    for (const { count } of slices) assert.ok(count <= sliceCapacity(5));
  });

  it('throws a typed error when no shard is in an allowed zone', () => {
    const empty = { ...context, shardMap: { ...map, names: [] } };
    assert.throws(() => assignToShards(jobSpec(), new Set(['a']), empty), NoCandidateShard);
  });
});

describe('failing jobs', () => {
  it('are retried with a delay that doubles up to a limit, and at once after a reset', () => {
    const backoff = new FailingJobBackoff();
    assert.ok(backoff.mayAttempt('j-1', 0));
    backoff.recordAttempt('j-1', 0);
    assert.ok(!backoff.mayAttempt('j-1', 2 * TASK_RETRY_MS - 1));
    assert.ok(backoff.mayAttempt('j-1', 2 * TASK_RETRY_MS));
    backoff.recordAttempt('j-1', 0);
    assert.ok(!backoff.mayAttempt('j-1', 4 * TASK_RETRY_MS - 1));
    for (let attempt = 0; attempt < 20; attempt++) backoff.recordAttempt('j-1', 0);
    assert.ok(!backoff.mayAttempt('j-1', TASK_RETRY_MAX_MS - 1));
    assert.ok(backoff.mayAttempt('j-1', TASK_RETRY_MAX_MS));
    backoff.reset('j-1');
    assert.ok(backoff.mayAttempt('j-1', 0));
  });
});

describe('final records', () => {
  const start = (): { reader: FinalRecordReader; clock: FakeClock; known: Set<string>; reads: string[] } => {
    const clock = new FakeClock();
    const known = new Set<string>();
    const reads: string[] = [];
    const reader = new FinalRecordReader({
      clock,
      log: silentLog,
      isFinished: (job) => known.has(job),
      read: (job) => {
        reads.push(job);
        if (reads.length === 1) return Promise.reject(new Error('no answer'));
        return Promise.resolve({ status: 'cancelled', revision: 3, tasks: 1 });
      },
      onRead: (job) => known.add(job),
    });
    return { reader, clock, known, reads };
  };

  // Guards against an end that no controller knows in an outage (docs/incidents/forgotten-ends.md).
  it('are read if no peer has reported the end in time, and again after a failure', async () => {
    const { reader, clock, known, reads } = start();
    for (const job of ['j-1', 'j-2']) reader.onDeleted(job);
    known.add('j-2');
    await reader.readMissing();
    assert.deepEqual(reads, []);
    await clock.advance(FINAL_RECORD_GRACE_MS);
    for (let turn = 0; turn < 3; turn++) await reader.readMissing();
    assert.deepEqual(reads, ['j-1', 'j-1']);
    assert.ok(known.has('j-1'));
  });

  it('are dropped oldest first beyond their bound, and read a few at a time', async () => {
    const { reader, clock, reads } = start();
    for (let n = 0; n <= FINAL_RECORDS_MISSING_MAX; n++) reader.onDeleted(`j-${String(n)}`);
    await clock.advance(FINAL_RECORD_GRACE_MS);
    await reader.readMissing();
    assert.equal(reads.length, FINAL_RECORD_READS);
    assert.equal(reads[0], 'j-1');
  });
});

describe('finished jobs', () => {
  const self = 'node-0';
  const done = { status: 'done', revision: null, tasks: 0 } as const;
  const newCache = (): FinishedJobs =>
    new FinishedJobs(new EndAcknowledgements(new FakeClock(), { self, majority: 1 }));

  it('are evicted oldest first', () => {
    const finished = newCache();
    for (let n = 0; n <= FINISHED_JOBS_CACHED; n++) finished.add(`j-${String(n)}`, done, self);
    assert.ok(!finished.has('j-0'));
    assert.equal(finished.end('j-1')?.status, 'done');
    assert.equal(finished.end(`j-${String(FINISHED_JOBS_CACHED)}`)?.status, 'done');
  });

  // Guards against an answer that is older than one given: an evicted end may have been reported to its user.
  it('bound the revisions of the evicted ones, without a bound for an unknown revision', () => {
    const finished = newCache();
    const add = (count: number, revision: number | null): void => {
      for (let n = 0; n < count; n++)
        finished.add(`j-${String(revision)}-${String(n)}`, { ...done, revision }, self);
    };
    add(FINISHED_JOBS_CACHED, 7);
    assert.equal(finished.evictedUpTo, 0);
    add(1, null);
    assert.equal(finished.evictedUpTo, 7);
    add(FINISHED_JOBS_CACHED, 9);
    assert.equal(finished.evictedUpTo, Number.MAX_SAFE_INTEGER);
  });

  it('keep what is known of an end when it is learned again without', () => {
    const finished = newCache();
    finished.add('j-1', { status: 'done', revision: 5, tasks: 20 }, self);
    finished.add('j-1', done, self);
    assert.equal(finished.end('j-1')?.revision, 5);
    assert.equal(finished.doneTasks('j-1'), 20);
  });
});
