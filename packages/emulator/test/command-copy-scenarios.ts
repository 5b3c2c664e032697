/**
 * Scenarios of copies of direct launches: the call was executed and answered, and its copy reaches the machine
 * after the attempt has ended and been forgotten (docs/incidents/late-command-copies.md).
 */
import type { Violation } from '../src/invariant-rules.ts';
import type { Worker } from '../src/worker.ts';
import { ScenarioCluster, siteTimings } from './refused-leader.ts';
import {
  requirePrecondition,
  type ScriptedScenario,
  violationsAfterCompletion,
} from './scripted-scenario.ts';
import { smallMachines } from './test-cluster.ts';

const JOB = 'j-1';
const TASK = `${JOB}/0`;
/** Keeps the only machine of zone `b` busy until the task is to migrate there. */
const OTHER_JOB = 'j-0';
/** Seconds that the task runs. */
const RUN_S = 12;
/** Milliseconds until a lost controller is back. */
const BACK_AFTER_MS = 700;
/** Seconds from the loss of the controller to the copy: no leader has fenced the machine yet. */
const COPY_AFTER_S = 0.2;
/** Seconds within which a task that has ended is forgotten, or has started elsewhere. */
const SETTLED_WITHIN_S = 60;

/** What becomes of the task between its launch and the copy of the launch. */
type Meanwhile = 'runs elsewhere' | 'is done' | 'has migrated' | 'is cancelled';

/** A call with commands that a machine was sent. */
interface SentCall {
  readonly machine: string;
  readonly body: string;
}

/** A cluster that keeps every call with commands, with the task started by a call on one of its machines. */
class CopyScenario {
  readonly cluster: ScenarioCluster;
  private readonly calls: SentCall[] = [];
  private launch: SentCall | null = null;

  constructor(meanwhile: Meanwhile) {
    const zones = meanwhile === 'has migrated' ? ['a', 'b'] : ['a'];
    this.cluster = new ScenarioCluster({
      zones,
      nodes: zones.length === 2 ? ['a', 'b'] : ['a', 'a'],
      ...siteTimings.matkaturva,
      initial: zones.length === 2 ? [smallMachines(1, 'a'), smallMachines(1, 'b')] : [smallMachines(2)],
    });
    this.cluster.network.commandDelayMs = (to, body): number => {
      this.calls.push({ machine: to.name, body });
      return 0;
    };
  }

  /** The machine on which the task was started first. */
  private get machine(): Worker {
    const worker = this.cluster.workers.get(this.launch?.machine ?? '');
    if (!worker) throw new Error('the task has not been launched by a call');
    return worker;
  }

  /** Starts the task by a call. With `fails`, it ends with an error. */
  async start({ fails }: { fails: boolean }): Promise<void> {
    const { cluster } = this;
    await cluster.begin();
    if (cluster.deployment.zones.length === 2) {
      cluster.submit({ id: OTHER_JOB, zone: 'b', tasks: 1, cores: 8 }, 1000);
      await cluster.until('zone b is full', () => cluster.checker.runningTasks(OTHER_JOB).length === 1, 20);
    }
    this.setFailing(fails);
    cluster.submit({ id: JOB, tasks: 1, cores: 8, imageGb: 0.01 }, RUN_S);
    await cluster.until('the task is launched by a call', () => this.findLaunch(), 20);
    await cluster.until('the task has started', () => this.machine.tasks.size > 0, 5);
  }

  /** Whether every task that starts on a machine of zone `a` fails. */
  setFailing(fails: boolean): void {
    for (const worker of this.cluster.workers.values())
      if (worker.machine.zone === 'a') worker.failsAllTasks = fails;
  }

  private findLaunch(): boolean {
    this.launch ??=
      this.calls.find(({ body }) => body.includes('"launch"') && body.includes(`"${TASK}"`)) ?? null;
    return this.launch !== null;
  }

  /** Waits until no machine of zone `a` but one that runs the task now lists an attempt of it. */
  async untilForgotten(): Promise<void> {
    const listed = (): boolean => [...this.machine.tasks.values()].some(({ name }) => name === TASK);
    await this.cluster.until('the attempt is forgotten', () => !listed(), SETTLED_WITHIN_S);
  }

  async untilRunningElsewhere(): Promise<void> {
    const { cluster } = this;
    const isElsewhere = (): boolean =>
      cluster.checker.runningTasks(JOB).length === 1 && !this.machine.jobIds().includes(JOB);
    await cluster.until('the task runs elsewhere', isElsewhere, SETTLED_WITHIN_S, 20);
  }

  /** Loses the leader of the machine's shard, if asked to, and delivers the copy of the call. */
  async deliverCopy(losesLeader: boolean): Promise<void> {
    const { cluster, launch, machine } = this;
    const leader = cluster.ownerOf(cluster.shards.find((shard) => shard.startsWith('a')) ?? 'a');
    if (losesLeader) {
      cluster.killController(leader);
      cluster.time.after(BACK_AFTER_MS, () => cluster.startController(leader, 50));
    }
    await cluster.run(COPY_AFTER_S);
    const call = { method: 'POST' as const, path: '/commands', body: launch?.body ?? '', deadlineMs: 1000 };
    void cluster.network.exchange(cluster.usersHost, { address: machine.machine.endpoint, ...call });
  }
}

const meanwhileSteps: Record<Meanwhile, (scenario: CopyScenario) => Promise<void>> = {
  'runs elsewhere': async (scenario) => {
    await scenario.start({ fails: true });
    await scenario.cluster.until(
      'it has failed',
      () => scenario.cluster.checker.runningTasks(JOB).length === 0,
      20,
      10,
    );
    scenario.setFailing(false);
    await scenario.untilRunningElsewhere();
    await scenario.untilForgotten();
  },
  'is done': async (scenario) => {
    await scenario.start({ fails: false });
    await scenario.cluster.until('it is done', () => scenario.cluster.checker.finalState(JOB) === 'done', 40);
    await scenario.untilForgotten();
  },
  'has migrated': async (scenario) => {
    await scenario.start({ fails: true });
    void scenario.cluster.users.cancelIfAccepted(OTHER_JOB);
    await scenario.untilRunningElsewhere();
    scenario.setFailing(false);
    await scenario.untilForgotten();
  },
  'is cancelled': async (scenario) => {
    await scenario.start({ fails: false });
    void scenario.cluster.users.cancelIfAccepted(JOB);
    await scenario.untilForgotten();
    await scenario.cluster.run(siteTimings.matkaturva.cancelS + 1);
    requirePrecondition('it is cancelled', scenario.cluster.checker.finalState(JOB) === 'cancelled');
  },
};

async function copyOfLaunch(meanwhile: Meanwhile, losesLeader: boolean): Promise<Violation[]> {
  const scenario = new CopyScenario(meanwhile);
  await meanwhileSteps[meanwhile](scenario);
  await scenario.deliverCopy(losesLeader);
  await scenario.cluster.run(60);
  return violationsAfterCompletion(scenario.cluster);
}

/** The scenario for each state of the task, with the leader of its shard lost and up. */
export const commandCopyScenarios: Record<string, ScriptedScenario> = Object.fromEntries(
  (Object.keys(meanwhileSteps) as Meanwhile[]).flatMap((meanwhile) =>
    [true, false].map((losesLeader): [string, ScriptedScenario] => [
      `a copy of an executed launch arrives when its task ${meanwhile}, ${losesLeader ? 'and no leader is up' : 'and its leader is up'}`,
      () => copyOfLaunch(meanwhile, losesLeader),
    ]),
  ),
);
