/** One seeded run of a scenario in virtual time, from the start of the controllers to the last check. */
import { type Log, type Random, seededRandom } from '@onyxkeel/scheduler';
import { Cluster } from './cluster.ts';
import type { Deployment } from './deployment.ts';
import {
  CANCEL_ENDLESS_INTERVAL_MS,
  CANCEL_ENDLESS_S,
  TOLERATED_OVER_LIMIT_CALLS,
  TOLERATED_OVER_LIMIT_SHARE,
  NO_PROGRESS_S,
  RUN_MAX_S,
  RUN_STEP_MS,
  START_SPREAD_MS,
  UNKNOWN_JOB_ASKED_MS,
  WARM_UP_S,
} from './constants.ts';
import { FaultInjector } from './fault-injector.ts';
import { IdleWaitChecker } from './idle-wait-checker.ts';
import type { InvariantChecker } from './invariant-checker.ts';
import type { Violation } from './invariant-rules.ts';
import type { Scenario, ScenarioJob } from './scenario.ts';
import { deploymentOf, jobSpecOf, taskDurations } from './scenario-deployment.ts';
import { countServed, describeUnserved, findUnserved, type Served } from './served-share.ts';
import type { UserCounts } from './users.ts';
import { newWork } from './workload.ts';

/** The outcome of a run. */
export interface RunOutcome {
  /** The violations, in the order in which they were found. */
  violations: Violation[];
  /** Digest of the whole history, in hexadecimal. Equal histories have equal digests. */
  digest: string;
  /** Virtual seconds that the run took. */
  virtualS: number;
  /** Events that virtual time executed. */
  events: number;
  /** Starts of tasks. */
  started: number;
  /** Tasks that ended with a result; one that ran twice counts twice. */
  completed: number;
  /** Starts of tasks that had been started before. */
  repeated: number;
  /** Agent epochs that ended while the machine had tasks, because the worker lease expired. */
  lostEpochs: number;
  /** Starts of tasks after an answer told the user that the job is cancelled. */
  startsAfterCancelled: number;
  /** Outcomes of first submissions. */
  submissions: UserCounts;
  /** By class: milliseconds from a job's submission to the answer that it is done. */
  completionTimesMs: Map<string, number[]>;
  /**
   * Calls by the kind of host that they reached, and calls that the store and the cloud refused above their
   * limits.
   */
  calls: Record<string, number>;
  /** Jobs that users asked for and that were served, by class and by team. */
  served: Served;
  /** Number of facts that a loss of data made unrecoverable, by kind. */
  unrecoverable: Record<string, number>;
  /** Machines rented. */
  rented: number;
  /** Machines returned. */
  returned: number;
}

/** An external service that limits its calls; a code in recorded events. */
type LimitedService = 'store' | 'cloud';

/** Names of the external services in text for people. */
const serviceNames: Record<LimitedService, string> = { store: 'key-value store', cloud: 'cloud' };

/** Options of a run. */
export interface RunOptions {
  /** The log of each controller; by default, logs are discarded. */
  readonly log?: (node: string) => Log;
  /** Ends the run soon after the first broken rule. */
  readonly stopAtFirst?: boolean;
}

/**
 * Runs a scenario until all accepted jobs have ended, until `NO_PROGRESS_S` have passed without progress, or
 * until `RUN_MAX_S`.
 */
export function runScenario(scenario: Scenario, options: RunOptions = {}): Promise<RunOutcome> {
  return new SimulatedRun(scenario, options).run();
}

/**
 * A run in progress. The order of its random draws and of the events that it schedules decides the history.
 */
class SimulatedRun {
  private readonly deployment: Deployment;
  private readonly cluster: Cluster;
  private readonly checker: InvariantChecker;
  private readonly random: Random;
  private readonly injector: FaultInjector;
  private readonly idleWaitChecker: IdleWaitChecker;
  /** Jobs that never end by themselves: services, and jobs whose tasks fail. */
  private readonly endlessJobs: string[] = [];

  constructor(
    private readonly scenario: Scenario,
    private readonly options: RunOptions,
  ) {
    this.deployment = deploymentOf(scenario);
    const { log } = options;
    this.cluster = new Cluster(this.deployment, { seed: scenario.seed, ...(log ? { log } : {}) });
    this.checker = this.cluster.checker;
    // Separate from the cluster's random numbers, which use the scenario's seed.
    this.random = seededRandom(scenario.seed ^ 0x5eed);
    this.injector = new FaultInjector(this.cluster, this.random);
    const teamLimits = new Map(this.deployment.teams.map((team) => [team.name, team.maxCores]));
    this.idleWaitChecker = new IdleWaitChecker(this.checker, this.cluster.workload, teamLimits);
  }

  async run(): Promise<RunOutcome> {
    this.scheduleStarts();
    this.scheduleFaults();
    this.scheduleJobs();
    this.scheduleQueryOfUnknownJob();
    await this.runToLastPlannedEvent();
    this.injector.clear();
    this.checker.polls.faultFreeSince = this.cluster.time.now;
    await this.runUntilSettled();
    if (!this.isStopped) await this.checkFinalState();
    const served = countServed(this.cluster.workload.values(), this.checker);
    if (!this.isStopped) this.reportUnserved(served);
    return this.outcome(served);
  }

  /** Whether the run ends early because a rule was broken. */
  private get isStopped(): boolean {
    return this.options.stopAtFirst === true && this.checker.violations.length > 0;
  }

  // --- scheduled events ---

  private scheduleStarts(): void {
    const { cluster, random } = this;
    for (let node = 0; node < this.deployment.nodes.length; node++) {
      cluster.time.at(random.below(START_SPREAD_MS), () => cluster.startController(node));
    }
  }

