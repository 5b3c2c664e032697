import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { RECENT_ENDS_MAX, RECENT_ENDS_REVISIONS, RETRY_MS } from '../src/constants.ts';
import { RecentEndsReader } from '../src/coordination/jobs/recent-ends-reader.ts';
import { subtractFrom } from '../src/protocol/json.ts';
import {
  RequestRejected,
  type Revision,
  RevisionCompacted,
  type WatchEvent,
} from '../src/protocol/key-value.ts';
import { encodeJob } from '../src/storage/record-codec.ts';
import { FakeClock, silentLog } from './support/fakes.ts';

const firstRevision = 5000;

/** The change that ends the job `j-<revision>` at the revision. */
const endAt = (revision: number): WatchEvent => ({
  op: 'put',
  key: `job/j-${String(revision)}`,
  value: encodeJob({ status: 'done', tasks: 3 }),
  version: revision,
});

/** A reader, and a store that answers each request with the next of these events or errors. */
function startReader(answers: (WatchEvent[] | Error)[]): {
  reader: RecentEndsReader;
  clock: FakeClock;
  requestedFrom: Revision[];
  ends: string[];
} {
  const clock = new FakeClock();
  const requestedFrom: Revision[] = [];
  const ends: string[] = [];
  const reader = new RecentEndsReader({
    clock,
    log: silentLog,
    signal: new AbortController().signal,
    store: {
      watch: (prefix, from) => {
        assert.equal(prefix, 'job/');
        requestedFrom.push(from);
        const answer = answers[requestedFrom.length - 1] ?? [];
        return answer instanceof Error
          ? Promise.reject(answer)
          : Promise.resolve({ revision: firstRevision, events: answer });
      },
    },
    onRead: (jobId, { status, tasks, revision }) =>
      ends.push([jobId, status, String(tasks), String(revision)].join(' ')),
  });
  return { reader, clock, requestedFrom, ends };
}

describe('ends that were committed before the start of a process', () => {
  it('are read once, from a bounded number of revisions', async () => {
    const { reader, requestedFrom, ends } = startReader([[endAt(4000), endAt(4990)]]);
    assert.equal(reader.endsReadAfter, null);
    await reader.read(firstRevision);
    await reader.read(firstRevision);
    assert.deepEqual(requestedFrom, [firstRevision - RECENT_ENDS_REVISIONS]);
    assert.deepEqual(ends, ['j-4000 done 3 4000', 'j-4990 done 3 4990']);
    assert.equal(reader.endsReadAfter, firstRevision - RECENT_ENDS_REVISIONS);
  });

  it('are dropped beyond the newest, and then not taken for read', async () => {
    const revisions = Array.from({ length: RECENT_ENDS_MAX + 2 }, (_, i) => 3500 + i);
    const { reader, ends } = startReader([revisions.map(endAt)]);
    await reader.read(firstRevision);
    assert.equal(ends.length, RECENT_ENDS_MAX);
    assert.equal(ends[0], 'j-3502 done 3 3502');
    assert.equal(reader.endsReadAfter, 3501);
  });

  it('are read again after a failure, and not taken for read until then', async () => {
    const { reader, clock, requestedFrom, ends } = startReader([new RequestRejected('503'), [endAt(4990)]]);
    const read = reader.read(firstRevision);
    await clock.advance(RETRY_MS - 1);
    assert.equal(reader.endsReadAfter, null);
    await clock.advance(1);
    await read;
    assert.equal(requestedFrom.length, 2);
    assert.deepEqual(ends, ['j-4990 done 3 4990']);
  });

  it('are read from fewer revisions if the store no longer keeps so many changes', async () => {
    const compacted = new RevisionCompacted('410');
    const { reader, requestedFrom } = startReader([compacted, compacted, []]);
    await reader.read(firstRevision);
    const quarter = firstRevision - RECENT_ENDS_REVISIONS / 4;
    assert.equal(requestedFrom.at(-1), quarter);
    assert.equal(reader.endsReadAfter, quarter);
  });

  it('are not read if the store keeps no change before the first revision', async () => {
    const { reader } = startReader(Array.from({ length: 20 }, () => new RevisionCompacted('410')));
    await reader.read(firstRevision);
    assert.equal(reader.endsReadAfter, null);
  });

  it('have revisions that stay exact, and are not below 0', () => {
    assert.equal(subtractFrom(10, 20), 0);
    assert.equal(subtractFrom(2n ** 63n, 1), 2n ** 63n - 1n);
    assert.equal(subtractFrom(2n ** 53n, 1), Number.MAX_SAFE_INTEGER);
  });
});
