import { createHash, type Hash } from 'node:crypto';
import { FORGOTTEN_CALM_MS, FORGOTTEN_MS, FORGOTTEN_POLLS, ROUNDING } from './constants.ts';
import type { Causal, ToldState } from './protocol/wire.ts';
import type { VirtualTime } from './time.ts';
import type { TaskWatcher, Worker } from './worker.ts';
import type { Work, Workload } from './workload.ts';

/**
 * The rules of PROTOCOL "Rules", and besides: `ran_again`, a task that starts though its worker was told to forget its
 * result; `unserved`, less than half of a class, a team or a class's largest jobs is served; `stuck`, an accepted job that
 * does not end once faults are over; `idle_wait`, a job that waits for long beside room for it, all troubles over;
 * `wrongly_accepted`, a job that can't run or lacks a field and is accepted; `over_limit`, calls above an outside service's
 * limits; `crashed`, an error that nobody caught.
 */
export type Rule =
  | 'ran_twice'
  | 'quota'
  | 'wrong_place'
  | 'ran_cancelled'
  | 'forgotten'
  | 'invented'
  | 'not_done'
  | 'went_back'
  | 'nothing_ran'
  | 'ran_again'
  | 'stuck'
  | 'unserved'
  | 'idle_wait'
  | 'wrongly_accepted'
  | 'over_limit'
  | 'crashed';

export interface Violation {
  rule: Rule;
  /** Virtual seconds. */
  atS: number;
  detail: string;
}

/** `look`: a poll put straight to one node, whose failure says nothing about what users in general learn. */
export type Question = 'submit' | 'poll' | 'withdraw' | 'look';

interface JobHistory {
  /** When its user was first told that it is accepted. */
  acceptedAt: number;
  final: { state: 'done' | 'cancelled'; at: number } | null;
  cancelAsked: boolean;
  /** It can never run, its user was told. */
  refused: boolean;
  /** Polls failed since one was last answered. */
  failedSince: number;
  failedPolls: number;
}

/**
 * Judges a history event by event and writes it into a digest. What users know is judged by when they asked: an
 * answer is an older one only if the question was put after the newer answer was in.
 */
export class Judge implements TaskWatcher {
  readonly violations: Violation[] = [];
  /** When a task last started or ended. */
  movedAt = 0;
  started = 0;
  completed = 0;
  /** Starts of tasks that had been started before. */
  repeated = 0;
  private readonly digest: Hash = createHash('sha256');
  /** By task, the machines that it is on. */
  private readonly on = new Map<string, Set<Worker>>();
  private readonly byJob = new Map<string, Set<string>>();
  private readonly used = new Map<string, number>();
  private readonly jobs = new Map<string, JobHistory>();
  private readonly everStarted = new Set<string>();
  private readonly resultTaken = new Set<string>();
  private readonly polls = { answered: 0, failed: 0 };
  /** Starts of tasks whose user had been told before that the job is cancelled: counted, and no rule up to `cancel_s`. */
  startsAfterCancelled = 0;
  /** Told when a user learns something new of a job, and when a job's last task ends. */
  onNews: (id: string) => void = () => {};
  onAllDone: (id: string) => void = () => {};
  /** Since when no trouble goes on; infinite while one does. */
  calmSince = Infinity;
  /** By job, when its first task started. */
  readonly firstStarts = new Map<string, number>();
  /** What nobody can know any more after a loss, by kind and job or task. */
  private readonly excused = {
    acceptance: new Set<string>(),
    final: new Set<string>(),
    result: new Set<string>(),
  };

  constructor(
    private readonly time: VirtualTime,
    private readonly workload: Workload,
    private readonly limits: { teamCores: Map<string, number>; cancelMs: number },
  ) {}

  /** How much nobody could know any more, by what would have been needed. */
  get unrecoverable(): Record<string, number> {
    const { acceptance, final, result } = this.excused;
    return { acceptance: acceptance.size, final: final.size, result: result.size };
  }

  /**
   * Nobody knows any more what the state service does not have: the acceptance of a job, its end, and which results were
   * taken of a job that is open there.
   */
  excuse(has: (job: string) => boolean, open: (job: string) => boolean): void {
    for (const [id, job] of this.jobs) {
      if (!has(id) && job.acceptedAt !== Infinity) this.excused.acceptance.add(id);
      if (job.final && (open(id) || !has(id))) this.excused.final.add(id);
    }
    for (const task of this.resultTaken) {
      const id = task.slice(0, task.lastIndexOf('/'));
      if (open(id) || !has(id)) this.excused.result.add(task);
    }
    this.note(`unrecoverable ${JSON.stringify(this.unrecoverable)}`);
  }

