import { type JobSpec, type Log, seededRandom } from '@onyxkeel/scheduler';
import { Cluster, type Deployment } from './cluster.ts';
import { RUN_MAX_S, OVER_LIMIT_FEW, OVER_LIMIT_SHARE, QUIET_S, WARM_UP_S } from './constants.ts';
import { countServed, type Served, findUnserved } from './served-share.ts';
import type { Scenario, ScenarioJob } from './scenario.ts';
import { FaultInjector } from './fault-injector.ts';
import { IdleWaitChecker } from './idle-wait-checker.ts';
import type { Violation } from './invariant-checker.ts';
import { newWork } from './workload.ts';

export interface RunOutcome {
  violations: Violation[];
  /** Of the whole history, hexadecimal. */
  digest: string;
  virtualS: number;
  events: number;
  started: number;
  completed: number;
  /** Starts of tasks that had been started before. */
  repeated: number;
  lostEpochs: number;
  /** Starts after the user was told that the job is cancelled. */
  startsAfterCancelled: number;
  submissions: { submitted: number; accepted: number; quick: number; refused: number; gaveUp: number };
  /** Milliseconds from submission to being told done, by class. */
  tookMs: Map<string, number[]>;
  calls: Record<string, number>;
  /** Jobs asked for and served, by class and by team. */
  served: Served;
  /** What nobody could know any more after a loss. */
  unrecoverable: Record<string, number>;
  rented: number;
  returned: number;
}

const zoneNames = ['a', 'b', 'c'];
const teamNames = ['red', 'green', 'blue'];

/** The deployment that a day asks for: two types of machines, capacity in proportion to what is up at the start. */
export function deploymentOf(scenario: Scenario): Deployment {
  const zones = zoneNames.slice(0, scenario.zones);
  const most = scenario.machines * scenario.capacity + 2;
  const types = [
    { name: 'small', cores: 8, ramGb: 32, localGb: 20, pullGbPerS: 1, price: 0.4, spotPrice: 0.1, bootS: 12 },
    {
      name: 'large',
      cores: 16,
      ramGb: 128,
      localGb: 40,
      pullGbPerS: 1,
      price: 0.8,
      spotPrice: 0.2,
      bootS: 10,
    },
  ];
  const [reportS, leaseS, cancelS] = scenario.pace === 0 ? [2.5, 16, 36] : [5, 31, 61];
  return {
    zones,
    nodes: Array.from({ length: scenario.nodes }, (_, i) => zones[i % zones.length] ?? 'a'),
    types,
    capacity: zones.flatMap((zone) => types.map((t) => ({ type: t.name, zone, ordinary: most, spot: most }))),
    initial: zones.flatMap((zone) => [
      { type: 'small', zone, spot: false, count: Math.ceil(scenario.machines / 2) },
      { type: 'large', zone, spot: true, count: Math.floor(scenario.machines / 2) },
    ]),
    teams: teamNames.map((name, i) => ({ name, cores: 8, maxCores: scenario.teamLimits[i] ?? 0 })),
    objectives: [
      { class: 'short', withinS: 60 },
      { class: 'long', withinS: 120 },
    ],
    heartbeatS: reportS,
    leaseS,
    cancelS,
    store:
      scenario.pace === 0
        ? { rps: 250, writeRps: 90, valueKb: 32, txnOps: 12 }
        : { rps: 250, writeRps: 50, valueKb: 8, txnOps: 40 },
    cloud: { rps: 8, listLagS: scenario.pace === 0 ? 5 : 8 },
    wallClockErrorMs: 100,
  };
}

function specOf(draw: ScenarioJob, n: number, d: Deployment): JobSpec {
  const team = teamNames[draw.team % teamNames.length] ?? 'red';
  const limit = d.teams.find((t) => t.name === team)?.maxCores ?? 0;
  return {
    id: `j-${String(n)}`,
    class: draw.runS > 12 ? 'long' : 'short',
    team,
    kind: draw.service ? 'service' : 'batch',
    priority: draw.priority,
    // All replicas of a service run at once, so they must fit their team's limit.
    tasks: draw.service
      ? Math.min(draw.tasks, 2, limit > 0 ? Math.floor(limit / draw.cores) : 2)
      : draw.tasks,
    cores: draw.cores,
    accelerators: 0,
    ramGb: draw.cores * 2,
    image: `img-${String(n % 5)}`,
    imageGb: 0.5 + (n % 3),
    types: draw.rule === 'a type' ? ['large'] : null,
    zone: draw.rule === 'a zone' ? (d.zones[n % d.zones.length] ?? null) : null,
    oneZone: draw.rule === 'one zone',
    // With fewer than two zones half of the tasks could never run.
    spread: draw.rule === 'spread' && d.zones.length > 1,
    spot: draw.spot,
    estimateS: draw.service ? 0 : draw.runS,
    checkpointS: draw.checkpoint ? 3 : 0,
    saveS: draw.checkpoint ? 1 : 0,
    deadlineS: draw.priority < 2 ? draw.runS * 3 + 20 : null,
  };
}

