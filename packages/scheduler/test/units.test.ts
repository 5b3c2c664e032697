import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { LAG_THRESHOLD_MS, LAG_SAMPLE_MS, LOAD_WITHOUT_MACHINES } from '../src/constants.ts';
import {
  attach,
  detach,
  type Machine,
  newMachine,
  freeCapacity,
  recordImageUse,
} from '../src/storage/machine.ts';
import type { Attempt } from '../src/storage/attempt.ts';
import { Slice } from '../src/storage/slice.ts';
import { sliceCapacity } from '../src/storage/records.ts';
import { TaskSet } from '../src/storage/task-set.ts';
import { ShardLoads } from '../src/coordination/scheduling/shard-loads.ts';
import { ShardLeader } from '../src/coordination/shard-leader.ts';
import type { ShardContext } from '../src/coordination/shard-context.ts';
import { shardMap } from '../src/coordination/leadership/shard-map.ts';
import { type Candidates, MachineChooser } from '../src/coordination/scheduling/placement-policy.ts';
import { PreemptionPlanner } from '../src/coordination/scheduling/preemption-planner.ts';
import { UnplaceableJobs } from '../src/coordination/scheduling/unplaceable-jobs.ts';
import { readOperatorSettings } from '../src/operator-settings.ts';
import { parseJson, stringifyJson } from '../src/protocol/json.ts';
import type { ShardStatus } from '../src/protocol/peer-messages.ts';
import { decodeSubmission, type JobSpec } from '../src/protocol/users.ts';
import { decodeHeartbeat } from '../src/protocol/workers.ts';
import { readSettings } from '../src/settings.ts';
import { EventLoopLag } from '../src/transport/event-loop-lag.ts';
import { RateLimiter } from '../src/transport/rate-limiter.ts';
import { type Random, seededRandom } from '../src/transport/random.ts';
import { VERSION } from '../src/version.ts';
import manifest from '../../../package.json' with { type: 'json' };
import { type PlannedJob, servingOrder } from '../src/coordination/scheduling/serving-order.ts';
import { job } from './cluster.ts';
import { FakeClock } from './fakes.ts';

const type = {
  name: 'small',
  cores: 8,
  accelerators: 0,
  ramGb: 32,
  localGb: 10,
  price: 1,
  spotPrice: 1,
  bootS: 30,
  zones: ['a'],
};

/** A machine that a test may set up as it needs it. */
type WritableMachine = { -readonly [K in keyof Machine]: Machine[K] };

function machine(id: string, load = 0, bookedSinceHeartbeat = 0, spot = false): WritableMachine {
  const m: WritableMachine = newMachine(id, { endpoint: 'x:1', type: 'small', zone: 'a', spot }, 0);
  m.type = type;
  m.load = load;
  m.bookedSinceHeartbeat = bookedSinceHeartbeat;
  return m;
}

/** The choice for a single task. */
function pick(spec: JobSpec, from: Candidates, random: Random): Machine | null {
  return new MachineChooser(spec, from).next(random);
}

function spec(more: object = {}): JobSpec {
  const decoded = decodeSubmission({ ...job('j-1', 1), ...more });
  assert.ok(decoded);
  return decoded;
}

const platform = {
  node_name: 'n',
  zone: 'a',
  listen: '127.0.0.1:1',
  mesh_addr: '127.0.0.1:2',
  endpoints: { cloud: '127.0.0.1:3', state: '127.0.0.1:4' },
  deployment: {
    zones: ['a'],
    workers: { report_s: 2, lease_s: 16, cancel_s: 40 },
    state: { rps: 100, write_rps: 100, value_kb: 8, txn_ops: 12 },
    cloud: { rps: 10 },
  },
};

