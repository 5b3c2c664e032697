import type { Violation } from '../src/invariant-checker.ts';
import type { TransactionFault } from '../src/key-value-store-server.ts';
import { readCommands } from '../src/protocol/wire.ts';
import { idleWaitStories } from './idle-wait-stories.ts';
import { machineStories } from './machine-stories.ts';
import { Meeting, paces, refusedLeader } from './refused-leader.ts';
import { reportStories } from './report-stories.ts';
import { expect, type Story } from './story.ts';
import { userStories } from './user-stories.ts';

const long = 1000;
const one = { zones: ['a'], nodes: ['a', 'a'] };
const some = (count: number): { type: string; zone: string; spot: boolean; count: number }[] => [
  { type: 'small', zone: 'a', spot: false, count },
];

const broken = async (plan: Parameters<typeof refusedLeader>[0]): Promise<Violation[]> => {
  const told = await refusedLeader(plan);
  expect('tasks on machines when the users were told', told.onMachines > 0);
  return told.broken;
};

/**
 * Machines that stay with a refused leader until its proof of contact ends, then report to its successor once, and hear
 * nothing after that answer: it renews their leases, so it must stop what was cancelled long before.
 */
async function firstAnswer(): Promise<Violation[]> {
  const world = new Meeting({ ...one, ...paces.caalv, initial: some(6) });
  await world.begin();
  const [part = ''] = world.ledShards(0);
  world.submit({ tasks: 24, cores: 2 }, long);
  await world.until('running', () => world.checker.runningTasks('j-1').length === 24, 40);
  const host = world.controllerHost(0);
  if (host) world.store.setRefused(host, true);
  const mute = world.network.startPartition('drop', (x, y) => x.kind === 'node' && y.kind === 'node');
  const loyal = world.network.startPartition('drop', (x, y) => x.name === 'node-1' && y.kind === 'worker');
  await world.run(0.3);
  expect('told', await withdrawn(world, 'j-1', 1));
  await world.until('taken over', () => world.ownerOf(part) === 1, 15);
  await world.run(29);
  // Deaf as soon as they have heard the new owner once, in an answer to a report of their own.
  world.network.commandDelayMs = () => 1e9;
  const token = (world.store.read(`live/part/${part}`) as { token: number }).token;
  world.network.dropOneWay((a, b) => {
    const worker = b.kind === 'worker' ? world.workers.get(b.name) : undefined;
    return a.kind === 'node' && worker !== undefined && worker.fencingToken >= token;
  });
  loyal();
  await world.run(60);
  mute();
  return world.checker.violations;
}

async function withdrawn(world: Meeting, job: string, node: number): Promise<boolean> {
  let told = false;
  for (let tries = 0; tries < 20 && !told; tries++) {
    void world.withdraw(job, node).then((done) => (told ||= done));
    await world.run(0.2);
  }
  return told;
}

/** An order to start a task, held up for longer than a cancellation's time, on a machine that is heard throughout. */
async function heldLaunch(): Promise<Violation[]> {
  const world = new Meeting({ ...one, nodes: ['a'], ...paces.caalv, initial: some(2) });
  await world.begin();
  world.submit({ id: 'j-1', tasks: 2, cores: 2 }, long);
  await world.until('running', () => world.checker.runningTasks('j-1').length === 2, 30);
  await world.run(3);
  let held = 0;
  world.network.commandDelayMs = (_, body) => {
    const launches = readCommands(body, true)?.commands.some(
      (o) => o.op === 'launch' && o.task.startsWith('j-2/'),
    );
    return launches === true && held++ === 0 ? 80_000 : 0;
  };
  // One task, so that it is told in a call of its own and not in the answer to a report.
  world.submit({ id: 'j-2', tasks: 1, cores: 1 }, long);
  await world.until('sent', () => held > 0, 10, 5);
  expect('told', await withdrawn(world, 'j-2', 0));
  await world.run(120);
  return world.checker.violations;
}

