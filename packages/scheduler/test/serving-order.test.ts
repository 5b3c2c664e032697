import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { readSettings } from '../src/settings.ts';
import { type PlannedJob, servingOrder } from '../src/coordination/scheduling/serving-order.ts';
import { decodedJobSpec, platformSettings } from './support/builders.ts';

describe('serving order', () => {
  const settings = readSettings({
    ...platformSettings,
    deployment: {
      ...platformSettings.deployment,
      teams: [{ name: 'red', cpus_max: 800 }],
      objectives: [
        { kind: 'finished', class: 'nightly', within_s: 90 },
        { kind: 'finished', class: 'nightly', within_s: 150 },
      ],
    },
  });

  const plannedJob = (id: string, at: number, more: object = {}, guaranteed = false): PlannedJob => {
    const decoded = decodedJobSpec({ id, ...more });
    return { spec: decoded, at, pendingShare: 1, tasks: decoded.tasks, guaranteed };
  };

  const order = (jobs: PlannedJob[], now: number, cores = 8): string[] => [
    ...servingOrder(jobs, { cores, now, settings }).keys(),
  ];

  it('orders by priority, then by guarantee, then by deadline', () => {
    const jobs = [
      plannedJob('j-1', 300),
      plannedJob('j-2', 100),
      plannedJob('j-3', 800, { urgenza: 'urgent' }),
      plannedJob('j-4', 0, { urgenza: 'low' }),
      plannedJob('j-5', 950, {}, true),
    ];
    assert.deepEqual(order(jobs, 1000), ['j-3', 'j-5', 'j-2', 'j-1', 'j-4']);
  });

  it('postpones the job with the most work when not all can meet their objectives', () => {
    const large = plannedJob('j-1', 0, { pratiche: 24, stima_s: 20 });
    const small = [1, 2, 3].map((n) => plannedJob(`j-2${String(n)}`, n * 1000, { pratiche: 4, stima_s: 20 }));
    assert.deepEqual(order([large, ...small], 40_000), ['j-21', 'j-22', 'j-23', 'j-1']);
    assert.deepEqual(
      order([large, ...small], 40_000, 800)[0],
      'j-1',
      'with more machines all jobs can meet their objectives',
    );
  });

  it('serves a job of long tasks before a job of short tasks with the same deadline', () => {
    const short = plannedJob('j-1', 0, { pratiche: 2, stima_s: 10 });
    const long = plannedJob('j-2', 1000, { pratiche: 2, stima_s: 50 });
    assert.deepEqual(order([short, long], 2000, 800), ['j-2', 'j-1']);
  });

  it('starves no job: a job that has waited long enough is served first', () => {
    assert.deepEqual(order([plannedJob('j-2', 899_000), plannedJob('j-1', 0)], 901_000), ['j-1', 'j-2']);
  });
});
