import { Command, InvalidArgumentError, Option } from 'commander';
import type { JobSpec, Log } from '@onyxkeel/scheduler';
import { Cluster, silentLog } from './cluster.ts';
import type { Loss } from './losses.ts';
import { newWork } from './workload.ts';

/**
 * Loses the state service's data under load and tells how long it takes until users and machines are served again, with
 * what it costs. Virtual time, no processor time charged.
 */
const LOSS_S = 135;
const GAP_S = 45;

type Kind = 'all' | 'copy' | 'jobs' | 'copy and all controllers';
const kinds: Record<Kind, Loss> = {
  all: { of: 'all', revisions: 'back', leases: true },
  copy: { of: 'copy', ageS: 60, revisions: 'back', leases: true },
  jobs: { of: 'prefix', prefix: 'job/', revisions: 'on', leases: false },
  'copy and all controllers': { of: 'copy', ageS: 60, revisions: 'back', leases: true },
};

function specOf(n: number, tasks: number, cores: number): JobSpec {
  return {
    id: `j-${String(n)}`,
    class: 'short',
    team: 'red',
    kind: 'batch',
    priority: 2,
    tasks,
    cores,
    accelerators: 0,
    ramGb: 2 * cores,
    image: `img-${String(n % 5)}`,
    imageGb: 0.5,
    types: null,
    zone: null,
    oneZone: false,
    spread: false,
    spot: n % 2 === 0,
    estimateS: 12,
    checkpointS: 0,
    saveS: 0,
    deadlineS: null,
  };
}

interface Line {
  atS: number;
  message: string;
  fields: Record<string, unknown>;
}

async function measure(kind: Kind, machines: number, open: number): Promise<string> {
  const zones = ['a', 'b', 'c'];
  const type = { localGb: 20, pullGbPerS: 1, price: 0.4, spotPrice: 0.1, bootS: 12 };
  const types = [
    { ...type, name: 'small', cores: 8, ramGb: 32 },
    { ...type, name: 'large', cores: 16, ramGb: 128 },
  ];
  const each = Math.ceil(machines / 6);
  const lines: Line[] = [];
  const log = (): Log => ({
    ...silentLog,
    info: (fields, message) =>
      lines.push({ atS: cluster.time.now / 1000, message, fields: fields as Line['fields'] }),
    warn: (fields, message) =>
      lines.push({ atS: cluster.time.now / 1000, message, fields: fields as Line['fields'] }),
  });
  const cluster = new Cluster(
    {
      zones,
      nodes: ['a', 'b', 'c', 'a', 'b'],
      types,
      capacity: [],
      initial: zones.flatMap((zone) =>
        types.map(({ name }) => ({ type: name, zone, spot: name === 'large', count: each })),
      ),
      teams: [{ name: 'red', cores: 8, maxCores: 0 }],
      objectives: [{ class: 'short', withinS: 60 }],
      reportS: 5,
      leaseS: 31,
      cancelS: 61,
      state: { rps: 250, writeRps: 50, valueKb: 8, txnOps: 40 },
      cloud: { rps: 6, listLagS: 8 },
      clockOffMs: 5,
    },
    { seed: 1, log },
  );
  const { time, users, workload, judge, state } = cluster;
  state.keepCopies();
  cluster.deployment.nodes.forEach((_, n) => cluster.start(n));
  const submit = (spec: JobSpec, atS: number, runS: number): void => {
    const work = newWork(spec, () => runS, false);
    workload.set(spec.id, work);
    users.begin(work, { atS, cancelAtS: null, againAtS: null });
  };
  // Long ones first, as many as are to be open; then a job a second, before and after the loss.
  for (let n = 0; n < open; n++)
    submit(specOf(10_000 + n, 3, 1), 15 + (n * (LOSS_S - 25)) / Math.max(1, open), 400);
  for (let n = 0; n < LOSS_S + GAP_S; n++) submit(specOf(n, 3 + (n % 17), 1 + (n % 3)), 15 + n, 4 + (n % 9));
  await time.runUntil(LOSS_S * 1000);
  const before = { ...state.counts };
  const accepted = users.counts.accepted;
  const kept = state.keys('live/job/').length;
  cluster.lose(kinds[kind]);
  if (kind === 'copy and all controllers') {
    cluster.deployment.nodes.forEach((_, n) => {
      cluster.end(n);
      time.after(6000, () => cluster.start(n));
    });
  }
  let acceptedAt = Infinity;
  let startedAt = Infinity;
  // Starts before the epoch is open are those that were ordered before the loss.
  let atOpen: { counts: typeof before; started: number } | null = null;
  for (let t = 0; t < 1200 && !(users.open === 0); t++) {
    await time.runUntil(time.now + 250);
    const opened = lines.some(
      (l) => l.atS >= LOSS_S && l.message === 'epoch opened' && l.fields['result'] === 'committed',
    );
    if (users.counts.accepted > accepted && acceptedAt === Infinity && opened)
      acceptedAt = time.now / 1000 - LOSS_S;
    if (opened) atOpen ??= { counts: { ...state.counts }, started: judge.started };
    if (atOpen && judge.started > atOpen.started && startedAt === Infinity)
      startedAt = time.now / 1000 - LOSS_S;
  }
  await time.runUntil(time.now + 700_000);
  const first = (message: string): string => {
    const at = lines.find((l) => l.atS >= LOSS_S && l.message === message)?.atS;
    return at === undefined ? '-' : (at - LOSS_S).toFixed(1);
  };
  const unended = [...workload.keys()].filter(
    (id) => judge.isAccepted(id) && judge.finalState(id) === null && !judge.isLost(id),
  ).length;
  const rules = new Map<string, number>();
  for (const { rule } of judge.violations) rules.set(rule, (rules.get(rule) ?? 0) + 1);
  const s = (seconds: number): string => (seconds === Infinity ? '-' : seconds.toFixed(1));
  return (
    `| ${kind} | ${String(machines)} | ${String(kept)} | ${first('the state service has lost data')} | ${first('epoch opened')} | ` +
    `${s(acceptedAt)} | ${s(startedAt)} | ${String((atOpen?.counts.changes ?? NaN) - before.changes)}, ` +
    `${String((atOpen?.counts.requests ?? NaN) - before.requests)} | ` +
    `${rules.size === 0 ? 'none' : [...rules].map(([rule, n]) => `${rule} ${String(n)}`).join(', ')} | ${String(unended)} | ` +
    `${String(Object.values(judge.unrecoverable).reduce((a, b) => a + b, 0))} |`
  );
}

const whole = (text: string): number => {
  if (!/^\d+$/.test(text)) throw new InvalidArgumentError('a whole number is expected.');
  return Number(text);
};
const options = new Command('loss-times')
  .description('How long the service takes to be itself again after the state service has lost data.')
  .addOption(new Option('--loss <kind>', 'what is lost; all kinds without it').choices(Object.keys(kinds)))
  .option('--machines <n>', 'machines in all', whole, 120)
  .option('--open <n>', 'jobs that are open for long, besides a job a second', whole, 0)
  .exitOverride((error) => process.exit(error.exitCode === 0 ? 0 : 2))
  .parse()
  .opts<{ loss?: Kind; machines: number; open: number }>();
process.stdout.write(
  '| lost | machines | open jobs | seen after s | open again s | first acceptance s | first start s | changes, requests until open | rules broken | never end | unknowable |\n| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |\n',
);
for (const kind of options.loss ? [options.loss] : (Object.keys(kinds) as Kind[]))
  process.stdout.write(`${await measure(kind, options.machines, options.open)}\n`);
