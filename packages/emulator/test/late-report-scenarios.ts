/**
 * Scenarios of late reports about tasks that are migrating to another shard, with every outcome of the
 * migration (docs/design.md, "Migration of pending tasks").
 */
import type { Violation } from '../src/invariant-rules.ts';
import type { TransactionFault } from '../src/key-value-store-server.ts';
import type { Worker } from '../src/worker.ts';
import { newWork } from '../src/workload.ts';
import { ScenarioCluster, siteTimings } from './refused-leader.ts';
import {
  requirePrecondition,
  type ScriptedScenario,
  violationsAfterCompletion,
} from './scripted-scenario.ts';
import { plainJob, smallMachines } from './test-cluster.ts';

const JOB = 'j-1';
const TASKS = 6;
/** The tasks from this index on migrate: the target zone has room for no more. */
const FIRST_MIGRATING = 2;
/** A migrating task whose result is in the late report of `done`. */
const COMPLETED = 4;
/** A task that stays in its shard and runs longer than all others. */
const LONGEST = 1;
/** Milliseconds after the migration's transaction was sent; the reports arrive before it is decided. */
const REPORT_AFTER_MS = 340;
const CONFLICT_AFTER_MS = 390;
const APPLIED_AFTER_MS = 400;
/** Seconds after which a migration that is refused has been refused, and no other one has been sent. */
const REFUSED_WITHIN_S = 0.8;
/** Seconds after which the outcome of any migration is known to all controllers. */
const DECIDED_WITHIN_S = 20;

/** What the late report, or two in a row, show of the task `COMPLETED`. */
type Report = 'running' | 'done' | 'running, then done';

/** What happens to the migration's transaction; `conflict`: another controller has changed the job's record. */
type Outcome = TransactionFault | 'conflict';

interface LateReportPlan {
  readonly report: Report;
  readonly outcome: Outcome;
  /** Whether the tasks migrate in the end. */
  readonly migrates: boolean;
  /** Whether the leader is replaced before the migration, so that the report is older than its fencing. */
  readonly beforeFencing?: boolean;
  /** When the leader ends, in milliseconds after the transaction was sent. It is back some seconds later. */
  readonly leaderEndsAfterMs?: number;
}

/** The bodies of the late reports: the workers' status at this moment, which no controller receives yet. */
function lateReports(workers: readonly Worker[], report: Report): string[] {
  const status = (): string[] => workers.map((worker) => worker.nextHeartbeatText());
  const running = report === 'done' ? [] : status();
  if (report === 'running') return running;
  for (const worker of workers) worker.completeTasks((task) => task === `${JOB}/${String(COMPLETED)}`);
  return [...running, ...status()];
}

/** A cluster of two zones, one of which is full, and the job on the machines of the other one. */
async function startWithJobInOneZone(): Promise<ScenarioCluster> {
  const cluster = new ScenarioCluster({
    zones: ['a', 'b'],
    nodes: ['a', 'b'],
    ...siteTimings.matkaturva,
    initial: [smallMachines(6, 'a'), smallMachines(2, 'b')],
  });
  await cluster.begin();
  cluster.submit({ id: 'j-0', zone: 'b', tasks: 2, cores: 8 }, 1000);
  await cluster.until('zone b is full', () => cluster.checker.runningTasks('j-0').length === 2, 20);
  await cluster.run(3);
  const spec = { ...plainJob, id: JOB, tasks: TASKS, cores: 4, imageGb: 0.01 };
  const work = newWork(spec, (index) => (index === LONGEST ? 70 : 30), false);
  cluster.workload.set(JOB, work);
  cluster.users.begin(work, { atS: cluster.time.now / 1000, cancelAtS: null, resubmitAtS: null });
  await cluster.until('the job runs', () => cluster.checker.runningTasks(JOB).length === TASKS, 20);
  requirePrecondition('the job is in one shard', cluster.slicesOf(JOB).length === 1);
  return cluster;
}

/**
 * Guards against tasks that a late report settles or places while they migrate. The machines of a zone reach
 * no controller for longer than a worker lease, so their tasks are pending, and some of them migrate. Before the
 * migration's transaction is decided, reports from the start of the partition arrive.
 */
