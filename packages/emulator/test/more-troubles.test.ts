import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { seededRandom } from '@onyxkeel/scheduler';
import { readScenario } from '../src/scenario-file.ts';
import { FaultInjector } from '../src/fault-injector.ts';
import { IdleWaitChecker, findRoomFor } from '../src/idle-wait-checker.ts';
import { InvariantChecker } from '../src/invariant-checker.ts';
import { invalidRequestKinds, invalidSubmission } from '../src/protocol/wire.ts';
import { VirtualTime } from '../src/time.ts';
import { newWork, type Work } from '../src/workload.ts';
import { plainJob, TestCluster } from './test-cluster.ts';

type Fault = Parameters<FaultInjector['plan']>[0];

const begun = async (faults: Fault[], seed = 1): Promise<TestCluster> => {
  const world = new TestCluster({ nodes: ['a', 'a', 'a'] }, undefined, seed);
  await world.begin();
  const plan = new FaultInjector(world, seededRandom(1));
  for (const fault of faults) plan.plan(fault, world.time.now);
  await world.run(0.1);
  return world;
};

const judgeOf = (...works: Work[]): { time: VirtualTime; judge: InvariantChecker } => {
  const time = new VirtualTime();
  const workload = new Map(works.map((work) => [work.spec.id, work]));
  return { time, judge: new InvariantChecker(time, workload, { teamCores: new Map(), cancelMs: 1000 }) };
};
const rules = (judge: InvariantChecker): string[] => judge.violations.map(({ rule }) => rule);

describe('the further troubles of the hunt sites, on the emulator', () => {
  it('mute machines: they reach no controller, and direct commands reach them', async () => {
    const world = await begun([{ kind: 'mute', share: 1, zone: null, atS: 0, forS: 25 }]);
    const [worker] = world.workers.values();
    assert.ok(worker);
    const ask = { address: worker.machine.endpoint, method: 'GET' as const, path: '/inspect' };
    await world.run(20);
    assert.equal(worker.agentEpoch, 2, 'no report of it is answered');
    const host = world.controllerHost(0);
    assert.ok(host);
    const asked = world.network.exchange(host, { ...ask, deadlineMs: 1000 });
    const [reply] = await Promise.all([asked, world.run(1)]);
    assert.equal(reply.status, 200);
  });

  it('lost answers: carried out at once, and nobody is told', async () => {
    const world = await begun([{ kind: 'lost answers', share: 1, atS: 0, forS: 5 }]);
    const host = world.controllerHost(0);
    assert.ok(host);
    const call = {
      address: 'state:1',
      method: 'POST' as const,
      path: '/txn',
      body: JSON.stringify({ when: [], writes: [{ put: 'x', v: 1 }] }),
      deadlineMs: 1000,
    };
    const answer = world.network.exchange(host, call).catch(() => 'no answer');
    await world.run(0.1);
    assert.equal(world.store.read('x'), 1);
    await world.run(1.5);
    assert.equal(await answer, 'no answer');
  });

  it('kept reports: the copies come to every controller when a part has a new owner, and not before', async () => {
    const world = await begun([{ kind: 'kept reports', share: 1, atS: 0, forS: 30 }]);
    let reports = 0;
    const again = world.network.replayHeartbeats.bind(world.network);
    world.network.replayHeartbeats = (addresses): void => {
      reports += addresses.length;
      again(addresses);
    };
    await world.run(10);
    assert.equal(reports, 0);
    world.killController(0);
    await world.run(10);
    assert.ok(reports >= 3);
  });

  it('many jobs called off at once, with machines of theirs that hang', async () => {
    const world = await begun([{ kind: 'cancel now', count: 2, hangS: 30, atS: 12, forS: 0 }]);
    for (const id of ['j-1', 'j-2', 'j-3']) world.submit({ id, tasks: 4, cores: 1 }, 300);
    await world.run(11.5);
    const hanging = (): number =>
      [...world.workers.values()].filter((w) => w.host.clock.frozenUntil > world.time.now).length;
    assert.equal(hanging(), 0);
    await world.run(2);
    const cancelled = ['j-1', 'j-2', 'j-3'].filter((id) => world.checker.finalState(id) === 'cancelled');
    assert.equal(cancelled.length, 2);
    assert.ok(hanging() > 0);
    await world.run(60);
    assert.deepEqual(world.checker.violations, []);
  });

  it('jobs called off as they end, and looked at closely: done or cancelled, and never both', async () => {
    const world = await begun([
      { kind: 'cancel at end', share: 1, atS: 0, forS: 60 },
      { kind: 'close looks', atS: 0, forS: 60 },
    ]);
    let looks = 0;
    const ask = world.users.ask.bind(world.users);
    world.users.ask = (id, question, ...rest): Promise<number> => {
      if (question === 'poll_node') looks++;
      return ask(id, question, ...rest);
    };
    const ids = Array.from({ length: 12 }, (_, n) => `j-${String(n)}`);
    for (const id of ids) {
      world.submit({ id, tasks: 2, cores: 1 }, 3);
      await world.run(1);
    }
    await world.run(50);
    assert.deepEqual(world.checker.violations, []);
    assert.ok(looks > ids.length, `${String(looks)} looks`);
    assert.ok(ids.every((id) => world.checker.finalState(id) !== null));
    assert.ok(ids.some((id) => world.checker.isCancelAsked(id)));
  });

  it('odd requests: malformed and impossible ones are refused, and no accepted job is forgotten for them', async () => {
    const world = await begun([{ kind: 'odd requests', atS: 0, forS: 120 }]);
    const told: number[] = [];
    const submit = world.users.submitText.bind(world.users);
    world.users.submitText = async (body): ReturnType<typeof submit> => {
      const reply = await submit(body);
      told.push(reply?.status ?? 0);
      return reply;
    };
    for (const id of ['j-1', 'j-2']) world.submit({ id, tasks: 2, cores: 1 }, id === 'j-1' ? 5 : 300);
    await world.run(125);
    assert.deepEqual(world.checker.violations, []);
    for (const status of [200, 400, 422])
      assert.ok(told.includes(status), `none was answered ${String(status)}`);
  });

  it('are read from a day’s text, and bad ones are named', () => {
    const when = { atS: 5, forS: 10 };
    const faults = [
      { ...when, kind: 'mute', share: 0.5, zone: null },
      { ...when, kind: 'lost answers', share: 0.5 },
      { ...when, kind: 'kept reports', share: 0.5 },
      { ...when, kind: 'cancel now', count: 3, hangS: 10 },
      { ...when, kind: 'cancel at end', share: 0.5 },
      { ...when, kind: 'close looks' },
      { ...when, kind: 'odd requests' },
    ];
    const fleet = { seed: 1, zones: 1, nodes: 2, machines: 2, capacity: 1, pace: 0, teamLimits: [0, 0, 0] };
    const text = (some: object[]): string => JSON.stringify({ ...fleet, jobs: [], faults: some });
    assert.equal(readScenario(text(faults)).faults.length, 7);
    const bad = { ...when, kind: 'cancel now', count: 0, hangS: 10 };
    assert.throws(() => readScenario(text([bad])), /^Error: faults\.0\.count/);
  });
});

