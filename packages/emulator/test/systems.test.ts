import assert from 'node:assert/strict';
import { beforeEach, describe, it } from 'node:test';
import { NoAnswer, seededRandom } from '@onyxkeel/scheduler';
import { Cloud, type CloudMachine } from '../src/cloud.ts';
import { type PartitionMode, type Host, Network, type Reply } from '../src/network.ts';
import { KeyValueStoreServer } from '../src/key-value-store-server.ts';
import { HostClock, VirtualTime } from '../src/time.ts';
import { Worker } from '../src/worker.ts';
import { newWork, type Workload } from '../src/workload.ts';

let time: VirtualTime;
let network: Network;

const host = (name: string, kind: Host['kind'], zone: string | null = null, drift = 0): Host => ({
  name,
  kind,
  zone,
  status: 'up',
  clock: new HostClock(time, drift),
});

/** The promise's value after `ms` of virtual time; undefined if it is still pending. */
async function resolveWithin<T>(ms: number, promise: Promise<T>): Promise<T | undefined> {
  let result: T | undefined;
  let failure: unknown;
  promise.then(
    (value) => (result = value),
    (error: unknown) => (failure = error),
  );
  await time.runUntil(time.now + ms);
  if (failure !== undefined) throw failure as Error;
  return result;
}

beforeEach(() => {
  time = new VirtualTime();
  network = new Network(time, seededRandom(1));
});

describe('virtual time', () => {
  it('fires timers late on a frozen clock, never on an ended clock, and early or late by the drift on other clocks', async () => {
    const seen: string[] = [];
    const at = (name: string, clock: HostClock): void =>
      void clock.sleep(10_000).then(() => seen.push(`${name} ${time.now.toFixed(0)}`));
    at('fast', new HostClock(time, 1));
    at('slow', new HostClock(time, -1));
    const frozen = new HostClock(time, 0);
    frozen.frozenUntil = 15_000;
    at('frozen', frozen);
    const ended = new HostClock(time, 0);
    ended.ended = true;
    at('ended', ended);
    await time.runUntil(20_000);
    assert.deepEqual(seen, ['fast 9995', 'slow 10005', 'frozen 15000']);
  });
});

describe('network', () => {
  const call = { address: 'b:1', method: 'POST' as const, path: '/x', deadlineMs: 2000 };
  let a: Host;
  let b: Host;
  let receivedBodies: string[];

  beforeEach(() => {
    a = host('a', 'node', 'x');
    b = host('b', 'worker', 'y');
    receivedBodies = [];
    network.serve('b:1', b, ({ body }): Reply => {
      receivedBodies.push(body);
      return { status: 200, body: '{}' };
    });
  });

  const callDuringPartition = async (mode: PartitionMode, bodies: string[]): Promise<string[]> => {
    const end = network.startPartition(mode, (one, other) => one === a && other === b);
    const outcomes: string[] = [];
    for (const body of bodies) {
      network
        .client(a)({ ...call, body })
        .then(
          () => outcomes.push(`${body} answered`),
          (error: unknown) => outcomes.push(`${body} ${error instanceof NoAnswer ? 'unknown' : 'broken'}`),
        );
    }
    await time.runUntil(time.now + 5000);
    end();
    await time.runUntil(time.now + 5000);
    return outcomes;
  };

  it('in mode hold keeps calls on open connections and delivers them in order, timed out or not', async () => {
    await resolveWithin(100, network.client(a)({ ...call, body: 'first' }));
    assert.deepEqual(await callDuringPartition('hold', ['1', '2']), ['1 unknown', '2 unknown']);
    assert.deepEqual(receivedBodies, ['first', '1', '2']);
  });

  it('never completes a connection attempt that timed out', async () => {
    assert.deepEqual(await callDuringPartition('hold', ['1']), ['1 unknown']);
    assert.deepEqual(receivedBodies, []);
  });

  it('drops calls, resets connections and refuses new ones according to the mode', async () => {
    await resolveWithin(100, network.client(a)({ ...call, body: 'first' }));
    assert.deepEqual(await callDuringPartition('refuse', ['open']), ['open answered']);
    assert.deepEqual(await callDuringPartition('drop', ['lost']), ['lost unknown']);
    assert.deepEqual(await callDuringPartition('reset', ['reset']), ['reset unknown']);
    assert.deepEqual(await callDuringPartition('refuse', ['new']), ['new unknown']);
    assert.deepEqual(receivedBodies, ['first', 'open']);
  });
});

