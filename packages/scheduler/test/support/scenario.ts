/** A deployment as most scenarios begin with it, and what they do with it. */
import { Cluster, HEARTBEAT_INTERVAL_MS } from './cluster.ts';

/** The zones of the deployment; each has a controller of its name. */
export const zones = ['a', 'b', 'c'];

/** Three controllers, two workers in each zone, all shards led and all heartbeats answered. */
export async function startCluster(maxCores = 0): Promise<Cluster> {
  const created = new Cluster(zones, maxCores);
  for (const zone of zones) created.start(zone);
  for (const zone of zones) for (const n of [1, 2]) created.addWorker(`${zone}${String(n)}`, zone);
  await created.clock.advance(4 * HEARTBEAT_INTERVAL_MS);
  return created;
}

/** Lets running tasks end until the job is answered to be done, or for `rounds` rounds. Returns the last state. */
export async function finishTasksUntilDone(
  cluster: Cluster,
  zone: string,
  id: string,
  rounds = 30,
): Promise<string> {
  let state = '';
  for (let i = 0; i < rounds && state !== 'done'; i++) {
    for (const w of cluster.workers.values()) for (const task of w.runningTasks()) w.finish(task);
    await cluster.clock.advance(HEARTBEAT_INTERVAL_MS);
    const answer = await cluster.poll(zone, id);
    if (answer.status === 200) state = String(answer.body['stato']);
  }
  return state;
}

/** How often the task was started, on any machine. */
export const countStarts = (cluster: Cluster, task: string): number =>
  [...cluster.workers.values()].flatMap((w) => w.started).filter((s) => s.task === task).length;
