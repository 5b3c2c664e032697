import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { UnplaceableJobs } from '../src/coordination/scheduling/unplaceable-jobs.ts';
import { spec } from './support/builders.ts';

describe('unplaceable jobs', () => {
  it('skips jobs that need as much as one that found no machine, but not those that need less or allow other machines', () => {
    const refusals = new UnplaceableJobs();
    refusals.add(spec({ cores: 4, ram_gb: 8 }));
    assert.ok(refusals.covers(spec({ cores: 4, ram_gb: 8 })));
    assert.ok(refusals.covers(spec({ cores: 6, ram_gb: 9 })));
    assert.ok(!refusals.covers(spec({ cores: 4, ram_gb: 7 })));
    assert.ok(!refusals.covers(spec({ cores: 2, ram_gb: 9 })));
    assert.ok(!refusals.covers(spec({ cores: 6, ram_gb: 9, prestiti: true })), 'spot machines too');
    assert.ok(!refusals.covers(spec({ cores: 6, ram_gb: 9, modelli: ['small'] })));
  });
});
