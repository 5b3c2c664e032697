import type { Violation } from '../src/invariant-checker.ts';
import { Meeting, paces } from './refused-leader.ts';
import { allDone, expect, type Story } from './story.ts';
import { smallType } from './world.ts';

const some = (count: number, zone = 'a'): { type: string; zone: string; spot: boolean; count: number } => ({
  type: 'small',
  zone,
  spot: false,
  count,
});

/**
 * Some machines reach no controller, for longer than several leases, while direct commands reach them: what is begun there
 * is killed with the next lease. Work longer than a lease, as much as the others hold, is done by the others.
 */
export async function muteMachines(
  leaderEnds: boolean,
): Promise<{ broken: Violation[]; done: number; lost: number }> {
  const pace = paces.matkaturva;
  const world = new Meeting({ zones: ['a'], nodes: ['a', 'a'], ...pace, initial: [some(12)] });
  await world.begin();
  const mute = new Set([...world.workers.values()].filter((_, n) => n % 2 === 0).map((w) => w.host));
  const heal = world.network.hangCalls((a, b) => mute.has(a) && b.kind === 'node');
  await world.run(pace.leaseS);
  if (leaderEnds) {
    world.killController(0);
    await world.run(6);
    world.startController(0, 50);
  }
  for (let n = 0; n < 12; n++) {
    world.submit({ id: `j-${String(n)}`, tasks: 4, cores: 2 }, pace.leaseS + 6);
    await world.run(2);
  }
  await world.run(12 * 4);
  const lost = world.lostEpochs;
  await world.run(90);
  const ids = [...world.workload.keys()];
  const done = ids.filter((id) => world.checker.finalState(id) === 'done').length;
  if (done < ids.length)
    world.checker.reportViolation(
      'unserved',
      [done, ids.length],
      `${String(done)} of ${String(ids.length)} jobs`,
    );
  heal();
  await world.run(60);
  for (const id of ids)
    if (world.checker.finalState(id) !== 'done') world.checker.reportViolation('stuck', [id], id);
  return { broken: world.checker.violations, done, lost };
}

/**
 * New machines are up within two seconds and are wanted at once, while the records of machines are written seconds late, and
 * the leader ends: what the next owner has never heard of may run nothing.
 */
async function quickMachines(second: (world: Meeting) => void): Promise<Violation[]> {
  const broken: Violation[] = [];
  for (const node of [0, 1, 2]) broken.push(...(await quickMachinesOf(node, second)));
  return broken;
}

async function quickMachinesOf(leader: number, second: (world: Meeting) => void): Promise<Violation[]> {
  const spec = { ...smallType, bootS: 1.5 };
  const world = new Meeting(
    {
      zones: ['a'],
      nodes: ['a', 'a', 'a'],
      ...paces.matkaturva,
      types: [spec],
      capacity: [{ type: 'small', zone: 'a', ordinary: 40, spot: 40 }],
      initial: [some(3)],
    },
    undefined,
    leader + 1,
  );
  await world.begin();
  for (let n = 0; n < 8; n++) world.submit({ id: `j-${String(n)}`, tasks: 10, cores: 4, imageGb: 0.01 }, 25);
  // Accepted in time; what is written from now on is late.
  await world.run(0.2);
  world.store.lateWriteShare = 0.8;
  const unrecorded = (): number => {
    const recorded = new Set(world.parts.flatMap((part) => world.machinesOf(part)));
    return [...world.workers.keys()].filter((id) => !recorded.has(id)).length;
  };
  await world.until('new machines up', () => unrecorded() > 5, 10, 50);
  await world.run(1.5);
  expect('machines up and not recorded as the leader ends', unrecorded() > 0);
  // Some of them hear nobody of what follows, so that the next owner can learn of them from records alone.
  const [part = ''] = world.ledShards(leader);
  const mute = world.network.startPartition(
    'drop',
    (x, y) => x.kind === 'worker' && y.kind === 'node' && Number(x.name.slice(-1)) < 5,
  );
  const token = world.tokenOf(part);
  world.killController(leader);
  second(world);
  // By another, or by its own next process.
  await world.until('taken over', () => world.tokenOf(part) > token, 40);
  await world.run(6);
  world.store.lateWriteShare = 0;
  await world.run(6);
  mute();
  world.startController(leader, 50);
  await world.run(150);
  return allDone(world);
}

/**
 * Every team is at its limit, with more that waits, while jobs are cancelled whose machines are cut off or hang, and the
 * leader changes in that spell; then the machines go on, and the leader changes back.
 */
