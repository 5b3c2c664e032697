import type { Violation } from '../src/invariant-checker.ts';
import type { TransactionFault } from '../src/key-value-store-server.ts';
import { Meeting, paces, refusedLeader } from './refused-leader.ts';
import { allDone, expect, type Story } from './story.ts';

const long = 1000;
const one = { zones: ['a'], nodes: ['a', 'a', 'a'] };
const some = (count: number): { type: string; zone: string; spot: boolean; count: number }[] => [
  { type: 'small', zone: 'a', spot: false, count },
];

/** Counts the questions that users put straight to nodes when they look closely. */
function countLooks(world: Meeting): () => number {
  let looks = 0;
  const ask = world.users.sendRequest.bind(world.users);
  world.users.sendRequest = (id, question, work, node): Promise<number> => {
    if (node !== undefined && node !== null) looks++;
    return ask(id, question, work, node);
  };
  world.users.queriesAllNodes = true;
  return () => looks;
}

/**
 * Users ask at all nodes, again and again within milliseconds, and repeat the submission, right after a job was accepted,
 * ended or confirmed as cancelled; some cancel at once. Meanwhile something is wrong with the first node, or with all.
 */
async function closeLooks(trouble: (world: Meeting, n: number) => void): Promise<Violation[]> {
  const world = new Meeting({ ...one, initial: some(12) });
  await world.begin();
  const looks = countLooks(world);
  for (let n = 0; n < 24; n++) {
    const id = `j-${String(n)}`;
    trouble(world, n);
    world.submit({ id, tasks: 1 + (n % 3), cores: 1 }, 1 + (n % 4));
    await world.run(0.7);
    if (n % 3 === 0) void world.users.cancelIfAccepted(id);
  }
  trouble(world, -1);
  await world.run(60);
  const ends = [...world.workload.keys()].map((id) => world.checker.finalState(id));
  expect('looks', looks() > 24 * 6);
  expect('done and cancelled', ends.includes('done') && ends.includes('cancelled'));
  return allDone(world);
}

/** The first node is refused by the state service, on and off. */
const refusedOnAndOff = (world: Meeting, n: number): void => {
  const host = world.controllerHost(0);
  if (host) world.store.setRefused(host, n >= 0 && n % 6 < 4);
};
const restarted = (world: Meeting, n: number): void => {
  if (n < 0 || n % 4 !== 1) return;
  world.killController(0);
  world.time.after(150, () => world.startController(0, 50));
};

/** Two of three writes of a kind are carried out at once and not answered, and users look closely at all nodes. */
async function lostAnswers(kind: string): Promise<Violation[]> {
  const world = new Meeting({
    ...one,
    initial: some(10),
    teams: [{ name: 'red', cores: 8, maxCores: 24 }],
  });
  let seen = 0;
  const lose = (keys: string[]): TransactionFault | null => {
    if (!keys.some((key) => key.startsWith(kind)) || seen++ % 3 === 2) return null;
    return { appliedAfterMs: 0, answered: false };
  };
  if (kind === 'live/machines/') world.store.transactionFaultFor = lose;
  await world.begin();
  const looks = countLooks(world);
  world.store.transactionFaultFor = lose;
  for (let n = 0; n < 16; n++) {
    const id = `j-${String(n)}`;
    world.submit({ id, tasks: 6, cores: 1 + (n % 4) }, 2 + (n % 7));
    await world.run(2);
    if (n % 3 === 1) void world.users.cancelIfAccepted(id);
    if (n === 5) {
      world.killController(0);
      world.time.after(1500, () => world.startController(0, 50));
    }
  }
  await world.run(90);
  expect(`writes of ${kind} without an answer`, seen > 0);
  expect('looks', looks() > 0);
  world.store.transactionFaultFor = null;
  await world.run(60);
  return allDone(world);
}

/**
 * What the state service says to the first node is lost, for a while, while what the node asks of it is carried out: its
 * transactions have no answer, nor does it see them in its copy, while the others read what they wrote.
 */
