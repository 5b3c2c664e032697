import { IdleWaitChecker } from '../src/idle-wait-checker.ts';
import type { Violation } from '../src/invariant-rules.ts';
import { ScenarioCluster } from './refused-leader.ts';
import { requirePrecondition, type ScriptedScenario } from './scripted-scenario.ts';
import { smallMachines } from './test-cluster.ts';

const longRunS = 1000;

/** Seconds of observation for idle waits: longer than the 90 s that a wait may last. */
const OBSERVATION_S = 130;

/** Observes the cluster after all faults are over. No task may stay pending for 90 s beside free capacity. */
async function idleWaitViolations(cluster: ScenarioCluster, seconds = OBSERVATION_S): Promise<Violation[]> {
  const limits = new Map(cluster.deployment.teams.map((team) => [team.name, team.maxCores]));
  const idleWaits = new IdleWaitChecker(cluster.checker, cluster.workload, limits);
  for (let elapsedS = 0; elapsedS < seconds; elapsedS++) {
    idleWaits.check(cluster.time.now, cluster.workers.values());
    await cluster.run(1);
  }
  return cluster.checker.violations;
}

/** The number of the job's tasks that run or have a result. */
const startedOf = (cluster: ScenarioCluster, id: string): number =>
  cluster.checker.runningTasks(id).length + (cluster.workload.get(id)?.results.size ?? 0);

/**
 * A zone of two shards. The machines of one shard are full of long tasks, those of the other have free
 * capacity but are not idle. Pending tasks of the full shard must run in the other one.
 */
async function pendingTasksOfFullShard(): Promise<Violation[]> {
  const cluster = new ScenarioCluster({ zones: ['a'], nodes: ['a', 'a'], initial: [smallMachines(8)] });
  await cluster.begin();
  // Every machine has a long task of 5 CPUs, and 3 free CPUs.
  cluster.submit({ id: 'j-1', tasks: 8, cores: 5 }, longRunS);
  await cluster.until(
    'every machine has a long task',
    () => cluster.checker.runningTasks('j-1').length === 8,
    40,
  );
  cluster.submit({ id: 'j-2', tasks: 8, cores: 3 }, longRunS);
  await cluster.until('all machines are full', () => cluster.checker.runningTasks('j-2').length === 8, 60);
  // This shard stays full. The machines of the other shard get free capacity below.
  const [shard = ''] = cluster.ledShards(0);
  const recorded = cluster.machinesOf(shard);
  const fullShardWorkers = [...cluster.workers.values()].filter((w) => recorded.includes(w.id));
  const fullShardSize = fullShardWorkers.length;
  requirePrecondition('machines in both shards', fullShardSize > 0 && fullShardSize < 8);
  const jobs = ['j-3', 'j-4', 'j-5', 'j-6'];
  for (const id of jobs) cluster.submit({ id, tasks: 1, cores: 3 }, longRunS);
  await cluster.run(5);
  requirePrecondition(
    'all small jobs are pending',
    jobs.every((id) => startedOf(cluster, id) === 0),
  );
  // The other shard's small tasks complete, so its machines have free capacity, and none is idle.
  for (const worker of cluster.workers.values())
    if (!fullShardWorkers.includes(worker)) worker.completeTasks((task) => task.startsWith('j-2/'));
  return idleWaitViolations(cluster);
}

/**
 * A zone loses all its machines and the cloud has none to replace them. Its jobs must run in zones
 * with free capacity.
 */
async function zoneLost(
  spec: { oneZone?: boolean; spread?: boolean },
  zones = ['a', 'b', 'c'],
): Promise<Violation[]> {
  // Two shards in each zone, so that neither leader sees all of a job's tasks there.
  const initial = zones.map((zone) => smallMachines(6, zone));
  const cluster = new ScenarioCluster({ zones, nodes: [...zones, ...zones], initial });
  await cluster.begin();
  const ids = Array.from({ length: 6 }, (_, n) => `j-${String(n)}`);
  for (const id of ids) {
    cluster.submit({ id, tasks: 4, cores: 2, ...spec }, 60);
    await cluster.run(0.5);
  }
  await cluster.until(
    'some tasks run',
    () => ids.some((id) => cluster.checker.runningTasks(id).length > 0),
    30,
  );
  for (const worker of [...cluster.workers.values()])
    if (worker.machine.zone === 'a') cluster.cloud.crash(worker.id);
  await cluster.run(40);
  const violations = await idleWaitViolations(cluster, 300);
  // Of two zones, the remaining one may run half of a spread job's tasks.
  const startable = spec.spread && zones.length === 2 ? 2 : 4;
  for (const id of ids)
    if (startedOf(cluster, id) < startable) cluster.checker.reportViolation('stuck', [id], id);
  return violations;
}