async function atTheLimit(how: 'cut' | 'hang', second: (world: Meeting) => void): Promise<Violation[]> {
  const pace = paces.caalv;
  const teams = ['red', 'green', 'blue'].map((name) => ({ name, cores: 8, maxCores: 24 }));
  const world = new Meeting({ zones: ['a'], nodes: ['a', 'a'], ...pace, initial: [some(16)], teams });
  await world.begin();
  for (const [t, { name: team }] of teams.entries())
    for (let n = 0; n < 4; n++)
      world.submit({ id: `j-${String(10 * t + n)}`, team, tasks: 12, cores: 2 }, n < 1 ? 400 : 40);
  const full = (): boolean => teams.every(({ name }) => world.checker.usedCores(name) === 24);
  await world.until('every team at its limit', full, 90);
  await world.run(3);
  const running = [...world.workload.keys()].filter((id) => world.checker.runningTasks(id).length > 0);
  const theirs = [...world.workers.values()].filter((w) => w.jobIds().length > 0).slice(0, 8);
  const hosts = new Set(theirs.map((w) => w.host));
  const heal =
    how === 'cut'
      ? world.network.startPartition('hold', (x, y) => hosts.has(x) && y.kind === 'node')
      : (): void => {};
  if (how === 'hang') for (const host of hosts) host.clock.frozenUntil = world.time.now + 25_000;
  await world.run(0.3);
  for (const id of running.slice(0, 5)) void world.users.cancelIfAccepted(id);
  await world.run(0.5);
  expect(
    'tasks of cancelled jobs on machines',
    running.slice(0, 5).some((id) => world.checker.runningTasks(id).length > 0),
  );
  world.killController(0);
  second(world);
  await world.run(8);
  world.startController(0, 50);
  await world.run(20);
  heal();
  await world.run(30);
  world.killController(1);
  await world.run(6);
  world.startController(1, 50);
  await world.run(120);
  const used = teams.map(({ name }) => world.checker.usedCores(name));
  expect(
    `tasks again after it (${used.join(' ')})`,
    used.some((cores) => cores > 0) || world.checker.completed > 0,
  );
  return world.checker.violations;
}

/** A zone with workers and a controller is cut off for longer than a lease; jobs bound to a zone, spread ones, and others. */
async function zoneCut(mode: 'drop' | 'hold'): Promise<Violation[]> {
  const pace = paces.matkaturva;
  const zones = ['a', 'b', 'c'];
  const world = new Meeting({
    zones,
    nodes: [...zones, 'a'],
    ...pace,
    initial: zones.map((zone) => some(8, zone)),
  });
  await world.begin();
  const rules = [{}, { oneZone: true }, { spread: true }, { zone: 'a' }];
  for (let n = 0; n < 12; n++)
    world.submit({ id: `j-${String(n)}`, tasks: 6, cores: 2, ...rules[n % 4] }, 10 + 6 * n);
  await world.run(4);
  const heal = world.network.startPartition(
    mode,
    (x, y) => x.zone === 'a' && y.zone !== 'a' && y.kind !== 'users',
  );
  await world.run(2);
  for (const id of ['j-0', 'j-1', 'j-3', 'j-7']) void world.users.cancelIfAccepted(id);
  await world.run(pace.leaseS + pace.cancelS);
  heal();
  await world.run(240);
  return allDone(world);
}

/** The leader changes ten times in two minutes, also inside an outage, and once all are away for longer than a lease. */
async function manyLeaders(outage: boolean): Promise<Violation[]> {
  const pace = paces.matkaturva;
  const world = new Meeting({ zones: ['a'], nodes: ['a', 'a', 'a'], ...pace, initial: [some(10)] });
  await world.begin();
  for (let n = 0; n < 12; n++) world.submit({ id: `j-${String(n)}`, tasks: 5, cores: 2 }, 8 + 9 * n);
  await world.run(6);
  const owners: number[] = [];
  for (let change = 0; change < 10; change++) {
    if (outage && (change === 4 || change === 7)) world.store.setOutage(change === 4);
    world.killController(change % 3);
    if (change % 4 === 1) void world.users.cancelIfAccepted(`j-${String(change)}`);
    await world.run(change % 2 === 0 ? 0.2 : 6);
    world.startController(change % 3, 50);
    await world.run(change % 2 === 0 ? 11.8 : 6);
    owners.push(...world.parts.map((part) => world.ownerOf(part)));
  }
  expect('several owners', new Set(owners).size > 1);
  for (const node of [0, 1, 2]) world.killController(node);
  await world.run(pace.leaseS + 5);
  for (const node of [2, 0, 1]) world.startController(node, 300 * node);
  await world.run(240);
  return allDone(world);
}

