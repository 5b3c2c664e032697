/**
 * A worker as PROTOCOL describes it ("Workers -> controller nodes", "Controller nodes -> workers"): heartbeats and
 * redirects, fencing token, agent epoch and worker lease, and the tasks on its machine from image to result.
 */
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

/** Is notified of the tasks on machines (PROTOCOL, "How aims are counted": from the image to the exit). */
export interface TaskObserver {
  /** The task's image is there and the task runs. */
  onStart(worker: Worker, task: string, attempt: number, work: Work): void;
  /** A task that had started ended; `lost`: with its machine or its agent epoch, so that no heartbeat reports it. */
  onEnd(worker: Worker, task: string, attempt: number, why: EndReason | 'lost', work: Work): void;
  /** A command to forget a task that is done was carried out: no heartbeat reports its result from now on. */
  onResultForgotten(task: string, work: Work): void;
}

/** One attempt of a task on the machine, kept after its end until a command to forget it. */
interface Task {
  readonly name: string;
  readonly attempt: number;
  /** Which of its job's tasks it is. */
  readonly index: number;
  /** Null where there is no such job. */
  readonly work: Work | null;
  /** `fetching`: it waits for its image. `flushing`: it saves its progress before it stops. */
  state: 'fetching' | 'running' | 'flushing' | 'ended';
  /** Why it ended; null before, and where it was killed. */
  reason: EndReason | null;
  /** It was stopped with all of its progress saved. */
  saved: boolean;
  /** By the host's clock. */
  startedAt: number;
  /** What ends it. */
  timer: Timer | null;
}

/** What a worker needs of its deployment. */
export interface WorkerContext {
  time: VirtualTime;
  network: Network;
  random: Random;
  workload: Workload;
  observer: TaskObserver;
  /** Interval of heartbeats while nothing changes. */
  heartbeatMs: number;
  /** The worker lease, by the host's clock. */
  leaseMs: number;
  /** The controller nodes' addresses by name, in the order in which they are tried. */
  nodes: { name: string; address: string; zone: string }[];
}

