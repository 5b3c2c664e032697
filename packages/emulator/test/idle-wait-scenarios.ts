import { IdleWaitChecker } from '../src/idle-wait-checker.ts';
import type { Violation } from '../src/invariant-checker.ts';
import { ScenarioCluster } from './refused-leader.ts';
import { requirePrecondition, type ScriptedScenario } from './scripted-scenario.ts';

const longRunS = 1000;

/** Seconds that a story looks for waits beside room: what a wait may last, and a while more. */
const OBSERVATION_S = 130;

/** All troubles are over: nobody waits for 90 s beside room. */
async function idleWaitViolations(cluster: ScenarioCluster, seconds = OBSERVATION_S): Promise<Violation[]> {
  const limits = new Map(cluster.deployment.teams.map((team) => [team.name, team.maxCores]));
  const idleWaits = new IdleWaitChecker(cluster.checker, cluster.workload, limits);
  for (let elapsedS = 0; elapsedS < seconds; elapsedS++) {
    idleWaits.check(cluster.time.now, cluster.workers.values());
    await cluster.run(1);
  }
  return cluster.checker.violations;
}

const smallMachines = (
  zone: string,
  count: number,
): { type: string; zone: string; spot: boolean; count: number } => ({
  type: 'small',
  zone,
  spot: false,
  count,
});

const startedOf = (cluster: ScenarioCluster, id: string): number =>
  cluster.checker.runningTasks(id).length + (cluster.workload.get(id)?.results.size ?? 0);

/**
 * A zone of two parts: the machines of one are full of long tasks, those of the other half full, none idle. What waits at
 * the full one runs beside the others.
 */
async function pendingTasksOfFullShard(): Promise<Violation[]> {
  const cluster = new ScenarioCluster({ zones: ['a'], nodes: ['a', 'a'], initial: [smallMachines('a', 8)] });
  await cluster.begin();
  // Every machine has a long task of 5 CPUs, and 3 left.
  cluster.submit({ id: 'j-1', tasks: 8, cores: 5 }, longRunS);
  await cluster.until('long tasks everywhere', () => cluster.checker.runningTasks('j-1').length === 8, 40);
  cluster.submit({ id: 'j-2', tasks: 8, cores: 3 }, longRunS);
  await cluster.until('full', () => cluster.checker.runningTasks('j-2').length === 8, 60);
  // One part's machines have room again, and all of the other's are full.
  const [shard = ''] = cluster.ledShards(0);
  const recorded = cluster.machinesOf(shard);
  const fullShardWorkers = [...cluster.workers.values()].filter((w) => recorded.includes(w.id));
  const fullShardSize = fullShardWorkers.length;
  requirePrecondition('machines in both parts', fullShardSize > 0 && fullShardSize < 8);
  const jobs = ['j-3', 'j-4', 'j-5', 'j-6'];
  for (const id of jobs) cluster.submit({ id, tasks: 1, cores: 3 }, longRunS);
  await cluster.run(5);
  requirePrecondition(
    'all wait',
    jobs.every((id) => startedOf(cluster, id) === 0),
  );
  // The other part's small tasks end, so that its machines have room, and none is idle.
  for (const worker of cluster.workers.values())
    if (!fullShardWorkers.includes(worker)) worker.completeTasks((task) => task.startsWith('j-2/'));
  return idleWaitViolations(cluster);
}

/** Jobs bound to one zone lose all its machines, and the cloud has none for it: they run where there is room. */
async function zoneLost(
  spec: { oneZone?: boolean; spread?: boolean },
  zones = ['a', 'b', 'c'],
): Promise<Violation[]> {
  // Two parts in each zone, so that none of their owners sees all of a job's tasks there.
  const initial = zones.map((zone) => smallMachines(zone, 6));
  const cluster = new ScenarioCluster({ zones, nodes: [...zones, ...zones], initial });
  await cluster.begin();
  const ids = Array.from({ length: 6 }, (_, n) => `j-${String(n)}`);
  for (const id of ids) {
    cluster.submit({ id, tasks: 4, cores: 2, ...spec }, 60);
    await cluster.run(0.5);
  }
  await cluster.until('running', () => ids.some((id) => cluster.checker.runningTasks(id).length > 0), 30);
  for (const worker of [...cluster.workers.values()])
    if (worker.machine.zone === 'a') cluster.cloud.crash(worker.id);
  await cluster.run(40);
  const violations = await idleWaitViolations(cluster, 300);
  // Of two zones the one left may have half of a spread job's tasks.
  const startable = spec.spread && zones.length === 2 ? 2 : 4;
  for (const id of ids)
    if (startedOf(cluster, id) < startable) cluster.checker.reportViolation('stuck', [id], id);
  return violations;
}

/**
 * Jobs whose zone has room for a part of them only, with long tasks there, while another zone stands idle: what waits may
 * not run there as long as the others run where they are.
 */