  /** The history so far, in hexadecimal: the same days come to the same digest. */
  get digestHex(): string {
    return this.digest.copy().digest('hex');
  }

  break(rule: Rule, detail: string): void {
    this.note(`broken ${rule} ${detail}`);
    this.violations.push({ rule, atS: this.time.now / 1000, detail });
  }

  note(text: string): void {
    this.digest.update(`${this.time.now.toFixed(3)} ${text}\n`);
  }

  // --- tasks on machines ---

  onStart(worker: Worker, task: string, attempt: number, work: Work): void {
    this.note(`start ${task} ${String(attempt)} ${worker.id}`);
    this.movedAt = this.time.now;
    this.started++;
    if (!this.firstStarts.has(work.spec.id)) this.firstStarts.set(work.spec.id, this.time.now);
    if (this.everStarted.has(task)) this.repeated++;
    this.everStarted.add(task);
    if (this.resultTaken.has(task) && !this.excused.result.has(task))
      this.break('ran_again', `${task} starts on ${worker.id}, its result was taken`);
    const { spec } = work;
    const machines = this.on.get(task) ?? new Set<Worker>();
    for (const other of machines) {
      if (other !== worker) this.break('ran_twice', `${task} starts on ${worker.id}, is on ${other.id}`);
    }
    machines.add(worker);
    this.on.set(task, machines);
    const tasks = this.byJob.get(spec.id) ?? new Set<string>();
    tasks.add(task);
    this.byJob.set(spec.id, tasks);
    const used = (this.used.get(spec.team) ?? 0) + spec.cores;
    this.used.set(spec.team, used);
    const most = this.limits.teamCores.get(spec.team) ?? 0;
    if (most > 0 && used > most + ROUNDING)
      this.break('quota', `${spec.team} uses ${String(used)} of ${String(most)} at the start of ${task}`);
    this.judgePlace(worker, task, work, tasks);
    const final = this.jobs.get(spec.id)?.final;
    const told = final?.state === 'cancelled' && !this.excused.final.has(spec.id);
    if (told) this.startsAfterCancelled++;
    if (told && this.time.now > final.at + this.limits.cancelMs)
      this.break('ran_cancelled', `${task} starts on ${worker.id}, cancelled at ${String(final.at / 1000)}`);
  }

  private judgePlace(worker: Worker, task: string, work: Work, tasks: Set<string>): void {
    const { spec } = work;
    const { type, zone, spot } = worker.machine;
    const wrong = (why: string): void => this.break('wrong_place', `${task} on ${worker.id}: ${why}`);
    if (spec.types !== null && !spec.types.includes(type.name)) wrong(`type ${type.name}`);
    if (spec.zone !== null && spec.zone !== zone) wrong(`zone ${zone}`);
    if (spot && !spec.spot) wrong('a spot machine');
    if (!spec.oneZone && !spec.spread) return;
    const inZone = new Map<string, number>();
    for (const other of tasks) {
      for (const machine of this.on.get(other) ?? []) {
        const at = machine.machine.zone;
        inZone.set(at, (inZone.get(at) ?? 0) + 1);
      }
    }
    if (spec.oneZone && inZone.size > 1) wrong('others are in another zone');
    if (spec.spread && (inZone.get(zone) ?? 0) > Math.ceil(spec.tasks / 2)) wrong('too many in one zone');
  }

  onEnd(worker: Worker, task: string, attempt: number, why: Causal | 'lost', work: Work): void {
    this.note(`end ${task} ${String(attempt)} ${worker.id} ${why}`);
    this.movedAt = this.time.now;
    if (why === 'done') this.completed++;
    if (why === 'done' && work.results.size === work.spec.tasks) this.onAllDone(work.spec.id);
    this.on.get(task)?.delete(worker);
    if (this.on.get(task)?.size === 0) {
      this.on.delete(task);
      this.byJob.get(work.spec.id)?.delete(task);
    }
    this.used.set(work.spec.team, (this.used.get(work.spec.team) ?? 0) - work.spec.cores);
  }

  onResultTaken(task: string, work: Work): void {
    if (work.spec.kind === 'batch') this.resultTaken.add(task);
  }

  /** Tasks on machines now, by job. */
  running(job: string): string[] {
    return [...(this.byJob.get(job) ?? [])];
  }

  // --- users ---

  private job(id: string): JobHistory {
    const known = this.jobs.get(id);
    if (known) return known;
    const made: JobHistory = {
      acceptedAt: Infinity,
      final: null,
      cancelAsked: false,
      refused: false,
      failedSince: Infinity,
      failedPolls: 0,
    };
    this.jobs.set(id, made);
    return made;
  }

  isAccepted(id: string): boolean {
    return this.job(id).acceptedAt !== Infinity;
  }

  isRefused(id: string): boolean {
    return this.job(id).refused;
  }

