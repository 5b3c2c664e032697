/**
 * The disruption that two cases share: the controller of a zone is silent for the rest of the run, so that
 * another one leads the zone's shard, and then the zone is cut off for longer than `lease_s`. Packets are held,
 * so that a report which a worker sent early in the cut arrives when it is over, while a transaction of the
 * leader takes 400 ms.
 */
import type { Deployment, JobOptions } from './deployment.ts';
import type { Transaction, TransactionPlan } from './state.ts';
import { type Json, list, now, sleep, text } from './wire.ts';

const [HOME, CUT, FULL] = ['kajaani', 'oulu', 'tampere'];
const LEASE_MS = 16_000;
/** Milliseconds after the last answer when the leader no longer counts on the worker's lease, and a little more. */
const LEASE_OVER_MS = LEASE_MS + 1900;
const SLOW_ANSWER_MS = 400;
const RELEASE_AFTER_MS = 340;

const filler = (id: string, zone: string): JobOptions => ({
  id,
  tasks: 16,
  cores: 16,
  ramGb: 10,
  zone,
  runS: () => 300,
  estimateS: 300,
});

/** Machines: four in one zone, three in the one that is cut off, one in the third. */
export async function startMachines(deployment: Deployment): Promise<void> {
  for (let i = 1; i <= 4; i++) await deployment.addMachine(`n-00010${String(i)}`, HOME);
  for (let i = 1; i <= 3; i++) await deployment.addMachine(`n-00020${String(i)}`, CUT);
  await deployment.addMachine('n-000301', FULL);
  await deployment.until('tasks can start', 30_000, async () => {
    const reply = await deployment.ask(deployment.nodeOf(HOME), 'GET', '/ready');
    return reply.status === 200;
  });
}

/** Whether a node leads the shard of the zone that is cut off, according to the state service. */
function leaderOfCutZone(deployment: Deployment): string {
  return text(deployment.state.read(`live/part/${CUT}`)?.['owner']);
}

function slicesWritten({ writes }: Transaction, id: string): number {
  const put = writes.find(({ key, v }) => key === `live/job/${id}` && v !== null);
  return put ? list(put.v?.['slices']).length : 0;
}

/**
 * Plays the disruption around the job, whose first three tasks run in the zone that is cut off. `onCut` is
 * called when the cut begins, with the machine on which the task with index 2 is.
 */
export async function playLateReport(
  deployment: Deployment,
  trouble: boolean,
  job: JobOptions,
  onCut: () => void,
): Promise<void> {
  const home = deployment.nodeOf(HOME);
  await startMachines(deployment);
  await deployment.submit(home, filler('j-000101', HOME));
  await deployment.submit(home, filler('j-000102', FULL));
  await deployment.until('the other zones are full', 30_000, () => {
    const busy = deployment.machines.filter(({ zone, running }) => zone !== CUT && running.length > 0);
    return busy.length === 5;
  });
  if (trouble) {
    deployment.kill(deployment.nodeOf(CUT));
    await deployment.until('another node leads the shard', 30_000, () => {
      const leader = leaderOfCutZone(deployment);
      return leader !== '' && leader !== deployment.nodeOf(CUT);
    });
    deployment.record(`${leaderOfCutZone(deployment)} leads the shard of ${CUT}`);
  }
  await sleep(18_000);
  await deployment.submit(home, job);
  const task = `${job.id}/2`;
  await deployment.until(`${task} runs`, 20_000, () => deployment.machinesOf(task).length === 1);
  const machine = deployment.machines.find(({ id }) => deployment.machinesOf(task).includes(id));
  if (!machine) throw new Error('the task has ended early');
  const answered = machine.answered;
  await deployment.until('its next report is answered', 8000, () => machine.answered > answered);
  const cutAt = now();
  if (trouble) {
    deployment.holdZone(CUT);
    deployment.state.onTransaction = (transaction): TransactionPlan => {
      const isMigration = slicesWritten(transaction, job.id) > sliceCount(deployment, job.id);
      if (!isMigration) return {};
      deployment.record(`state service: a change of ${job.id} takes ${String(SLOW_ANSWER_MS)} ms`);
      deployment.state.onTransaction = () => ({});
      setTimeout(() => deployment.releaseZone(CUT), RELEASE_AFTER_MS);
      return { delayMs: SLOW_ANSWER_MS };
    };
  }
  onCut();
  await sleep(LEASE_OVER_MS);
  const reply = await deployment.ask(home, 'POST', '/v1/jobs/j-000101/withdraw', {});
  deployment.record(
    `user -> ${home}: withdraw j-000101: ${String(reply.status)} ${JSON.stringify(reply.body)}`,
  );
  if (!trouble) return;
  await deployment.until('the cut is over', 10_000, () => !machine.link.isHolding);
  const lengthS = ((now() - cutAt) / 1000).toFixed(1);
  deployment.record(`the cut lasted ${lengthS} s`);
}

function sliceCount(deployment: Deployment, id: string): number {
  const open: Json | null = deployment.state.read(`live/job/${id}`);
  return open ? list(open['slices']).length : 0;
}
