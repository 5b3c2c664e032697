import type { Violation } from '../src/invariant-rules.ts';
import { ScenarioCluster, siteTimings } from './refused-leader.ts';
import {
  violationsAfterCompletion,
  requirePrecondition,
  type ScriptedScenario,
} from './scripted-scenario.ts';
import { smallMachines, smallType } from './test-cluster.ts';

/**
 * The heartbeats of half of the machines reach no controller for longer than several leases, while commands
 * reach these machines. Tasks launched there are terminated when the worker lease expires. The tasks run
 * longer than a lease and fit on the other machines, which must complete all jobs.
 */
export async function workersWithoutHeartbeats(
  leaderStops: boolean,
): Promise<{ violations: Violation[]; done: number; lostEpochs: number }> {
  const timings = siteTimings.matkaturva;
  const cluster = new ScenarioCluster({
    zones: ['a'],
    nodes: ['a', 'a'],
    ...timings,
    initial: [smallMachines(12)],
  });
  await cluster.begin();
  const isolatedHosts = new Set(
    [...cluster.workers.values()].filter((_, n) => n % 2 === 0).map((w) => w.host),
  );
  const heal = cluster.network.hangCalls((a, b) => isolatedHosts.has(a) && b.kind === 'node');
  await cluster.run(timings.leaseS);
  if (leaderStops) {
    cluster.killController(0);
    await cluster.run(6);
    cluster.startController(0, 50);
  }
  for (let n = 0; n < 12; n++) {
    cluster.submit({ id: `j-${String(n)}`, tasks: 4, cores: 2 }, timings.leaseS + 6);
    await cluster.run(2);
  }
  await cluster.run(12 * 4);
  const lostEpochs = cluster.lostEpochs;
  await cluster.run(90);
  const ids = [...cluster.workload.keys()];
  const done = ids.filter((id) => cluster.checker.finalState(id) === 'done').length;
  if (done < ids.length)
    cluster.checker.reportViolation(
      'unserved',
      [done, ids.length],
      `${String(done)} of ${String(ids.length)} jobs`,
    );
  heal();
  await cluster.run(60);
  for (const id of ids)
    if (cluster.checker.finalState(id) !== 'done') cluster.checker.reportViolation('stuck', [id], id);
  return { violations: cluster.checker.violations, done, lostEpochs };
}

/**
 * Guards against tasks on machines without a record. New machines are up within two seconds and are needed at
 * once, machine records are written seconds late, and the leader stops. A machine that the next leader does
 * not know of must not run any task.
 */
async function newMachinesWithLateRecords(
  injectExtraFault: (cluster: ScenarioCluster) => void,
): Promise<Violation[]> {
  const violations: Violation[] = [];
  for (const node of [0, 1, 2])
    violations.push(...(await newMachinesWithLateRecordsOf(node, injectExtraFault)));
  return violations;
}

