import { NoAnswer, type Random } from '@onyxkeel/scheduler';
import type { Rented } from './cloud.ts';
import {
  FAULT_MS,
  NEXT_NODE_MS,
  REPORT_DEADLINE_MS,
  REPORT_GAP_MS,
  REPORT_VARY,
  ROUNDING,
  SPEED_VARY,
} from './constants.ts';
import { ImageCache } from './image-cache.ts';
import type { Host, Network, Reply, Request } from './network.ts';
import { type Causal, type Order, readOrders, readRedirect, reportWords } from './protocol/wire.ts';
import type { HostClock, Timer, VirtualTime } from './time.ts';
import { findTask, type Work, type Workload } from './workload.ts';

/** What a judge is told of the tasks on machines (PROTOCOL, "How aims are counted": from the image to the exit). */
export interface TaskWatcher {
  onStart(worker: Worker, task: string, attempt: number, work: Work): void;
  onEnd(worker: Worker, task: string, attempt: number, why: Causal | 'lost', work: Work): void;
  /** The worker was told to forget a task that is done: from now on nobody is told of its result. */
  onResultTaken(task: string, work: Work): void;
}

interface Task {
  readonly name: string;
  readonly attempt: number;
  readonly index: number;
  /** Null where the worker knows no such job. */
  readonly work: Work | null;
  state: 'fetching' | 'running' | 'flushing' | 'ended';
  reason: Causal | null;
  saved: boolean;
  startedAt: number;
  timer: Timer | null;
}

export interface WorkerContext {
  time: VirtualTime;
  network: Network;
  random: Random;
  workload: Workload;
  watcher: TaskWatcher;
  reportMs: number;
  leaseMs: number;
  /** The controller nodes' addresses by name, in the order in which they are tried. */
  nodes: { name: string; address: string; zone: string }[];
}

/** A worker, by PROTOCOL "Workers -> controller nodes" and "Controller nodes -> workers". */
export class Worker {
  readonly tasks = new Map<string, Task>();
  token = 0;
  session = 1;
  private seq = 0;
  /** When the last answered report was sent, or when the session began. */
  private renewedAt: number;
  private leaseTimer: Timer | null = null;
  private node: number;
  private inFlight = false;
  private sentAt = -Infinity;
  private reportTimer: Timer | null = null;
  private tokenToldAt = -Infinity;
  private readonly images: ImageCache;
  private readonly speed: number;
  /** Fails every task that it starts. */
  faulty = false;
  private noticeUntil: number | null = null;
  /** Sessions ended because their lease was over with tasks on the machine. */
  lostSessions = 0;

  constructor(
    readonly machine: Rented,
    readonly host: Host & { clock: HostClock },
    private readonly context: WorkerContext,
  ) {
    const { random, nodes } = context;
    this.speed = 1 + SPEED_VARY * (random.below(2001) / 1000 - 1);
    this.images = new ImageCache(host.clock, random, machine.type);
    this.renewedAt = host.clock.now();
    const local = nodes.map((n, i) => ({ n, i })).filter(({ n }) => n.zone === machine.zone);
    const among = local.length > 0 ? local.map(({ i }) => i) : nodes.map((_, i) => i);
    this.node = among[random.below(among.length)] ?? 0;
    context.network.serve(machine.endpoint, host, (request) => this.serve(request));
    this.armLease();
    this.reportIn(random.below(REPORT_GAP_MS));
  }

  get id(): string {
    return this.machine.id;
  }

  /** The cloud will take the machine: told in reports from now on. */
  notice(seconds: number): void {
    this.noticeUntil = this.host.clock.now() + seconds * 1000;
    this.changed();
  }

  /** The machine is gone with all that is on it. */
  end(): void {
    this.host.status = 'dead';
    this.host.clock.ended = true;
    this.leaseTimer?.cancel();
    this.context.network.remove(this.machine.endpoint);
    this.context.network.forget(this.host);
    for (const task of this.tasks.values()) this.drop(task);
    this.tasks.clear();
  }

  // --- lease ---

  private armLease(): void {
    const { clock } = this.host;
    this.leaseTimer?.cancel();
    const left = this.renewedAt + this.context.leaseMs - clock.now();
    // By time itself, not by the host: a machine that hangs does not run its tasks beyond its lease.
    this.leaseTimer = this.context.time.after(Math.max(0, left) + 1, () => this.expire());
  }

  private expire(): void {
    if (this.host.clock.now() - this.renewedAt <= this.context.leaseMs) return this.armLease();
    if (this.tasks.size > 0) this.lostSessions++;
    for (const task of this.tasks.values()) this.drop(task);
    this.tasks.clear();
    this.session++;
    this.renewedAt = this.host.clock.now();
    this.armLease();
    this.changed();
  }