describe('key-value store', () => {
  let store: KeyValueStoreServer;
  let node: Host;
  const ask = async (method: string, path: string, body: object = {}): Promise<Reply | undefined> =>
    resolveWithin(
      1000,
      store.serve({ method, path, body: JSON.stringify(body), from: node }) as Promise<Reply>,
    );
  const put = (key: string, more: object = {}, when: object[] = []): Promise<Reply | undefined> =>
    ask('POST', '/txn', { when, writes: [{ put: key, v: { x: 1 }, ...more }] });

  beforeEach(() => {
    node = host('n', 'node');
    store = new KeyValueStoreServer(time, seededRandom(1), { rps: 20, writeRps: 10, valueKb: 1, txnOps: 3 });
  });

  it('applies a transaction as a whole or not at all, and returns which condition failed', async () => {
    assert.equal((await put('a/1', {}, [{ key: 'a/1', edizione: 0 }]))?.body, '{"protocollo":2}');
    const again = await put('a/1', {}, [{ key: 'a/1', edizione: 0 }]);
    assert.deepEqual([again?.status, again?.body], [409, '{"failed":["a/1"],"protocollo":2}']);
  });

  it('rejects values and transactions over the size limits, and calls over the rate limit after a burst of one second', async () => {
    assert.equal((await put('a', { v: 'x'.repeat(2000) }))?.status, 400);
    const four = Array.from({ length: 4 }, (_, i) => ({ remove: `k${String(i)}` }));
    assert.equal((await ask('POST', '/txn', { writes: four }))?.status, 400);
    const calls = Array.from({ length: 30 }, () =>
      store.serve({ method: 'GET', path: '/kv/none', body: '', from: node }),
    );
    await time.runUntil(time.now + 1000);
    const statuses = (await Promise.all(calls)).map((reply) => reply?.status);
    assert.equal(statuses.filter((s) => s === 404).length, 20);
    assert.equal(statuses.filter((s) => s === 429).length, 10);
  });

  it('renews every lease in full after an outage, and extends no lease of a node that it refuses', async () => {
    await ask('POST', '/grants', { life_ms: 4000 });
    await put('live/n', { concessione: 1 });
    store.setOutage(true);
    await time.runUntil(time.now + 10_000);
    store.setOutage(false);
    await time.runUntil(time.now + 3900);
    assert.deepEqual(store.read('live/n'), { x: 1 });
    store.setRefused(node, true);
    assert.equal((await ask('POST', '/grants/1/extend'))?.status, 503);
    await time.runUntil(time.now + 300);
    assert.equal(store.read('live/n'), undefined);
  });

  it('keeps watches open through an outage, and answers 410 to a watch whose start revision is no longer kept', async () => {
    const watch = store.serve({
      method: 'GET',
      path: '/follow?prefix=a/&from=1&hold_ms=500',
      body: '',
      from: node,
    });
    await time.runUntil(time.now + 100);
    store.setOutage(true);
    assert.equal(await resolveWithin(2000, watch), undefined);
    store.setOutage(false);
    assert.equal((await resolveWithin(100, watch))?.body, '{"protocollo":1,"events":[]}');
    const unthrottled = new KeyValueStoreServer(time, seededRandom(1), {
      rps: 1e6,
      writeRps: 1e6,
      valueKb: 1,
      txnOps: 3,
    });
    for (let i = 0; i < 10_002; i++) {
      void unthrottled.serve({
        method: 'POST',
        path: '/txn',
        body: '{"writes":[{"put":"a","v":1}]}',
        from: node,
      });
    }
    await time.runUntil(time.now + 2000);
    const expiredWatch = unthrottled.serve({
      method: 'GET',
      path: '/follow?prefix=a&from=1',
      body: '',
      from: node,
    });
    assert.equal((await resolveWithin(1000, expiredWatch))?.status, 410);
  });
});