describe('placement', () => {
  const random = seededRandom(1);

  it('takes the idle machine appended last that fits', () => {
    const [first, last, big] = [machine('m1'), machine('m2'), machine('m3')];
    big.type = { ...type, cores: 1 };
    const chosen = pick(spec(), { schedulable: [first, last, big], idle: [first, last, big] }, random);
    assert.equal(chosen, last);
  });

  it('takes machines that have the image before others, idle ones first all the same', () => {
    const [has, last] = [machine('m1'), machine('m2')];
    recordImageUse(has, 'img', 4);
    assert.equal(pick(spec(), { schedulable: [has, last], idle: [has, last] }, random), has);
    assert.equal(pick(spec(), { schedulable: [has, last], idle: [last] }, random), last);
    assert.equal(pick(spec({ stampo: 'x' }), { schedulable: [has, last], idle: [has, last] }, random), last);
    has.load = 0.5;
    assert.equal(pick(spec(), { schedulable: [has, last], idle: [] }, random), has);
    // Ten gigabytes are kept, the least recently used go.
    recordImageUse(has, 'x', 4);
    recordImageUse(has, 'img', 4);
    recordImageUse(has, 'y', 4);
    assert.deepEqual([...has.images.keys()], ['img', 'y']);
  });

  it('looks once a round for what finds no room, and again for what needs less or other machines', () => {
    const refusals = new UnplaceableJobs();
    refusals.add(spec({ cores: 4, ram_gb: 8 }));
    assert.ok(refusals.cover(spec({ cores: 4, ram_gb: 8 })));
    assert.ok(refusals.cover(spec({ cores: 6, ram_gb: 9 })));
    assert.ok(!refusals.cover(spec({ cores: 4, ram_gb: 7 })));
    assert.ok(!refusals.cover(spec({ cores: 2, ram_gb: 9 })));
    assert.ok(!refusals.cover(spec({ cores: 6, ram_gb: 9, prestiti: true })), 'spot machines too');
    assert.ok(!refusals.cover(spec({ cores: 6, ram_gb: 9, modelli: ['small'] })));
  });

  it('compares two random machines by load plus drift when none is idle', () => {
    const busy = machine('m1', 0.5, 0.25);
    const lower = machine('m2', 0.6, 0.0);
    for (let i = 0; i < 20; i++)
      assert.equal(pick(spec(), { schedulable: [busy, lower], idle: [] }, random), lower);
    const many = Array.from({ length: 20 }, (_, i) => machine(`m${String(i)}`, i / 20));
    const worst = many.at(-1);
    for (let i = 0; i < 200; i++)
      assert.notEqual(pick(spec(), { schedulable: many, idle: [] }, random), worst);
  });

  it('looks among spot machines first for a job that may use them, and never for another', () => {
    const [ordinary, spot] = [machine('m1'), machine('m2', 0.9, 0, true)];
    const from: Candidates = { schedulable: [ordinary, spot], idle: [ordinary] };
    assert.equal(pick(spec({ prestiti: true }), from, random), spot);
    assert.equal(pick(spec(), from, random), ordinary);
  });
});

describe('room', () => {
  const running = (m: Machine, of: JobSpec, number: number, startedAt = 0): Attempt => {
    const slice = new Slice({ name: 's', spec: of, at: 0, from: 0, count: 9, settled: '' }, false);
    const key = `${of.id}#${String(number)}`;
    const attempt: Attempt = {
      key,
      task: of.id,
      number,
      slice,
      position: number,
      startedAt,
      jobOpenConfirmedAt: Infinity,
      state: 'running',
      phase: 'seen',
      stopping: false,
      graceS: 0,
      runningAt: 0,
    };
    attach(m, attempt);
    return attempt;
  };

  it('is reckoned again only when the attempts of the machine change', () => {
    const m = machine('m');
    assert.equal(freeCapacity(m)?.cores, 8);
    assert.equal(freeCapacity(m), freeCapacity(m));
    const attempt = running(m, spec(), 1);
    assert.equal(freeCapacity(m)?.cores, 6);
    detach(m, attempt);
    assert.deepEqual(freeCapacity(m), { cores: 8, accelerators: 0, ramGb: 32 });
  });

  it('is made by stopping the fewest tasks, started last, and counted once for each task that needs it', () => {
    const low = spec({ urgenza: 'low', cores: 4 });
    const [one, two] = [machine('one'), machine('two')];
    const older = [running(one, low, 1, 10), running(one, low, 2, 20)];
    running(two, low, 3, 30);
    running(two, spec({ urgenza: 'critical', cores: 4 }), 4, 40);
    const evictor = new PreemptionPlanner(spec({ urgenza: 'urgent', cores: 4 }), [one, two], new Map());
    assert.deepEqual(evictor.next()?.victims, [two.attempts.get('j-1#3')]);
    assert.deepEqual(evictor.next()?.victims, [older[1]]);
    assert.deepEqual(evictor.next()?.victims, [older[0]]);
    assert.equal(evictor.next(), null);
  });
});

