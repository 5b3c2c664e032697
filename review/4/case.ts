/** Case 4: a job is called done before all of its tasks are, after a late result met the migration of its slice. */
import { runCase } from '../standins-2/deployment.ts';
import { playLateReport } from '../standins-2/late-report.ts';
import { sleep, text } from '../standins-2/wire.ts';

const JOB = 'j-000200';
const TASKS = 6;
const WATCH_MS = 50_000;
/** Seconds that the tasks run: the one with index 2 ends just after the cut has begun, the one with index 1 late. */
const RUN_S = [20, 60, 1.2, 20, 20, 20];

await runCase('review/4/record.txt', async (deployment, trouble) => {
  const runS = (index: number): number => RUN_S[index] ?? 20;
  const job = { id: JOB, tasks: TASKS, cores: 16, ramGb: 10, runS, estimateS: 20 };
  await playLateReport(deployment, trouble, job, () => undefined);
  const node = deployment.nodes[0]?.name ?? '';
  for (let waited = 0; waited < WATCH_MS; waited += 1000) {
    await sleep(1000);
    const reply = await deployment.poll(node, JOB);
    if (reply.status !== 200 || text(reply.body['stato']) !== 'done') continue;
    const missing = Array.from({ length: TASKS }, (_, index) => `${JOB}/${String(index)}`).filter(
      (task) => !deployment.work.results.has(task),
    );
    return missing.length > 0 ? `not_done: ${JOB} is called done, and ${missing.join(', ')} is not` : null;
  }
  return null;
});
