import type { Violation } from '../src/invariant-checker.ts';
import { Meeting, paces } from './refused-leader.ts';
import { allDone, expect, type Story } from './story.ts';

const some = (count: number): { type: string; zone: string; spot: boolean; count: number } => ({
  type: 'small',
  zone: 'a',
  spot: false,
  count,
});

/**
 * Old reports reach every controller just as a new leader begins: copies of some seconds and of some leases before, of
 * earlier sessions and attempts, at its record, at its first question, and after the first answers.
 */
async function oldReports(): Promise<Violation[]> {
  const pace = paces.matkaturva;
  const world = new Meeting({ zones: ['a'], nodes: ['a', 'a', 'a'], ...pace, initial: [some(12)] });
  await world.begin();
  const kept: { body: string; from: string }[] = [];
  const keep = (): void => {
    for (const worker of world.workers.values())
      kept.push({ body: worker.nextHeartbeatText(), from: worker.id });
  };
  for (let n = 0; n < 6; n++) world.submit({ id: `j-${String(n)}`, tasks: 8, cores: 2 }, 30 + 9 * n);
  await world.run(8);
  keep();
  // Sessions end: what the first copies list runs elsewhere by and by.
  const mute = new Set([...world.workers.values()].slice(0, 5).map((w) => w.host));
  const heal = world.network.hangCalls((a, b) => mute.has(a) && b.kind === 'node');
  await world.run(pace.leaseS + 4);
  heal();
  keep();
  await world.run(6);
  keep();
  let came = 0;
  const nodes = [0, 1, 2].map((node) => `127.0.0.1:${String(9000 + node)}`);
  const deliver = (): void => {
    for (const { body, from } of kept) {
      const worker = world.workers.get(from);
      for (const address of nodes) {
        if (!worker) continue;
        came++;
        const call = { address, method: 'POST' as const, path: '/checkin', body, deadlineMs: 4000 };
        void world.network.exchange(worker.host, call).catch(() => null);
      }
    }
  };
  world.store.onPut = (key): void => {
    if (!key.startsWith('live/part/')) return;
    for (const ms of [0, 8, 60, 400, 1100, 2500, 6000]) world.time.after(ms, deliver);
  };
  for (const node of [0, 1, 2, 0]) {
    // Those that run what the old copies list are not heard as the next leader begins.
    const apart = world.network.startPartition(
      'drop',
      (x, y) => x.kind === 'worker' && !mute.has(x) && y.kind === 'node',
    );
    world.killController(node);
    await world.run(9);
    apart();
    world.startController(node, 50);
    await world.run(7);
  }
  expect('copies that came', came > 1000);
  world.store.onPut = (): void => {};
  await world.run(120);
  return allDone(world);
}

/** Copies of reports come late, after newer ones, to the owner that has had those: what they say was true once. */
async function lateCopies(): Promise<Violation[]> {
  const world = new Meeting({ zones: ['a'], nodes: ['a', 'a'], ...paces.matkaturva, initial: [some(10)] });
  await world.begin();
  world.network.lateHeartbeats = { share: 0.6, withinMs: 40_000 };
  const again = world.network.maybeDuplicate.bind(world.network);
  let reports = 0;
  world.network.maybeDuplicate = (deliver): void => {
    reports++;
    again(deliver);
  };
  for (let n = 0; n < 25; n++) {
    world.submit({ id: `j-${String(n)}`, tasks: 5, cores: 2 }, 4 + (n % 5) * 6);
    await world.run(3);
  }
  await world.run(100);
  expect('reports', reports > 100);
  return allDone(world);
}

/** Reports that are under way when the leader ends are held back until the next one has acted, and then arrive there. */
async function heldReports(): Promise<Violation[]> {
  const pace = paces.caalv;
  const world = new Meeting({ zones: ['a'], nodes: ['a', 'a'], ...pace, initial: [some(10)] });
  await world.begin();
  const [part = ''] = world.ledShards(0);
  for (let n = 0; n < 5; n++) world.submit({ id: `j-${String(n)}`, tasks: 8, cores: 2 }, 20 + 15 * n);
  await world.run(6);
  let held = 0;
  for (let round = 0; round < 3; round++) {
    const hosts = new Set([...world.workers.values()].filter((_, n) => n % 3 === round).map((w) => w.host));
    // Under way to the next one; held until it has asked everybody else, begun tasks, or lost the machine.
    const heal = world.network.startPartition('hold', (x, y) => hosts.has(x) && y.name === 'node-1');
    world.killController(0);
    await world.until('a new leader', () => world.ownerOf(part) === 1, 15);
    await world.run([4, 12, pace.leaseS + 3][round] ?? 4);
    held += hosts.size;
    heal();
    await world.run(4);
    world.startController(0, 50);
    await world.run(15);
  }
  expect('reports held', held > 0);
  await world.run(150);
  return allDone(world);
}

export const reportStories: Record<string, Story> = {
  'old reports reach every controller as a new leader begins': oldReports,
  'copies of reports come after newer ones': lateCopies,
  'reports held back until a new leader has acted': heldReports,
};