/** A copy of an old report is answered, which renews the lease if the worker's own report is in flight: it stops as well. */
async function oldCopyAnswered(): Promise<Violation[]> {
  const world = new Meeting({ ...one, nodes: ['a'], ...paces.caalv, initial: some(2) });
  await world.begin();
  world.submit({ tasks: 2, cores: 2 }, long);
  await world.until('running', () => world.checker.runningTasks('j-1').length === 2, 30);
  const [worker] = world.workers.values();
  if (!worker) throw new Error('no machine');
  const copy = worker.nextHeartbeatText();
  await world.run(12);
  // What is sent straight to the machines is lost, so that only answers can stop anything.
  world.network.commandDelayMs = () => 1e9;
  expect('told', await withdrawn(world, 'j-1', 0));
  const call = { address: '127.0.0.1:9000', method: 'POST' as const, path: '/checkin', deadlineMs: 1000 };
  const reply = await Promise.all([
    world.network.exchange(worker.host, { ...call, body: copy }),
    world.run(1),
  ]).then(([answer]) => answer);
  const halted = readCommands(reply.body, false)?.commands.filter((order) => order.op === 'halt') ?? [];
  const listed = [...worker.tasks.values()].length;
  expect('tasks on the machine', listed > 0);
  if (halted.length < listed)
    world.checker.reportViolation(
      'ran_cancelled',
      [halted.length, listed],
      'an answer renews a lease and stops nothing',
    );
  await world.run(80);
  return world.checker.violations;
}

/**
 * A leader ends while machines with long tasks are deaf to the next one, and none can be returned. Their reports arrive,
 * so they look alive: what they ran must run elsewhere once the old owner's leases are over, and never before.
 */
export async function deafToTheNext(): Promise<{ broken: Violation[]; againAfterS: number }> {
  const world = new Meeting({ ...one, ...paces.caalv, initial: some(10) });
  await world.begin();
  const [part = ''] = world.ledShards(0);
  world.submit({ tasks: 20, cores: 2 }, long);
  await world.until('running', () => world.checker.runningTasks('j-1').length === 20, 40);
  world.cloud.hasOutage = true;
  await world.run(5);
  const deaf = new Set([...world.workers.values()].filter((w) => w.fencingToken > 0).map((w) => w.host));
  const first = [...deaf].slice(0, 4);
  world.network.dropOneWay((a, b) => a.kind === 'node' && first.includes(b));
  world.killController(0);
  await world.until('taken over', () => world.ownerOf(part) === 1, 15);
  const takenAt = world.time.now;
  const { leaseS, cancelS } = paces.caalv;
  // The old owner's proof, and the lease that it may have renewed last: nothing is held after that.
  await world.run(cancelS + 15);
  const started = world.checker.runningTasks('j-1').length;
  await world.until('all running again', () => world.checker.runningTasks('j-1').length === 20, 60);
  const againAfterS = started === 20 ? cancelS + 15 : (world.time.now - takenAt) / 1000;
  await world.run(leaseS);
  return { broken: world.checker.violations, againAfterS };
}

/**
 * Jobs accepted by others while the leader is refused, and in the last moment before the state service is down for all:
 * the nodes that have not seen them come must not keep all others from telling that they are open.
 */
async function acceptedUnseen(): Promise<Violation[]> {
  const world = new Meeting({ zones: ['a'], nodes: ['a', 'a', 'a'], initial: some(9) });
  await world.begin();
  // Most questions are about jobs that all know.
  for (let n = 0; n < 12; n++) world.submit({ id: `j-${String(100 + n)}`, tasks: 1, cores: 1 }, 300);
  await world.run(5);
  const host = world.controllerHost(0);
  if (host) world.store.setRefused(host, true);
  await world.run(1);
  world.submit({ id: 'j-1', tasks: 1, cores: 1 }, 30);
  await world.run(1.5);
  world.submit({ id: 'j-2', tasks: 1, cores: 1 }, 30);
  await world.until(
    'accepted',
    () => world.checker.isAccepted('j-1') && world.checker.isAccepted('j-2'),
    5,
    1,
  );
  world.store.setOutage(true);
  await world.run(125);
  world.store.setOutage(false);
  await world.run(10);
  if (host) world.store.setRefused(host, false);
  await world.run(60);
  return world.checker.violations;
}

/**
 * A leader that is cut off has missed a cancellation, and the processes that told of it are gone; the next ones have
 * only seen that there is no record of the job. In the outage that follows, the leader is asked about it.
 */
