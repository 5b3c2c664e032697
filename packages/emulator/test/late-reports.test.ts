import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { lateReportScenarios } from './late-report-scenarios.ts';

// Guards against `not_done` and `ran_twice`: a report settles a migrating task, or places it on a machine
// (docs/incidents/results-during-a-migration.md, tasks-placed-during-a-migration.md).
describe('late reports about migrating tasks violate no invariant', () => {
  for (const [name, scenario] of Object.entries(lateReportScenarios)) {
    it(name, async () => assert.deepEqual(await scenario(), []));
  }
});
