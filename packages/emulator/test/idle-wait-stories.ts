import { IdleWaitChecker } from '../src/idle-wait-checker.ts';
import type { Violation } from '../src/invariant-checker.ts';
import { Meeting } from './refused-leader.ts';
import { expect, type Story } from './story.ts';

const long = 1000;

/** Seconds that a story looks for waits beside room: what a wait may last, and a while more. */
const LOOK_S = 130;

/** All troubles are over: nobody waits for 90 s beside room. */
async function calm(world: Meeting, seconds = LOOK_S): Promise<Violation[]> {
  const limits = new Map(world.deployment.teams.map((team) => [team.name, team.maxCores]));
  const waits = new IdleWaitChecker(world.checker, world.workload, limits);
  for (let second = 0; second < seconds; second++) {
    waits.check(world.time.now, world.workers.values());
    await world.run(1);
  }
  return world.checker.violations;
}

const machines = (
  zone: string,
  count: number,
): { type: string; zone: string; spot: boolean; count: number } => ({
  type: 'small',
  zone,
  spot: false,
  count,
});

const startedOf = (world: Meeting, id: string): number =>
  world.checker.runningTasks(id).length + (world.workload.get(id)?.results.size ?? 0);

/**
 * A zone of two parts: the machines of one are full of long tasks, those of the other half full, none idle. What waits at
 * the full one runs beside the others.
 */
async function besideOthers(): Promise<Violation[]> {
  const world = new Meeting({ zones: ['a'], nodes: ['a', 'a'], initial: [machines('a', 8)] });
  await world.begin();
  // Every machine has a long task of 5 CPUs, and 3 left.
  world.submit({ id: 'j-1', tasks: 8, cores: 5 }, long);
  await world.until('long tasks everywhere', () => world.checker.runningTasks('j-1').length === 8, 40);
  world.submit({ id: 'j-2', tasks: 8, cores: 3 }, long);
  await world.until('full', () => world.checker.runningTasks('j-2').length === 8, 60);
  // One part's machines have room again, and all of the other's are full.
  const [part = ''] = world.ledShards(0);
  const recorded = world.machinesOf(part);
  const there = [...world.workers.values()].filter((w) => recorded.includes(w.id));
  const gone = there.length;
  expect('machines in both parts', gone > 0 && gone < 8);
  const jobs = ['j-3', 'j-4', 'j-5', 'j-6'];
  for (const id of jobs) world.submit({ id, tasks: 1, cores: 3 }, long);
  await world.run(5);
  expect(
    'all wait',
    jobs.every((id) => startedOf(world, id) === 0),
  );
  // The other part's small tasks end, so that its machines have room, and none is idle.
  for (const worker of world.workers.values())
    if (!there.includes(worker)) worker.completeTasks((task) => task.startsWith('j-2/'));
  return calm(world);
}

/** Jobs bound to one zone lose all its machines, and the cloud has none for it: they run where there is room. */
async function zoneLost(
  spec: { oneZone?: boolean; spread?: boolean },
  zones = ['a', 'b', 'c'],
): Promise<Violation[]> {
  // Two parts in each zone, so that none of their owners sees all of a job's tasks there.
  const initial = zones.map((zone) => machines(zone, 6));
  const world = new Meeting({ zones, nodes: [...zones, ...zones], initial });
  await world.begin();
  const ids = Array.from({ length: 6 }, (_, n) => `j-${String(n)}`);
  for (const id of ids) {
    world.submit({ id, tasks: 4, cores: 2, ...spec }, 60);
    await world.run(0.5);
  }
  await world.until('running', () => ids.some((id) => world.checker.runningTasks(id).length > 0), 30);
  for (const worker of [...world.workers.values()])
    if (worker.machine.zone === 'a') world.cloud.crash(worker.id);
  await world.run(40);
  const broken = await calm(world, 300);
  // Of two zones the one left may have half of a spread job's tasks.
  const most = spec.spread && zones.length === 2 ? 2 : 4;
  for (const id of ids) if (startedOf(world, id) < most) world.checker.reportViolation('stuck', [id], id);
  return broken;
}

/**
 * Jobs whose zone has room for a part of them only, with long tasks there, while another zone stands idle: what waits may
 * not run there as long as the others run where they are.
 */
async function boundPartly(spec: { oneZone?: boolean; spread?: boolean }): Promise<Violation[]> {
  const zones = ['a', 'b'];
  const world = new Meeting({ zones, nodes: zones, initial: zones.map((zone) => machines(zone, 2)) });
  await world.begin();
  const ids = Array.from({ length: 4 }, (_, n) => `j-${String(n)}`);
  for (const id of ids) world.submit({ id, tasks: 6, cores: 3, ...spec }, 70);
  const on = (zone: string): number =>
    [...world.workers.values()]
      .filter((w) => w.machine.zone === zone)
      .reduce((n, w) => n + w.jobIds().length, 0);
  await world.until('both zones full', () => on('a') === 4 && on('b') === 4, 30);
  await world.run(20);
  // Zone b is empty at once, while jobs in zone a have tasks that run and tasks that wait.
  for (const worker of world.workers.values())
    if (worker.machine.zone === 'b') worker.completeTasks(() => true);
  expect(
    'some run and some wait',
    ids.some((id) => world.checker.runningTasks(id).length > 0 && startedOf(world, id) < 6),
  );
  return calm(world, 500);
}