async function cancelledUnseen(): Promise<Violation[]> {
  const world = new Meeting({ zones: ['a'], nodes: ['a', 'a', 'a'], initial: some(9) });
  await world.begin();
  // Nobody asks about it, so that only the one that tells its user of the end has read it.
  void world.submitTo(0, { tasks: 1, cores: 1 }, 300);
  await world.until('accepted', () => world.checker.isAccepted('j-1'), 5);
  const host = world.controllerHost(0);
  if (host) world.store.setRefused(host, true);
  const mute = world.network.startPartition('drop', (x, y) => x.name === 'node-0' && y.kind === 'node');
  await world.run(0.5);
  expect('told', await withdrawn(world, 'j-1', 1));
  for (const node of world.others) world.killController(node);
  await world.run(0.3);
  for (const node of world.others) world.startController(node, 50);
  await world.run(4);
  world.store.setOutage(true);
  mute();
  await world.run(6);
  for (let n = 0; n < 5; n++) {
    void world.askNode('j-1', 0);
    await world.run(2);
  }
  world.store.setOutage(false);
  if (host) world.store.setRefused(host, false);
  await world.run(40);
  return world.checker.violations;
}

/** Two of three writes of every kind are carried out late, after newer ones, while jobs are accepted, run and cancelled. */
async function lateWrites(kind: string): Promise<Violation[]> {
  const world = new Meeting({ ...one, nodes: ['a', 'a', 'a'], initial: some(10) });
  let seen = 0;
  const late = (keys: string[]): TransactionFault | null => {
    if (!keys.some((key) => key.startsWith(kind)) || seen++ % 3 === 2) return null;
    return { appliedAfterMs: 2000 + ((seen * 3700) % 10_000), answered: false };
  };
  // Machines are recorded as they come up.
  if (kind === 'live/machines/') world.store.transactionFaultFor = late;
  await world.begin();
  world.store.transactionFaultFor = late;
  const jobs = Array.from({ length: 10 }, (_, n) => `j-${String(n)}`);
  for (const [n, id] of jobs.entries()) {
    // Tasks end far apart, so that each page is written many times.
    world.submit({ id, tasks: 6, cores: 1, zone: 'a' }, 4 + 3 * n);
    await world.run(2);
    if (n % 4 === 3) void world.withdraw(id, n % 3);
    if (n === 5) {
      world.killController(0);
      world.time.after(1500, () => world.startController(0, 50));
    }
  }
  await world.run(45);
  world.killController(1);
  await world.run(15);
  world.store.transactionFaultFor = null;
  world.startController(1, 50);
  await world.run(120);
  expect(`writes of ${kind}`, seen > 0);
  for (const id of jobs)
    if (world.checker.finalState(id) === null) world.checker.reportViolation('stuck', [id], id);
  return world.checker.violations;
}

/** Jobs of two and three tasks whose results come far apart, with the leader changed between any two of them. */
async function farApart(): Promise<Violation[]> {
  const world = new Meeting({ ...one, nodes: ['a', 'a', 'a'], initial: some(8) });
  await world.begin();
  const works = [2, 3, 2, 3].map((tasks, n) => {
    const id = `j-${String(n)}`;
    const work = world.submit({ id, tasks, cores: 4 }, 0);
    // The first within seconds, the last after two changes of leader.
    Object.assign(work, { runS: (index: number) => 6 + 26 * index + n });
    return work;
  });
  for (const [node, atS] of [0, 1, 2, 0].map((each, n) => [each, 10 + 16 * n] as const)) {
    world.time.after(atS * 1000, () => {
      // Right after results were heard, most often before they are recorded.
      world.killController(node);
      world.time.after(5200, () => world.startController(node, 50));
    });
  }
  await world.run(150);
  for (const { spec, results } of works)
    if (world.checker.finalState(spec.id) !== 'done' || results.size < spec.tasks)
      world.checker.reportViolation('stuck', [spec.id], spec.id);
  return world.checker.violations;
}

/** A controller is back before anybody has noticed that it was gone: its part has nobody until it is taken over anew. */
async function backAtOnce(): Promise<Violation[]> {
  const zones = ['a', 'b', 'c'];
  const initial = zones.map((zone) => ({ type: 'small', zone, spot: false, count: 3 }));
  const world = new Meeting({ zones, nodes: zones, initial });
  await world.begin();
  world.killController(0);
  await world.run(0.06);
  world.startController(0, 50);
  await world.run(1);
  world.submit({ tasks: 6, zone: 'a' }, 5);
  await world.run(60);
  if (world.checker.finalState('j-1') !== 'done') world.checker.reportViolation('stuck', ['j-1'], 'j-1');
  return world.checker.violations;
}