/** Plays a day to its end: until every accepted job is over, or the quiet time after the last fault is. */
export async function runScenario(
  scenario: Scenario,
  options: { log?: (node: string) => Log; stopAtFirst?: boolean } = {},
): Promise<RunOutcome> {
  const deployment = deploymentOf(scenario);
  const cluster = new Cluster(deployment, {
    seed: scenario.seed,
    ...(options.log ? { log: options.log } : {}),
  });
  const { time, checker, users, workload, store, cloud } = cluster;
  const random = seededRandom(scenario.seed ^ 0x5eed);
  for (let n = 0; n < deployment.nodes.length; n++) time.at(random.below(2500), () => cluster.start(n));
  const faults = new FaultInjector(cluster, random);
  for (const fault of scenario.faults) faults.plan(fault, WARM_UP_S * 1000);
  const endless: string[] = [];
  let lastS = WARM_UP_S;
  scenario.jobs.forEach((draw, n) => {
    const spec = specOf(draw, n, deployment);
    const seed = random.below(1 << 30);
    const runS = (index: number): number =>
      draw.runS * (0.5 + (seededRandom(seed + index).below(1000) + 1) / 1000);
    const work = newWork(spec, runS, draw.broken);
    workload.set(spec.id, work);
    const atS = WARM_UP_S + draw.atS;
    // Neither a job with a mistake nor a service ever ends by itself.
    const never = draw.broken || draw.service;
    const cancelAtS = draw.cancelAfterS !== null || never ? atS + (draw.cancelAfterS ?? 40) : null;
    const againAtS = draw.againAfterS === null ? null : atS + draw.againAfterS;
    users.begin(work, { atS, cancelAtS, againAtS });
    if (never) endless.push(spec.id);
    lastS = Math.max(lastS, atS + 1);
  });
  for (const fault of scenario.faults)
    lastS = Math.max(lastS, WARM_UP_S + FaultInjector.endS(fault, scenario.nodes));
  time.at(20_000, () => void users.askUnknown(`j-${String(9_000_000 + (scenario.seed % 1000))}`));
  const step = 1000;
  const limits = new Map(deployment.teams.map((team) => [team.name, team.maxCores]));
  const idleWaits = new IdleWaitChecker(checker, workload, limits);
  const done = (): boolean => options.stopAtFirst === true && checker.violations.length > 0;
  while (time.now < lastS * 1000 && !done()) await time.runUntil(time.now + step);
  faults.clear();
  checker.faultFreeSince = time.now;
  const quietFrom = time.now;
  const isQuiet = (): boolean => time.now - Math.max(quietFrom, checker.lastProgressAt) > QUIET_S * 1000;
  while (users.openRoutines > 0 && !isQuiet() && time.now < RUN_MAX_S * 1000 && !done()) {
    // Some were accepted only when their user had given up waiting to cancel them.
    for (const id of endless) if (time.now % 10_000 < step) void users.cancelIfAccepted(id);
    idleWaits.check(time.now, cluster.workers.values());
    await time.runUntil(time.now + step);
  }
  if (!done()) {
    // Whatever is told cancelled must also be gone.
    await time.runUntil(time.now + deployment.cancelS * 1000 + step);
    let uncancelled = 0;
    for (const { spec } of workload.values()) {
      if (!checker.isAccepted(spec.id)) continue;
      if (checker.finalState(spec.id) !== 'cancelled') uncancelled++;
      if (checker.finalState(spec.id) !== null || checker.isAcceptanceLost(spec.id)) continue;
      checker.reportViolation(
        'stuck',
        `${spec.id}: accepted, and not over when nothing had moved for ${String(QUIET_S)} s`,
      );
    }
    if (checker.started === 0 && uncancelled > 0)
      checker.reportViolation('nothing_ran', 'no task was started');
    overLimit('state service', store.counts.refused, store.counts.requests);
    overLimit('cloud', cloud.counts.refused, cluster.network.calls.cloud);
  }
  const shares = countServed(workload.values(), checker);
  if (!done()) for (const each of findUnserved(shares)) checker.reportViolation('unserved', each);
  function overLimit(what: string, refused: number, calls: number): void {
    if (refused > OVER_LIMIT_FEW && refused > calls * OVER_LIMIT_SHARE)
      checker.reportViolation('over_limit', `${what} refused ${String(refused)} of ${String(calls)} calls`);
  }
  return {
    violations: checker.violations,
    digest: checker.digestHex,
    virtualS: time.now / 1000,
    events: time.events,
    started: checker.started,
    completed: checker.completed,
    repeated: checker.repeated,
    lostEpochs: cluster.lostEpochs,
    startsAfterCancelled: checker.startsAfterCancelled,
    submissions: users.counts,
    tookMs: users.tookMs,
    served: shares,
    unrecoverable: checker.unrecoverable,
    calls: {
      ...cluster.network.calls,
      refusedByState: store.counts.refused,
      refusedByCloud: cloud.counts.refused,
    },
    rented: cloud.counts.rented,
    returned: cloud.counts.returned,
  };
}