async function lateReportDuringMigration(plan: LateReportPlan): Promise<Violation[]> {
  const cluster = await startWithJobInOneZone();
  const workers = [...cluster.workers.values()].filter((worker) => worker.machine.zone === 'a');
  const heal = cluster.network.startPartition(
    'drop',
    (x, y) => x.kind === 'worker' && x.zone === 'a' && y.kind === 'node',
  );
  await cluster.run(0.1); // what was on its way has arrived
  const reports = lateReports(workers, plan.report);
  if (plan.beforeFencing) cluster.killController(cluster.ownerOf('a')); // the other node leads both shards
  let migrations = 0;
  let applied = 0;
  cluster.store.transactionFaultFor = (keys, from): TransactionFault | null => {
    if (keys.length !== 1 || keys[0] !== `live/job/${JOB}` || from === cluster.usersHost) return null;
    if (migrations++ > 0) return null;
    const { leaderEndsAfterMs, outcome } = plan;
    const leader = cluster.ownerOf('a');
    cluster.time.after(REPORT_AFTER_MS, () => {
      void deliver(cluster, leader, reports, () => applied++);
    });
    cluster.time.after(1000, heal);
    if (outcome === 'conflict') cluster.time.after(CONFLICT_AFTER_MS, () => changeRecord(cluster));
    if (leaderEndsAfterMs !== undefined) {
      cluster.time.after(leaderEndsAfterMs, () => cluster.killController(leader));
      cluster.time.after(8000, () => cluster.startController(leader, 50));
    }
    return outcome === 'conflict' ? { appliedAfterMs: APPLIED_AFTER_MS, answered: true } : outcome;
  };
  await cluster.run(siteTimings.matkaturva.leaseS + 4);
  requirePrecondition('the tasks run nowhere', cluster.checker.runningTasks(JOB).length === 0);
  requirePrecondition('nothing has migrated yet', migrations === 0);
  void cluster.users.cancelIfAccepted('j-0');
  await cluster.until('a migration is sent', () => migrations > 0, 60, 10);
  await cluster.run(CONFLICT_AFTER_MS / 1000);
  requirePrecondition('the reports have arrived before the outcome', applied === reports.length);
  await cluster.run(REFUSED_WITHIN_S - CONFLICT_AFTER_MS / 1000);
  requirePrecondition('no task has migrated', plan.migrates || cluster.slicesOf(JOB).length === 1);
  await cluster.run(DECIDED_WITHIN_S);
  const inTarget = cluster.slicesOf(JOB).filter(({ part }) => part === 'b');
  requirePrecondition(
    'the last tasks have migrated',
    !plan.migrates || inTarget.some(({ from }) => from === FIRST_MIGRATING),
  );
  await cluster.run(200);
  return violationsAfterCompletion(cluster);
}

/** Writes the job's record again, as another shard's migration would change it. */
function changeRecord(cluster: ScenarioCluster): void {
  const key = `live/job/${JOB}`;
  void cluster.writeRecord(key, cluster.store.read(key));
}

/** Delivers the reports to the node, one after the other. Calls `onApplied` for each that it accepts. */
async function deliver(
  cluster: ScenarioCluster,
  node: number,
  reports: readonly string[],
  onApplied: () => void,
): Promise<void> {
  for (const body of reports) if (await cluster.deliverHeartbeat(body, node)) onApplied();
}

const outcomes: Record<string, Pick<LateReportPlan, 'outcome' | 'migrates' | 'leaderEndsAfterMs'>> = {
  'is committed': { outcome: { appliedAfterMs: APPLIED_AFTER_MS, answered: true }, migrates: true },
  'is committed without an answer': {
    outcome: { appliedAfterMs: APPLIED_AFTER_MS, answered: false },
    migrates: true,
  },
  'is never applied, and sent again': { outcome: { appliedAfterMs: null, answered: false }, migrates: true },
  'is applied late, after its retry': { outcome: { appliedAfterMs: 4000, answered: false }, migrates: true },
  'is refused because the job changed': { outcome: 'conflict', migrates: false },
  'is committed after its leader has ended': {
    outcome: { appliedAfterMs: 3 * APPLIED_AFTER_MS, answered: false },
    migrates: true,
    leaderEndsAfterMs: APPLIED_AFTER_MS,
  },
  'is applied only once its shard has another leader': {
    outcome: { appliedAfterMs: 15_000, answered: false },
    migrates: false,
    leaderEndsAfterMs: APPLIED_AFTER_MS,
  },
};

const reports: readonly Report[] = ['running', 'done', 'running, then done'];

/** The scenario for each report, from the time before and after fencing, and each outcome. */
export const lateReportScenarios: Record<string, ScriptedScenario> = Object.fromEntries(
  reports.flatMap((report) =>
    [false, true].flatMap((beforeFencing) =>
      Object.entries(outcomes).map(([name, outcome]): [string, ScriptedScenario] => [
        `a late report of "${report}"${beforeFencing ? ' from before fencing' : ''}, and the migration ${name}`,
        () => lateReportDuringMigration({ report, beforeFencing, ...outcome }),
      ]),
    ),
  ),
);
