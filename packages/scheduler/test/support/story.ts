import { Cluster, REPORT_MS } from './cluster.ts';

export const zones = ['a', 'b', 'c'];

/** Three controllers, two workers a zone, everything settled. */
export async function cluster(maxCores = 0): Promise<Cluster> {
  const made = new Cluster(zones, maxCores);
  for (const zone of zones) made.start(zone);
  for (const zone of zones) for (const n of [1, 2]) made.addWorker(`${zone}${String(n)}`, zone);
  await made.clock.pass(4 * REPORT_MS);
  return made;
}

/** Lets running tasks end until the job is told done, or a number of rounds is over. */
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
