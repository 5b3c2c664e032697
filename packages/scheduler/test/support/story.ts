/** A deployment as most scenarios begin with it, and what they do with it. */
import { Cluster, REPORT_MS } from './cluster.ts';

/** The zones of the deployment; each has a controller of its name. */
export const zones = ['a', 'b', 'c'];

/** Three controllers, two workers in each zone, all shards led and all heartbeats answered. */
export async function cluster(maxCores = 0): Promise<Cluster> {
  const created = new Cluster(zones, maxCores);
  for (const zone of zones) created.start(zone);
  for (const zone of zones) for (const n of [1, 2]) created.addWorker(`${zone}${String(n)}`, zone);
  await created.clock.pass(4 * REPORT_MS);
  return created;
}

/** Lets running tasks end until the job is answered to be done, or for `rounds` rounds. Returns the last state. */
export async function workUntilDone(c: Cluster, zone: string, id: string, rounds = 30): Promise<string> {
  let state = '';
  for (let i = 0; i < rounds && state !== 'done'; i++) {
    for (const w of c.workers.values()) for (const task of w.running()) w.finish(task);
    await c.clock.pass(REPORT_MS);
    const answer = await c.poll(zone, id);
    if (answer.status === 200) state = String(answer.body['stato']);
  }
  return state;
}

/** How often the task was started, on any machine. */
export const startsOf = (c: Cluster, task: string): number =>
  [...c.workers.values()].flatMap((w) => w.started).filter((s) => s.task === task).length;