/** Spread jobs whose only zone is one of two, or that ask for one: half of an array runs at a time, a service never can. */
async function spreadInOneZone(): Promise<Violation[]> {
  const zones = ['a', 'b'];
  const initial = zones.map((zone) => machines(zone, 6));
  const world = new Meeting({ zones, nodes: ['a', 'b', 'a'], initial });
  await world.begin();
  const spread = { spread: true, cores: 2, tasks: 5 };
  world.submit({ ...spread, id: 'j-1', zone: 'a' }, 12);
  world.submit({ ...spread, id: 'j-2', oneZone: true }, 12);
  world.submit({ ...spread, id: 'j-3', zone: 'a', tasks: 1 }, 12);
  world.submit({ ...spread, id: 'j-4', zone: 'a', kind: 'service' }, long);
  world.submit({ ...spread, id: 'j-5', oneZone: true, kind: 'service' }, long);
  world.submit({ ...spread, id: 'j-6', kind: 'service' }, long);
  await world.run(8);
  world.killController(0);
  await world.run(6);
  world.startController(0, 50);
  const broken = await calm(world, 100);
  for (const id of ['j-1', 'j-2', 'j-3'])
    if (world.checker.finalState(id) !== 'done') world.checker.reportViolation('stuck', [id], id);
  for (const id of ['j-4', 'j-5'])
    if (!world.checker.isRefused(id))
      world.checker.reportViolation('wrongly_accepted', [id], `${id} can never run`);
  if (startedOf(world, 'j-6') < 5) world.checker.reportViolation('stuck', ['j-6'], 'j-6');
  return broken;
}

/** Five parts, a team whose limit is a few tasks, in one zone with room for many: its waits take turns. */
async function limitInFiveParts(): Promise<Violation[]> {
  const world = new Meeting({
    zones: ['a'],
    nodes: ['a', 'a', 'a', 'a', 'a'],
    initial: [machines('a', 20)],
    teams: [{ name: 'red', cores: 8, maxCores: 8 }],
  });
  await world.begin();
  for (let n = 0; n < 25; n++) world.submit({ id: `j-${String(n)}`, tasks: 1, cores: 7 }, 6);
  return calm(world, 400);
}

/**
 * Five parts; what a team has left of its limit is too little for the large tasks that wait in all of them, and enough for
 * the small one that waits in one: its turn to be given what is left comes in time, whichever part it is in.
 */
async function smallBesideLarge(seed: number): Promise<Violation[]> {
  const world = new Meeting(
    {
      zones: ['a'],
      nodes: ['a', 'a', 'a', 'a', 'a'],
      initial: [machines('a', 40)],
      teams: [{ name: 'red', cores: 8, maxCores: 11 }],
    },
    undefined,
    seed,
  );
  await world.begin();
  world.submit({ id: 'j-0', tasks: 1, cores: 8 }, long);
  await world.until('the limit is used', () => world.checker.runningTasks('j-0').length === 1, 120);
  for (let n = 1; n <= 20; n++) world.submit({ id: `j-${String(n)}`, tasks: 1, cores: 8 }, long);
  await world.run(40);
  world.submit({ id: 'j-21', tasks: 1, cores: 2 }, long);
  return calm(world, 150);
}

export const idleWaitStories: Record<string, Story> = {
  'a part full of long tasks, beside one with room on machines that are not idle': besideOthers,
  'jobs in one zone that loses all its machines': () => zoneLost({ oneZone: true }),
  'jobs spread over zones of which one loses all its machines': () => zoneLost({ spread: true }),
  'jobs spread over two zones of which one loses all its machines': () =>
    zoneLost({ spread: true }, ['a', 'b']),
  'jobs in one zone with room for a part of them, beside an idle zone': () => boundPartly({ oneZone: true }),
  'jobs spread over two zones, beside an idle one': () => boundPartly({ spread: true }),
  'spread jobs that have one zone only': spreadInOneZone,
  'arrays in a zone that loses all its machines': () => zoneLost({}),
  ...Object.fromEntries(
    [1, 2, 3].map((seed): [string, Story] => [
      `a small task beside large ones at a limit, in five parts, ${String(seed)}`,
      () => smallBesideLarge(seed),
    ]),
  ),
  'a team’s limit of one task in five parts': limitInFiveParts,
};