describe('lateness', () => {
  it('is noted when a wait took much longer than it should, and is over when waits are in time again', async () => {
    let now = 0;
    let delay = 0;
    const end = new AbortController();
    const waits: (() => void)[] = [];
    const clock = {
      now: () => now,
      sleep: () => new Promise<void>((resolve) => waits.push(resolve)),
      soon: () => {},
    };
    const eventLoopLag = new EventLoopLag(clock);
    void eventLoopLag.run(end.signal);
    const pass = async (): Promise<void> => {
      now += LAG_SAMPLE_MS + delay;
      for (const wake of waits.splice(0)) wake();
      await new Promise((resolve) => setImmediate(resolve));
    };
    await pass();
    assert.equal(eventLoopLag.laggedSince(0), false);
    delay = LAG_THRESHOLD_MS + 1;
    await pass();
    assert.equal(eventLoopLag.laggedSince(0), true);
    delay = 0;
    const after = now + 1;
    await pass();
    assert.equal(eventLoopLag.laggedSince(after), false);
    end.abort();
    await pass();
  });
});

describe('leadership', () => {
  it('conditions transactions on the record that made this node the owner, not on a successor’s', () => {
    let version = 5;
    const context = {
      clock: new FakeClock(),
      settings: readSettings(platform),
      watchCache: { version: () => version },
      quotas: { hasLimit: () => false },
    } as unknown as ShardContext;
    const shard = new ShardLeader('a', 1, context, new AbortController().signal, {
      machines: [],
      progress: [],
      slices: [],
    });
    version = 6; // another owner's record arrives while a transaction of this one is being prepared
    assert.deepEqual(shard.records.leadershipPrecondition(), { key: 'live/part/a', version: 5 });
  });
});

describe('handover', () => {
  it('frees what the direct predecessor knew to run nowhere, and nothing on the word of any other owner', () => {
    const context = {
      clock: new FakeClock(),
      settings: readSettings(platform),
      watchCache: { version: () => 5 },
      quotas: { hasLimit: () => false },
      typeOf: () => type,
      hasLeaderLease: () => false,
      leaderLeaseMs: 0,
    } as unknown as ShardContext;
    const given = { name: 'a/j-1/0', spec: spec(), at: 0, from: 0, count: 4, settled: '' };
    const record = { endpoint: 'x:1', type: 'small', zone: 'a', spot: false };
    const shard = new ShardLeader('a', 3, context, new AbortController().signal, {
      machines: [['live/machines/a/0', { machines: { m: record } }, 1]],
      progress: [],
      slices: [given],
    });
    const before = new Slice(given, false);
    before.place(2, 'on a machine');
    const free = { [given.name]: before.notRunning, 'a/j-9/0': before.notRunning };
    const waiting = (): number[] => [...(shard.slices.get(given.name)?.pending ?? [])].sort();
    shard.acceptHandover({ kind: 'handover', shard: 'a', fencingToken: 2, notRunning: free });
    assert.deepEqual(waiting(), []);
    shard.acceptHandover({ kind: 'handover', shard: 'a', fencingToken: 3, notRunning: free });
    assert.deepEqual(waiting(), [0, 1, 3]);
  });
});

