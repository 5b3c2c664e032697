import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { readScenario } from '../src/scenario-file.ts';
import { type Scenario } from '../src/scenario.ts';
import { scenarioSeed, runSeededScenario, runDigest } from '../src/randomized-testing.ts';
import { InvariantChecker } from '../src/invariant-checker.ts';
import { runScenario } from '../src/simulated-run.ts';
import { VirtualTime } from '../src/time.ts';
import type { Worker } from '../src/worker.ts';
import { countServed, describeUnserved, findUnserved, type Served } from '../src/served-share.ts';
import { newWork, type Work, type Workload } from '../src/workload.ts';

/** Number of scenarios of size `small` that this test runs. The long run is in docs/emulator.md. */
const SCENARIOS = 8;

describe('invariant checker', () => {
  const at = (id: string, zone = 'a', spot = false): Worker =>
    ({ id, machine: { type: { name: 's' }, zone, spot } }) as unknown as Worker;

  /** The rules that the recorded events break, in order. */
  async function brokenRules(
    recordEvents: (checker: InvariantChecker, time: VirtualTime) => void,
    spec: object = {},
  ): Promise<string[]> {
    const time = new VirtualTime();
    const plain = { id: 'j-1', team: 'red', kind: 'batch', tasks: 3, cores: 4, types: null, zone: null };
    const work = newWork({ ...plain, ...spec } as unknown as Parameters<typeof newWork>[0], () => 1, false);
    work.submitted = true;
    const workload: Workload = new Map([['j-1', work]]);
    const checker = new InvariantChecker(time, workload, {
      teamCores: new Map([['red', 8]]),
      cancelMs: 1000,
    });
    recordEvents(checker, time);
    await time.runUntil(5000);
    return checker.violations.map((v) => v.rule);
  }
  const startTask = (checker: InvariantChecker, task: number, worker: Worker, spec: object = {}): void => {
    const plain = {
      id: 'j-1',
      team: 'red',
      kind: 'batch',
      tasks: 3,
      cores: 4,
      types: null,
      zone: null,
      spot: false,
    };
    const work = newWork({ ...plain, ...spec } as unknown as Parameters<typeof newWork>[0], () => 1, false);
    checker.onStart(worker, `j-1/${String(task)}`, 1, work);
  };
  const answerPoll = (
    checker: InvariantChecker,
    status: number,
    state: 'queued' | 'done' | 'cancelled' | null,
    askedAt = 0,
  ): void => checker.onAnswer('j-1', 'poll', askedAt, status, state);

  it('reports each broken rule, and nothing for a history that breaks none', async () => {
    assert.deepEqual(
      await brokenRules((checker) => [1, 2].forEach((t) => startTask(checker, t, at('m')))),
      [],
    );
    assert.deepEqual(
      await brokenRules((checker) => ['m', 'n'].forEach((m) => startTask(checker, 1, at(m)))),
      ['ran_twice'],
    );
    assert.deepEqual(
      await brokenRules((checker) => [1, 2, 3].forEach((t) => startTask(checker, t, at('m')))),
      ['quota'],
    );
    assert.deepEqual(await brokenRules((checker) => startTask(checker, 1, at('m', 'a', true))), [
      'wrong_place',
    ]);
    assert.deepEqual(await brokenRules((checker) => startTask(checker, 1, at('m'), { zone: 'b' })), [
      'wrong_place',
    ]);
    assert.deepEqual(await brokenRules((checker) => startTask(checker, 1, at('m'), { types: ['t'] })), [
      'wrong_place',
    ]);
    const startInTwoZones = (checker: InvariantChecker): void => {
      startTask(checker, 1, at('m'), { oneZone: true });
      startTask(checker, 2, at('n', 'b'), { oneZone: true });
    };
    assert.deepEqual(await brokenRules(startInTwoZones), ['wrong_place']);
    assert.deepEqual(await brokenRules((checker) => answerPoll(checker, 200, 'done')), ['not_done']);
    assert.deepEqual(await brokenRules((checker) => answerPoll(checker, 200, 'cancelled')), ['went_back']);
    const startAfterCancelled = (checker: InvariantChecker): void => {
      checker.onCancelRequested('j-1');
      answerPoll(checker, 200, 'cancelled');
      startTask(checker, 1, at('m'));
    };
    assert.deepEqual(await brokenRules(startAfterCancelled), ['ran_cancelled']);
    const queuedAfterCancelled = (checker: InvariantChecker, time: VirtualTime): void => {
      checker.onCancelRequested('j-1');
      answerPoll(checker, 200, 'cancelled');
      time.at(10, () => answerPoll(checker, 200, 'queued', 5));
    };
    assert.deepEqual(await brokenRules(queuedAfterCancelled), ['went_back']);
    const notFoundAfterAccepted = (checker: InvariantChecker, time: VirtualTime): void => {
      answerPoll(checker, 201, 'queued');
      time.at(10, () => answerPoll(checker, 404, null, 5));
    };
    assert.deepEqual(await brokenRules(notFoundAfterAccepted), ['forgotten']);
    const notFoundAfterExcusedLoss = (checker: InvariantChecker, time: VirtualTime): void => {
      answerPoll(checker, 201, 'queued');
      checker.markUnrecoverable(
        () => false,
        () => false,
      );
      time.at(10, () => answerPoll(checker, 404, null, 5));
      assert.equal(checker.unrecoverable['acceptance'], 1);
    };
    assert.deepEqual(await brokenRules(notFoundAfterExcusedLoss), [], 'no record of the job is left');
    const notFoundThoughStored = (checker: InvariantChecker, time: VirtualTime): void => {
      answerPoll(checker, 201, 'queued');
      checker.markUnrecoverable(
        () => true,
        () => true,
      );
      time.at(10, () => answerPoll(checker, 404, null, 5));
    };
    assert.deepEqual(
      await brokenRules(notFoundThoughStored),
      ['forgotten'],
      'the key-value store still has it',
    );
    assert.deepEqual(await brokenRules((checker) => checker.onAnswer('j-2', 'poll', 0, 200, 'queued')), [
      'invented',
    ]);
  });

  it('reports a state that went back only if the request was sent after the newer answer arrived', async () => {
    const overlappingAnswers = (checker: InvariantChecker, time: VirtualTime): void => {
      checker.onCancelRequested('j-1');
      time.at(10, () => answerPoll(checker, 200, 'cancelled', 0));
      time.at(11, () => answerPoll(checker, 200, 'queued', 9));
    };
    assert.deepEqual(await brokenRules(overlappingAnswers), []);
  });
});

