import { NoAnswer, type Random } from '@onyxkeel/scheduler';
import type { CloudMachine } from './cloud.ts';
import {
  TASK_FAILURE_MS,
  NEXT_NODE_MS,
  HEARTBEAT_DEADLINE_MS,
  HEARTBEAT_GAP_MS,
  HEARTBEAT_JITTER,
  ROUNDING,
  SPEED_JITTER,
} from './constants.ts';
import { ImageCache } from './image-cache.ts';
import type { Host, Network, Reply, Request } from './network.ts';
import {
  type EndReason,
  type WorkerCommand,
  readCommands,
  readRedirect,
  encodeHeartbeat,
} from './protocol/wire.ts';
import type { HostClock, Timer, VirtualTime } from './time.ts';
import { findTask, type Work, type Workload } from './workload.ts';

/** What a judge is told of the tasks on machines (PROTOCOL, "How aims are counted": from the image to the exit). */
export interface TaskObserver {
  onStart(worker: Worker, task: string, attempt: number, work: Work): void;
  onEnd(worker: Worker, task: string, attempt: number, why: EndReason | 'lost', work: Work): void;
  /** The worker was told to forget a task that is done: from now on nobody is told of its result. */
  onResultForgotten(task: string, work: Work): void;
}

interface Task {
  readonly name: string;
  readonly attempt: number;
  readonly index: number;
  /** Null where the worker knows no such job. */
  readonly work: Work | null;
  state: 'fetching' | 'running' | 'flushing' | 'ended';
  reason: EndReason | null;
  saved: boolean;
  startedAt: number;
  timer: Timer | null;
}

export interface WorkerContext {
  time: VirtualTime;
  network: Network;
  random: Random;
  workload: Workload;
  observer: TaskObserver;
  heartbeatMs: number;
  leaseMs: number;
  /** The controller nodes' addresses by name, in the order in which they are tried. */
  nodes: { name: string; address: string; zone: string }[];
}

/** A worker, by PROTOCOL "Workers -> controller nodes" and "Controller nodes -> workers". */
export class Worker {
  readonly tasks = new Map<string, Task>();
  fencingToken = 0;
  agentEpoch = 1;
  private sequence = 0;
  /** When the last answered report was sent, or when the session began. */
  private renewedAt: number;
  private leaseTimer: Timer | null = null;
  private node: number;
  private inFlight = false;
  private sentAt = -Infinity;
  private heartbeatTimer: Timer | null = null;
  private tokenReportedAt = -Infinity;
  private readonly images: ImageCache;
  private readonly speed: number;
  /** Fails every task that it starts. */
  failsAllTasks = false;
  private preemptedAt: number | null = null;
  /** Sessions ended because their lease was over with tasks on the machine. */
  lostEpochs = 0;

  constructor(
    readonly machine: CloudMachine,
    readonly host: Host & { clock: HostClock },
    private readonly context: WorkerContext,
  ) {
    const { random, nodes } = context;
    this.speed = 1 + SPEED_JITTER * (random.below(2001) / 1000 - 1);
    this.images = new ImageCache(host.clock, random, machine.type);
    this.renewedAt = host.clock.now();
    const local = nodes.map((n, i) => ({ n, i })).filter(({ n }) => n.zone === machine.zone);
    const among = local.length > 0 ? local.map(({ i }) => i) : nodes.map((_, i) => i);
    this.node = among[random.below(among.length)] ?? 0;
    context.network.serve(machine.endpoint, host, (request) => this.serve(request));
    this.armLease();
    this.scheduleHeartbeat(random.below(HEARTBEAT_GAP_MS));
  }

  get id(): string {
    return this.machine.id;
  }

  /** The cloud will take the machine: told in reports from now on. */
  announcePreemption(seconds: number): void {
    this.preemptedAt = this.host.clock.now() + seconds * 1000;
    this.heartbeatSoon();
  }

