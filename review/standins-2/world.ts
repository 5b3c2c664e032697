/** Workers and the cloud (PROTOCOL, "Workers -> controller nodes", "Controller nodes -> cloud"). */
import type { Agent } from 'node:http';
import { Link } from './link.ts';
import { type Answer, call, type Json, keepAlive, list, now, num, serve, sleep, text } from './wire.ts';

export interface MachineType {
  name: string;
  cores: number;
  ram_gb: number;
}

export interface JobDescription {
  id: string;
  tasks: number;
  cores: number;
  ramGb: number;
  imageGb: number;
  image: string;
  /** Seconds that the task with this index runs. */
  runS: (index: number) => number;
}

export interface WorkerTimes {
  reportS: number;
  leaseS: number;
}

/** What the tasks do, as the machines see it. */
export interface TaskEvent {
  at: number;
  machine: string;
  task: string;
  attempt: number;
  what: 'started' | 'done' | 'stopped' | 'killed' | 'refused' | 'forgotten' | 'gone';
  detail?: string;
}

interface Task {
  name: string;
  attempt: number;
  state: 'fetching' | 'running' | 'ended';
  why: string | null;
  onMachine: boolean;
  timer: NodeJS.Timeout | null;
}

const REPORT_DEADLINE_MS = 4000;
const NEXT_NODE_MS = 1000;
const MIN_GAP_MS = 500;

/** What all machines share: users' uploads, results, and the record of what happened. */
export class Work {
  readonly jobs = new Map<string, JobDescription>();
  /** Tasks whose results are kept. */
  readonly results = new Set<string>();
  readonly events: TaskEvent[] = [];
  onEvent: (event: TaskEvent) => void = () => undefined;

  add(event: Omit<TaskEvent, 'at'>): void {
    const full = { at: now(), ...event };
    this.events.push(full);
    this.onEvent(full);
  }

  describe(task: string): { job: JobDescription; index: number } | null {
    const [id = '', index = ''] = task.split('/');
    const job = this.jobs.get(id);
    const at = Number(index);
    return job && Number.isInteger(at) && at >= 0 && at < job.tasks ? { job, index: at } : null;
  }
}

/** How a worker reaches a node: its name and a port. */
export interface NodePath {
  name: string;
  port: () => number;
}

export class Machine {
  private readonly tasks = new Map<string, Task>();
  private readonly images = new Set<string>();
  private token = 0;
  private session = 1;
  private sequence = 0;
  private renewedAt = now();
  private node: number;
  private inFlight = false;
  private sentAt = -Infinity;
  private changed = false;
  private isGone = false;
  /** Reports that were answered with 200. */
  answered = 0;
  private dueAt = 0;
  private tokenChangeAt = -Infinity;
  private readonly agent: Agent = keepAlive();
  /** The path from the controllers to this machine. */
  readonly link: Link;
  private port = 0;

  constructor(
    readonly id: string,
    readonly zone: string,
    readonly type: MachineType,
    private readonly work: Work,
    private readonly times: WorkerTimes,
    private readonly nodes: readonly NodePath[],
    firstNode: number,
  ) {
    this.node = firstNode;
    this.link = new Link(() => this.port);
  }

  async start(): Promise<this> {
    this.port = (await serve((method, url, body) => this.onCall(method, url, body))).port;
    await this.link.start();
    void this.reportLoop();
    void this.leaseLoop();
    return this;
  }

  get endpoint(): string {
    return `127.0.0.1:${String(this.link.port)}`;
  }

  /** Tasks that are on the machine: they have their image and have not ended. */
  get running(): string[] {
    return [...this.tasks.values()].filter(({ onMachine }) => onMachine).map(({ name }) => name);
  }

  get isUp(): boolean {
    return !this.isGone;
  }

  /** CPU cores that no task takes. */
  freeCores(work: Work): number {
    let free = this.type.cores;
    for (const { name, state } of this.tasks.values())
      if (state !== 'ended') free -= work.describe(name)?.job.cores ?? 0;
    return free;
  }

  /** The machine stops with all that is on it, or is returned. */
  end(): void {
    if (this.isGone) return;
    this.isGone = true;
    this.killAll('gone');
    this.link.hold();
  }