async function unheardAnswers(): Promise<Violation[]> {
  const world = new Meeting({
    ...one,
    initial: some(12),
    teams: [{ name: 'red', cores: 8, maxCores: 24 }],
  });
  await world.begin();
  const looks = countLooks(world);
  let unseen = 0;
  for (let n = 0; n < 12; n++) {
    for (let k = 0; k < 2; k++) world.submit({ id: `j-${String(2 * n + k)}`, tasks: 8, cores: 2 }, 5 + n);
    await world.run(1.5);
    const heal = world.network.dropOneWay((a, b) => a.kind === 'state' && b.name === `node-${String(n % 3)}`);
    const before = world.store.counts.changes;
    if (n % 2 === 0) void world.withdraw(`j-${String(2 * n)}`, n % 3);
    await world.run(3);
    unseen += world.store.counts.changes - before;
    heal();
    await world.run(2);
  }
  expect('writes meanwhile', unseen > 0);
  expect('looks', looks() > 0);
  await world.run(150);
  return allDone(world);
}

/**
 * An owner gives up share of a limit that it has no room for. The transaction is carried out, the owner hears nothing of it,
 * and the taker uses the share; then there is room at the owner's part.
 */
async function shareGivenUnheard(): Promise<Violation[]> {
  const world = new Meeting({
    zones: ['a'],
    nodes: ['a', 'a'],
    initial: some(10),
    teams: [
      { name: 'red', cores: 8, maxCores: 24 },
      { name: 'blue', cores: 8, maxCores: 0 },
    ],
  });
  await world.begin();
  const machines = [0, 1].map((node) => world.machinesOf(world.ledShards(node)[0] ?? ''));
  expect(
    'machines in both parts',
    machines.every((each) => each.length >= 2),
  );
  world.submit({ id: 'j-1', team: 'blue', tasks: 10, cores: 8 }, long);
  await world.until('full', () => world.checker.runningTasks('j-1').length === 10, 60);
  world.submit({ id: 'j-2', tasks: 48, cores: 1 }, long);
  await world.run(5);
  const free = (node: number): void => {
    for (const id of machines[node] ?? [])
      world.workers.get(id)?.completeTasks((task) => task.startsWith('j-1/'));
  };
  let shifts = 0;
  world.store.onPut = (key): void => void (shifts += Number(key === 'live/quota/red'));
  const heal = world.network.dropOneWay((a, b) => a.kind === 'state' && b.name === 'node-0');
  free(1);
  await world.until('given up', () => shifts > 0, 10, 20);
  await world.run(1.5);
  free(0);
  await world.run(3);
  expect('used by the taker', world.checker.usedCores('red') > 12);
  heal();
  await world.run(40);
  return world.checker.violations;
}

/**
 * A withdrawal is carried out and its answer lost; the user's repetition, at another node, reads it back. The owner of the
 * tasks has no contact with the state service: that the tasks are gone soon takes somebody's word.
 */
export async function readBack(): Promise<{ broken: Violation[]; goneAfterS: number }> {
  const world = new Meeting({ ...one, nodes: ['a', 'a'], ...paces.caalv, initial: some(6) });
  await world.begin();
  world.submit({ tasks: 24, cores: 2 }, long);
  await world.until('running', () => world.checker.runningTasks('j-1').length === 24, 40);
  const [part = ''] = world.ledShards(0);
  const theirs = world.machinesOf(part);
  const owner = world.controllerHost(0);
  if (owner) world.store.setRefused(owner, true);
  // The machines hear nobody else, so no takeover stops anything on them.
  world.network.startPartition('drop', (x, y) => x.name === 'node-1' && y.kind === 'worker');
  world.store.transactionFaultFor = (keys): TransactionFault | null =>
    keys.includes('job/j-1') ? { appliedAfterMs: 0, answered: false } : null;
  const left = (): number => theirs.reduce((n, id) => n + (world.workers.get(id)?.jobIds().length ?? 0), 0);
  expect('tasks on machines when the user asks', left() > 0);
  let told = false;
  for (let tries = 0; tries < 6 && !told; tries++) {
    void world.withdraw('j-1', 1).then((done) => (told ||= done));
    await world.run(1);
  }
  expect('told', told);
  const from = world.time.now;
  while (left() > 0 && world.time.now < from + 90_000) await world.run(0.5);
  return { broken: world.checker.violations, goneAfterS: (world.time.now - from) / 1000 };
}