describe('explorer', () => {
  it('runs scenarios with random faults without a violation, and with the same digests twice', async () => {
    const digests: string[][] = [[], []];
    for (const run of digests) {
      for (let number = 0; number < SCENARIOS; number++) {
        const { scenario, outcome } = await runSeededScenario('small', scenarioSeed(1, number));
        assert.deepEqual(outcome.violations, [], `npm run explore -- --day '${JSON.stringify(scenario)}'`);
        run.push(outcome.digest);
      }
    }
    assert.equal(runDigest(digests[0] ?? []), runDigest(digests[1] ?? []));
    assert.equal(new Set(digests[0]).size, SCENARIOS, 'all scenarios differ');
  });

  it('counts the served jobs of each class and team among those that could be served', () => {
    const work = (id: string, more: object): Work =>
      ({
        spec: { id, class: 'short', team: 'red', kind: 'batch', ...more },
        submitted: true,
        broken: false,
      }) as Work;
    const works = [
      work('1', {}),
      work('2', { team: 'blue' }),
      work('3', {}),
      work('4', {}),
      work('5', { kind: 'service' }),
    ];
    const final = (id: string): 'done' | 'cancelled' | null =>
      id === '1' ? 'done' : id === '3' ? 'cancelled' : null;
    const outcomes = { finalState: final, isRefused: (id: string) => id === '4', firstStarts: new Map() };
    assert.deepEqual(countServed(works, outcomes), {
      classes: { short: { asked: 2, served: 1 } },
      teams: { red: { asked: 1, served: 1 }, blue: { asked: 1, served: 0 } },
      largest: {},
    });
  });

  it('counts among a class’s largest jobs those that start within four minutes of their submission', () => {
    const works = Array.from({ length: 20 }, (_, n) => ({
      spec: { id: String(n), class: 'short', team: 'red', kind: 'batch', tasks: n, cores: 2 },
      submitted: true,
      submittedAt: 1000,
      broken: false,
    })) as Work[];
    const largest = (firstStarts: Map<string, number>): Served['largest'] =>
      countServed(works, { finalState: () => 'done', isRefused: () => false, firstStarts }).largest;
    const [late, inTime] = [242_000, 240_000];
    assert.deepEqual(
      largest(
        new Map([
          ['19', inTime],
          ['18', late],
        ]),
      ),
      { short: { asked: 2, served: 1 } },
    );
    const none = largest(new Map([['17', 2000]]));
    const served = { classes: {}, teams: {}, largest: none };
    const unserved = findUnserved(served);
    const expected = [{ group: 'largest', name: 'short', asked: 2, served: 0 }];
    assert.deepEqual(unserved, expected, 'regardless of smaller jobs');
    assert.deepEqual(unserved.map(describeUnserved), ['largest of short: 0 of 2 jobs']);
  });

  it('reports a class or team of which less than half is served, and no other', () => {
    const share = (asked: number, got: number): { asked: number; served: number } => ({ asked, served: got });
    const halfServed = {
      classes: { short: share(40, 20) },
      teams: { red: share(40, 40), few: share(3, 0) },
      largest: { short: share(4, 2) },
    };
    assert.deepEqual(
      findUnserved(halfServed),
      [],
      'half of a class is served; one team has too few jobs to count',
    );
    const served = {
      classes: { short: share(40, 19), long: share(90, 90) },
      teams: { red: share(30, 0) },
      largest: {},
    };
    const unserved = findUnserved(served);
    assert.deepEqual(unserved, [
      { group: 'all', name: 'short', asked: 40, served: 19 },
      { group: 'all', name: 'red', asked: 30, served: 0 },
    ]);
    assert.deepEqual(unserved.map(describeUnserved), ['short: 19 of 40 jobs', 'red: 0 of 30 jobs']);
  });

  it('replays a scenario from its JSON, and names the invalid field', async () => {
    const { scenario, outcome } = await runSeededScenario('small', scenarioSeed(1, 0));
    const again = await runScenario(readScenario(JSON.stringify(scenario)), { stopAtFirst: true });
    assert.equal(again.digest, outcome.digest);
    assert.throws(() => readScenario('{'), /^Error: not JSON$/);
    assert.throws(() => readScenario(JSON.stringify({ ...scenario, nodes: 0 })), /^Error: nodes: /);
    const bad = {
      ...scenario,
      faults: [{ atS: 1, forS: 1, kind: 'cut', node: 0, from: 'moon', mode: 'drop' }],
    };
    assert.throws(() => readScenario(JSON.stringify(bad)), /^Error: faults\.0\.from: /);
  });

  // Guards against a fault: such a job stayed pending while other machine types had enough CPUs.
  it('places a job restricted to one machine type even if other types have enough CPUs', async () => {
    const job = {
      atS: 0,
      team: 0,
      tasks: 1,
      cores: 1,
      runS: 2,
      priority: 0,
      rule: 'a type' as const,
      spot: false,
      checkpoint: false,
      service: false,
      broken: false,
      cancelAfterS: null,
      againAfterS: null,
    };
    const scenario: Scenario = {
      seed: 0,
      zones: 1,
      nodes: 1,
      machines: 1,
      capacity: 1,
      pace: 0,
      teamLimits: [0, 0, 0],
      jobs: [job],
      faults: [],
    };
    const { violations, completed } = await runScenario(scenario);
    assert.deepEqual([violations, completed], [[], 1]);
  });
});