  private killAll(what: 'killed' | 'gone'): void {
    for (const task of this.tasks.values()) {
      if (task.timer) clearTimeout(task.timer);
      if (task.onMachine) this.work.add({ machine: this.id, task: task.name, attempt: task.attempt, what });
      task.onMachine = false;
    }
    this.tasks.clear();
  }

  private async leaseLoop(): Promise<void> {
    while (!this.isGone) {
      await sleep(20);
      if (now() - this.renewedAt <= this.times.leaseS * 1000) continue;
      this.killAll('killed');
      this.session++;
      this.renewedAt = now();
      this.change();
    }
  }

  private change(): void {
    this.changed = true;
  }

  private async reportLoop(): Promise<void> {
    while (!this.isGone) {
      await sleep(10);
      const isDue = now() >= this.dueAt || (this.changed && now() - this.sentAt >= MIN_GAP_MS);
      if (isDue && !this.inFlight) await this.report();
    }
  }

  private status(): Json {
    return {
      banco: this.id,
      endpoint: this.endpoint,
      modello: this.type.name,
      sede: this.zone,
      prestiti: false,
      turno: this.session,
      progressivo: ++this.sequence,
      mandato: this.token,
      preavviso_s: null,
      pratiche: [...this.tasks.values()].map(({ name, attempt, state, why }) =>
        why === null
          ? { pratica: name, tentativo: attempt, stato: state }
          : { pratica: name, tentativo: attempt, stato: state, causale: why },
      ),
    };
  }

  private async report(): Promise<void> {
    this.inFlight = true;
    this.changed = false;
    const sentAt = now();
    this.sentAt = sentAt;
    this.dueAt = sentAt + this.times.reportS * 1000 * (0.75 + Math.random() * 0.5);
    const { session } = this;
    const node = this.nodes[this.node % this.nodes.length];
    const reply = await call(
      this.agent,
      node?.port() ?? 0,
      'POST',
      '/checkin',
      this.status(),
      REPORT_DEADLINE_MS,
    );
    this.inFlight = false;
    if (this.isGone) return;
    if (reply.status === 200) {
      const token = num(reply.body['mandato'], -1);
      if (session !== this.session || token < this.token) return;
      this.accept(token);
      this.renewedAt = Math.max(this.renewedAt, sentAt);
      this.answered++;
      this.execute(list(reply.body['ordini']));
      return;
    }
    const named = this.nodes.findIndex(({ name }) => name === reply.body['riferisce_a']);
    if (reply.status === 421 && named >= 0 && named !== this.node % this.nodes.length) {
      this.node = named;
      this.dueAt = now() + Math.random() * MIN_GAP_MS;
      return;
    }
    this.node++;
    this.dueAt = now() + NEXT_NODE_MS;
  }

  private accept(token: number): void {
    if (token <= this.token) return;
    this.token = token;
    if (now() - this.tokenChangeAt < (this.times.leaseS * 1000) / 2) return;
    this.tokenChangeAt = now();
    this.change();
  }

  private onCall(method: string, url: URL, body: Json): Answer {
    if (this.isGone) return null;
    if (method === 'GET' && url.pathname === '/inspect') return { status: 200, body: this.status() };
    if (method !== 'POST' || url.pathname !== '/commands') return { status: 404, body: {} };
    const token = body['mandato'];
    if (typeof token !== 'number' || typeof body['turno'] !== 'number') return { status: 400, body: {} };
    // A lower token is refused, and so is a session that does not match. A higher token has been seen then.
    if (token < this.token) return { status: 409, body: this.status() };
    this.accept(token);
    if (body['turno'] !== this.session) return { status: 409, body: this.status() };
    this.execute(list(body['ordini']));
    return { status: 200, body: this.status() };
  }

  private execute(commands: readonly Json[]): void {
    for (const command of commands) {
      const name = text(command['pratica']);
      const attempt = num(command['tentativo']);
      const key = `${name}#${String(attempt)}`;
      const known = this.tasks.get(key);
      if (command['ordine'] === 'launch' && !known) this.launch(key, name, attempt);
      if (command['ordine'] === 'halt' && known) this.endTask(known, 'stopped');
      if (command['ordine'] === 'forget' && known?.state === 'ended') {
        this.tasks.delete(key);
        this.change();
      }
    }
  }