async function newMachinesWithLateRecordsOf(
  leader: number,
  injectExtraFault: (cluster: ScenarioCluster) => void,
): Promise<Violation[]> {
  const spec = { ...smallType, bootS: 1.5 };
  const cluster = new ScenarioCluster(
    {
      zones: ['a'],
      nodes: ['a', 'a', 'a'],
      ...siteTimings.matkaturva,
      types: [spec],
      capacity: [{ type: 'small', zone: 'a', ordinary: 40, spot: 40 }],
      initial: [smallMachines(3)],
    },
    undefined,
    leader + 1,
  );
  await cluster.begin();
  for (let n = 0; n < 8; n++)
    cluster.submit({ id: `j-${String(n)}`, tasks: 10, cores: 4, imageGb: 0.01 }, 25);
  // The jobs are accepted before writes become late.
  await cluster.run(0.2);
  cluster.store.lateWriteShare = 0.8;
  const unrecorded = (): number => {
    const recorded = new Set(cluster.shards.flatMap((shard) => cluster.machinesOf(shard)));
    return [...cluster.workers.keys()].filter((id) => !recorded.has(id)).length;
  };
  await cluster.until('new machines are up', () => unrecorded() > 5, 10, 50);
  await cluster.run(1.5);
  requirePrecondition('machines up but not recorded when the leader stops', unrecorded() > 0);
  // Some machines reach no controller, so the next leader can know of them only from records.
  const [shard = ''] = cluster.ledShards(leader);
  const healPartition = cluster.network.startPartition(
    'drop',
    (x, y) => x.kind === 'worker' && y.kind === 'node' && Number(x.name.slice(-1)) < 5,
  );
  const token = cluster.tokenOf(shard);
  cluster.killController(leader);
  injectExtraFault(cluster);
  // Another node takes the shard over, or the stopped leader does if the extra fault restarts it.
  await cluster.until('the shard is taken over', () => cluster.tokenOf(shard) > token, 40);
  await cluster.run(6);
  cluster.store.lateWriteShare = 0;
  await cluster.run(6);
  healPartition();
  cluster.startController(leader, 50);
  await cluster.run(150);
  return violationsAfterCompletion(cluster);
}

/**
 * Guards against exceeding a team's limit. Every team is at its limit with more tasks pending. Some machines
 * are partitioned or frozen. Meanwhile jobs that run on them are cancelled, and the leader changes. Then the
 * machines recover and the leader changes back.
 */
async function teamsAtLimit(
  workerFault: 'cut' | 'hang',
  injectExtraFault: (cluster: ScenarioCluster) => void,
): Promise<Violation[]> {
  const timings = siteTimings.caalv;
  const teams = ['red', 'green', 'blue'].map((name) => ({ name, cores: 8, maxCores: 24 }));
  const cluster = new ScenarioCluster({
    zones: ['a'],
    nodes: ['a', 'a'],
    ...timings,
    initial: [smallMachines(16)],
    teams,
  });
  await cluster.begin();
  for (const [t, { name: team }] of teams.entries())
    for (let n = 0; n < 4; n++)
      cluster.submit({ id: `j-${String(10 * t + n)}`, team, tasks: 12, cores: 2 }, n < 1 ? 400 : 40);
  const allAtLimit = (): boolean => teams.every(({ name }) => cluster.checker.usedCores(name) === 24);
  await cluster.until('every team is at its limit', allAtLimit, 90);
  await cluster.run(3);
  const runningJobs = [...cluster.workload.keys()].filter(
    (id) => cluster.checker.runningTasks(id).length > 0,
  );
  const busyWorkers = [...cluster.workers.values()].filter((w) => w.jobIds().length > 0).slice(0, 8);
  const hosts = new Set(busyWorkers.map((w) => w.host));
  const heal =
    workerFault === 'cut'
      ? cluster.network.startPartition('hold', (x, y) => hosts.has(x) && y.kind === 'node')
      : (): void => {};
  if (workerFault === 'hang') for (const host of hosts) host.clock.frozenUntil = cluster.time.now + 25_000;
  await cluster.run(0.3);
  for (const id of runningJobs.slice(0, 5)) void cluster.users.cancelIfAccepted(id);
  await cluster.run(0.5);
  requirePrecondition(
    'tasks of cancelled jobs on machines',
    runningJobs.slice(0, 5).some((id) => cluster.checker.runningTasks(id).length > 0),
  );
  cluster.killController(0);
  injectExtraFault(cluster);
  await cluster.run(8);
  cluster.startController(0, 50);
  await cluster.run(20);
  heal();
  await cluster.run(30);
  cluster.killController(1);
  await cluster.run(6);
  cluster.startController(1, 50);
  await cluster.run(120);
  const usedCores = teams.map(({ name }) => cluster.checker.usedCores(name));
  requirePrecondition(
    `tasks run or complete after the faults (cores in use: ${usedCores.join(' ')})`,
    usedCores.some((cores) => cores > 0) || cluster.checker.completed > 0,
  );
  return cluster.checker.violations;
}