/** The worker of one machine; it serves and sends heartbeats from its construction until `end`. Times are its clock's. */
export class Worker {
  /** By task and attempt (`task#attempt`), all that is not forgotten. */
  readonly tasks = new Map<string, Task>();
  /** The highest accepted; commands and answers with a lower one are refused. */
  fencingToken = 0;
  /** Grows when the lease expires; what was sent to an earlier one is refused. */
  agentEpoch = 1;
  /** Sequence of the newest heartbeat. */
  private sequence = 0;
  /** When the last answered heartbeat was sent, or when the agent epoch began: the lease counts from here. */
  private renewedAt: number;
  private leaseTimer: Timer | null = null;
  /** Index of the controller that gets the next heartbeat. */
  private nodeIndex: number;
  /** A heartbeat has no answer yet; there is never more than one. */
  private inFlight = false;
  /** When the last heartbeat was sent. */
  private sentAt = -Infinity;
  private heartbeatTimer: Timer | null = null;
  /** When a heartbeat was last sent early because of a new fencing token. */
  private tokenReportedAt = -Infinity;
  private readonly images: ImageCache;
  /** Factor of the time that tasks take on this machine, about 1. */
  private readonly speed: number;
  /** Fails every task that it starts. */
  failsAllTasks = false;
  /** When the cloud takes the machine, after its preemption notice. */
  private preemptionAt: number | null = null;
  /** Agent epochs that ended because the lease expired, with tasks on the machine. */
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
    const local = nodes
      .map((node, index) => ({ node, index }))
      .filter(({ node }) => node.zone === machine.zone);
    const candidates = local.length > 0 ? local.map(({ index }) => index) : nodes.map((_, index) => index);
    this.nodeIndex = candidates[random.below(candidates.length)] ?? 0;
    context.network.serve(machine.endpoint, host, (request) => this.serve(request));
    this.armLeaseTimer();
    this.scheduleHeartbeat(random.below(HEARTBEAT_GAP_MS));
  }

  /** The machine's id, which is also its host's name. */
  get id(): string {
    return this.machine.id;
  }

  /** Preemption notice: the cloud takes the machine in so many seconds. Heartbeats say so from now on. */
  announcePreemption(seconds: number): void {
    this.preemptionAt = this.host.clock.now() + seconds * 1000;
    this.heartbeatSoon();
  }

  /** The machine is gone with all that is on it. */
  terminate(): void {
    this.host.status = 'dead';
    this.host.clock.ended = true;
    this.leaseTimer?.cancel();
    this.context.network.remove(this.machine.endpoint);
    this.context.network.closeConnections(this.host);
    for (const task of this.tasks.values()) this.kill(task);
    this.tasks.clear();
  }

  // --- lease ---

  /** Sets the timer of the lease, which was renewed or is new. */
  private armLeaseTimer(): void {
    const { clock } = this.host;
    this.leaseTimer?.cancel();
    const remainingMs = this.renewedAt + this.context.leaseMs - clock.now();
    // Virtual time's own timer, not the host's, which a freeze delays: a machine that hangs ends its tasks in time too.
    this.leaseTimer = this.context.time.after(Math.max(0, remainingMs) + 1, () => this.onLeaseTimer());
  }

  /** The lease may have expired: if so, kills all tasks and begins the next agent epoch. */
  private onLeaseTimer(): void {
    if (this.host.clock.now() - this.renewedAt <= this.context.leaseMs) return this.armLeaseTimer();
    if (this.tasks.size > 0) this.lostEpochs++;
    for (const task of this.tasks.values()) this.kill(task);
    this.tasks.clear();
    this.agentEpoch++;
    this.renewedAt = this.host.clock.now();
    this.armLeaseTimer();
    this.heartbeatSoon();
  }

  // --- heartbeats ---

  /** The text of a next heartbeat, for named scenarios of copies that come late; it takes a sequence number. */
  nextHeartbeatText(): string {
    return this.encodeNextHeartbeat();
  }

  /** A heartbeat of the present status, with the next sequence number. */
  private encodeNextHeartbeat(): string {
    const { machine } = this;
    const noticeS = this.preemptionAt === null ? null : (this.preemptionAt - this.host.clock.now()) / 1000;
    return encodeHeartbeat({
      id: machine.id,
      endpoint: machine.endpoint,
      type: machine.type.name,
      zone: machine.zone,
      spot: machine.spot,
      agentEpoch: this.agentEpoch,
      sequence: ++this.sequence,
      fencingToken: this.fencingToken,
      noticeS: noticeS === null ? null : Math.max(0, noticeS),
      tasks: Array.from(this.tasks.values(), (t) => ({ ...t, task: t.name })),
    });
  }

  /** Sends the next heartbeat in `ms` milliseconds, instead of when it was due. */
  private scheduleHeartbeat(ms: number): void {
    this.heartbeatTimer?.cancel();
    this.heartbeatTimer = this.host.clock.after(ms, () => void this.sendHeartbeat());
  }

  /** Something changed: a heartbeat is sent as soon as the least gap between two allows. */
  private heartbeatSoon(): void {
    if (this.inFlight) return; // the next one is timed when the answer is in
    this.scheduleHeartbeat(Math.max(0, this.sentAt + HEARTBEAT_GAP_MS - this.host.clock.now()));
  }

  /**
   * Sends a heartbeat and schedules the next one: soon after a redirect, at the next node where there was no usable
   * answer, early where something has changed meanwhile.
   */
  private async sendHeartbeat(): Promise<void> {
    const { context, host } = this;
    const { clock } = host;
    const node = context.nodes[this.nodeIndex];
    if (this.inFlight || !node || host.status !== 'up') return;
    this.inFlight = true;
    this.sentAt = clock.now();
    const { agentEpoch, sentAt } = this;
    const sentStatus = this.statusFingerprint();
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
      this.nodeIndex = (this.nodeIndex + 1) % context.nodes.length;
      this.scheduleHeartbeat(NEXT_NODE_MS);
      return;
    }
    const jitter = 1 + HEARTBEAT_JITTER * (context.random.below(2001) / 1000 - 1);
    const intervalMs =
      sentStatus === this.statusFingerprint() ? context.heartbeatMs * jitter : HEARTBEAT_GAP_MS;
    this.scheduleHeartbeat(Math.max(0, sentAt + intervalMs - clock.now()));
  }

  /** What a heartbeat reports, to see whether something has changed since one was sent. */
  private statusFingerprint(): string {
    let text = `${String(this.agentEpoch)} ${String(this.preemptionAt !== null)}`;
    for (const t of this.tasks.values()) text += ` ${t.name}#${String(t.attempt)}${t.state}`;
    return text;
  }

  /** Goes to the node that a 421 names; false where it names the same one or an unknown one. */
  private redirect(name: string | null): boolean {
    const index = this.context.nodes.findIndex((node) => node.name === name);
    if (index < 0 || index === this.nodeIndex) return false;
    this.nodeIndex = index;
    return true;
  }

  /** The lease counts from when the heartbeat was sent. An answer to an earlier epoch or of a former leader is void. */
  private onAnswer(body: string, agentEpoch: number, sentAt: number): void {
    const answer = readCommands(body, false);
    if (!answer || agentEpoch !== this.agentEpoch || answer.fencingToken < this.fencingToken) return;
    this.acceptToken(answer.fencingToken);
    this.renewedAt = sentAt;
    this.armLeaseTimer();
    this.carryOutCommands(answer.commands);
  }

  /** Reports a higher fencing token early, but not more often than every half lease. */
  private acceptToken(token: number): void {
    if (token <= this.fencingToken) return;
    this.fencingToken = token;
    const now = this.host.clock.now();
    if (now - this.tokenReportedAt < this.context.leaseMs / 2) return;
    this.tokenReportedAt = now;
    this.heartbeatSoon();
  }

  // --- commands ---

  /** Every answer but a 400 and a 404 is a heartbeat, so that the controller learns the present status. */
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

  /** Repeated commands have no further effect. */
  private carryOutCommands(commands: WorkerCommand[]): void {
    for (const command of commands) {
      const key = `${command.task}#${String(command.attempt)}`;
      const existing = this.tasks.get(key);
      if (command.op === 'launch' && !existing) this.launch(key, command.task, command.attempt);
      if (command.op === 'halt' && existing) this.stop(existing, command.graceS);
      if (command.op === 'forget' && existing?.state === 'ended') {
        if (existing.reason === 'done' && existing.work)
          this.context.observer.onResultForgotten(existing.name, existing.work);
        this.tasks.delete(key);
        this.heartbeatSoon();
      }
    }
  }

  /** Takes the task on, or ends it at once with the reason why it cannot run here. */
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
    const active = [...this.tasks.values()].filter((t) => t.state !== 'ended');
    this.tasks.set(key, task);
    if (!found) return this.finish(task, 'no_such');
    if (active.some((t) => t.name === name)) return this.finish(task, 'busy');
    const { spec } = found.work;
    const used = (of: (w: Work) => number): number =>
      active.reduce((sum, t) => sum + (t.work ? of(t.work) : 0), 0);
    const { cores, ramGb } = this.machine.type;
    const exceedsCores = used((w) => w.spec.cores) + spec.cores > cores + ROUNDING;
    if (exceedsCores || used((w) => w.spec.ramGb) + spec.ramGb > ramGb + ROUNDING)
      return this.finish(task, 'full');
    this.heartbeatSoon();
    this.images.request(spec.image, spec.imageGb, task, () => this.start(task));
  }

  // --- tasks ---

  /** What the tasks that have not ended leave free, those that wait for their image counted. */
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

  /** Ends running tasks with their results, before their time, for named scenarios. */
  completeTasks(which: (task: string) => boolean): void {
    for (const task of this.tasks.values())
      if (task.state === 'running' && which(task.name)) this.finish(task, 'done');
  }

  /** The jobs of the tasks that are on the machine, fetching ones too; a job for each task. */
  jobIds(): string[] {
    return [...this.tasks.values()].flatMap(({ state, work }) =>
      state === 'ended' || !work ? [] : [work.spec.id],
    );
  }

  /** The image is there. A task whose result is known already ends at once; a service runs until it is stopped. */
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
    const remainingMs = (work.runS(task.index) - (work.saved.get(task.index) ?? 0)) * 1000 * this.speed;
    task.timer = clock.after(Math.max(1, remainingMs), () => this.finish(task, 'done'));
  }

  /** Stops the task; it saves its progress first if it can within `graceS` seconds. */
  private stop(task: Task, graceS: number): void {
    const { work } = task;
    if (task.state === 'ended') return;
    const canSave =
      work !== null && work.spec.checkpointS > 0 && task.state === 'running' && !this.failsAllTasks;
    if (canSave && graceS >= work.spec.saveS) {
      task.state = 'flushing';
      task.timer?.cancel();
      task.timer = this.host.clock.after(work.spec.saveS * 1000, () => {
        this.save(task, work, true);
        this.finish(task, 'stopped');
      });
      return this.heartbeatSoon();
    }
    if (task.state === 'flushing' && graceS > 0) return;
    if (canSave) this.save(task, work, false);
    this.finish(task, 'stopped');
  }

  /** Keeps the task's progress: all of it, or what it has saved by itself at its intervals. */
  private save(task: Task, work: Work, all: boolean): void {
    const ranS = (this.host.clock.now() - task.startedAt) / 1000 / this.speed;
    const savedS = all ? ranS : Math.floor(ranS / work.spec.checkpointS) * work.spec.checkpointS;
    work.saved.set(task.index, (work.saved.get(task.index) ?? 0) + savedS);
    task.saved = all;
  }

  /** Ends the task with a reason, which heartbeats report until a command to forget it. */
  private finish(task: Task, reason: EndReason): void {
    if (task.state === 'ended') return;
    const hadStarted = task.state !== 'fetching';
    task.timer?.cancel();
    this.images.release(task);
    task.state = 'ended';
    task.reason = reason;
    if (task.work && reason === 'done') task.work.results.add(task.index);
    if (hadStarted && task.work)
      this.context.observer.onEnd(this, task.name, task.attempt, reason, task.work);
    this.heartbeatSoon();
  }

  /** Kills the task with its machine or its agent epoch: no heartbeat reports it again. */
  private kill(task: Task): void {
    const hadStarted = task.state === 'running' || task.state === 'flushing';
    task.timer?.cancel();
    this.images.release(task);
    if (hadStarted && task.work) {
      if (task.work.spec.checkpointS > 0) this.save(task, task.work, false);
      this.context.observer.onEnd(this, task.name, task.attempt, 'lost', task.work);
    }
    task.state = 'ended';
  }
}