async function zonePartlyFull(spec: { oneZone?: boolean; spread?: boolean }): Promise<Violation[]> {
  const zones = ['a', 'b'];
  const cluster = new ScenarioCluster({
    zones,
    nodes: zones,
    initial: zones.map((zone) => smallMachines(zone, 2)),
  });
  await cluster.begin();
  const ids = Array.from({ length: 4 }, (_, n) => `j-${String(n)}`);
  for (const id of ids) cluster.submit({ id, tasks: 6, cores: 3, ...spec }, 70);
  const tasksIn = (zone: string): number =>
    [...cluster.workers.values()]
      .filter((w) => w.machine.zone === zone)
      .reduce((n, w) => n + w.jobIds().length, 0);
  await cluster.until('both zones full', () => tasksIn('a') === 4 && tasksIn('b') === 4, 30);
  await cluster.run(20);
  // Zone b is empty at once, while jobs in zone a have tasks that run and tasks that wait.
  for (const worker of cluster.workers.values())
    if (worker.machine.zone === 'b') worker.completeTasks(() => true);
  requirePrecondition(
    'some run and some wait',
    ids.some((id) => cluster.checker.runningTasks(id).length > 0 && startedOf(cluster, id) < 6),
  );
  return idleWaitViolations(cluster, 500);
}

/** Spread jobs whose only zone is one of two, or that ask for one: half of an array runs at a time, a service never can. */
async function spreadInOneZone(): Promise<Violation[]> {
  const zones = ['a', 'b'];
  const initial = zones.map((zone) => smallMachines(zone, 6));
  const cluster = new ScenarioCluster({ zones, nodes: ['a', 'b', 'a'], initial });
  await cluster.begin();
  const spread = { spread: true, cores: 2, tasks: 5 };
  cluster.submit({ ...spread, id: 'j-1', zone: 'a' }, 12);
  cluster.submit({ ...spread, id: 'j-2', oneZone: true }, 12);
  cluster.submit({ ...spread, id: 'j-3', zone: 'a', tasks: 1 }, 12);
  cluster.submit({ ...spread, id: 'j-4', zone: 'a', kind: 'service' }, longRunS);
  cluster.submit({ ...spread, id: 'j-5', oneZone: true, kind: 'service' }, longRunS);
  cluster.submit({ ...spread, id: 'j-6', kind: 'service' }, longRunS);
  await cluster.run(8);
  cluster.killController(0);
  await cluster.run(6);
  cluster.startController(0, 50);
  const violations = await idleWaitViolations(cluster, 100);
  for (const id of ['j-1', 'j-2', 'j-3'])
    if (cluster.checker.finalState(id) !== 'done') cluster.checker.reportViolation('stuck', [id], id);
  for (const id of ['j-4', 'j-5'])
    if (!cluster.checker.isRefused(id))
      cluster.checker.reportViolation('wrongly_accepted', [id], `${id} can never run`);
  if (startedOf(cluster, 'j-6') < 5) cluster.checker.reportViolation('stuck', ['j-6'], 'j-6');
  return violations;
}

/** Five parts, a team whose limit is a few tasks, in one zone with room for many: its waits take turns. */
async function limitInFiveShards(): Promise<Violation[]> {
  const cluster = new ScenarioCluster({
    zones: ['a'],
    nodes: ['a', 'a', 'a', 'a', 'a'],
    initial: [smallMachines('a', 20)],
    teams: [{ name: 'red', cores: 8, maxCores: 8 }],
  });
  await cluster.begin();
  for (let n = 0; n < 25; n++) cluster.submit({ id: `j-${String(n)}`, tasks: 1, cores: 7 }, 6);
  return idleWaitViolations(cluster, 400);
}

/**
 * Five parts; what a team has left of its limit is too little for the large tasks that wait in all of them, and enough for
 * the small one that waits in one: its turn to be given what is left comes in time, whichever part it is in.
 */
async function smallTaskBesideLargeOnes(seed: number): Promise<Violation[]> {
  const cluster = new ScenarioCluster(
    {
      zones: ['a'],
      nodes: ['a', 'a', 'a', 'a', 'a'],
      initial: [smallMachines('a', 40)],
      teams: [{ name: 'red', cores: 8, maxCores: 11 }],
    },
    undefined,
    seed,
  );
  await cluster.begin();
  cluster.submit({ id: 'j-0', tasks: 1, cores: 8 }, longRunS);
  await cluster.until('the limit is used', () => cluster.checker.runningTasks('j-0').length === 1, 120);
  for (let n = 1; n <= 20; n++) cluster.submit({ id: `j-${String(n)}`, tasks: 1, cores: 8 }, longRunS);
  await cluster.run(40);
  cluster.submit({ id: 'j-21', tasks: 1, cores: 2 }, longRunS);
  return idleWaitViolations(cluster, 150);
}

export const idleWaitScenarios: Record<string, ScriptedScenario> = {
  'a part full of long tasks, beside one with room on machines that are not idle': pendingTasksOfFullShard,
  'jobs in one zone that loses all its machines': () => zoneLost({ oneZone: true }),
  'jobs spread over zones of which one loses all its machines': () => zoneLost({ spread: true }),
  'jobs spread over two zones of which one loses all its machines': () =>
    zoneLost({ spread: true }, ['a', 'b']),
  'jobs in one zone with room for a part of them, beside an idle zone': () =>
    zonePartlyFull({ oneZone: true }),
  'jobs spread over two zones, beside an idle one': () => zonePartlyFull({ spread: true }),
  'spread jobs that have one zone only': spreadInOneZone,
  'arrays in a zone that loses all its machines': () => zoneLost({}),
  ...Object.fromEntries(
    [1, 2, 3].map((seed): [string, ScriptedScenario] => [
      `a small task beside large ones at a limit, in five parts, ${String(seed)}`,
      () => smallTaskBesideLargeOnes(seed),
    ]),
  ),
  'a team’s limit of one task in five parts': limitInFiveShards,
};