describe('waiting order', () => {
  const settings = readSettings({
    ...platform,
    deployment: {
      ...platform.deployment,
      teams: [{ name: 'red', cpus_max: 800 }],
      objectives: [
        { kind: 'finished', class: 'nightly', within_s: 90 },
        { kind: 'finished', class: 'nightly', within_s: 150 },
      ],
    },
  });
  const waits = (id: string, at: number, more: object = {}, guaranteed = false): PlannedJob => {
    const decoded = spec({ id, ...more });
    return { spec: decoded, at, pendingShare: 1, tasks: decoded.tasks, guaranteed };
  };
  const order = (jobs: PlannedJob[], now: number, cores = 8): string[] => [
    ...servingOrder(jobs, { cores, now, settings }).keys(),
  ];

  it('serves priority first, then guarantees, then what is due first', () => {
    const jobs = [
      waits('j-1', 300),
      waits('j-2', 100),
      waits('j-3', 800, { urgenza: 'urgent' }),
      waits('j-4', 0, { urgenza: 'low' }),
      waits('j-5', 950, {}, true),
    ];
    assert.deepEqual(order(jobs, 1000), ['j-3', 'j-5', 'j-2', 'j-1', 'j-4']);
  });

  it('puts off the job with the most work where not all can be in time', () => {
    const large = waits('j-1', 0, { pratiche: 24, stima_s: 20 });
    const small = [1, 2, 3].map((n) => waits(`j-2${String(n)}`, n * 1000, { pratiche: 4, stima_s: 20 }));
    assert.deepEqual(order([large, ...small], 40_000), ['j-21', 'j-22', 'j-23', 'j-1']);
    assert.deepEqual(order([large, ...small], 40_000, 800)[0], 'j-1', 'with more machines all are in time');
  });

  it('serves a long run before a short one that is due at the same time', () => {
    const short = waits('j-1', 0, { pratiche: 2, stima_s: 10 });
    const long = waits('j-2', 1000, { pratiche: 2, stima_s: 50 });
    assert.deepEqual(order([short, long], 2000, 800), ['j-2', 'j-1']);
  });

  it('lets no job starve', () => {
    assert.deepEqual(order([waits('j-2', 899_000), waits('j-1', 0)], 901_000), ['j-1', 'j-2']);
  });
});

describe('sharing out', () => {
  const told = (shard: string, idle: number, average: number, token = 1): ShardStatus => ({
    kind: 'shardStatus',
    shard,
    fencingToken: token,
    idleMachines: idle,
    averageLoad: average,
    schedulableMachines: 2,
    schedulableCores: 16,
    bootingCores: 0,
    runningTasks: {},
    pools: {},
    failingJobs: [],
    quotaDemand: {},
  });

  it('prefers a part flagged idle until its idle machines are used up, then the lower average', () => {
    const shardLoads = new ShardLoads(new FakeClock());
    shardLoads.set(told('a', 0, 0.2), false);
    shardLoads.set(told('b', 2, 0.9), false);
    const random = seededRandom(1);
    const choices = [1, 2, 3].map(() => shardLoads.choose(['a', 'b'], random));
    assert.deepEqual(choices, ['b', 'b', 'a']);
  });

  it('raises a chosen part by one over its machines until its owner’s next message', () => {
    const shardLoads = new ShardLoads(new FakeClock());
    shardLoads.set(told('a', 0, 0.2), false);
    shardLoads.set(told('b', 0, 0.9), false);
    const random = seededRandom(1);
    const choices = [1, 2, 3, 4].map(() => shardLoads.choose(['a', 'b'], random));
    assert.deepEqual(choices, ['a', 'a', 'b', 'a']);
    shardLoads.set(told('a', 0, 0.2), false);
    assert.equal(shardLoads.choose(['a', 'b'], random), 'a');
  });

  it('gives nothing to a part that has fallen silent, unless no sibling is heard at all', async () => {
    const clock = new FakeClock();
    const shardLoads = new ShardLoads(clock);
    const random = seededRandom(1);
    shardLoads.set(told('a', 50, 0), false);
    await clock.pass(4000);
    shardLoads.set(told('b', 0, 0.9), false);
    shardLoads.set(told('c', 0, 0.9), true);
    for (let i = 0; i < 10; i++) assert.notEqual(shardLoads.choose(['a', 'b', 'c'], random), 'a');
    await clock.pass(4000);
    shardLoads.set(told('c', 0, 0.9), true);
    assert.equal(
      shardLoads.choose(['a', 'b', 'c'], random),
      'a',
      'the siblings’ connections are gone, not the siblings',
    );
  });

  it('gives nothing to parts without machines while any other has some', () => {
    const shardLoads = new ShardLoads(new FakeClock());
    shardLoads.set(told('a', 0, LOAD_WITHOUT_MACHINES), false);
    shardLoads.set(told('b', 0, LOAD_WITHOUT_MACHINES), false);
    shardLoads.set(told('c', 0, 5), false);
    const random = seededRandom(1);
    for (let i = 0; i < 20; i++) assert.equal(shardLoads.choose(['a', 'b', 'c'], random), 'c');
    assert.notEqual(shardLoads.choose(['a', 'b'], random), 'c');
  });

  it('ignores a former owner’s late message', () => {
    const shardLoads = new ShardLoads(new FakeClock());
    shardLoads.set(told('a', 0, 0.2, 5), false);
    shardLoads.set(told('a', 3, 0.0, 4), false);
    assert.equal(shardLoads.get('a')?.idleMachines, 0);
  });
});

