/**
 * A model of a worker (PROTOCOL "Workers -> controller nodes", "Controller nodes -> workers"): heartbeats and
 * redirects, fencing token, agent epoch and worker lease, and the tasks on its machine, from fetching the
 * image to the result.
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

/**
 * Is notified when tasks on machines start and end. A task counts from the time its image is there until its
 * exit (PROTOCOL, "How aims are counted").
 */
export interface TaskObserver {
  /** The task's image has been fetched and the task runs. */
  onStart(worker: Worker, task: string, attempt: number, work: Work): void;
  /**
   * A started task has ended. `lost`: its machine or its agent epoch ended, so that no heartbeat reports the
   * end.
   */
  onEnd(worker: Worker, task: string, attempt: number, why: EndReason | 'lost', work: Work): void;
  /** The worker has forgotten a completed task on command. From now on no heartbeat reports its result. */
  onResultForgotten(task: string, work: Work): void;
}

/** One attempt of a task on the machine. It is kept after its end until a `forget` command. */
interface Task {
  readonly name: string;
  readonly attempt: number;
  /** The index of the task in its job. */
  readonly index: number;
  /** Null if there is no such task. */
  readonly work: Work | null;
  /** `fetching`: waits for its image. `flushing`: saves its progress before it stops. */
  state: 'fetching' | 'running' | 'flushing' | 'ended';
  /** Why it ended. Null before its end, and if it was killed. */
  reason: EndReason | null;
  /** Whether it was stopped with all of its progress saved. */
  saved: boolean;
  /** When it started to run, by the host's clock. */
  startedAt: number;
  /** Timer that ends the task. */
  timer: Timer | null;
}

/** A worker's dependencies and parameters. */
export interface WorkerContext {
  time: VirtualTime;
  network: Network;
  random: Random;
  workload: Workload;
  observer: TaskObserver;
  /** Interval between heartbeats while the worker's status does not change. */
  heartbeatMs: number;
  /** Duration of the worker lease, by the host's clock. */
  leaseMs: number;
  /** The controller nodes, in the order in which they are tried. */
  nodes: { name: string; address: string; zone: string }[];
}

/**
 * The worker of one machine. It serves and sends heartbeats from construction until `terminate`. Times are
 * measured by its host's clock.
 */
export class Worker {
  /** Attempts that are not forgotten, by `task#attempt`. */
  readonly tasks = new Map<string, Task>();
  /** The highest fencing token accepted. Commands and answers with a lower one are rejected. */
  fencingToken = 0;
  /** Incremented when the lease expires. Commands and answers for an earlier epoch are rejected. */
  agentEpoch = 1;
  /** Sequence number of the newest heartbeat. */
  private sequence = 0;
  /** Start of the lease: when the last answered heartbeat was sent, or when the agent epoch began. */
  private renewedAt: number;
  private leaseTimer: Timer | null = null;
  /** Index of the controller that receives the next heartbeat. */
  private nodeIndex: number;
  /** Whether a heartbeat is in flight. There is never more than one. */
  private inFlight = false;
  /** When the last heartbeat was sent. */
  private sentAt = -Infinity;
  private heartbeatTimer: Timer | null = null;
  /** When a heartbeat was last sent early because of a new fencing token. */
  private tokenReportedAt = -Infinity;
  private readonly images: ImageCache;
  /** Factor on the duration of tasks on this machine, about 1. Above 1, tasks take longer. */
  private readonly durationFactor: number;
  /** Whether every task that the worker starts fails. */
  failsAllTasks = false;
  /** When the cloud preempts the machine. Null without a preemption notice. */
  private preemptionAt: number | null = null;
  /** Number of agent epochs that ended because the lease had expired while the machine had tasks. */
  lostEpochs = 0;

  /** What the worker has sent and refused; read by tests. */
  readonly counts = { heartbeats: 0, droppedReplies: 0, refusedCalls: 0, refusedLaunches: 0 };