/**
 * A zone has capacity for only some tasks of its jobs, while another zone is idle. Pending tasks of a
 * one-zone job must not run in the idle zone as long as other tasks of the job run in the first one. Those of
 * a spread job may, up to half of the job's tasks.
 */
async function zonePartlyFull(spec: { oneZone?: boolean; spread?: boolean }): Promise<Violation[]> {
  const zones = ['a', 'b'];
  const cluster = new ScenarioCluster({
    zones,
    nodes: zones,
    initial: zones.map((zone) => smallMachines(2, zone)),
  });
  await cluster.begin();
  const ids = Array.from({ length: 4 }, (_, n) => `j-${String(n)}`);
  for (const id of ids) cluster.submit({ id, tasks: 6, cores: 3, ...spec }, 70);
  const tasksIn = (zone: string): number =>
    [...cluster.workers.values()]
      .filter((w) => w.machine.zone === zone)
      .reduce((n, w) => n + w.jobIds().length, 0);
  await cluster.until('both zones are full', () => tasksIn('a') === 4 && tasksIn('b') === 4, 30);
  await cluster.run(20);
  // All tasks in zone b complete, while jobs in zone a have both running and pending tasks.
  for (const worker of cluster.workers.values())
    if (worker.machine.zone === 'b') worker.completeTasks(() => true);
  requirePrecondition(
    'a job with running and pending tasks',
    ids.some((id) => cluster.checker.runningTasks(id).length > 0 && startedOf(cluster, id) < 6),
  );
  return idleWaitViolations(cluster, 500);
}

/**
 * Spread jobs confined to one of two zones: half of a batch job's tasks run at a time. A service can never
 * run and must be rejected. The service j-6 is not confined and must run.
 */