describe('data', () => {
  it('keeps integers above 2^53 exact through JSON', () => {
    const text = '{"edizione":18446744073709551615,"n":4.5,"s":"1234567890123456789"}';
    const parsed = parseJson(text) as { edizione: bigint };
    assert.equal(parsed.edizione, 18446744073709551615n);
    assert.equal(stringifyJson(parsed), text);
    const report = decodeHeartbeat({
      banco: 'm',
      endpoint: 'x:1',
      modello: 't',
      sede: 'a',
      turno: 1,
      progressivo: 18446744073709551615n,
      pratiche: [],
    });
    assert.equal(report?.sequence, 18446744073709551615n);
  });

  it('keeps a task set through its record', () => {
    const set = new TaskSet(20);
    for (const p of [0, 7, 8, 19]) assert.ok(set.add(p));
    assert.equal(set.add(7), false);
    assert.equal(set.add(20), false);
    const again = new TaskSet(20, set.encode());
    assert.equal(again.size, 4);
    assert.deepEqual([again.has(19), again.has(18)], [true, false]);
  });

  it('keeps a full slice’s record under the value limit', () => {
    for (const kb of [8, 32]) {
      const capacity = sliceCapacity(kb);
      const set = new TaskSet(capacity);
      for (let p = 0; p < capacity; p++) set.add(p);
      assert.ok(set.full);
      assert.ok(set.encode().length + 2000 < kb * 1024);
    }
  });

  it('divides zones only where controllers outnumber them, and agrees on every machine', () => {
    assert.deepEqual(shardMap(['a', 'b', 'c'], 3).names, ['a', 'b', 'c']);
    const divided = shardMap(['a', 'b'], 4);
    assert.deepEqual(divided.names, ['a.0', 'a.1', 'b.0', 'b.1']);
    const shard = divided.shardOf({ id: 'n-000017', zone: 'b' });
    assert.ok(shard?.startsWith('b.'));
    assert.equal(shardMap(['a', 'b'], 4).shardOf({ id: 'n-000017', zone: 'b' }), shard);
    assert.equal(divided.shardOf({ id: 'n-1', zone: 'x' }), null);
  });

  it('paces calls: a burst, then the rate', () => {
    const clock = new FakeClock();
    const pace = new RateLimiter(clock, 10, 2);
    pace.take(1);
    pace.take(1);
    assert.equal(pace.delayMs(1), 100);
    assert.equal(pace.delayMs(5), 200, 'a call dearer than the bucket passes when it is full');
  });
});

describe('settings', () => {
  it('names the field that is bad', () => {
    assert.throws(() => readSettings({}), /^Error: node_name: /);
  });

  it('reads the operators’ XML and refuses a bad one', () => {
    assert.deepEqual(readOperatorSettings('<onyxkeel><log><level>debug</level></log><new/></onyxkeel>'), {
      logLevel: 'debug',
    });
    assert.throws(
      () => readOperatorSettings('<onyxkeel><log><level>loud</level></log></onyxkeel>'),
      /onyxkeel.log.level/,
    );
    assert.throws(() => readOperatorSettings('<onyxkeel>'), /line 1/);
  });

  it('tells the version that the manifest has', () => {
    assert.equal(VERSION, manifest.version);
  });
});
