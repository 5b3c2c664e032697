/** Case 6: tasks wait beside room for 90 s, because the last task of their slice is done. */
import { runCase } from '../standins-2/deployment.ts';
import { list, now, num, sleep } from '../standins-2/wire.ts';

const JOB = 'j-000300';
const TASKS = 9;
const CORES = 4;
const ZONE = 'oulu';
/** The rule's bound: no job is left waiting for this long. */
const WAIT_MS = 90_000;

/** Seconds that a task runs: the later ones of the array are shorter. */
const runS = (index: number): number => 13 - 1.2 * index;

await runCase('review/6/record.txt', async (deployment, trouble) => {
  const { settings, state, work } = deployment;
  for (const [index, zone] of settings.zones.entries())
    await deployment.addMachine(`n-00010${String(index)}`, zone);
  const node = deployment.nodes[0]?.name ?? '';
  // The nodes have heard of every machine.
  await sleep(3500);
  await deployment.submit(node, { id: JOB, tasks: TASKS, cores: CORES, ramGb: 8, runS, estimateS: 9 });
  const slice = list(state.read(`live/job/${JOB}`)?.['slices']).find(({ part }) => part === ZONE);
  const [from, count] = [num(slice?.['from']), num(slice?.['count'])];
  deployment.record(`the tasks from ${String(from)}, ${String(count)} in all, are assigned to ${ZONE}`);
  if (count < 2) throw new Error(`fewer than two tasks in ${ZONE}`);
  const machine = deployment.machines.find(({ zone }) => zone === ZONE);
  if (!machine) throw new Error('no machine');
  const last = `${JOB}/${String(from + count - 1)}`;
  await deployment.until(`${last} is done`, 40_000, () => work.results.has(last));
  await sleep(900);
  if (trouble) {
    deployment.record(`${machine.id} stops with all that is on it`);
    machine.end();
  }
  // No trouble from now on.
  let waitingSince = now();
  const end = now() + WAIT_MS + 4000;
  while (now() < end) {
    await sleep(500);
    const waiting = Array.from({ length: TASKS }, (_, index) => `${JOB}/${String(index)}`).filter(
      (task) => !work.results.has(task) && deployment.machinesOf(task).length === 0,
    );
    const withRoom = deployment.machines.filter((each) => each.isUp && each.freeCores(work) >= CORES);
    if (waiting.length === 0 || withRoom.length === 0 || deployment.startedSince(JOB, waitingSince))
      waitingSince = now();
    if (Math.round(now() / 500) % 20 === 0) await deployment.poll(node, JOB);
    if (work.results.size === TASKS) return null;
    if (now() - waitingSince < WAIT_MS) continue;
    const rooms = withRoom.map(({ id, zone }) => `${id} in ${zone}`).join(', ');
    return `not run: ${waiting.join(', ')} have waited for 90 s while ${rooms} had room`;
  }
  return null;
});