/**
 * A zone with workers and controllers is partitioned for longer than a lease. Some jobs are confined to a
 * zone or spread.
 */
async function zoneCut(mode: 'drop' | 'hold'): Promise<Violation[]> {
  const timings = siteTimings.matkaturva;
  const zones = ['a', 'b', 'c'];
  const cluster = new ScenarioCluster({
    zones,
    nodes: [...zones, 'a'],
    ...timings,
    initial: zones.map((zone) => smallMachines(8, zone)),
  });
  await cluster.begin();
  const placements = [{}, { oneZone: true }, { spread: true }, { zone: 'a' }];
  for (let n = 0; n < 12; n++)
    cluster.submit({ id: `j-${String(n)}`, tasks: 6, cores: 2, ...placements[n % 4] }, 10 + 6 * n);
  await cluster.run(4);
  const heal = cluster.network.startPartition(
    mode,
    (x, y) => x.zone === 'a' && y.zone !== 'a' && y.kind !== 'users',
  );
  await cluster.run(2);
  for (const id of ['j-0', 'j-1', 'j-3', 'j-7']) void cluster.users.cancelIfAccepted(id);
  await cluster.run(timings.leaseS + timings.cancelS);
  heal();
  await cluster.run(240);
  return violationsAfterCompletion(cluster);
}

/**
 * Controllers stop and restart ten times in two minutes, so that leaders change. If `outage` is set, the
 * key-value store has an outage during some of these changes. Then all nodes are down for longer than a
 * lease.
 */
async function repeatedLeaderChanges(outage: boolean): Promise<Violation[]> {
  const timings = siteTimings.matkaturva;
  const cluster = new ScenarioCluster({
    zones: ['a'],
    nodes: ['a', 'a', 'a'],
    ...timings,
    initial: [smallMachines(10)],
  });
  await cluster.begin();
  for (let n = 0; n < 12; n++) cluster.submit({ id: `j-${String(n)}`, tasks: 5, cores: 2 }, 8 + 9 * n);
  await cluster.run(6);
  const owners: number[] = [];
  for (let change = 0; change < 10; change++) {
    if (outage && (change === 4 || change === 7)) cluster.store.setOutage(change === 4);
    cluster.killController(change % 3);
    if (change % 4 === 1) void cluster.users.cancelIfAccepted(`j-${String(change)}`);
    await cluster.run(change % 2 === 0 ? 0.2 : 6);
    cluster.startController(change % 3, 50);
    await cluster.run(change % 2 === 0 ? 11.8 : 6);
    owners.push(...cluster.shards.map((shard) => cluster.ownerOf(shard)));
  }
  requirePrecondition('several leaders', new Set(owners).size > 1);
  for (const node of [0, 1, 2]) cluster.killController(node);
  await cluster.run(timings.leaseS + 5);
  for (const node of [2, 0, 1]) cluster.startController(node, 300 * node);
  await cluster.run(240);
  return violationsAfterCompletion(cluster);
}

/**
 * In each of three rounds, a shard is taken over and handed back. Within a second, all controllers stop and
 * one restarts.
 */
async function allStopOneRestarts(): Promise<Violation[]> {
  const zones = ['a', 'b', 'c'];
  const cluster = new ScenarioCluster({
    zones,
    nodes: zones,
    ...siteTimings.caalv,
    initial: zones.map((zone) => smallMachines(4, zone)),
  });
  await cluster.begin();
  for (let n = 0; n < 9; n++) cluster.submit({ id: `j-${String(n)}`, tasks: 6, cores: 2 }, 15 + 8 * n);
  await cluster.run(5);
  const [shard = ''] = cluster.ledShards(0);
  let handovers = 0;
  for (let round = 0; round < 3; round++) {
    // The first node is down until its shard is taken over, and then the shard is handed back to it.
    cluster.killController(0);
    await cluster.until('the shard is taken over', () => cluster.ownerOf(shard) !== 0, 20);
    cluster.startController(0, 50);
    await cluster.until('the shard is handed back', () => cluster.ownerOf(shard) === 0, 60, 20);
    handovers++;
    await cluster.run([0, 0.1, 0.6][round] ?? 0);
    for (const node of [0, 1, 2]) cluster.killController(node);
    await cluster.run(0.3);
    cluster.startController(round, 50);
    await cluster.run(12);
    for (const node of [0, 1, 2]) cluster.startController(node, 50);
    await cluster.run(10);
  }
  requirePrecondition('three handovers back', handovers === 3);
  await cluster.run(150);
  return violationsAfterCompletion(cluster);
}