describe('key-value store that loses data', () => {
  const put = async (service: KeyValueStoreServer, key: string): Promise<void> => {
    const body = JSON.stringify({ when: [], writes: [{ put: key, v: 1 }] });
    const from = host('node', 'node');
    await resolveWithin(2000, service.serve({ from, method: 'POST', path: '/txn', body }));
  };
  const createStore = async (): Promise<KeyValueStoreServer> => {
    const service = new KeyValueStoreServer(time, seededRandom(1), {
      rps: 100,
      writeRps: 100,
      valueKb: 8,
      txnOps: 12,
    });
    service.keepSnapshots();
    for (const key of ['a/1', 'a/2', 'b/1']) await put(service, key);
    return service;
  };
  const revision = async (service: KeyValueStoreServer): Promise<number> => {
    const request = { from: host('node', 'node'), method: 'GET' as const, path: '/kv/none', body: '' };
    const reply = await resolveWithin(500, service.serve(request));
    return (JSON.parse(reply?.body ?? '{}') as { protocollo: number }).protocollo;
  };

  it('removes the data that the loss specifies and no other, and continues revisions as the loss specifies', async () => {
    const loss = { revisions: 'back', leases: true } as const;
    const all = await createStore();
    all.loseData({ ...loss, of: 'all' });
    assert.deepEqual([all.keys(''), await revision(all)], [[], 1]);
    const copy = await createStore();
    copy.loseData({ ...loss, of: 'copy', ageS: 3 });
    assert.deepEqual([copy.keys(''), await revision(copy)], [['a/1'], 2]);
    const prefix = await createStore();
    prefix.loseData({ ...loss, revisions: 'on', of: 'prefix', prefix: 'a/' });
    assert.deepEqual([prefix.keys(''), await revision(prefix)], [['b/1'], 4]);
    const keys = await createStore();
    keys.loseData({ ...loss, revisions: 'beyond', of: 'keys', count: 1 });
    assert.equal(keys.keys('').length, 2);
    assert.ok((await revision(keys)) > 1000);
  });
});

const small = {
  name: 's',
  cores: 8,
  ramGb: 32,
  localGb: 9,
  pullGbPerS: 1,
  price: 1,
  spotPrice: 0.5,
  bootS: 10,
};

describe('cloud', () => {
  it('rents machines once per request name, lists them with lag and at times in an older state, and deletes them at once', async () => {
    const deletedMachines: string[] = [];
    const cloud = new Cloud(
      time,
      seededRandom(3),
      {
        types: [small],
        zones: ['z'],
        capacity: [{ type: 's', zone: 'z', ordinary: 3, spot: 0 }],
        rps: 50,
        listLagMs: 5000,
      },
      { onUp: () => {}, onGone: (m) => deletedMachines.push(m.id) },
    );
    const from = host('n', 'node');
    const ask = async (method: string, path: string, body = ''): Promise<Reply | undefined> =>
      resolveWithin(400, cloud.serve({ method, path, body, from }) as Promise<Reply>);
    const rent = '{"richiesta":"r","modello":"s","sede":"z","prestiti":false,"number":5}';
    const first = await ask('POST', '/hosts', rent);
    assert.equal(first?.body, '{"banchi":["n-000001","n-000002","n-000003"]}');
    assert.deepEqual(await ask('POST', '/hosts', rent), first);
    assert.equal((await ask('POST', '/hosts', rent.replace('"r"', '"q"')))?.status, 503);
    assert.equal((await ask('GET', '/hosts'))?.body, '{"banchi":[],"truncated":false}');
    const seen: number[] = [];
    for (let i = 0; i < 30; i++) {
      const page = JSON.parse((await ask('GET', '/hosts?most=2'))?.body ?? '{}') as { banchi: unknown[] };
      seen.push(page.banchi.length);
    }
    assert.ok(
      seen.some((count, i) => i > 0 && count < (seen[i - 1] ?? 0)),
      'a list older than the previous one',
    );
    assert.equal(seen.at(-1), 2);
    await time.runUntil(60_000);
    await ask('POST', '/hosts/return', '{"banchi":["n-000001","n-999999"]}');
    assert.deepEqual(deletedMachines, ['n-000001']);
  });
});

