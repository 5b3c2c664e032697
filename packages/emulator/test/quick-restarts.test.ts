import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import type { WireMessage } from '@onyxkeel/scheduler';
import { controllerAddress } from '../src/deployment.ts';
import { runSeededScenario, scenarioSeed } from '../src/randomized-testing.ts';
import { readJobState } from '../src/protocol/wire.ts';
import { smallMachines, TestCluster } from './test-cluster.ts';

/** Scenarios of quick restarts and late copies that run here. The long run is in docs/emulator.md. */
const SCENARIOS = 6;

interface SentPeerMessage {
  from: string;
  to: string;
  message: WireMessage;
}

/** A test cluster that records the messages between controllers. */
class PeerMessageRecorder extends TestCluster {
  readonly sentMessages: SentPeerMessage[] = [];
  onSentMessage: (sent: SentPeerMessage) => void = () => {};

  protected override onPeerMessage = (from: string, to: string, message: WireMessage): void => {
    this.sentMessages.push({ from, to, message });
    this.onSentMessage({ from, to, message });
  };

  /** Polls the job at the node and passes the answer to the checker. */
  async askNode(job: string, node: number): Promise<void> {
    const askedAt = this.time.now;
    const address = controllerAddress(node);
    const call = { address, method: 'GET' as const, path: `/v1/jobs/${job}`, deadlineMs: 2000 };
    const reply = await this.network.exchange(this.usersHost, call).catch(() => null);
    if (reply) this.checker.onAnswer(job, 'poll', askedAt, reply.status, readJobState(reply.body));
  }
}

const threeNodes = { nodes: ['a', 'a', 'a'] };

/** Kills the node and starts it again after `afterMs`; it serves 50 ms later. */
async function restartQuickly(world: TestCluster, node: number, afterMs = 60): Promise<void> {
  world.killController(node);
  await world.time.runUntil(world.time.now + afterMs);
  world.startController(node, 50);
}

describe('a controller restarted within a fraction of a second', () => {
  it('ignores answers to the requests of its previous process', async () => {
    const world = new PeerMessageRecorder(threeNodes);
    await world.begin();
    world.submit({ id: 'j-2', tasks: 8 }, 60);
    await world.run(10);
    /**
     * Partitions node 0 from the key-value store only and polls the job there, so that the node asks its
     * peers. Returns the function that ends the partition.
     */
    const pollWhilePartitioned = async (job: string): Promise<() => void> => {
      const heal = world.network.startPartition('drop', (x, y) => x.name === 'node-0' && y.kind === 'state');
      await world.run(4);
      void world.askNode(job, 0);
      await world.run(1);
      return heal;
    };
    (await pollWhilePartitioned('j-99'))();
    const staleAnswers = world.sentMessages.filter(
      ({ to, message }) => to === 'node-0' && message.kind === 'answer',
    );
    assert.ok(staleAnswers.length > 0, 'the peers answered about a job that no user has submitted');
    await restartQuickly(world, 0);
    await world.run(10);
    // When the new process asks about an accepted job, copies of those answers arrive.
    world.onSentMessage = ({ from, message }) => {
      if (from !== 'node-0' || message.kind !== 'ask') return;
      for (const { from: peer, message: answer } of staleAnswers) {
        const host = world.controllerHost(Number(peer.split('-')[1]));
        if (host) world.deliverDuplicate(host, 0, answer);
      }
    };
    (await pollWhilePartitioned('j-2'))();
    await world.run(90);
    world.assertAllDone();
  });

  it('stays up when the node record of its previous process is written late', async () => {
    const initial = [smallMachines(18)];
    const world = new TestCluster({ ...threeNodes, initial });
    await world.begin();
    let registrations = 0;
    // The previous process sends its record when it no longer reaches a shard's workers. The store applies
    // the record when the next process is up.
    world.store.transactionFaultFor = (keys, from) => {
      if (keys[0] !== 'live/node/node-0' || from !== first || registrations++ > 0) return null;
      return { appliedAfterMs: 3000, answered: false };
    };
    const first = world.controllerHost(0);
    const heal = world.network.startPartition('drop', (x, y) => x.name === 'node-0' && y.kind === 'worker');
    await world.until('written', () => registrations > 0, 20);
    heal();
    await restartQuickly(world, 0);
    await world.run(8);
    const incarnation = (): string =>
      (world.store.read('live/node/node-0') as { incarnation: string } | undefined)?.incarnation ?? '';
    assert.equal(incarnation(), 'i4', 'the fourth process started is the one that is up');
    world.submit({ tasks: 12 }, 5);
    await world.run(60);
    world.assertAllDone();
  });

  it('runs no task twice when an old heartbeat lists tasks that its worker has lost since', async () => {
    // No controller receives the heartbeats of one worker, so its lease expires and its tasks run elsewhere.
    // After a failover, the next leader's first heartbeat from this worker is a copy from before the expiry.
    const initial = [smallMachines(12)];
    const world = new TestCluster({ nodes: ['a', 'a'], initial, heartbeatS: 5, leaseS: 31, cancelS: 61 });
    await world.begin();
    const job = world.submit({ tasks: 24, ramGb: 2 }, 120);
    await world.until('running', () => world.checker.runningTasks('j-1').length === 24, 20);
    await world.run(10);
    const worker = [...world.workers.values()][0];
    assert.ok(worker);
    const copy = worker.nextHeartbeatText();
    const heal = world.network.startPartition('drop', (x, y) => x.name === worker.id && y.kind === 'node');
    world.cloud.hasOutage = true; // so that the machine cannot be returned
    await world.until('its agent epoch over', () => worker.agentEpoch === 2, 60);
    await world.until('all running again', () => world.checker.runningTasks('j-1').length === 24, 60);
    // The workers that now run the tasks cannot reach the next leader until later.
    const healOtherWorkers = world.network.startPartition(
      'drop',
      (x, y) => x.kind === 'node' && y.kind === 'worker' && y.name !== worker.id,
    );
    world.killController(1); // the leader of the worker's shard
    await world.run(8);
    const call = { address: '127.0.0.1:9000', method: 'POST' as const, path: '/checkin', deadlineMs: 1000 };
    void world.network.exchange(world.usersHost, { ...call, body: copy }).catch(() => {});
    await world.run(1);
    heal();
    await world.run(6);
    healOtherWorkers();
    world.startController(1, 50);
    world.cloud.hasOutage = false;
    await world.run(400);
    assert.equal(job.results.size, 24);
    world.assertAllDone();
  });

  it('violates no invariant in scenarios of quick restarts and late copies', async () => {
    for (let number = 0; number < SCENARIOS; number++) {
      const { scenario, outcome } = await runSeededScenario('returns', scenarioSeed(5, number));
      assert.deepEqual(outcome.violations, [], `npm run explore -- --day '${JSON.stringify(scenario)}'`);
    }
  });
});
