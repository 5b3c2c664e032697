import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { UnplaceableJobs } from '../src/coordination/scheduling/unplaceable-jobs.ts';
import { decodedJobSpec } from './support/builders.ts';

describe('unplaceable jobs', () => {
  it('skips jobs that need as much as one that found no machine, but not those that need less or allow other machines', () => {
    const unplaceable = new UnplaceableJobs();
    unplaceable.add(decodedJobSpec({ cores: 4, ram_gb: 8 }));
    assert.ok(unplaceable.cover(decodedJobSpec({ cores: 4, ram_gb: 8 })));
    assert.ok(unplaceable.cover(decodedJobSpec({ cores: 6, ram_gb: 9 })));
    assert.ok(!unplaceable.cover(decodedJobSpec({ cores: 4, ram_gb: 7 })));
    assert.ok(!unplaceable.cover(decodedJobSpec({ cores: 2, ram_gb: 9 })));
    assert.ok(
      !unplaceable.cover(decodedJobSpec({ cores: 6, ram_gb: 9, prestiti: true })),
      'spot machines too',
    );
    assert.ok(!unplaceable.cover(decodedJobSpec({ cores: 6, ram_gb: 9, modelli: ['small'] })));
  });
});
