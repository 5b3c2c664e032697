import type { Violation } from '../src/invariant-rules.ts';
import { ScenarioCluster, siteTimings } from './refused-leader.ts';
import {
  violationsAfterCompletion,
  requirePrecondition,
  type ScriptedScenario,
} from './scripted-scenario.ts';
import { smallMachines } from './test-cluster.ts';

/**
 * Old heartbeats reach every controller during a takeover. Their age ranges from seconds to several leases,
 * and they list earlier agent epochs and attempts. They arrive with the new leader's record, with its first
 * query and after the first responses.
 */
async function staleHeartbeatsAtTakeover(seed: number): Promise<Violation[]> {
  const timings = siteTimings.matkaturva;
  const cluster = new ScenarioCluster(
    { zones: ['a'], nodes: ['a', 'a', 'a'], ...timings, initial: [smallMachines(12)] },
    undefined,
    seed,
  );
  await cluster.begin();
  const recorded: { body: string; from: string }[] = [];
  const recordHeartbeats = (): void => {
    for (const worker of cluster.workers.values())
      recorded.push({ body: worker.nextHeartbeatText(), from: worker.id });
  };
  for (let n = 0; n < 6; n++) cluster.submit({ id: `j-${String(n)}`, tasks: 8, cores: 2 }, 30 + 9 * n);
  await cluster.run(8);
  recordHeartbeats();
  // The heartbeats of five workers hang for longer than a worker lease. Their agent epochs end, so the tasks
  // in the first copies are restarted elsewhere over time.
  const silentHosts = new Set([...cluster.workers.values()].slice(0, 5).map((w) => w.host));
  const heal = cluster.network.hangCalls((a, b) => silentHosts.has(a) && b.kind === 'node');
  await cluster.run(timings.leaseS + 4);
  heal();
  recordHeartbeats();
  await cluster.run(6);
  recordHeartbeats();
  let delivered = 0;
  const deliver = (): void => {
    for (const { body, from } of recorded) {
      const worker = cluster.workers.get(from);
      for (const node of [0, 1, 2]) {
        if (!worker) continue;
        delivered++;
        void cluster.deliverHeartbeat(body, node, worker.host);
      }
    }
  };
  cluster.store.onPut = (key): void => {
    if (!key.startsWith('live/part/')) return;
    for (const ms of [0, 8, 60, 400, 1100, 2500, 6000]) cluster.time.after(ms, deliver);
  };
  for (const node of [0, 1, 2, 0]) {
    // Workers that now run the tasks of the old copies cannot reach the new leader during the takeover.
    const healPartition = cluster.network.startPartition(
      'drop',
      (x, y) => x.kind === 'worker' && !silentHosts.has(x) && y.kind === 'node',
    );
    cluster.killController(node);
    await cluster.run(9);
    healPartition();
    cluster.startController(node, 50);
    await cluster.run(7);
  }
  requirePrecondition('old heartbeats delivered', delivered > 1000);
  cluster.store.onPut = (): void => {};
  await cluster.run(120);
  return violationsAfterCompletion(cluster);
}

/** Duplicated heartbeats reach the same leader late, after newer ones. Their content is outdated. */
async function reorderedHeartbeats(): Promise<Violation[]> {
  const cluster = new ScenarioCluster({
    zones: ['a'],
    nodes: ['a', 'a'],
    ...siteTimings.matkaturva,
    initial: [smallMachines(10)],
  });
  await cluster.begin();
  cluster.network.copies.heartbeats = { share: 0.6, withinMs: 40_000 };
  const duplicate = cluster.network.copies.maybeDuplicate.bind(cluster.network.copies);
  // Counts all delivered requests and messages between controllers, not only heartbeats.
  let deliveries = 0;
  cluster.network.copies.maybeDuplicate = (deliver): void => {
    deliveries++;
    duplicate(deliver);
  };
  for (let n = 0; n < 25; n++) {
    cluster.submit({ id: `j-${String(n)}`, tasks: 5, cores: 2 }, 4 + (n % 5) * 6);
    await cluster.run(3);
  }
  await cluster.run(100);
  requirePrecondition('deliveries', deliveries > 100);
  return violationsAfterCompletion(cluster);
}

/**
 * When the leader is killed, the heartbeats of a third of the workers to the next leader are held back. They
 * reach the new leader only after it has acted.
 */
async function heartbeatsHeldUntilTakeover(): Promise<Violation[]> {
  const timings = siteTimings.caalv;
  const cluster = new ScenarioCluster({
    zones: ['a'],
    nodes: ['a', 'a'],
    ...timings,
    initial: [smallMachines(10)],
  });
  await cluster.begin();
  const [shard = ''] = cluster.ledShards(0);
  for (let n = 0; n < 5; n++) cluster.submit({ id: `j-${String(n)}`, tasks: 8, cores: 2 }, 20 + 15 * n);
  await cluster.run(6);
  let heldHeartbeats = 0;
  for (let round = 0; round < 3; round++) {
    const hosts = new Set([...cluster.workers.values()].filter((_, n) => n % 3 === round).map((w) => w.host));
    // Held until the new leader has queried the other workers (round 0), launched tasks (round 1) or declared
    // the machines lost (round 2).
    const heal = cluster.network.startPartition('hold', (x, y) => hosts.has(x) && y.name === 'node-1');
    cluster.killController(0);
    await cluster.until('the shard has a new leader', () => cluster.ownerOf(shard) === 1, 15);
    await cluster.run([4, 12, timings.leaseS + 3][round] ?? 4);
    heldHeartbeats += hosts.size;
    heal();
    await cluster.run(4);
    cluster.startController(0, 50);
    await cluster.run(15);
  }
  requirePrecondition('heartbeats held', heldHeartbeats > 0);
  await cluster.run(150);
  return violationsAfterCompletion(cluster);
}

export const heartbeatScenarios: Record<string, ScriptedScenario> = {
  'old heartbeats reach every controller during a takeover': () => staleHeartbeatsAtTakeover(1),
  ...Object.fromEntries(
    [3, 4].map((seed): [string, ScriptedScenario] => [
      `old heartbeats reach every controller during a takeover, seed ${String(seed)}`,
      () => staleHeartbeatsAtTakeover(seed),
    ]),
  ),
  'duplicated heartbeats arrive after newer ones': reorderedHeartbeats,
  'heartbeats held back until a new leader has acted': heartbeatsHeldUntilTakeover,
};