/** Controllers hand over and back, all end, and one returns, within a second. */
async function allEndOneReturns(): Promise<Violation[]> {
  const zones = ['a', 'b', 'c'];
  const world = new Meeting({
    zones,
    nodes: zones,
    ...paces.caalv,
    initial: zones.map((zone) => some(4, zone)),
  });
  await world.begin();
  for (let n = 0; n < 9; n++) world.submit({ id: `j-${String(n)}`, tasks: 6, cores: 2 }, 15 + 8 * n);
  await world.run(5);
  const [part = ''] = world.ledShards(0);
  let handed = 0;
  for (let round = 0; round < 3; round++) {
    // The first is gone for so long that it is taken over, and then handed its part back.
    world.killController(0);
    await world.until('taken over', () => world.ownerOf(part) !== 0, 20);
    world.startController(0, 50);
    await world.until('handed back', () => world.ownerOf(part) === 0, 60, 20);
    handed++;
    await world.run([0, 0.1, 0.6][round] ?? 0);
    for (const node of [0, 1, 2]) world.killController(node);
    await world.run(0.3);
    world.startController(round, 50);
    await world.run(12);
    for (const node of [0, 1, 2]) world.startController(node, 50);
    await world.run(10);
  }
  expect('handed over and back', handed === 3);
  await world.run(150);
  return allDone(world);
}

/** There is more work than room, urgent and not, over slow links: every class begins, and what is cancelled is gone. */
async function moreThanRoom(): Promise<Violation[]> {
  const world = new Meeting({
    zones: ['a'],
    nodes: ['a', 'a', 'a'],
    ...paces.matkaturva,
    initial: [some(8)],
  });
  await world.begin();
  world.network.delayedCommandShare = 0.3;
  world.store.extraLatencyMs = 400;
  const classes = ['urgent', 'standard', 'low'];
  for (let n = 0; n < 90; n++) {
    const id = `j-${String(n)}`;
    const priority = 1 + (n % 3);
    world.submit({ id, class: classes[n % 3] ?? '', priority, tasks: 4, cores: 2, estimateS: 10 }, 10);
    if (n % 5 === 0) world.time.after(6000, () => void world.users.cancelIfAccepted(id));
    await world.run(1);
  }
  expect(
    'more than room',
    [...world.workload.values()].filter(({ results }) => results.size === 0).length > 20,
  );
  world.network.delayedCommandShare = 0;
  world.store.extraLatencyMs = 0;
  await world.run(260);
  return allDone(world);
}

const backAtOnce = (world: Meeting): void => {
  world.killController(1);
  world.time.after(180, () => world.startController(1, 20));
};
const lateWrites = (world: Meeting): void => {
  world.store.lateWriteShare = 0.4;
  world.time.after(12_000, () => (world.store.lateWriteShare = 0));
};

export const machineStories: Record<string, Story> = {
  'machines that reach no controller': async () => (await muteMachines(false)).broken,
  'new machines up within two seconds while writes lag, and the leader ends': () => quickMachines(() => {}),
  'new machines up within two seconds, and the next leader is back within 0.2 s': () =>
    quickMachines(backAtOnce),
  'every team at its limit, cancelled jobs on machines cut off': () => atTheLimit('cut', () => {}),
  'every team at its limit, cancelled jobs on machines that hang': () => atTheLimit('hang', () => {}),
  'every team at its limit, machines cut off, and a process back within 0.2 s': () =>
    atTheLimit('cut', backAtOnce),
  'every team at its limit, machines that hang, and late writes': () => atTheLimit('hang', lateWrites),
  'a zone cut off for longer than a lease': () => zoneCut('drop'),
  'a zone cut off for longer than a lease, packets held': () => zoneCut('hold'),
  'ten changes of leader in two minutes, all controllers away for a lease': () => manyLeaders(false),
  'ten changes of leader in two minutes, also inside an outage': () => manyLeaders(true),
  'hand over and back, all end, one returns': allEndOneReturns,
  'more work than room over slow links': moreThanRoom,
  'machines that reach no controller, and the leader ends': async () => (await muteMachines(true)).broken,
};
