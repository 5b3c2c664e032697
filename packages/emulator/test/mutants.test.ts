import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { detect, mutants } from './mutants.ts';

/** Days within which each mutant must be caught: about twice what the slowest took when this was written. */
const MAX_RUNS = 150;

describe('mutants of the scheduler’s safety', { concurrency: true }, () => {
  for (const mutant of mutants) {
    it(`are caught: ${mutant.name}`, async (t) => {
      const found = await detect(mutant, MAX_RUNS);
      assert.ok(found, `no rule was broken in ${String(MAX_RUNS)} days`);
      t.diagnostic(`${found.rule} after ${String(found.runs)} days`);
    });
  }
});
