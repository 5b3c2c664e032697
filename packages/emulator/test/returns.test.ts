import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import type { WireMessage } from '@onyxkeel/scheduler';
import { runSeededScenario, scenarioSeed } from '../src/randomized-testing.ts';
import { readJobState } from '../src/protocol/wire.ts';
import { TestCluster } from './test-cluster.ts';

/** Days of quick returns and late copies that the check plays; the long run is in docs/emulator.md. */
const DAYS = 6;

interface Said {
  from: string;
  to: string;
  message: WireMessage;
}

/** A world that notes what controllers say to one another. */
class Heard extends TestCluster {
  readonly said: Said[] = [];
  onSaid: (said: Said) => void = () => {};

  protected override onPeerMessage = (from: string, to: string, message: WireMessage): void => {
    this.said.push({ from, to, message });
    this.onSaid({ from, to, message });
  };

  /** A user asks that node about the job; the judge is told of the answer. */
  async askNode(job: string, node: number): Promise<void> {
    const askedAt = this.time.now;
    const address = `127.0.0.1:${String(9000 + node)}`;
    const call = { address, method: 'GET' as const, path: `/v1/jobs/${job}`, deadlineMs: 2000 };
    const reply = await this.network.exchange(this.usersHost, call).catch(() => null);
    if (reply) this.checker.onAnswer(job, 'poll', askedAt, reply.status, readJobState(reply.body));
  }
}

const three = { nodes: ['a', 'a', 'a'] };

/** Ends the node and has it back, serving, a moment later. */
async function back(world: TestCluster, node: number, afterMs = 60): Promise<void> {
  world.killController(node);
  await world.time.runUntil(world.time.now + afterMs);
  world.startController(node, 50);
}

describe('a process back within a fraction of a second', () => {
  it('takes no answer to the one before it for an answer to itself', async () => {
    const world = new Heard(three);
    await world.begin();
    world.submit({ id: 'j-2', tasks: 8 }, 60);
    await world.run(10);
    /** Cut off from the state service alone, the node asks its siblings for what its users ask it. */
    const askAlone = async (job: string): Promise<() => void> => {
      const heal = world.network.startPartition('drop', (x, y) => x.name === 'node-0' && y.kind === 'state');
      await world.run(4);
      void world.askNode(job, 0);
      await world.run(1);
      return heal;
    };
    (await askAlone('j-99'))();
    const old = world.said.filter(({ to, message }) => to === 'node-0' && message.kind === 'answer');
    assert.ok(old.length > 0, 'the siblings told of a job that nobody has submitted');
    await back(world, 0);
    await world.run(10);
    // As the next process asks about one that is accepted, copies of those answers come.
    world.onSaid = ({ from, message }) => {
      if (from !== 'node-0' || message.kind !== 'ask') return;
      for (const { from: sibling, message: answer } of old) {
        const host = world.controllerHost(Number(sibling.split('-')[1]));
        if (host) world.deliverDuplicate(host, 0, answer);
      }
    };
    (await askAlone('j-2'))();
    await world.run(90);
    world.assertAllDone();
  });

  it('stays up though what the one before it wrote of itself is carried out late', async () => {
    const initial = [{ type: 'small', zone: 'a', spot: false, count: 18 }];
    const world = new TestCluster({ ...three, initial });
    await world.begin();
    let late = 0;
    // The record of the process before: sent when it lost sight of a part, and carried out when the next one is up.
    world.store.transactionFaultFor = (keys, from) => {
      if (keys[0] !== 'live/node/node-0' || from !== first || late++ > 0) return null;
      return { appliedAfterMs: 3000, answered: false };
    };
    const first = world.controllerHost(0);
    const heal = world.network.startPartition('drop', (x, y) => x.name === 'node-0' && y.kind === 'worker');
    await world.until('written', () => late > 0, 20);
    heal();
    await back(world, 0);
    await world.run(8);
    const incarnation = (): string =>
      (world.store.read('live/node/node-0') as { incarnation: string } | undefined)?.incarnation ?? '';
    assert.equal(incarnation(), 'i4', 'the fourth process started is the one that is up');
    world.submit({ tasks: 12 }, 5);
    await world.run(60);
    world.assertAllDone();
  });

  it('does not free what a report of long ago lists and its machine has lost since', async () => {
    // One machine is heard by no controller, so that its lease ends and its tasks run elsewhere; then a takeover, and
    // the first that the next owner hears of it is a copy of what it reported before.
    const initial = [{ type: 'small', zone: 'a', spot: false, count: 12 }];
    const world = new TestCluster({ nodes: ['a', 'a'], initial, heartbeatS: 5, leaseS: 31, cancelS: 61 });
    await world.begin();
    const job = world.submit({ tasks: 24, ramGb: 2 }, 120);
    await world.until('running', () => world.checker.runningTasks('j-1').length === 24, 20);
    await world.run(10);
    const worker = [...world.workers.values()][0];
    assert.ok(worker);
    const copy = worker.nextHeartbeatText();
    const heal = world.network.startPartition('drop', (x, y) => x.name === worker.id && y.kind === 'node');
    world.cloud.hasOutage = true; // it can't be returned
    await world.until('its session over', () => worker.agentEpoch === 2, 60);
    await world.until('all running again', () => world.checker.runningTasks('j-1').length === 24, 60);
    // The machines that run them now are heard by the next owner only later.
    const others = world.network.startPartition(
      'drop',
      (x, y) => x.kind === 'node' && y.kind === 'worker' && y.name !== worker.id,
    );
    world.killController(1); // its part's owner
    await world.run(8);
    const call = { address: '127.0.0.1:9000', method: 'POST' as const, path: '/checkin', deadlineMs: 1000 };
    void world.network.exchange(world.usersHost, { ...call, body: copy }).catch(() => {});
    await world.run(1);
    heal();
    await world.run(6);
    others();
    world.startController(1, 50);
    world.cloud.hasOutage = false;
    await world.run(400);
    assert.equal(job.results.size, 24);
    world.assertAllDone();
  });

  it('breaks no rule on days of quick returns and late copies', async () => {
    for (let number = 0; number < DAYS; number++) {
      const { scenario: day, outcome } = await runSeededScenario('returns', scenarioSeed(5, number));
      assert.deepEqual(outcome.violations, [], `npm run explore -- --day '${JSON.stringify(day)}'`);
    }
  });
});