/** A cancellation, a question and a repeated submission meet the end of a job's last task, at every pair of nodes. */
async function atTheEnd(): Promise<Violation[]> {
  const world = new Meeting({ ...one, initial: some(8) });
  await world.begin();
  const ends = { done: 0, cancelled: 0 };
  let n = 0;
  for (const asked of [0, 1, 2])
    for (const told of [0, 1, 2])
      for (const appliedAfterMs of [0, 6, 12, 18, 24, 40]) {
        const id = `j-${String(n++)}`;
        let met = false;
        // The end's transaction has arrived: it is carried out before, between or after what the users' requests do.
        world.store.transactionFaultFor = (keys): TransactionFault | null => {
          if (met || !keys.includes(`job/${id}`)) return null;
          met = true;
          void world.withdraw(id, asked);
          void world.askNode(id, told);
          void world.users.sendRequest(id, 'submit', work, world.balancer.backends[told]?.address);
          return { appliedAfterMs, answered: true };
        };
        const work = world.submit({ id, tasks: 2, cores: 1 }, 1);
        await world.until('the end of the last task', () => met, 20, 1);
        for (let ms = 0; ms < 60; ms += 10) {
          for (const node of [0, 1, 2]) void world.askNode(id, node);
          await world.run(0.01);
        }
        await world.run(0.5);
        const final = world.checker.finalState(id);
        if (final) ends[final]++;
      }
  await world.run(20);
  expect('some cancelled in time and some too late', ends.done > 0 && ends.cancelled > 0);
  return allDone(world);
}

/**
 * Jobs are cancelled in the seconds in which a controller's work changes hands: before, between and after the steps of a
 * takeover and of the handover back, every quarter of a second one, by whatever node.
 */
async function workChangesHands(second: (world: Meeting) => void = () => {}): Promise<Violation[]> {
  const world = new Meeting({ ...one, ...paces.matkaturva, initial: some(16) });
  await world.begin();
  const [part = ''] = world.ledShards(0);
  const jobs = Array.from({ length: 56 }, (_, n) => `j-${String(n)}`);
  for (const id of jobs) world.submit({ id, tasks: 2, cores: 1 }, long);
  await world.until('running', () => jobs.every((id) => world.checker.runningTasks(id).length === 2), 60);
  const owners = new Set<number>();
  const cancelled: { at: number; owner: number }[] = [];
  for (const [n, id] of jobs.entries()) {
    if (n === 4) world.killController(0);
    if (n === 12) second(world);
    if (n === 24) world.startController(0, 50);
    const owner = world.ownerOf(part);
    owners.add(owner);
    const before = world.time.now;
    void world.users.cancelIfAccepted(id).then(() => cancelled.push({ at: before, owner }));
    await world.run(0.25);
  }
  await world.run(paces.matkaturva.cancelS + 10);
  expect('the part changed hands meanwhile', owners.size > 1);
  expect('all cancelled', cancelled.length === jobs.length);
  return allDone(world);
}

/** One-task jobs come four a second for minutes, a quarter of them cancelled, some at once and some while they run. */
async function swarm(second: (world: Meeting) => void = () => {}): Promise<Violation[]> {
  const world = new Meeting({ ...one, initial: some(14), teams: [{ name: 'red', cores: 8, maxCores: 0 }] });
  await world.begin();
  const seconds = 150;
  for (let n = 0; n < 4 * seconds; n++) {
    const id = `j-${String(n)}`;
    world.submit({ id, tasks: 1, cores: 1 }, 3 + (n % 9));
    if (n % 4 === 0) world.time.after(200 + 700 * (n % 13), () => void world.users.cancelIfAccepted(id));
    if (n === 240) second(world);
    await world.run(0.25);
  }
  await world.run(60);
  const ends = [...world.workload.keys()].map((id) => world.checker.finalState(id));
  expect('cancelled ones', ends.filter((end) => end === 'cancelled').length > (4 * seconds) / 8);
  const done = ends.filter((end) => end === 'done').length;
  if (done < (4 * seconds) / 2) world.checker.reportViolation('unserved', [done], `${String(done)} done`);
  return allDone(world);
}

