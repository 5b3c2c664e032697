import assert from 'node:assert/strict';
import { writeFileSync } from 'node:fs';
import { join } from 'node:path';
import { after, describe, it } from 'node:test';
import recorded from './fixtures/wire-digests.json' with { type: 'json' };
import { channels, recordRun, type WireRecord } from './wire-recorder.ts';
import { wireRuns } from './wire-runs.ts';

/**
 * Guards every byte on the wire and its time: three seeded runs must send exactly what they sent when the fixture was
 * recorded. A change that preserves behaviour must not touch the fixture.
 *
 * With WIRE_TRACE_DIR set to a directory, each run's lines are written there. Compare the traces of two versions with
 * `cmp` or `diff` to find the first byte that differs.
 */

const expected: Record<string, WireRecord> = recorded;
const traceDir = process.env['WIRE_TRACE_DIR'];

const messageKinds = [
  'part',
  'handover',
  'beat',
  'accepted',
  'cancelled',
  'vouch',
  'vouched',
  'ask',
  'answer',
];
const workerMessageFragments = ['"launch', '"halt', '"forget', '"riferisce_a', '"preavviso_s":'];
const statuses = [
  ...['state 200', 'state 404', 'state 409', 'state 503'],
  ...['workers 200', 'workers 409', 'workers 421'],
  ...['cloud 200', 'cloud 503'],
  ...['users 200', 'users 201', 'users 400', 'users 404', 'users 422', 'users 503'],
];

describe('wire traffic of seeded runs', () => {
  const covered = new Set<string>();
  after(() => {
    const missing = [...messageKinds, ...workerMessageFragments, ...statuses].filter(
      (each) => !covered.has(each),
    );
    assert.deepEqual(missing, [], 'the runs no longer cover the whole protocol');
  });

  for (const [name, run] of Object.entries(wireRuns)) {
    describe(name, () => {
      let record: WireRecord | null = null;
      it('breaks no invariant', async () => {
        const result = await recordRun(run, traceDir !== undefined);
        record = result.record;
        for (const each of result.covered) covered.add(each);
        if (traceDir !== undefined) writeFileSync(join(traceDir, name), result.lines.join(''));
        assert.deepEqual(result.violations, []);
      });
      for (const channel of channels) {
        it(`sends the recorded bytes on the ${channel} channel`, () => {
          assert.ok(record, 'the run did not complete');
          assert.deepEqual(record[channel], expected[name]?.[channel]);
        });
      }
    });
  }
});