  constructor(
    readonly machine: CloudMachine,
    readonly host: Host & { clock: HostClock },
    private readonly context: WorkerContext,
  ) {
    const { random, nodes } = context;
    this.durationFactor = 1 + SPEED_JITTER * (random.below(2001) / 1000 - 1);
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

  /**
   * Preemption notice: the cloud preempts the machine in so many seconds. Heartbeats report it from now on.
   */
  announcePreemption(seconds: number): void {
    this.preemptionAt = this.host.clock.now() + seconds * 1000;
    this.heartbeatSoon();
  }

  /** Terminates the worker and kills its tasks: its machine is gone. */
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

  /** Sets the timer of a new or renewed lease. */
  private armLeaseTimer(): void {
    const { clock } = this.host;
    this.leaseTimer?.cancel();
    const remainingMs = this.renewedAt + this.context.leaseMs - clock.now();
    // A timer in virtual time, because a freeze delays the host's own timers, and a frozen machine must also
    // end its tasks in time.
    this.leaseTimer = this.context.time.after(Math.max(0, remainingMs) + 1, () => this.onLeaseTimer());
  }

  /** If the lease has expired, kills all tasks and begins the next agent epoch. */
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

  /** The body of the next heartbeat, for named scenarios of late duplicates. Uses up a sequence number. */
  nextHeartbeatText(): string {
    return this.encodeNextHeartbeat();
  }

  /** The body of a heartbeat with the present status and the next sequence number. */
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

  /** Schedules the next heartbeat in `ms` milliseconds, in place of the one scheduled before. */
  private scheduleHeartbeat(ms: number): void {
    this.heartbeatTimer?.cancel();
    this.heartbeatTimer = this.host.clock.after(ms, () => void this.sendHeartbeat());
  }

  /** After a change of status: schedules a heartbeat as soon as `HEARTBEAT_GAP_MS` allows. */
  private heartbeatSoon(): void {
    if (this.inFlight) return; // the next one is scheduled when the answer arrives
    this.scheduleHeartbeat(Math.max(0, this.sentAt + HEARTBEAT_GAP_MS - this.host.clock.now()));
  }

  /**
   * Sends a heartbeat and schedules the next one: soon after a redirect, to the next node if there was no
   * usable answer, early if the status has changed meanwhile, and otherwise after the usual interval.
   */
  private async sendHeartbeat(): Promise<void> {
    const { context, host } = this;
    const { clock } = host;
    const node = context.nodes[this.nodeIndex];
    if (this.inFlight || !node || host.status !== 'up') return;
    this.inFlight = true;
    this.sentAt = clock.now();
    this.counts.heartbeats++;
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

  /** The reported status as text, to detect whether it has changed since a heartbeat was sent. */
  private statusFingerprint(): string {
    let text = `${String(this.agentEpoch)} ${String(this.preemptionAt !== null)}`;
    for (const t of this.tasks.values()) text += ` ${t.name}#${String(t.attempt)}${t.state}`;
    return text;
  }

  /** Switches to the node that a 421 names. Returns false if that is the present node or an unknown one. */
  private redirect(name: string | null): boolean {
    const index = this.context.nodes.findIndex((node) => node.name === name);
    if (index < 0 || index === this.nodeIndex) return false;
    this.nodeIndex = index;
    return true;
  }

  /**
   * Renews the lease from the time at which the heartbeat was sent, and executes the commands in the answer.
   * Ignores answers to an earlier epoch or from a former leader.
   */
  private onAnswer(body: string, agentEpoch: number, sentAt: number): void {
    const answer = readCommands(body, false);
    if (!answer || agentEpoch !== this.agentEpoch || answer.fencingToken < this.fencingToken) {
      this.counts.droppedReplies++;
      return;
    }
    this.acceptToken(answer.fencingToken);
    this.renewedAt = sentAt;
    this.armLeaseTimer();
    this.carryOutCommands(answer.commands);
  }

  /** Accepts a higher fencing token and reports it early, but at most once every half lease. */
  private acceptToken(token: number): void {
    if (token <= this.fencingToken) return;
    this.fencingToken = token;
    const now = this.host.clock.now();
    if (now - this.tokenReportedAt < this.context.leaseMs / 2) return;
    this.tokenReportedAt = now;
    this.heartbeatSoon();
  }

  // --- commands ---

  /**
   * Serves one request. Every answer except 400 and 404 is a heartbeat, so that the controller gets the
   * present status.
   */
  private serve(request: Request): Reply {
    if (request.path === '/inspect') return { status: 200, body: this.encodeNextHeartbeat() };
    if (request.path !== '/commands' || request.method !== 'POST') return { status: 404, body: '{}' };
    const command = readCommands(request.body, true);
    if (!command) return { status: 400, body: '{}' };
    if (command.fencingToken < this.fencingToken || command.agentEpoch !== this.agentEpoch) {
      this.counts.refusedCalls++;
      this.counts.refusedLaunches += command.commands.filter(({ op }) => op === 'launch').length;
      return { status: 409, body: this.encodeNextHeartbeat() };
    }
    this.acceptToken(command.fencingToken);
    this.carryOutCommands(command.commands);
    return { status: 200, body: this.encodeNextHeartbeat() };
  }

  /** Executes commands. Repeated ones have no further effect. */
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

  /** Launches the task, or ends it at once with the reason why it cannot run here. */
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

  /** Capacity that is not used by tasks that have not ended. Tasks that wait for their image use capacity. */
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

  /** Completes running tasks early, with their results, for named scenarios. */
  completeTasks(which: (task: string) => boolean): void {
    for (const task of this.tasks.values())
      if (task.state === 'running' && which(task.name)) this.finish(task, 'done');
  }

  /**
   * Job ids of the tasks that have not ended, one entry per task. Includes tasks that wait for their image.
   */
  jobIds(): string[] {
    return [...this.tasks.values()].flatMap(({ state, work }) =>
      state === 'ended' || !work ? [] : [work.spec.id],
    );
  }

  /**
   * Starts a task whose image is there. A task that already has a result ends at once; a service runs until
   * it is stopped.
   */
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
    const remainingMs =
      (work.runS(task.index) - (work.saved.get(task.index) ?? 0)) * 1000 * this.durationFactor;
    task.timer = clock.after(Math.max(1, remainingMs), () => this.finish(task, 'done'));
  }

  /** Stops the task. It saves its progress first if `graceS` seconds are enough for that. */
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

  /** Saves the task's progress: all of it, or only as much as its last periodic checkpoint has. */
  private save(task: Task, work: Work, all: boolean): void {
    const ranS = (this.host.clock.now() - task.startedAt) / 1000 / this.durationFactor;
    const savedS = all ? ranS : Math.floor(ranS / work.spec.checkpointS) * work.spec.checkpointS;
    work.saved.set(task.index, (work.saved.get(task.index) ?? 0) + savedS);
    task.saved = all;
  }

  /** Ends the task with a reason, which heartbeats report until a `forget` command. */
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

  /** Kills the task because its machine or its agent epoch ends. No heartbeat reports it again. */
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