  private scheduleFaults(): void {
    for (const fault of this.scenario.faults) this.injector.schedule(fault, WARM_UP_S * 1000);
  }

  private scheduleJobs(): void {
    this.scenario.jobs.forEach((job, position) => this.scheduleJob(job, position));
  }

  private scheduleJob(job: ScenarioJob, position: number): void {
    const spec = jobSpecOf(job, position, this.deployment);
    const work = newWork(spec, taskDurations(job, this.random.below(1 << 30)), job.broken);
    this.cluster.workload.set(spec.id, work);
    const atS = WARM_UP_S + job.atS;
    const isEndless = job.broken || job.service;
    const isCancelled = job.cancelAfterS !== null || isEndless;
    this.cluster.users.begin(work, {
      atS,
      cancelAtS: isCancelled ? atS + (job.cancelAfterS ?? CANCEL_ENDLESS_S) : null,
      resubmitAtS: job.againAfterS === null ? null : atS + job.againAfterS,
    });
    if (isEndless) this.endlessJobs.push(spec.id);
  }

  private scheduleQueryOfUnknownJob(): void {
    const { time, users } = this.cluster;
    const id = `j-${String(9_000_000 + (this.scenario.seed % 1000))}`;
    time.at(UNKNOWN_JOB_ASKED_MS, () => void users.pollUnknownJob(id));
  }

  // --- time ---

  /** When the last job has been submitted and the last fault has ended, in virtual seconds. */
  private get lastPlannedS(): number {
    const { jobs, faults, nodes } = this.scenario;
    const afterWarmUp = [
      0,
      ...jobs.map((job) => job.atS + 1),
      ...faults.map((fault) => FaultInjector.endS(fault, nodes)),
    ];
    return WARM_UP_S + Math.max(...afterWarmUp);
  }

  private async runToLastPlannedEvent(): Promise<void> {
    const { time } = this.cluster;
    const end = this.lastPlannedS * 1000;
    while (time.now < end && !this.isStopped) await time.runUntil(time.now + RUN_STEP_MS);
  }

  /**
   * Runs, without faults, until no user waits, until no task has started or ended for `NO_PROGRESS_S`, or
   * until `RUN_MAX_S`.
   */
  private async runUntilSettled(): Promise<void> {
    const { time, users, workers } = this.cluster;
    const faultFreeSince = time.now;
    const hasStalled = (): boolean =>
      time.now - Math.max(faultFreeSince, this.checker.lastProgressAt) > NO_PROGRESS_S * 1000;
    while (users.openRoutines > 0 && !hasStalled() && time.now < RUN_MAX_S * 1000 && !this.isStopped) {
      if (time.now % CANCEL_ENDLESS_INTERVAL_MS < RUN_STEP_MS) this.cancelEndlessJobs();
      this.idleWaitChecker.check(time.now, workers.values());
      await time.runUntil(time.now + RUN_STEP_MS);
    }
  }

  /**
   * Cancels endless jobs, since a user's planned cancellation has no effect if the job was accepted only
   * later.
   */
  private cancelEndlessJobs(): void {
    for (const id of this.endlessJobs) void this.cluster.users.cancelIfAccepted(id);
  }

  // --- checks at the end ---

  private async checkFinalState(): Promise<void> {
    const { time, store, cloud, network } = this.cluster;
    // By then the tasks of the jobs that were last answered cancelled must have ended.
    await time.runUntil(time.now + this.deployment.cancelS * 1000 + RUN_STEP_MS);
    this.checkJobsEnded();
    this.checkCallLimit('store', store.counts.refused, store.counts.requests);
    this.checkCallLimit('cloud', cloud.counts.refused, network.callCounts.cloud);
  }

  private reportUnserved(served: Served): void {
    for (const unserved of findUnserved(served)) {
      const { group, name } = unserved;
      const subject = [group, name, unserved.served, unserved.asked];
      this.checker.reportViolation('unserved', subject, describeUnserved(unserved));
    }
  }

  private checkJobsEnded(): void {
    const { checker } = this;
    let notCancelled = 0;
    for (const { spec } of this.cluster.workload.values()) {
      if (!checker.isAccepted(spec.id)) continue;
      const final = checker.finalState(spec.id);
      if (final !== 'cancelled') notCancelled++;
      if (final !== null || checker.isAcceptanceLost(spec.id)) continue;
      const detail = `${spec.id}: accepted, but had not ended when the run stopped, after ${String(NO_PROGRESS_S)} s without progress or at ${String(RUN_MAX_S)} s`;
      checker.reportViolation('stuck', [spec.id, NO_PROGRESS_S], detail);
    }
    if (checker.started === 0 && notCancelled > 0)
      checker.reportViolation('nothing_ran', [], 'no task was started');
  }

  private checkCallLimit(service: LimitedService, refused: number, calls: number): void {
    if (refused <= TOLERATED_OVER_LIMIT_CALLS || refused <= calls * TOLERATED_OVER_LIMIT_SHARE) return;
    const detail = `${serviceNames[service]} refused ${String(refused)} of ${String(calls)} calls`;
    this.checker.reportViolation('over_limit', [service, refused, calls], detail);
  }

  private outcome(served: Served): RunOutcome {
    const { cluster, checker } = this;
    const { time, users, store, cloud, network } = cluster;
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
      completionTimesMs: users.completionTimesMs,
      served,
      unrecoverable: checker.unrecoverable,
      calls: {
        ...network.callCounts,
        refusedByState: store.counts.refused,
        refusedByCloud: cloud.counts.refused,
      },
      rented: cloud.counts.rented,
      returned: cloud.counts.returned,
    };
  }
}