/** A leader is cut from the state service and its siblings, while users reach it: they are soon served by others. */
export async function cutFromBoth(): Promise<{ broken: Violation[]; slow: number }> {
  const world = new Meeting({ zones: ['a'], nodes: ['a', 'a', 'a'], initial: some(9) });
  await world.begin();
  const heal = world.network.startPartition(
    'hold',
    (x, y) => x.name === 'node-0' && ['state', 'node'].includes(y.kind),
  );
  await world.run(9);
  const before = { ...world.users.counts };
  for (let n = 0; n < 30; n++) {
    world.submit({ id: `j-${String(10 + n)}`, tasks: 1, cores: 1 }, 5);
    await world.run(1);
  }
  heal();
  await world.run(60);
  const { submitted, acceptedQuickly: quick } = world.users.counts;
  return {
    broken: world.checker.violations,
    slow: submitted - before.submitted - (quick - before.acceptedQuickly),
  };
}

/** The least number of controllers that the load balancer took for healthy in an outage for all. */
export async function healthyInOutage(): Promise<number> {
  const world = new Meeting({ zones: ['a'], nodes: ['a', 'a', 'a'], initial: some(6) });
  await world.begin();
  world.killController(2); // back without records, it owns nothing and is not ready, but it is there
  world.store.setOutage(true);
  world.startController(2, 50);
  let least = 3;
  for (let second = 0; second < 40; second++) {
    await world.run(1);
    least = Math.min(least, world.balancer.backends.slice(0, 2).filter((node) => node.healthy).length);
  }
  return least;
}

const meeting = { pace: 'caalv', cancelAfterS: 0.5, outageAfterS: 1, loyal: true, mute: true } as const;

/** One trouble more, while the leader is refused, jobs are cancelled and everybody loses the state service. */
const seconds: Record<string, (world: Meeting) => void> = {
  'the new owner ends': (world) =>
    world.others.slice(0, 1).forEach((n) => {
      world.killController(n);
      world.time.after(400, () => world.startController(n, 50));
    }),
  'both others end for good': (world) => world.others.forEach((n) => world.killController(n)),
  'the old leader stands still and wakes': (world) => world.freezeController(world.leader, 20_000),
  'machines are deaf': (world) =>
    void world.network.dropOneWay((a, b) => a.kind === 'node' && b.kind === 'worker' && b.zone === 'a'),
  'the outage ends in the middle': (world) => {
    world.time.after(15_000, () => world.store.setOutage(false));
    world.time.after(17_000, () => world.store.setOutage(true));
  },
  'writes are carried out late': (world) => (world.store.lateWriteShare = 0.7),
  'copies of old reports come': (world) => (world.network.lateHeartbeats = { share: 0.7, withinMs: 70_000 }),
  'the leader is back as another process': (world) => {
    world.killController(world.leader);
    world.time.after(300, () => world.startController(world.leader, 50));
  },
};

export const leaderStories: Record<string, Story> = {
  'a refused leader, a cancellation by another, an outage for all': () => broken(meeting),
  ...Object.fromEntries(
    Object.entries(seconds).flatMap(([name, trouble]) =>
      [2, 12].map((afterS): [string, Story] => [
        `the same, and ${name} after ${String(afterS)} s`,
        () => broken({ ...meeting, second: { afterS, trouble } }),
      ]),
    ),
  ),
  'a first answer to machines that were with a refused leader': firstAnswer,
  'an order to start that is held up beyond a cancellation': heldLaunch,
  'an answer to an old copy of a report': oldCopyAnswered,
  'a cancellation unseen by the leader, told by a process that is gone': cancelledUnseen,
  ...Object.fromEntries(
    ['live/job/', 'live/progress/', 'live/machines/', 'live/part/', 'live/node/'].map(
      (kind): [string, Story] => [`writes of ${kind} carried out late`, () => lateWrites(kind)],
    ),
  ),
  'a process back within a fraction of a second': backAtOnce,
  'tasks that end far apart across changes of leader': farApart,
  'jobs accepted unseen by the leader before an outage': acceptedUnseen,
  'a leader cut from the state service and its siblings': async () => (await cutFromBoth()).broken,
  'machines deaf to the next owner': async () => (await deafToTheNext()).broken,
};

/** All stories by name, as the mutants name them. */
export const stories: Record<string, Story> = {
  ...leaderStories,
  ...idleWaitStories,
  ...machineStories,
  ...reportStories,
  ...userStories,
};
