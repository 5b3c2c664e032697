import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { LAST_OPEN_REVISIONS_REMEMBERED } from '../src/constants.ts';
import { LastOpenRevisions } from '../src/storage/last-open-revisions.ts';

describe('the revision after which a job ended', () => {
  it('is the latest at which the job was known to be open, in whatever order they come', () => {
    const revisions = new LastOpenRevisions();
    assert.equal(revisions.endedAfter('j-1'), 0);
    revisions.add('j-1', 7);
    revisions.add('j-1', 5);
    assert.equal(revisions.endedAfter('j-1'), 7);
    revisions.add('j-1', 2n ** 60n);
    assert.equal(revisions.endedAfter('j-1'), 2n ** 60n);
  });

  it('is forgotten once the watch cache has the job, and for the jobs added least recently', () => {
    const revisions = new LastOpenRevisions();
    revisions.add('j-1', 1);
    revisions.add('j-2', 2);
    revisions.add('j-3', 3);
    revisions.delete('j-3');
    revisions.add('j-1', 4);
    for (let n = 0; n < LAST_OPEN_REVISIONS_REMEMBERED - 1; n++) revisions.add(`j-1${String(n)}`, 5);
    assert.deepEqual(
      ['j-1', 'j-2', 'j-3'].map((id) => revisions.endedAfter(id)),
      [4, 0, 0],
    );
  });
});
