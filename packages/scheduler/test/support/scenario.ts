/** The deployment that most scenario tests start with, and helpers for these tests. */
import { Cluster, HEARTBEAT_INTERVAL_MS } from './cluster.ts';

/** The zones of the deployment. Each has a controller with the same name. */
export const zones = ['a', 'b', 'c'];

/**
 * Starts one controller and two workers in each of the three zones. Afterwards all shards have leaders and
 * all heartbeats are answered. `maxCores`: quota of the team `red` in cores; 0 for no limit.
 */
export async function startCluster(maxCores = 0): Promise<Cluster> {
  const created = new Cluster(zones, maxCores);
  for (const zone of zones) created.start(zone);
  for (const zone of zones) for (const n of [1, 2]) created.addWorker(`${zone}${String(n)}`, zone);
  await created.clock.advance(4 * HEARTBEAT_INTERVAL_MS);
  return created;
}

/**
 * Finishes all running tasks and then polls the job, for at most `rounds` rounds or until the job is done.
 * Returns the job's state in the last poll that was answered with 200.
 */
export async function finishTasksUntilDone(
  cluster: Cluster,
  nodeId: string,
  id: string,
  rounds = 30,
): Promise<string> {
  let state = '';
  for (let i = 0; i < rounds && state !== 'done'; i++) {
    for (const w of cluster.workers.values()) for (const task of w.runningTasks()) w.finish(task);
    await cluster.clock.advance(HEARTBEAT_INTERVAL_MS);
    const answer = await cluster.poll(nodeId, id);
    if (answer.status === 200) state = String(answer.body['stato']);
  }
  return state;
}

/** Number of starts of the task on the machines that the cluster has now; returned machines do not count. */
export const countStarts = (cluster: Cluster, task: string): number =>
  [...cluster.workers.values()].flatMap((w) => w.started).filter((s) => s.task === task).length;
