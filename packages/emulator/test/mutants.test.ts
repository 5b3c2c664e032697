import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { detect } from './mutant-detection.ts';
import { mutants } from './mutants.ts';

/** Random scenarios within which each mutant must be detected: about twice what the slowest mutant needs. */
const MAX_RUNS = 150;

describe('mutants of the scheduler’s safety checks', { concurrency: true }, () => {
  for (const mutant of mutants) {
    it(`are detected by a violated invariant: ${mutant.name}`, async (t) => {
      const found = await detect(mutant, MAX_RUNS);
      assert.ok(found, `no invariant was violated in ${String(MAX_RUNS)} random scenarios`);
      t.diagnostic(`${found.rule} after ${String(found.runs)} scenario runs`);
    });
  }
});