  /** Whether nobody can know any more that the job was accepted. */
  isLost(id: string): boolean {
    return this.excused.acceptance.has(id);
  }

  finalState(id: string): 'done' | 'cancelled' | null {
    return this.job(id).final?.state ?? null;
  }

  isCancelAsked(id: string): boolean {
    return this.job(id).cancelAsked;
  }

  onCancelAsked(id: string): void {
    this.job(id).cancelAsked = true;
  }

  /** An answer to a user. `state` is what a 200 or 201 tells; status 0: no answer came. */
  onAnswer(id: string, question: Question, askedAt: number, status: number, state: ToldState | null): void {
    this.note(`told ${id} ${question} ${String(status)} ${state ?? '-'}`);
    const job = this.job(id);
    const work = this.workload.get(id);
    if (question === 'poll') this.judgePolls(id, job, status === 200 || status === 404);
    if (status === 404 && askedAt >= job.acceptedAt && !this.excused.acceptance.has(id))
      this.break('forgotten', `${id}: ${question} answered 404`);
    if (question === 'submit' && (status === 400 || status === 422) && askedAt >= job.acceptedAt)
      this.break('forgotten', `${id}: repeated submission answered ${String(status)}`);
    if (question === 'submit' && status === 422) job.refused = true;
    if ((status !== 200 && status !== 201) || state === null) return;
    if (!work?.submitted) this.break('invented', `${id}: ${question} answered ${String(status)}`);
    const accepted = job.acceptedAt === Infinity && question !== 'withdraw';
    if (accepted) {
      job.acceptedAt = this.time.now;
      this.time.after(0, () => this.onNews(id));
    }
    if (job.final && askedAt >= job.final.at && state !== job.final.state && !this.excused.final.has(id))
      this.break('went_back', `${id}: was told ${job.final.state}, is told ${state}`);
    if (state === 'cancelled' && !job.cancelAsked) this.break('went_back', `${id}: cancelled by nobody`);
    if (state === 'done' && work && work.results.size < work.spec.tasks)
      this.break('not_done', `${id}: ${String(work.results.size)} of ${String(work.spec.tasks)} tasks done`);
    if (job.final || (state !== 'done' && state !== 'cancelled')) return;
    job.final = { state, at: this.time.now };
    this.time.after(0, () => this.onNews(id));
    if (state === 'cancelled') this.time.after(this.limits.cancelMs + 1, () => this.judgeCancelled(id));
  }

  /** An answer to a submission that is malformed, or asks for what can never run; `id` where it names a job. */
  onOddAnswer(what: string, id: string | null, askedAt: number, status: number): void {
    this.note(`odd ${what} ${id ?? '-'} ${String(status)}`);
    const acceptedAt = id === null ? Infinity : this.job(id).acceptedAt;
    if (acceptedAt === Infinity && (status === 200 || status === 201))
      this.break('wrongly_accepted', `${what}: answered ${String(status)}`);
    if (askedAt >= acceptedAt && (status === 400 || status === 422 || status === 404))
      this.break('forgotten', `${String(id)}: ${what}, answered ${String(status)}`);
  }

  /** CPUs that the team's tasks use now. */
  usedBy(team: string): number {
    return this.used.get(team) ?? 0;
  }

  private judgeCancelled(id: string): void {
    if (this.excused.final.has(id)) return;
    for (const task of this.running(id)) {
      const at = [...(this.on.get(task) ?? [])].map((worker) => worker.id).join(' ');
      this.break('ran_cancelled', `${task} is still on ${at}`);
    }
  }

  private judgePolls(id: string, job: JobHistory, answered: boolean): void {
    if (answered) {
      this.polls.answered++;
      job.failedSince = Infinity;
      job.failedPolls = 0;
      return;
    }
    this.polls.failed++;
    job.failedPolls++;
    job.failedSince = Math.min(job.failedSince, this.time.now);
    // However others fare: no trouble is left that could be the reason.
    const calm = this.time.now - Math.max(job.failedSince, this.calmSince);
    if (calm >= FORGOTTEN_CALM_MS && job.acceptedAt !== Infinity && job.final?.state !== 'cancelled') {
      this.break(
        'forgotten',
        `${id}: no answer for ${String(FORGOTTEN_CALM_MS / 1000)} s, all troubles over`,
      );
      job.failedSince = Infinity;
      return;
    }
    if (this.time.now - job.failedSince < FORGOTTEN_MS || job.failedPolls < FORGOTTEN_POLLS) return;
    if (this.polls.answered <= this.polls.failed) return;
    this.break('forgotten', `${id}: every poll failed for ${String(FORGOTTEN_MS / 1000)} s`);
    job.failedSince = Infinity;
  }
}
