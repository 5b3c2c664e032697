/** Case 5: a task runs on two machines after a late report met the migration of its slice. */
import { runCase } from '../standins-2/deployment.ts';
import { playLateReport } from '../standins-2/late-report.ts';
import { sleep } from '../standins-2/wire.ts';

const JOB = 'j-000200';
const WATCH_MS = 35_000;

await runCase('review/5/record.txt', async (deployment, trouble) => {
  const broken: string[] = [];
  deployment.onStart = (machine, task) => {
    const others = deployment.machinesOf(task).filter((id) => id !== machine);
    if (others.length > 0)
      broken.push(`ran_twice: ${task} starts on ${machine} while it is on ${others.join(', ')}`);
  };
  const job = { id: JOB, tasks: 6, cores: 16, ramGb: 10, runS: () => 60, estimateS: 60 };
  await playLateReport(deployment, trouble, job, () => undefined);
  for (let waited = 0; waited < WATCH_MS; waited += 500) {
    await sleep(500);
    if (broken.length > 0) break;
  }
  return broken[0] ?? null;
});