/** Jobs are cancelled around the very moment at which the leader alone is refused, in steps, and a second later all are. */
async function atTheRefusal(pace: keyof typeof paces, fromMs: number): Promise<Violation[]> {
  const all: Violation[] = [];
  for (let ms = fromMs; ms < fromMs + 300; ms += 50) {
    const plan = { pace, cancelAfterS: ms / 1000, outageAfterS: Math.max(0.05, 1 - ms / 1000 - 0.4) };
    const told = await refusedLeader({ ...plan, loyal: true, mute: true });
    expect('tasks on machines when the users were told', told.onMachines > 0);
    all.push(...told.broken);
  }
  return all;
}

const backAtOnce = (world: Meeting): void => {
  world.killController(1);
  world.time.after(180, () => world.startController(1, 20));
};
const hang = (world: Meeting): void => {
  for (const worker of [...world.workers.values()].slice(0, 3))
    worker.host.clock.frozenUntil = world.time.now + 9000;
};
const lateWrites = (world: Meeting): void => {
  world.store.lateWriteShare = 0.3;
  world.time.after(15_000, () => (world.store.lateWriteShare = 0));
};
const more = {
  'a process back within 0.2 s': backAtOnce,
  'machines that hang': hang,
  'late writes': lateWrites,
};

export const userStories: Record<string, Story> = {
  'users look closely at all nodes': () => closeLooks(() => {}),
  'users look closely at all nodes, one of them slow': () =>
    closeLooks((world, n) => (world.store.extraLatencyMs = n >= 0 ? 700 : 0)),
  'users look closely at all nodes, one of them refused': () => closeLooks(refusedOnAndOff),
  'users look closely at all nodes, one of them just restarted': () => closeLooks(restarted),
  'users look closely at all nodes, in an outage': () =>
    closeLooks((world, n) => world.store.setOutage(n >= 0 && n % 8 > 5)),
  'users look closely at all nodes, writes without an answer': () =>
    closeLooks((world, n) => (world.store.lostAnswerShare = n >= 0 ? 0.4 : 0)),
  'users look closely at all nodes, a leader cut from its siblings and refused': () => {
    let heal = (): void => {};
    return closeLooks((world, n) => {
      refusedOnAndOff(world, n);
      if (n % 6 === 0)
        heal = world.network.startPartition('drop', (x, y) => x.name === 'node-0' && y.kind === 'node');
      if (n % 6 === 4 || n < 0) heal();
    });
  },
  ...Object.fromEntries(
    ['live/job/', 'job/', 'live/progress/', 'live/machines/', 'live/part/', 'live/node/', 'live/quota/'].map(
      (kind): [string, Story] => [
        `writes of ${kind} carried out at once without an answer`,
        () => lostAnswers(kind),
      ],
    ),
  ),
  'a node that the state service hears and that does not hear it': unheardAnswers,
  'share of a limit given up by a node that does not hear of it': shareGivenUnheard,
  'a withdrawal without an answer, read back elsewhere': async () => (await readBack()).broken,
  'a cancellation, a question and a submission at the end of the last task': atTheEnd,
  'jobs cancelled while work changes hands': () => workChangesHands(),
  'one-task jobs four a second, a quarter cancelled': () => swarm(),
  ...Object.fromEntries(
    Object.entries(more).flatMap(([name, second]): [string, Story][] => [
      [`jobs cancelled while work changes hands, and ${name}`, () => workChangesHands(second)],
      [`one-task jobs four a second, a quarter cancelled, and ${name}`, () => swarm(second)],
    ]),
  ),
  'jobs cancelled at the very moment of the refusal, caalv': () => atTheRefusal('caalv', 0),
  'jobs cancelled at the very moment of the refusal, matkaturva': () => atTheRefusal('matkaturva', 0),
};