describe('worker', () => {
  let worker: Worker;
  let controller: Host;
  let events: string[];
  let answer: Reply;
  let reports: { mandato: number; turno: number; pratiche: { causale?: string; stato: string }[] }[];
  const workload: Workload = new Map();

  beforeEach(() => {
    events = [];
    reports = [];
    answer = { status: 200, body: '{"mandato":1,"ordini":[]}' };
    controller = host('node-0', 'node', 'z');
    network.serve('c:1', controller, ({ body }) => {
      reports.push(JSON.parse(body) as (typeof reports)[number]);
      return answer;
    });
    const spec = {
      id: 'j-1',
      tasks: 9,
      cores: 4,
      ramGb: 1,
      image: 'i',
      imageGb: 1,
      kind: 'batch',
      checkpointS: 2,
      saveS: 1,
    };
    const work = newWork(spec as unknown as Parameters<typeof newWork>[0], () => 20, false);
    work.submitted = true;
    workload.set('j-1', work);
    const machine = { id: 'w', endpoint: 'w:1', type: small, zone: 'z', spot: false } as CloudMachine;
    worker = new Worker(machine, host('w', 'worker', 'z'), {
      time,
      network,
      random: seededRandom(2),
      workload,
      observer: {
        onStart: (_, task, attempt) => events.push(`start ${task} ${String(attempt)}`),
        onEnd: (_, task, attempt, why) => events.push(`end ${task} ${String(attempt)} ${why}`),
        onResultForgotten: (task) => events.push(`taken ${task}`),
      },
      heartbeatMs: 2000,
      leaseMs: 10_000,
      nodes: [{ name: 'node-0', address: 'c:1', zone: 'z' }],
    });
  });

  const command = async (
    token: number,
    session: number,
    ...orders: object[]
  ): Promise<number | undefined> => {
    const body = JSON.stringify({ mandato: token, turno: session, ordini: orders });
    const call = { address: 'w:1', method: 'POST' as const, path: '/commands', body, deadlineMs: 1000 };
    return (await resolveWithin(20, network.client(controller)(call)))?.status;
  };
  const launch = (index: number, attempt: number): object => ({
    ordine: 'launch',
    pratica: `j-1/${String(index)}`,
    tentativo: attempt,
  });

  it('rejects commands with a lower fencing token or another agent epoch, with status 409', async () => {
    assert.equal(await command(5, 1, launch(0, 1)), 200);
    assert.equal(await command(4, 1, launch(1, 1)), 409);
    assert.equal(await command(5, 2, launch(1, 1)), 409);
    await time.runUntil(3000);
    assert.deepEqual(events, ['start j-1/0 1']);
  });

  it('rejects a launch if there is no room or no such job, or if the task is already running', async () => {
    const unknown = { ordine: 'launch', pratica: 'j-2/0', tentativo: 1 };
    await command(1, 1, launch(0, 1), launch(0, 2), launch(1, 1), launch(2, 1), unknown);
    await time.runUntil(2500);
    const why = reports.at(-1)?.pratiche.flatMap((t) => t.causale ?? []);
    assert.deepEqual(why?.sort(), ['busy', 'full', 'no_such']);
  });

  it('kills its tasks when its lease expires, even while it hangs, and continues with the next agent epoch', async () => {
    await command(1, 1, launch(0, 1));
    await time.runUntil(3000);
    answer = { status: 200, body: '{"mandato":0,"ordini":[]}' }; // a lower fencing token does not renew the lease
    worker.host.clock.frozenUntil = 20_000;
    await time.runUntil(19_000);
    assert.deepEqual(events, ['start j-1/0 1', 'end j-1/0 1 lost']);
    await time.runUntil(21_000);
    assert.equal(reports.at(-1)?.turno, 2);
  });

  it('saves a checkpoint within the grace period and resumes from it; a relaunched completed task is done at once', async () => {
    await command(1, 1, launch(0, 1));
    await time.runUntil(12_000);
    await command(1, 1, { ordine: 'halt', pratica: 'j-1/0', tentativo: 1, tolleranza_s: 5 });
    await time.runUntil(14_000);
    await command(1, 1, launch(0, 2));
    const began = time.now;
    await time.runUntil(began + 13_000);
    assert.deepEqual(events.slice(1), ['end j-1/0 1 stopped', 'start j-1/0 2', 'end j-1/0 2 done']);
    await command(1, 1, { ordine: 'forget', pratica: 'j-1/0', tentativo: 2 }, launch(0, 3));
    assert.deepEqual(events.slice(4), ['taken j-1/0', 'start j-1/0 3', 'end j-1/0 3 done']);
  });
});