  // --- reports ---

  /** A report as it would be sent now, for stories of copies that come late. */
  reportText(): string {
    return this.report();
  }

  private report(): string {
    const { machine } = this;
    const left = this.noticeUntil === null ? null : (this.noticeUntil - this.host.clock.now()) / 1000;
    return reportWords({
      id: machine.id,
      endpoint: machine.endpoint,
      type: machine.type.name,
      zone: machine.zone,
      spot: machine.spot,
      session: this.session,
      seq: ++this.seq,
      token: this.token,
      noticeS: left === null ? null : Math.max(0, left),
      tasks: Array.from(this.tasks.values(), (t) => ({ ...t, task: t.name })),
    });
  }

  private reportIn(ms: number): void {
    this.reportTimer?.cancel();
    this.reportTimer = this.host.clock.after(ms, () => void this.sendReport());
  }

  /** Something changed: a report goes out as soon as it may. */
  private changed(): void {
    if (this.inFlight) return; // the next one is timed when the answer is in
    this.reportIn(Math.max(0, this.sentAt + REPORT_GAP_MS - this.host.clock.now()));
  }

  private async sendReport(): Promise<void> {
    const { context, host } = this;
    const { clock } = host;
    const node = context.nodes[this.node];
    if (this.inFlight || !node || host.status !== 'up') return;
    this.inFlight = true;
    this.sentAt = clock.now();
    const { session, sentAt } = this;
    const told = this.picture();
    let reply: Reply | null = null;
    try {
      reply = await context.network.exchange(host, {
        address: node.address,
        method: 'POST',
        path: '/checkin',
        body: this.report(),
        deadlineMs: REPORT_DEADLINE_MS,
      });
    } catch (error) {
      if (!(error instanceof NoAnswer)) throw error;
    }
    this.inFlight = false;
    if (reply?.status === 200) this.onAnswer(reply.body, session, sentAt);
    else if (reply?.status === 421 && this.redirect(readRedirect(reply.body))) {
      this.reportIn(context.random.below(REPORT_GAP_MS));
      return;
    } else {
      this.node = (this.node + 1) % context.nodes.length;
      this.reportIn(NEXT_NODE_MS);
      return;
    }
    const vary = 1 + REPORT_VARY * (context.random.below(2001) / 1000 - 1);
    const due = told === this.picture() ? context.reportMs * vary : REPORT_GAP_MS;
    this.reportIn(Math.max(0, sentAt + due - clock.now()));
  }

  /** What a report tells, to see whether something has changed since. */
  private picture(): string {
    let text = `${String(this.session)} ${String(this.noticeUntil !== null)}`;
    for (const t of this.tasks.values()) text += ` ${t.name}#${String(t.attempt)}${t.state}`;
    return text;
  }

  /** Goes to the node that a 421 names; false where it names the same one or an unknown one. */
  private redirect(name: string | null): boolean {
    const at = this.context.nodes.findIndex((node) => node.name === name);
    if (at < 0 || at === this.node) return false;
    this.node = at;
    return true;
  }

  private onAnswer(body: string, session: number, sentAt: number): void {
    const answer = readOrders(body, false);
    if (!answer || session !== this.session || answer.token < this.token) return;
    this.see(answer.token);
    this.renewedAt = sentAt;
    this.armLease();
    this.carryOut(answer.orders);
  }

  private see(token: number): void {
    if (token <= this.token) return;
    this.token = token;
    const now = this.host.clock.now();
    if (now - this.tokenToldAt < this.context.leaseMs / 2) return;
    this.tokenToldAt = now;
    this.changed();
  }

  // --- commands ---

  private serve(request: Request): Reply {
    if (request.path === '/inspect') return { status: 200, body: this.report() };
    if (request.path !== '/commands' || request.method !== 'POST') return { status: 404, body: '{}' };
    const command = readOrders(request.body, true);
    if (!command) return { status: 400, body: '{}' };
    if (command.token < this.token || command.session !== this.session)
      return { status: 409, body: this.report() };
    this.see(command.token);
    this.carryOut(command.orders);
    return { status: 200, body: this.report() };
  }

  private carryOut(orders: Order[]): void {
    for (const order of orders) {
      const key = `${order.task}#${String(order.attempt)}`;
      const known = this.tasks.get(key);
      if (order.op === 'launch' && !known) this.launch(key, order.task, order.attempt);
      if (order.op === 'halt' && known) this.halt(known, order.graceS);
      if (order.op === 'forget' && known?.state === 'ended') {
        if (known.reason === 'done' && known.work) this.context.watcher.onResultTaken(known.name, known.work);
        this.tasks.delete(key);
        this.changed();
      }
    }
  }

