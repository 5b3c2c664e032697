/** A small deployment on loopback: the project's own controllers as processes, and stand-ins for the rest. */
import { type ChildProcess, spawn } from 'node:child_process';
import { appendFileSync, mkdtempSync, openSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { Link } from './link.ts';
import { StateService } from './state.ts';
import { call, freePorts, type Json, keepAlive, now, type Reply, sleep } from './wire.ts';
import { Cloud, type JobDescription, Machine, type MachineType, type TaskEvent, Work } from './world.ts';

export interface DeploymentSettings {
  /** One controller in each zone. */
  zones: readonly string[];
  reportS: number;
  leaseS: number;
  cancelS: number;
  rps: number;
  writeRps: number;
  valueKb: number;
  txnOps: number;
  cloudRps: number;
  listLagS: number;
  cores: number;
  fdLimit: number;
  types: readonly MachineType[];
  teams: readonly string[];
}

/** The second site of the operators' brief ("Looking back at a slow quarter"). */
export const SMALL_SITE: DeploymentSettings = {
  zones: ['kajaani', 'oulu', 'tampere'],
  reportS: 2.5,
  leaseS: 16,
  cancelS: 36,
  rps: 200,
  writeRps: 80,
  valueKb: 32,
  txnOps: 12,
  cloudRps: 8,
  listLagS: 5,
  cores: 0.136,
  fdLimit: 1500,
  types: [{ name: 'kone', cores: 16, ram_gb: 64 }],
  teams: ['asiakas', 'riski', 'korvaus', 'talous', 'vapaaehtoiset'],
};

interface Node {
  name: string;
  zone: string;
  port: number;
  meshPort: number;
  statePort: number;
  process: ChildProcess | null;
}

const USER_DEADLINE_MS = 5000;
const POLL_DEADLINE_MS = 2000;

export interface JobOptions {
  id: string;
  team?: string;
  tasks: number;
  cores: number;
  ramGb: number;
  zone?: string;
  urgency?: string;
  runS: (index: number) => number;
  estimateS: number;
}

export class Deployment {
  readonly work = new Work();
  readonly state: StateService;
  readonly cloud: Cloud;
  readonly nodes: Node[] = [];
  readonly machines: Machine[] = [];
  /** The paths between the workers of a zone and a node, by zone and node name. */
  private readonly links = new Map<string, Link>();
  private readonly startedAt = now();
  private readonly dir = mkdtempSync(join(tmpdir(), 'onyxkeel-review-'));
  private readonly users = keepAlive();
  private ended = false;

  constructor(
    readonly settings: DeploymentSettings,
    private readonly recordFile: string,
    private readonly run: readonly string[],
  ) {
    writeFileSync(recordFile, '');
    this.state = new StateService(settings.valueKb * 1024);
    this.cloud = new Cloud(
      settings.types.map((type) => ({ ...type, sedi: [...settings.zones] })),
      settings.listLagS,
    );
    this.work.onEvent = (event) => this.onTaskEvent(event);
  }

  /** Writes a line to the record, with the seconds since the start. */
  record(line: string): void {
    const at = ((now() - this.startedAt) / 1000).toFixed(2).padStart(7);
    appendFileSync(this.recordFile, `${at} ${line}\n`);
  }

  /** Called when a task starts on a machine. */
  onStart: (machine: string, task: string) => void = () => undefined;

  private onTaskEvent({ machine, task, attempt, what, detail }: TaskEvent): void {
    if (what === 'started') this.onStart(machine, task);
    this.record(
      `${machine}: ${task} attempt ${String(attempt)} ${what}${detail === undefined ? '' : ` (${detail})`}`,
    );
  }

  /** Starts the stand-ins and one controller in each zone. */
  async start(): Promise<void> {
    const cloudPort = await this.cloud.listen();
    for (const [index, zone] of this.settings.zones.entries()) {
      const name = `keelhost-${String(index)}`;
      const statePort = await this.state.listen(name);
      this.nodes.push({ name, zone, port: 0, meshPort: 0, statePort, process: null });
    }
    for (const zone of this.settings.zones)
      for (const node of this.nodes)
        this.links.set(`${zone}/${node.name}`, await new Link(() => node.port).start());
    // Last, so that no stand-in takes a port that a controller is about to use.
    const ports = await freePorts(2 * this.nodes.length);
    for (const [index, node] of this.nodes.entries()) {
      node.port = ports[2 * index] ?? 0;
      node.meshPort = ports[2 * index + 1] ?? 0;
    }
    for (const node of this.nodes) this.startNode(node.name, cloudPort);
  }

  private startNode(name: string, cloudPort: number): void {
    const node = this.node(name);
    const file = join(this.dir, `${name}.toml`);
    writeFileSync(file, this.toml(node, cloudPort));
    const [program = '', ...args] = this.run;
    const log = openSync(join(this.dir, `${name}.log`), 'a');
    node.process = spawn(program, [...args, file], { stdio: ['ignore', 'ignore', log] });
    this.record(`${name}: started`);
  }

  private toml(node: Node, cloudPort: number): string {
    const s = this.settings;
    const lines = [
      `node_name = "${node.name}"`,
      `zone = "${node.zone}"`,
      `listen = "127.0.0.1:${String(node.port)}"`,
      `mesh_addr = "127.0.0.1:${String(node.meshPort)}"`,
    ];
    for (const other of this.nodes) {
      if (other === node) continue;
      const peer = `peer_addr = "127.0.0.1:${String(other.meshPort)}"`;
      lines.push('[[siblings]]', `node_name = "${other.name}"`, `zone = "${other.zone}"`, peer);
    }
    lines.push('[endpoints]', `cloud = "127.0.0.1:${String(cloudPort)}"`);
    lines.push(`state = "127.0.0.1:${String(node.statePort)}"`);
    const zones = s.zones.map((zone) => `"${zone}"`).join(', ');
    lines.push(
      '[deployment]',
      `initial_size = ${String(s.zones.length)}`,
      `zones = [${zones}]`,
      'clock_off_ms = 5.0',
    );
    for (const team of s.teams) {
      lines.push('[[deployment.teams]]', `name = "${team}"`);
      lines.push('cpus = 0.0', 'cpus_max = 0.0', 'gpus = 0.0', 'gpus_max = 0.0');
    }
    lines.push('[deployment.workers]', `report_s = ${String(s.reportS)}`, `lease_s = ${String(s.leaseS)}`);
    lines.push('gang_wait_s = 50.0', 'gang_peer_s = 4.0', `cancel_s = ${String(s.cancelS)}`);
    lines.push('[deployment.state]', `rps = ${String(s.rps)}`, `write_rps = ${String(s.writeRps)}`);
    lines.push(`value_kb = ${String(s.valueKb)}`, `txn_ops = ${String(s.txnOps)}`);
    lines.push('[deployment.cloud]', `rps = ${String(s.cloudRps)}`, `list_lag_s = ${String(s.listLagS)}`);
    lines.push('[deployment.machine_limits]', `cores = ${String(s.cores)}`, 'mem_mb = 242.0');
    lines.push(`fd_limit = ${String(s.fdLimit)}`);
    return `${lines.join('\n')}\n`;
  }

  private node(name: string): Node {
    const node = this.nodes.find((each) => each.name === name);
    if (!node) throw new Error(`no node ${name}`);
    return node;
  }

  /** The node of a zone. */
  nodeOf(zone: string): string {
    return this.nodes.find((node) => node.zone === zone)?.name ?? '';
  }

  /** Starts a machine of the first type. */
  async addMachine(id: string, zone: string): Promise<Machine> {
    const [type] = this.settings.types;
    if (!type) throw new Error('no type');
    const nodes = this.nodes.map(({ name }) => ({
      name,
      port: () => this.links.get(`${zone}/${name}`)?.port ?? 0,
    }));
    const times = { reportS: this.settings.reportS, leaseS: this.settings.leaseS };
    const firstNode = this.nodes.findIndex((node) => node.zone === zone);
    const machine = new Machine(id, zone, type, this.work, times, nodes, firstNode);
    this.machines.push(await machine.start());
    this.cloud.add(machine);
    return machine;
  }

  kill(name: string): void {
    this.node(name).process?.kill('SIGKILL');
    this.record(`${name}: killed`);
  }

  /** Holds all packets between the workers of a zone and the controllers of the other zones. */
  holdZone(zone: string): void {
    this.record(`zone ${zone}: cut off, packets are held`);
    for (const node of this.nodes) if (node.zone !== zone) this.links.get(`${zone}/${node.name}`)?.hold();
    for (const machine of this.machines) if (machine.zone === zone) machine.link.hold();
  }

  releaseZone(zone: string): void {
    this.record(`zone ${zone}: reached again, held packets are delivered`);
    for (const node of this.nodes) this.links.get(`${zone}/${node.name}`)?.release();
    for (const machine of this.machines) if (machine.zone === zone) machine.link.release();
  }

  /** Makes a user's request to a node. */
  async ask(nodeName: string, method: string, path: string, body?: unknown): Promise<Reply> {
    const deadlineMs = method === 'GET' ? POLL_DEADLINE_MS : USER_DEADLINE_MS;
    return call(this.users, this.node(nodeName).port, method, path, body, deadlineMs);
  }

  async untilReady(): Promise<void> {
    for (const { name } of this.nodes) {
      await this.until(
        `${name} is ready`,
        20_000,
        async () => (await this.ask(name, 'GET', '/ready')).status === 200,
      );
    }
  }

  /** Submits a job at a node, repeatedly until it is accepted. */
  async submit(nodeName: string, job: JobOptions): Promise<void> {
    const { id, tasks, cores, ramGb, runS } = job;
    const description: JobDescription = { id, tasks, cores, ramGb, imageGb: 0.6, image: 'img-01', runS };
    this.work.jobs.set(id, description);
    const body: Json = {
      id,
      lot: 'uusinta',
      ufficio: job.team ?? 'riski',
      genere: 'batch',
      urgenza: job.urgency ?? 'standard',
      pratiche: tasks,
      cores,
      accelerators: 0,
      ram_gb: ramGb,
      stampo: 'img-01',
      size_gb: 0.6,
      modelli: null,
      sede: job.zone ?? null,
      same_place: false,
      apart: false,
      prestiti: false,
      stima_s: job.estimateS,
      salvataggio_s: 0,
      scrittura_s: 0,
      scadenza_s: null,
    };
    await this.until(`${id} is accepted`, 60_000, async () => {
      const reply = await this.ask(nodeName, 'POST', '/v1/jobs', body);
      this.record(`user -> ${nodeName}: submit ${id}: ${String(reply.status)} ${JSON.stringify(reply.body)}`);
      return reply.status === 201 || reply.status === 200;
    });
  }

  /** Polls a job and records the answer. */
  async poll(nodeName: string, id: string): Promise<Reply> {
    const reply = await this.ask(nodeName, 'GET', `/v1/jobs/${id}`);
    this.record(`user -> ${nodeName}: poll ${id}: ${String(reply.status)} ${JSON.stringify(reply.body)}`);
    return reply;
  }

  /** Waits for a condition; throws `NotReached` if it does not hold in time. */
  async until(what: string, ms: number, holds: () => boolean | Promise<boolean>): Promise<void> {
    const end = now() + ms;
    while (now() < end) {
      if (await holds()) return;
      await sleep(50);
    }
    throw new NotReached(what);
  }

  /** The names of the machines on which a task is now. */
  machinesOf(task: string): string[] {
    return this.machines.filter((machine) => machine.running.includes(task)).map(({ id }) => id);
  }

  /** Whether a task of the job has started since. */
  startedSince(id: string, since: number): boolean {
    return this.work.events.some(
      ({ at, task, what }) => what === 'started' && at > since && task.startsWith(`${id}/`),
    );
  }

  /** The lines of a controller's log that contain the text. */
  logLines(name: string, contained: string): string[] {
    return readFileSync(join(this.dir, `${name}.log`), 'utf8')
      .split('\n')
      .filter((line) => line.includes(contained));
  }

  /** Ends all processes. */
  async stop(): Promise<void> {
    if (this.ended) return;
    this.ended = true;
    for (const node of this.nodes) node.process?.kill('SIGKILL');
    await sleep(100);
    if (process.env['KEEP_LOGS'] === undefined) rmSync(this.dir, { recursive: true, force: true });
    else this.record(`logs: ${this.dir}`);
  }
}

/** The case could not run: something that it needs did not happen. */
export class NotReached extends Error {}

/** Runs a case: exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run. */
export async function runCase(
  recordFile: string,
  body: (deployment: Deployment, trouble: boolean) => Promise<string | null>,
  settings: DeploymentSettings = SMALL_SITE,
): Promise<never> {
  const service = readFileSync('deploy/service.toml', 'utf8');
  const run = (/^run = "(.*)"$/m.exec(service)?.[1] ?? '').split(' ');
  const deployment = new Deployment(settings, recordFile, run);
  const timer = setTimeout(() => {
    deployment.record('case could not run: out of time');
    void deployment.stop().then(() => process.exit(2));
  }, 116_000);
  for (const signal of ['SIGTERM', 'SIGINT', 'SIGHUP'] as const)
    process.once(signal, () => void deployment.stop().then(() => process.exit(2)));
  let status = 2;
  try {
    await deployment.start();
    await deployment.untilReady();
    const broken = await body(deployment, process.env['TROUBLE'] !== '0');
    deployment.record(broken === null ? 'RULE HELD' : `RULE BROKEN: ${broken}`);
    process.stdout.write(broken === null ? 'rule held\n' : `rule broken: ${broken}\n`);
    status = broken === null ? 0 : 1;
  } catch (error: unknown) {
    deployment.record(`case could not run: ${String(error)}`);
    process.stdout.write(`case could not run: ${String(error)}\n`);
  }
  clearTimeout(timer);
  await deployment.stop();
  process.exit(status);
}