describe('the judge of the hunt sites’ further measures', () => {
  it('counts starts after a confirmed cancellation, which break a rule only beyond its time', async () => {
    const world = await begun([]);
    const work = world.submit({ tasks: 1 }, 300);
    await world.until('running', () => world.checker.runningTasks('j-1').length === 1, 20);
    const [worker] = world.workers.values();
    assert.ok(worker);
    world.checker.onCancelAsked('j-1');
    world.checker.onAnswer('j-1', 'cancel', world.time.now, 200, 'cancelled');
    const before = world.checker.startsAfterCancelled;
    world.checker.onStart(worker, 'j-1/0', 1, work);
    assert.equal(world.checker.startsAfterCancelled, before + 1);
    assert.ok(!rules(world.checker).includes('ran_cancelled'));
  });

  it('names a task that goes on after its machine hung, long after its user was told of the cancellation', async () => {
    // The controllers are told nothing of the withdrawal: only the judge is, so that the task is never stopped.
    const world = new TestCluster({ nodes: ['a'] });
    await world.begin();
    world.submit({ tasks: 1 }, 300);
    await world.until('running', () => world.checker.runningTasks('j-1').length === 1, 20);
    for (const worker of world.workers.values()) worker.host.clock.frozenUntil = world.time.now + 10_000;
    world.checker.onCancelAsked('j-1');
    world.checker.onAnswer('j-1', 'cancel', world.time.now, 200, 'cancelled');
    // Polls are answered by those who were told nothing, too.
    const ran = (): number => rules(world.checker).filter((rule) => rule === 'ran_cancelled').length;
    await world.run(35);
    assert.equal(ran(), 0);
    await world.run(2);
    assert.equal(ran(), 1);
  });

  it('names what is accepted though it can’t run or lacks a field, and an accepted job that is refused', () => {
    const work = newWork(plainJob, () => 1, false);
    work.submitted = true;
    const { time, judge } = judgeOf(work);
    judge.onInvalidRequestAnswer('cores', 'j-7', time.now, 400);
    judge.onInvalidRequestAnswer('too_large', 'j-7', time.now, 422);
    judge.onInvalidRequestAnswer('not_json', null, time.now, 400);
    judge.onAnswer('j-1', 'submit', time.now, 201, 'queued');
    judge.onInvalidRequestAnswer('cores', 'j-1', time.now, 200);
    assert.deepEqual(rules(judge), []);
    judge.onInvalidRequestAnswer('cores', 'j-7', time.now, 201);
    judge.onInvalidRequestAnswer('cores', 'j-1', time.now, 400);
    assert.deepEqual(rules(judge), ['wrongly_accepted', 'forgotten']);
  });

  it('tells an older answer by when it was asked for, to a single answer, at whatever node', async () => {
    const work = newWork(plainJob, () => 1, false);
    work.submitted = true;
    const { time, judge } = judgeOf(work);
    const early = time.now;
    await time.runUntil(1);
    judge.onAnswer('j-1', 'submit', early, 201, 'queued');
    judge.onAnswer('j-1', 'poll_node', early, 404, null);
    judge.onCancelAsked('j-1');
    await time.runUntil(2);
    judge.onAnswer('j-1', 'cancel', 1, 200, 'cancelled');
    judge.onAnswer('j-1', 'poll_node', 1, 200, 'running');
    assert.deepEqual(rules(judge), [], 'both were asked for before');
    judge.onAnswer('j-1', 'poll_node', 2, 200, 'running');
    judge.onAnswer('j-1', 'poll_node', 2, 404, null);
    assert.deepEqual(rules(judge), ['went_back', 'forgotten']);
  });

  it('names a job that waits for 90 s beside room with its team under its limit, and no other', async () => {
    const world = new TestCluster({ nodes: ['a'] });
    await world.begin(1);
    // Nobody serves it: what the judge is told of an acceptance is all that there is.
    world.killController(0);
    const work = newWork({ ...plainJob, tasks: 1 }, () => 1, false);
    work.submitted = true;
    world.workload.set('j-1', work);
    world.checker.onAnswer('j-1', 'submit', world.time.now, 201, 'queued');
    const waits = new IdleWaitChecker(world.checker, world.workload, new Map([['red', 2]]));
    const look = (seconds: number): void => waits.check(seconds * 1000, world.workers.values());
    look(0);
    look(89);
    assert.deepEqual(rules(world.checker), []);
    look(90);
    assert.deepEqual(rules(world.checker), ['idle_wait']);
    const place = { zone: 'a', type: 'small', spot: false, cores: 2, ramGb: 4 };
    const waiter = { work, waiting: 1, inZones: new Map<string, number>(), teamLeft: 2 };
    const of = (spec: Partial<typeof plainJob>): Work => ({ ...work, spec: { ...work.spec, ...spec } });
    assert.ok(findRoomFor(waiter, [place]));
    assert.equal(findRoomFor({ ...waiter, teamLeft: 1 }, [place]), null, 'its team is at its limit');
    assert.equal(findRoomFor({ ...waiter, waiting: 0 }, [place]), null);
    assert.equal(findRoomFor(waiter, [{ ...place, cores: 1 }]), null);
    assert.equal(findRoomFor(waiter, [{ ...place, spot: true }]), null);
    assert.equal(findRoomFor({ ...waiter, work: of({ zone: 'b' }) }, [place]), null);
    assert.equal(findRoomFor({ ...waiter, work: of({ types: ['large'] }) }, [place]), null);
    const inB = new Map([['b', 1]]);
    assert.ok(findRoomFor({ ...waiter, inZones: inB }, [place]));
    assert.equal(findRoomFor({ ...waiter, work: of({ oneZone: true }), inZones: inB }, [place]), null);
    const half = new Map([['a', 2]]);
    assert.equal(
      findRoomFor({ ...waiter, work: of({ spread: true, tasks: 4 }), inZones: half }, [place]),
      null,
    );
  });

  it('is told of submissions that are each wrong in one way', () => {
    const proper = JSON.parse(invalidSubmission(plainJob, 'id')) as object;
    assert.ok(!('id' in proper) && 'cores' in proper);
    assert.equal(
      new Set(invalidRequestKinds.map((kind) => invalidSubmission(plainJob, kind))).size,
      invalidRequestKinds.length,
    );
  });
});
