// The state service answers slowly for some seconds and is then down for longer than cancel_s. Users submit jobs
// until it is down, and ask about them while it is down.
/* eslint-disable @typescript-eslint/no-unsafe-member-access, @typescript-eslint/no-unsafe-assignment, @typescript-eslint/no-unsafe-call, @typescript-eslint/no-unsafe-return, @typescript-eslint/restrict-template-expressions -- plain JavaScript, which has no types */
import { dirname, join } from 'node:path';
import { fileURLToPath } from 'node:url';
import { Deployment, nowS, Record, runCase, sleep, TROUBLE } from '../standins/case.mjs';
import { smallDeployment } from '../standins/small.mjs';

/** Seconds for which every poll of a job has to fail (rule `forgotten`). */
const FORGOTTEN_S = 90;
/** Seconds of the outage: longer than cancel_s, which is 61. */
const OUTAGE_S = 100;
/** Milliseconds that a request to the slow state service waits: a few hundred. */
const SLOW_MS = [200, 700];
const SLOW_S = 4;
/** One-task jobs come four a second. */
const JOBS_PER_S = 4;
const TOGETHER = 8;
const POLL_EVERY_S = 5;

const record = new Record(join(dirname(fileURLToPath(import.meta.url)), 'record.txt'));
const deployment = new Deployment({ record, ...smallDeployment });
/** By accepted job, the polls of its user: when it was sent, and whether it was answered. */
const polls = new Map();
let isOver = false;
let end = () => {};
const over = new Promise((resolve) => (end = resolve));

/** A user polls a job every 5 s, each time on a new connection, which the load balancer gives to another node. */
async function poll(id, first) {
  const { nodes } = deployment.controllers;
  const results = [];
  polls.set(id, results);
  await sleep(Math.random() * 2);
  for (let turn = first; !isOver; turn++) {
    const at = nowS();
    const answer = await deployment.poll(id, nodes[turn % nodes.length]);
    results.push({ at, isAnswered: answer?.status === 200 || answer?.status === 404 });
    await Promise.race([over, sleep(Math.max(0, at + POLL_EVERY_S - nowS()))]);
  }
}

/** The jobs about which no poll was answered. */
const unanswered = () =>
  [...polls].filter(([, own]) => own.length > 0 && own.every(({ isAnswered }) => !isAnswered)).map(([id]) => id);

await runCase(record, deployment, async () => {
  await deployment.start();
  await deployment.startControllers();
  await sleep(2);
  const { store } = deployment;
  const users = [];
  let number = 100;
  /** A user submits a job and polls it once it is accepted. Resolves when it is accepted, or given up. */
  const useJob = async () => {
    const turn = ++number;
    const spec = deployment.job(`j-${String(turn).padStart(6, '0')}`, { runS: 300 });
    const answer = await deployment.submit(spec, turn);
    if (answer && !isOver) users.push(poll(spec.id, turn + 1));
  };

  for (let i = 0; i < 6; i++) await useJob();

  if (TROUBLE) store.slowMs = SLOW_MS;
  record.line(TROUBLE ? 'the state service answers slowly' : 'the state service answers as ever');
  const submissions = [];
  for (let i = 0; i < SLOW_S * JOBS_PER_S; i++) {
    submissions.push(useJob());
    await sleep(1 / JOBS_PER_S);
  }
  // Several users at the same time. The outage begins when the last of them has been told that the job is accepted.
  const together = Array.from({ length: TOGETHER }, () => useJob());
  submissions.push(...together);
  await Promise.all(together);
  if (TROUBLE) store.setOutage(true);
  const downAt = nowS();
  record.line(TROUBLE ? 'the state service is down' : 'the state service stays up');
  await sleep(OUTAGE_S);
  isOver = true;
  end();
  store.slowMs = null;
  store.setOutage(false);
  record.line('the state service is up');
  await Promise.all(users);
  await sleep(1);
  for (const id of unanswered()) await deployment.poll(id, deployment.controllers.nodes[0]);

  const results = [...polls.values()].flat().filter(({ at }) => at < downAt + OUTAGE_S);
  const answered = results.filter(({ isAnswered }) => isAnswered).length;
  record.line(`polls: ${String(results.length)}, answered: ${String(answered)}`);
  const broken = [];
  for (const id of unanswered()) {
    const own = polls.get(id);
    const failedS = own.at(-1).at - own[0].at;
    record.line(`every poll of ${id} failed, for ${failedS.toFixed(1)} s`);
    if (failedS >= FORGOTTEN_S && answered * 2 > results.length)
      broken.push(
        `forgotten: all ${String(own.length)} polls of ${id}, which was accepted, failed for ${failedS.toFixed(0)} s; ` +
          `${String(answered)} of all ${String(results.length)} polls were answered`,
      );
  }
  return broken;
});
