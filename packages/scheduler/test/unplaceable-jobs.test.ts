import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { UnplaceableJobs } from '../src/coordination/scheduling/unplaceable-jobs.ts';
import { decodedJobSpec } from './support/builders.ts';

describe('unplaceable jobs', () => {
  it('covers jobs that need at least as much as an unplaceable job, not jobs that need less or allow more machines', () => {
    const unplaceable = new UnplaceableJobs();
    unplaceable.add(decodedJobSpec({ cores: 4, ram_gb: 8 }));
    assert.ok(unplaceable.covers(decodedJobSpec({ cores: 4, ram_gb: 8 })));
    assert.ok(unplaceable.covers(decodedJobSpec({ cores: 6, ram_gb: 9 })));
    assert.ok(!unplaceable.covers(decodedJobSpec({ cores: 4, ram_gb: 7 })));
    assert.ok(!unplaceable.covers(decodedJobSpec({ cores: 2, ram_gb: 9 })));
    assert.ok(
      !unplaceable.covers(decodedJobSpec({ cores: 6, ram_gb: 9, prestiti: true })),
      'the job also allows spot machines',
    );
    assert.ok(!unplaceable.covers(decodedJobSpec({ cores: 6, ram_gb: 9, modelli: ['small'] })));
  });
});