async function spreadInOneZone(): Promise<Violation[]> {
  const zones = ['a', 'b'];
  const initial = zones.map((zone) => smallMachines(6, zone));
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

/**
 * Five shards in one zone with capacity for many tasks, and a team limit of one task. The shards must take
 * turns.
 */
async function limitInFiveShards(): Promise<Violation[]> {
  const cluster = new ScenarioCluster({
    zones: ['a'],
    nodes: ['a', 'a', 'a', 'a', 'a'],
    initial: [smallMachines(20)],
    teams: [{ name: 'red', cores: 8, maxCores: 8 }],
  });
  await cluster.begin();
  for (let n = 0; n < 25; n++) cluster.submit({ id: `j-${String(n)}`, tasks: 1, cores: 7 }, 6);
  return idleWaitViolations(cluster, 400);
}

/**
 * Five shards. The rest of a team's limit is too small for the large pending tasks in all shards, but enough
 * for the one small task in one of them. That shard must receive the rest of the quota in time, whichever
 * shard it is.
 */
async function smallTaskBesideLargeOnes(seed: number): Promise<Violation[]> {
  const cluster = new ScenarioCluster(
    {
      zones: ['a'],
      nodes: ['a', 'a', 'a', 'a', 'a'],
      initial: [smallMachines(40)],
      teams: [{ name: 'red', cores: 8, maxCores: 11 }],
    },
    undefined,
    seed,
  );
  await cluster.begin();
  cluster.submit({ id: 'j-0', tasks: 1, cores: 8 }, longRunS);
  await cluster.until(
    'the first large task runs',
    () => cluster.checker.runningTasks('j-0').length === 1,
    120,
  );
  for (let n = 1; n <= 20; n++) cluster.submit({ id: `j-${String(n)}`, tasks: 1, cores: 8 }, longRunS);
  await cluster.run(40);
  cluster.submit({ id: 'j-21', tasks: 1, cores: 2 }, longRunS);
  return idleWaitViolations(cluster, 150);
}

/**
 * Five shards, and a team near its limit: a task of 8 CPUs runs, the rest of 3 CPUs is too small for any of the
 * other large tasks.
 */
async function startNearLimit(seed: number, teams: string[] = []): Promise<ScenarioCluster> {
  const shards = 5;
  const cluster = new ScenarioCluster(
    {
      zones: ['a'],
      nodes: Array.from({ length: shards }, () => 'a'),
      initial: [smallMachines(4 * shards), { type: 'large', zone: 'a', spot: false, count: 1 }],
      teams: [
        { name: 'red', cores: 8, maxCores: 11 },
        ...teams.map((name) => ({ name, cores: 8, maxCores: 0 })),
      ],
    },
    undefined,
    seed,
  );
  await cluster.begin();
  const isFirstRunning = (): boolean => cluster.checker.runningTasks('j-0').length === 1;
  cluster.submit({ id: 'j-0', tasks: 1, cores: 8, types: ['small'] }, longRunS);
  await cluster.until('the first large task runs', isFirstRunning, 120);
  return cluster;
}

/** Submits large tasks that stay pending in all shards, since their team's rest is too small for them. */
async function submitLargeTasks(cluster: ScenarioCluster): Promise<void> {
  for (let n = 1; n <= 20; n++)
    cluster.submit({ id: `j-${String(n)}`, tasks: 1, cores: 8, types: ['small'] }, longRunS);
  await cluster.run(40);
}

/**
 * Guards against `idle_wait` of seed 1, run 57 of `storm`: a shard has no machine that a job is allowed on, and
 * its share of the team's quota goes back and forth. Another shard has an idle machine for the job, and the
 * rest of the quota suffices for its tasks. They must migrate in time.
 */
async function noMachineAndNoQuota(seed: number): Promise<Violation[]> {
  const cluster = await startNearLimit(seed);
  await submitLargeTasks(cluster);
  const job = 'j-1000';
  cluster.submit({ id: job, tasks: 3, cores: 1, types: ['large'] }, longRunS);
  await cluster.run(1);
  const large = [...cluster.workers.values()].find((worker) => worker.machine.type.name === 'large');
  const withoutMachine = cluster
    .slicesOf(job)
    .filter(({ part, count }) => count > 0 && !cluster.machinesOf(part).includes(large?.id ?? ''));
  requirePrecondition('tasks in a shard without a machine for them', withoutMachine.length > 0);
  return idleWaitViolations(cluster, 150);
}

/**
 * The machines of all shards but one are full instead of missing: they run long tasks of another team.
 */
async function noRoomAndNoQuota(seed: number): Promise<Violation[]> {
  const cluster = await startNearLimit(seed, ['blue']);
  cluster.submit({ id: 'j-500', team: 'blue', tasks: 19, cores: 8, types: ['small'] }, longRunS);
  const areAllFull = (): boolean => cluster.checker.runningTasks('j-500').length === 19;
  await cluster.until('all small machines are full', areAllFull, 90);
  await submitLargeTasks(cluster);
  const job = 'j-1000';
  cluster.submit({ id: job, tasks: 5, cores: 0.5, types: ['small'] }, longRunS);
  await cluster.run(5);
  const [freed = ''] = cluster.shards.filter((shard) => cluster.machinesOf(shard).length >= 3);
  const machines = cluster.machinesOf(freed);
  for (const id of machines) cluster.workers.get(id)?.completeTasks((task) => task.startsWith('j-500/'));
  await cluster.run(1);
  const inFullShards = cluster.slicesOf(job).filter(({ part, count }) => count > 0 && part !== freed);
  requirePrecondition('tasks in shards without room', inFullShards.length > 0);
  requirePrecondition(
    'a shard with room',
    machines.some((id) => cluster.workers.get(id)?.freeCapacity().cores === 8),
  );
  return idleWaitViolations(cluster, 150);
}

export const idleWaitScenarios: Record<string, ScriptedScenario> = {
  'a shard full of long tasks, next to one with free capacity on busy machines': pendingTasksOfFullShard,
  'one-zone jobs whose zone loses all its machines': () => zoneLost({ oneZone: true }),
  'jobs spread over three zones, one of which loses all its machines': () => zoneLost({ spread: true }),
  'jobs spread over two zones, one of which loses all its machines': () =>
    zoneLost({ spread: true }, ['a', 'b']),
  'one-zone jobs in a zone that can run only some of their tasks, next to an idle zone': () =>
    zonePartlyFull({ oneZone: true }),
  'jobs spread over two zones, one of which becomes idle': () => zonePartlyFull({ spread: true }),
  'spread jobs confined to one zone': spreadInOneZone,
  'batch jobs in a zone that loses all its machines': () => zoneLost({}),
  ...Object.fromEntries(
    [1, 2, 3].map((seed): [string, ScriptedScenario] => [
      `a small task and large ones below a team limit, in five shards, seed ${String(seed)}`,
      () => smallTaskBesideLargeOnes(seed),
    ]),
  ),
  'a team limit of one task in five shards': limitInFiveShards,
  ...Object.fromEntries(
    [1, 2, 3].map((seed): [string, ScriptedScenario] => [
      `tasks without a machine in their shard, their team near its limit, seed ${String(seed)}`,
      () => noMachineAndNoQuota(seed),
    ]),
  ),
  'tasks without room in their shard, their team near its limit': () => noRoomAndNoQuota(1),
};