/**
 * More work than capacity, of three priorities, over slow links. Jobs of every class run, and cancelled jobs
 * stop.
 */
async function overload(): Promise<Violation[]> {
  const cluster = new ScenarioCluster({
    zones: ['a'],
    nodes: ['a', 'a', 'a'],
    ...siteTimings.matkaturva,
    initial: [smallMachines(8)],
  });
  await cluster.begin();
  cluster.network.delayedCommandShare = 0.3;
  cluster.store.extraLatencyMs = 400;
  const classes = ['urgent', 'standard', 'low'];
  for (let n = 0; n < 90; n++) {
    const id = `j-${String(n)}`;
    const priority = 1 + (n % 3);
    cluster.submit({ id, class: classes[n % 3] ?? '', priority, tasks: 4, cores: 2, estimateS: 10 }, 10);
    if (n % 5 === 0) cluster.time.after(6000, () => void cluster.users.cancelIfAccepted(id));
    await cluster.run(1);
  }
  requirePrecondition(
    'more work than capacity',
    [...cluster.workload.values()].filter(({ results }) => results.size === 0).length > 20,
  );
  cluster.network.delayedCommandShare = 0;
  cluster.store.extraLatencyMs = 0;
  await cluster.run(260);
  return violationsAfterCompletion(cluster);
}

const restartSecondNodeQuickly = (cluster: ScenarioCluster): void => {
  cluster.killController(1);
  cluster.time.after(180, () => cluster.startController(1, 20));
};
const delayWrites = (cluster: ScenarioCluster): void => {
  cluster.store.lateWriteShare = 0.4;
  cluster.time.after(12_000, () => (cluster.store.lateWriteShare = 0));
};

export const machineFaultScenarios: Record<string, ScriptedScenario> = {
  'machines whose heartbeats reach no controller': async () =>
    (await workersWithoutHeartbeats(false)).violations,
  'new machines up within two seconds, late writes, and the leader stops': () =>
    newMachinesWithLateRecords(() => {}),
  'new machines up within two seconds, late writes, and the next leader restarts within 0.2 s': () =>
    newMachinesWithLateRecords(restartSecondNodeQuickly),
  'every team at its limit, cancelled jobs on partitioned machines': () => teamsAtLimit('cut', () => {}),
  'every team at its limit, cancelled jobs on frozen machines': () => teamsAtLimit('hang', () => {}),
  'every team at its limit, partitioned machines, and a node that restarts within 0.2 s': () =>
    teamsAtLimit('cut', restartSecondNodeQuickly),
  'every team at its limit, frozen machines, and late writes': () => teamsAtLimit('hang', delayWrites),
  'a zone partitioned for longer than a lease': () => zoneCut('drop'),
  'a zone partitioned for longer than a lease, packets held': () => zoneCut('hold'),
  'ten leader changes in two minutes, then all controllers down for a lease': () =>
    repeatedLeaderChanges(false),
  'ten leader changes in two minutes, some during a store outage': () => repeatedLeaderChanges(true),
  'a shard taken over and handed back, all controllers stop, one restarts': allStopOneRestarts,
  'more work than capacity over slow links': overload,
  'machines whose heartbeats reach no controller, and the leader stops': async () =>
    (await workersWithoutHeartbeats(true)).violations,
};