  /** The machine is gone with all that is on it. */
  end(): void {
    this.host.status = 'dead';
    this.host.clock.ended = true;
    this.leaseTimer?.cancel();
    this.context.network.remove(this.machine.endpoint);
    this.context.network.closeConnections(this.host);
    for (const task of this.tasks.values()) this.kill(task);
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
    if (this.tasks.size > 0) this.lostEpochs++;
    for (const task of this.tasks.values()) this.kill(task);
    this.tasks.clear();
    this.agentEpoch++;
    this.renewedAt = this.host.clock.now();
    this.armLease();
    this.heartbeatSoon();
  }

  // --- reports ---

  /** A report as it would be sent now, for stories of copies that come late. */
  heartbeatText(): string {
    return this.encodeNextHeartbeat();
  }

  private encodeNextHeartbeat(): string {
    const { machine } = this;
    const left = this.preemptedAt === null ? null : (this.preemptedAt - this.host.clock.now()) / 1000;
    return encodeHeartbeat({
      id: machine.id,
      endpoint: machine.endpoint,
      type: machine.type.name,
      zone: machine.zone,
      spot: machine.spot,
      agentEpoch: this.agentEpoch,
      sequence: ++this.sequence,
      fencingToken: this.fencingToken,
      noticeS: left === null ? null : Math.max(0, left),
      tasks: Array.from(this.tasks.values(), (t) => ({ ...t, task: t.name })),
    });
  }

  private scheduleHeartbeat(ms: number): void {
    this.heartbeatTimer?.cancel();
    this.heartbeatTimer = this.host.clock.after(ms, () => void this.sendHeartbeat());
  }

  /** Something changed: a report goes out as soon as it may. */
  private heartbeatSoon(): void {
    if (this.inFlight) return; // the next one is timed when the answer is in
    this.scheduleHeartbeat(Math.max(0, this.sentAt + HEARTBEAT_GAP_MS - this.host.clock.now()));
  }

  private async sendHeartbeat(): Promise<void> {
    const { context, host } = this;
    const { clock } = host;
    const node = context.nodes[this.node];
    if (this.inFlight || !node || host.status !== 'up') return;
    this.inFlight = true;
    this.sentAt = clock.now();
    const { agentEpoch, sentAt } = this;
    const told = this.statusFingerprint();
    let reply: Reply | null = null;
    try {
      reply = await context.network.exchange(host, {
        address: node.address,
        method: 'POST',
        path: '/checkin',
        body: this.encodeNextHeartbeat(),
        deadlineMs: HEARTBEAT_DEADLINE_MS,
      });
    } catch (error) {
      if (!(error instanceof NoAnswer)) throw error;
    }
    this.inFlight = false;
    if (reply?.status === 200) this.onAnswer(reply.body, agentEpoch, sentAt);
    else if (reply?.status === 421 && this.redirect(readRedirect(reply.body))) {
      this.scheduleHeartbeat(context.random.below(HEARTBEAT_GAP_MS));
      return;
    } else {
      this.node = (this.node + 1) % context.nodes.length;
      this.scheduleHeartbeat(NEXT_NODE_MS);
      return;
    }
    const vary = 1 + HEARTBEAT_JITTER * (context.random.below(2001) / 1000 - 1);
    const due = told === this.statusFingerprint() ? context.heartbeatMs * vary : HEARTBEAT_GAP_MS;
    this.scheduleHeartbeat(Math.max(0, sentAt + due - clock.now()));
  }

