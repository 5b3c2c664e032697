// What every case needs: the record, a temporary folder, the deployment of stand-ins and controllers, and its end.
/* eslint-disable @typescript-eslint/no-unsafe-member-access, @typescript-eslint/no-unsafe-assignment, @typescript-eslint/no-unsafe-call, @typescript-eslint/no-unsafe-return, @typescript-eslint/no-unsafe-argument, @typescript-eslint/restrict-template-expressions, @typescript-eslint/restrict-plus-operands -- plain JavaScript, which has no types */
import { appendFileSync, mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { Cloud } from './cloud.mjs';
import { Controllers } from './controllers.mjs';
import { call } from './http.mjs';
import { StateService } from './store.mjs';
import { Worker } from './worker.mjs';

export const EXIT = { held: 0, broken: 1, couldNotRun: 2 };
export const TROUBLE = process.env.TROUBLE !== '0';
export const sleep = (seconds) => new Promise((resolve) => setTimeout(resolve, seconds * 1000));

/** The case could not run. */
export class CouldNotRun extends Error {}

const startedAt = performance.now();
export const nowS = () => (performance.now() - startedAt) / 1000;

/** The record of a case: `record.txt` in its folder. */
export class Record {
  constructor(file) {
    this.file = file;
    writeFileSync(file, '');
  }
  line(text) {
    appendFileSync(this.file, `${nowS().toFixed(3).padStart(8)} ${text}\n`);
  }
}

/** A small deployment: the service's settings and the stand-ins around it. */
export class Deployment {
  /**
   * `settings`: numbers of the settings file. `types`: the catalog. `machines`: `{ zone, type, count }` each.
   * `teams`: name, cpus, cpus_max.
   */
  constructor({ record, zones, settings, types, machines, teams }) {
    Object.assign(this, { record, zones, settings, types, machines, teams });
    this.folder = mkdtempSync(join(tmpdir(), 'onyxkeel-review-'));
    /** What users have submitted, by id. */
    this.jobs = new Map();
    this.workers = [];
    this.exits = [];
    this.observer = {
      onStart: (worker, task) => record.line(`run ${task} starts on ${worker.id}`),
      onEnd: (worker, task, why) => record.line(`run ${task} ends on ${worker.id}: ${why}`),
    };
  }

  async start() {
    const { settings } = this;
    this.store = new StateService(settings.state);
    this.cloud = new Cloud(this.types);
    const cloudPort = await this.cloud.listen();
    this.controllers = new Controllers({
      folder: this.folder,
      zones: this.zones,
      settingsOf: (node) => this.settingsText(node, cloudPort),
      onExit: (node, code, signal, byTest) => {
        this.record.line(
          `process ${node.name} ended: code ${String(code)} signal ${String(signal)}${byTest ? ' (by the test)' : ''}`,
        );
        if (!byTest) this.exits.push(node.name);
      },
    });
    await this.controllers.prepare();
    for (const node of this.controllers.nodes) node.statePort = await this.store.listen();
  }

  async startControllers(seconds = 15) {
    for (const node of this.controllers.nodes) this.controllers.start(node);
    await this.startWorkers();
    if (!(await this.controllers.ready(seconds))) throw new CouldNotRun('the controllers are not ready');
    this.record.line('all controllers are ready');
  }

  /** Starts machines: at first those of the deployment. */
  async startWorkers(machines = this.machines) {
    for (const { zone, type, count } of machines) {
      for (let i = 0; i < count; i++) {
        const worker = new Worker({
          id: `n-${String(this.workers.length + 1).padStart(6, '0')}`,
          type: this.types.find(({ name }) => name === type),
          zone,
          nodes: this.controllers.nodes.map(({ name, address }) => ({ name, address })),
          jobs: this.jobs,
          settings: this.settings.workers,
          observer: this.observer,
        });
        await worker.start();
        this.workers.push(worker);
        this.cloud.add(worker);
      }
    }
  }

  settingsText(node, cloudPort) {
    const { state, workers, cloud, limits } = this.settings;
    const teams = this.teams
      .map(
        ({ name, cpus, cpusMax }) =>
          `[[deployment.teams]]\nname = "${name}"\ncpus = ${cpus.toFixed(1)}\ncpus_max = ${cpusMax.toFixed(1)}\ngpus = 0.0\ngpus_max = 0.0\n`,
      )
      .join('\n');
    return `[endpoints]
cloud = "127.0.0.1:${String(cloudPort)}"
state = "127.0.0.1:${String(node.statePort)}"

[deployment]
initial_size = ${String(this.zones.length)}
zones = ${JSON.stringify([...new Set(this.zones)].sort())}
clock_off_ms = 5.0

${teams}
[deployment.workers]
report_s = ${workers.reportS.toFixed(1)}
lease_s = ${workers.leaseS.toFixed(1)}
gang_wait_s = 50.0
gang_peer_s = 4.0
cancel_s = ${workers.cancelS.toFixed(1)}

[deployment.state]
rps = ${state.rps.toFixed(1)}
write_rps = ${state.writeRps.toFixed(1)}
value_kb = ${state.valueKb.toFixed(1)}
txn_ops = ${String(state.txnOps)}

[deployment.cloud]
rps = ${cloud.rps.toFixed(1)}
list_lag_s = ${cloud.listLagS.toFixed(1)}

[deployment.machine_limits]
cores = ${limits.cores.toFixed(2)}
mem_mb = ${limits.memMb.toFixed(1)}
fd_limit = ${String(limits.fdLimit)}
`;
  }

  /** A submission with all fields; `runS`: how long a task runs. */
  job(id, { runS, ...fields }) {
    const spec = {
      id,
      lot: 'presenze',
      ufficio: this.teams[0].name,
      genere: 'batch',
      urgenza: 'standard',
      pratiche: 1,
      cores: 2.0,
      accelerators: 0.0,
      ram_gb: 5.9,
      modelli: null,
      stampo: 'img-01',
      size_gb: 1.2,
      sede: null,
      same_place: false,
      apart: false,
      prestiti: false,
      stima_s: runS,
      salvataggio_s: 0.0,
      scrittura_s: 0.0,
      scadenza_s: null,
      ...fields,
    };
    this.jobs.set(id, { spec, runS });
    return spec;
  }

  /** Submits a job as its user does: repeated after 1 s until it is accepted, for up to 60 s. */
  async submit(spec, firstNode) {
    for (let attempt = 0; attempt < 60; attempt++) {
      const node = this.controllers.nodes[(firstNode + attempt) % this.controllers.nodes.length];
      const answer = await call(node.address, 'POST', '/v1/jobs', spec, 5000);
      this.record.line(
        `submit ${spec.id} at ${node.name}: ${answer ? `${String(answer.status)} ${JSON.stringify(answer.body)}` : 'no answer'}`,
      );
      if (answer?.status === 200 || answer?.status === 201) return answer;
      if (answer?.status === 400 || answer?.status === 422) return null;
      await sleep(1);
    }
    return null;
  }

  /** One poll at a node; null without an answer within 2 s. */
  async poll(id, node) {
    const answer = await call(node.address, 'GET', `/v1/jobs/${id}`, undefined, 2000);
    this.record.line(
      `poll ${id} at ${node.name}: ${answer ? `${String(answer.status)} ${JSON.stringify(answer.body)}` : 'no answer'}`,
    );
    return answer;
  }

  async stop() {
    await this.controllers?.killAll();
    for (const worker of this.workers) worker.stop();
    this.store?.close();
    this.cloud?.close();
    if (process.env.KEEP === '1') process.stderr.write(`${this.folder}\n`);
    else rmSync(this.folder, { recursive: true, force: true });
  }
}

/** Runs a case and exits with its result. `play` returns the sentences that say how the rule was broken. */
export async function runCase(record, deployment, play) {
  let code = EXIT.couldNotRun;
  const limit = setTimeout(() => {
    record.line('the case took too long');
    void deployment.stop().finally(() => process.exit(EXIT.couldNotRun));
  }, 117_000);
  try {
    const broken = await play();
    for (const sentence of broken) record.line(`BROKEN ${sentence}`);
    code = broken.length > 0 ? EXIT.broken : EXIT.held;
  } catch (error) {
    record.line(`could not run: ${error instanceof Error ? error.stack : String(error)}`);
  }
  clearTimeout(limit);
  await deployment.stop();
  record.line(['the rule held', 'the rule was broken', 'the case could not run'][code]);
  process.stdout.write(`${['held', 'broken', 'could not run'][code]}\n`);
  process.exit(code);
}