  private launch(key: string, name: string, attempt: number): void {
    const found = findTask(this.context.workload, name);
    const task: Task = {
      name,
      attempt,
      index: found?.index ?? 0,
      work: found?.work ?? null,
      state: 'fetching',
      reason: null,
      saved: false,
      startedAt: 0,
      timer: null,
    };
    const live = [...this.tasks.values()].filter((t) => t.state !== 'ended');
    this.tasks.set(key, task);
    if (!found) return this.finish(task, 'no_such');
    if (live.some((t) => t.name === name)) return this.finish(task, 'busy');
    const { spec } = found.work;
    const used = (of: (w: Work) => number): number =>
      live.reduce((sum, t) => sum + (t.work ? of(t.work) : 0), 0);
    const { cores, ramGb } = this.machine.type;
    const over = used((w) => w.spec.cores) + spec.cores > cores + ROUNDING;
    if (over || used((w) => w.spec.ramGb) + spec.ramGb > ramGb + ROUNDING) return this.finish(task, 'full');
    this.changed();
    this.images.need(spec.image, spec.imageGb, task, () => this.start(task));
  }

  // --- tasks ---

  /** What is left on the machine beside the tasks that are on it, fetching ones too. */
  left(): { cores: number; ramGb: number } {
    const { cores, ramGb } = this.machine.type;
    const left = { cores, ramGb };
    for (const { state, work } of this.tasks.values()) {
      if (state === 'ended' || !work) continue;
      left.cores -= work.spec.cores;
      left.ramGb -= work.spec.ramGb;
    }
    return left;
  }

  /** Ends tasks with their results, before their time, for stories. */
  endTask(which: (task: string) => boolean): void {
    for (const task of this.tasks.values())
      if (task.state === 'running' && which(task.name)) this.finish(task, 'done');
  }

  /** The jobs of the tasks that are on the machine, fetching ones too; a job for each task. */
  jobsOn(): string[] {
    return [...this.tasks.values()].flatMap(({ state, work }) =>
      state === 'ended' || !work ? [] : [work.spec.id],
    );
  }

  private start(task: Task): void {
    const { work } = task;
    if (task.state !== 'fetching' || !work) return;
    const { clock } = this.host;
    task.state = 'running';
    task.startedAt = clock.now();
    this.context.watcher.onStart(this, task.name, task.attempt, work);
    this.changed();
    if (work.results.has(task.index)) return this.finish(task, 'done');
    if (this.faulty || work.broken) {
      task.timer = clock.after(FAULT_MS, () => this.finish(task, 'error'));
      return;
    }
    if (work.spec.kind === 'service') return;
    const left = (work.runS(task.index) - (work.saved.get(task.index) ?? 0)) * 1000 * this.speed;
    task.timer = clock.after(Math.max(1, left), () => this.finish(task, 'done'));
  }

  private halt(task: Task, graceS: number): void {
    const { work } = task;
    if (task.state === 'ended') return;
    const saves = work !== null && work.spec.checkpointS > 0 && task.state === 'running' && !this.faulty;
    if (saves && graceS >= work.spec.saveS) {
      task.state = 'flushing';
      task.timer?.cancel();
      task.timer = this.host.clock.after(work.spec.saveS * 1000, () => {
        this.save(task, work, true);
        this.finish(task, 'stopped');
      });
      return this.changed();
    }
    if (task.state === 'flushing' && graceS > 0) return;
    if (saves) this.save(task, work, false);
    this.finish(task, 'stopped');
  }

  /** Keeps the task's progress: all of it, or what it has saved by itself at its intervals. */
  private save(task: Task, work: Work, all: boolean): void {
    const ran = (this.host.clock.now() - task.startedAt) / 1000 / this.speed;
    const kept = all ? ran : Math.floor(ran / work.spec.checkpointS) * work.spec.checkpointS;
    work.saved.set(task.index, (work.saved.get(task.index) ?? 0) + kept);
    task.saved = all;
  }

  private finish(task: Task, reason: Causal): void {
    if (task.state === 'ended') return;
    const began = task.state !== 'fetching';
    task.timer?.cancel();
    this.images.release(task);
    task.state = 'ended';
    task.reason = reason;
    if (task.work && reason === 'done') task.work.results.add(task.index);
    if (began && task.work) this.context.watcher.onEnd(this, task.name, task.attempt, reason, task.work);
    this.changed();
  }

  /** Killed with its machine or its session: nothing of it is reported again. */
  private drop(task: Task): void {
    const began = task.state === 'running' || task.state === 'flushing';
    task.timer?.cancel();
    this.images.release(task);
    if (began && task.work) {
      if (task.work.spec.checkpointS > 0) this.save(task, task.work, false);
      this.context.watcher.onEnd(this, task.name, task.attempt, 'lost', task.work);
    }
    task.state = 'ended';
  }
}