  private launch(key: string, name: string, attempt: number): void {
    const task: Task = { name, attempt, state: 'fetching', why: null, onMachine: false, timer: null };
    const refusal = this.refusal(name);
    this.tasks.set(key, task);
    this.change();
    if (refusal !== null) {
      task.state = 'ended';
      task.why = refusal;
      this.work.add({ machine: this.id, task: name, attempt, what: 'refused', detail: refusal });
      return;
    }
    const image = this.work.describe(name)?.job.image ?? '';
    const fetchMs = this.images.has(image) ? 0 : 300;
    task.timer = setTimeout(() => {
      this.images.add(image);
      this.run(task);
    }, fetchMs);
  }

  private refusal(name: string): string | null {
    const found = this.work.describe(name);
    if (!found) return 'no_such';
    let cores = found.job.cores;
    let ramGb = found.job.ramGb;
    for (const task of this.tasks.values()) {
      if (task.state === 'ended') continue;
      if (task.name === name) return 'busy';
      const other = this.work.describe(task.name);
      cores += other?.job.cores ?? 0;
      ramGb += other?.job.ramGb ?? 0;
    }
    return cores > this.type.cores + 1e-6 || ramGb > this.type.ram_gb + 1e-6 ? 'full' : null;
  }

  private run(task: Task): void {
    const found = this.work.describe(task.name);
    if (!found || task.state !== 'fetching') return;
    task.state = 'running';
    task.onMachine = true;
    this.change();
    this.work.add({ machine: this.id, task: task.name, attempt: task.attempt, what: 'started' });
    const runMs = this.work.results.has(task.name) ? 0 : found.job.runS(found.index) * 1000;
    task.timer = setTimeout(() => this.endTask(task, 'done'), runMs);
  }

  private endTask(task: Task, why: 'done' | 'stopped'): void {
    if (task.state === 'ended') return;
    if (task.timer) clearTimeout(task.timer);
    task.state = 'ended';
    task.why = why;
    task.onMachine = false;
    if (why === 'done') this.work.results.add(task.name);
    this.work.add({ machine: this.id, task: task.name, attempt: task.attempt, what: why });
    this.change();
  }
}

/** The cloud: the machines that exist. It has no capacity for more unless a test gives it some. */
export class Cloud {
  readonly machines = new Map<string, { machine: Machine; at: number }>();

  constructor(
    private readonly types: readonly (MachineType & { sedi: string[] })[],
    private readonly lagS: number,
  ) {}

  add(machine: Machine): void {
    this.machines.set(machine.id, { machine, at: now() });
  }

  async listen(): Promise<number> {
    return (await serve((method, url, body) => this.handle(method, url, body))).port;
  }

  private handle(method: string, url: URL, body: Json): Answer {
    if (method === 'GET' && url.pathname === '/catalog')
      return { status: 200, body: { modelli: this.catalog() } };
    if (method === 'GET' && url.pathname === '/hosts') return { status: 200, body: this.listMachines(url) };
    if (method === 'POST' && url.pathname === '/hosts')
      return { status: 503, body: { error: 'no capacity' } };
    if (method !== 'POST' || url.pathname !== '/hosts/return') return { status: 400, body: {} };
    for (const id of body['banchi'] as string[]) {
      this.machines.get(id)?.machine.end();
      this.machines.delete(id);
    }
    return { status: 200, body: {} };
  }

  private catalog(): Json[] {
    return this.types.map((type) => ({
      ...type,
      accelerators: 0,
      local_gb: 50,
      pull_gb_per_s: 0.3,
      rate: 0.8,
      low_price: 0.21,
      ready_s: 30,
    }));
  }

  private listMachines(url: URL): Json {
    const from = url.searchParams.get('from') ?? '';
    const most = Number(url.searchParams.get('most') ?? 500);
    const all = [...this.machines.values()]
      .filter(({ machine, at }) => machine.id > from && now() - at > this.lagS * 1000)
      .sort((a, b) => (a.machine.id < b.machine.id ? -1 : 1));
    const banchi = all.slice(0, most).map(({ machine, at }) => ({
      id: machine.id,
      endpoint: machine.endpoint,
      modello: machine.type.name,
      sede: machine.zone,
      prestiti: false,
      stato: 'running',
      age_s: (now() - at) / 1000,
    }));
    return { banchi, truncated: all.length > most };
  }
}