  /** What a report tells, to see whether something has changed since. */
  private statusFingerprint(): string {
    let text = `${String(this.agentEpoch)} ${String(this.preemptedAt !== null)}`;
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

  private onAnswer(body: string, agentEpoch: number, sentAt: number): void {
    const answer = readCommands(body, false);
    if (!answer || agentEpoch !== this.agentEpoch || answer.fencingToken < this.fencingToken) return;
    this.acceptToken(answer.fencingToken);
    this.renewedAt = sentAt;
    this.armLease();
    this.carryOutCommands(answer.commands);
  }

  private acceptToken(token: number): void {
    if (token <= this.fencingToken) return;
    this.fencingToken = token;
    const now = this.host.clock.now();
    if (now - this.tokenReportedAt < this.context.leaseMs / 2) return;
    this.tokenReportedAt = now;
    this.heartbeatSoon();
  }

  // --- commands ---

  private serve(request: Request): Reply {
    if (request.path === '/inspect') return { status: 200, body: this.encodeNextHeartbeat() };
    if (request.path !== '/commands' || request.method !== 'POST') return { status: 404, body: '{}' };
    const command = readCommands(request.body, true);
    if (!command) return { status: 400, body: '{}' };
    if (command.fencingToken < this.fencingToken || command.agentEpoch !== this.agentEpoch)
      return { status: 409, body: this.encodeNextHeartbeat() };
    this.acceptToken(command.fencingToken);
    this.carryOutCommands(command.commands);
    return { status: 200, body: this.encodeNextHeartbeat() };
  }

  private carryOutCommands(commands: WorkerCommand[]): void {
    for (const command of commands) {
      const key = `${command.task}#${String(command.attempt)}`;
      const known = this.tasks.get(key);
      if (command.op === 'launch' && !known) this.launch(key, command.task, command.attempt);
      if (command.op === 'halt' && known) this.stop(known, command.graceS);
      if (command.op === 'forget' && known?.state === 'ended') {
        if (known.reason === 'done' && known.work)
          this.context.observer.onResultForgotten(known.name, known.work);
        this.tasks.delete(key);
        this.heartbeatSoon();
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
    this.heartbeatSoon();
    this.images.need(spec.image, spec.imageGb, task, () => this.start(task));
  }

  // --- tasks ---

  /** What is left on the machine beside the tasks that are on it, fetching ones too. */
  freeCapacity(): { cores: number; ramGb: number } {
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
    this.context.observer.onStart(this, task.name, task.attempt, work);
    this.heartbeatSoon();
    if (work.results.has(task.index)) return this.finish(task, 'done');
    if (this.failsAllTasks || work.broken) {
      task.timer = clock.after(TASK_FAILURE_MS, () => this.finish(task, 'error'));
      return;
    }
    if (work.spec.kind === 'service') return;
    const left = (work.runS(task.index) - (work.saved.get(task.index) ?? 0)) * 1000 * this.speed;
    task.timer = clock.after(Math.max(1, left), () => this.finish(task, 'done'));
  }

  private stop(task: Task, graceS: number): void {
    const { work } = task;
    if (task.state === 'ended') return;
    const saves =
      work !== null && work.spec.checkpointS > 0 && task.state === 'running' && !this.failsAllTasks;
    if (saves && graceS >= work.spec.saveS) {
      task.state = 'flushing';
      task.timer?.cancel();
      task.timer = this.host.clock.after(work.spec.saveS * 1000, () => {
        this.save(task, work, true);
        this.finish(task, 'stopped');
      });
      return this.heartbeatSoon();
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

  private finish(task: Task, reason: EndReason): void {
    if (task.state === 'ended') return;
    const began = task.state !== 'fetching';
    task.timer?.cancel();
    this.images.release(task);
    task.state = 'ended';
    task.reason = reason;
    if (task.work && reason === 'done') task.work.results.add(task.index);
    if (began && task.work) this.context.observer.onEnd(this, task.name, task.attempt, reason, task.work);
    this.heartbeatSoon();
  }

  /** Killed with its machine or its session: nothing of it is reported again. */
  private kill(task: Task): void {
    const began = task.state === 'running' || task.state === 'flushing';
    task.timer?.cancel();
    this.images.release(task);
    if (began && task.work) {
      if (task.work.spec.checkpointS > 0) this.save(task, task.work, false);
      this.context.observer.onEnd(this, task.name, task.attempt, 'lost', task.work);
    }
    task.state = 'ended';
  }
}
