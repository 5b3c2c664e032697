/**
 * Checks every event of a run against the rules of PROTOCOL and some more (`Rule`), and adds it to a digest
 * that shows whether two runs had the same history.
 */
import { ROUNDING } from './constants.ts';
import type { EndReason, InvalidRequestKind, JobState } from './protocol/wire.ts';
import type { EventCode, EventField, RequestKind, Rule, Violation } from './invariant-rules.ts';
import { placementErrors } from './placement-rule.ts';
import { PollFailures } from './poll-failures.ts';
import { RunHistory } from './run-history.ts';
import type { VirtualTime } from './time.ts';
import type { TaskObserver, Worker } from './worker.ts';
import type { Work, Workload } from './workload.ts';

/**
 * What answers have told a job's user so far. Times are virtual milliseconds, infinite for events yet to
 * come.
 */
interface JobHistory {
  /** When an answer to a submission or a poll first reported that the job is accepted. */
  acceptedAt: number;
  /** The first final state that an answer reported, and when. */
  final: { state: 'done' | 'cancelled'; at: number } | null;
  /** Whether a user has requested its cancellation. */
  cancelRequested: boolean;
  /** Whether a submission was answered 422: the job can never run. */
  refused: boolean;
}

/**
 * The checker of one run. An answer to a user contradicts an earlier one only if its request was sent after
 * the earlier answer arrived, since answers may overtake one another.
 */
export class InvariantChecker implements TaskObserver {
  /** When a task last started or ended. */
  lastProgressAt = 0;
  /** Starts of tasks. */
  started = 0;
  /** Tasks that ended with a result. */
  completed = 0;
  /** Starts of tasks that had been started before. */
  repeated = 0;
  private readonly history: RunHistory;
  /** By task: the workers that it is on. */
  private readonly workersByTask = new Map<string, Set<Worker>>();
  /** By job: its tasks that are on machines. */
  private readonly runningByJob = new Map<string, Set<string>>();
  /** CPUs of the tasks on machines; a task on two machines counts twice. */
  private readonly usedCoresByTeam = new Map<string, number>();
  private readonly jobs = new Map<string, JobHistory>();
  private readonly everStarted = new Set<string>();
  /** Completed tasks of batch jobs whose results a worker was told to forget. */
  private readonly forgottenResults = new Set<string>();
  /** Users' polls, for the rule `forgotten`. */
  readonly polls = new PollFailures();
  /** Starts of tasks after an answer that their job is cancelled. They break a rule only after `cancelMs`. */
  startsAfterCancelled = 0;
  /** Called when an answer first reports that a job is accepted, or that it has ended. */
  onStateLearned: (id: string) => void = () => {};
  /** Called when the last task of a job ends with its result. */
  onAllTasksDone: (id: string) => void = () => {};
  /** By job: when its first task started. */
  readonly firstStarts = new Map<string, number>();
  /**
   * Facts that the controllers can't recover after a loss of data: acceptances and final states by job,
   * results by task.
   */
  private readonly unrecoverableFacts = {
    acceptance: new Set<string>(),
    final: new Set<string>(),
    result: new Set<string>(),
  };

  constructor(
    private readonly time: VirtualTime,
    private readonly workload: Workload,
    /** Quotas in CPUs by team (0: unlimited), and how long a cancelled job's tasks may still start or run. */
    private readonly limits: { teamCores: Map<string, number>; cancelMs: number },
  ) {
    this.history = new RunHistory(time);
  }

  /** How many facts are unrecoverable, by kind. */
  get unrecoverable(): Record<string, number> {
    const { acceptance, final, result } = this.unrecoverableFacts;
    return { acceptance: acceptance.size, final: final.size, result: result.size };
  }

  /**
   * Marks the facts that only the lost data held: the acceptance of a job that is missing in the store, the
   * final state of a job that is missing or open there, and such a job's results that workers have forgotten.
   * `has`: whether the store has a record of the job. `open`: whether that record is of an open job.
   */
  markUnrecoverable(has: (job: string) => boolean, open: (job: string) => boolean): void {
    for (const [id, job] of this.jobs) {
      if (!has(id) && job.acceptedAt !== Infinity) this.unrecoverableFacts.acceptance.add(id);
      if (job.final && (open(id) || !has(id))) this.unrecoverableFacts.final.add(id);
    }
    for (const task of this.forgottenResults) {
      const id = task.slice(0, task.lastIndexOf('/'));
      if (open(id) || !has(id)) this.unrecoverableFacts.result.add(task);
    }
    const { acceptance, final, result } = this.unrecoverableFacts;
    this.record('unrecoverable', acceptance.size, final.size, result.size);
  }

  /** Digest of the history so far, in hexadecimal. Equal histories have equal digests. */
  get digestHex(): string {
    return this.history.digestHex;
  }

  /** All violations so far, in the order in which they were found. */
  get violations(): Violation[] {
    return this.history.violations;
  }

  /** See {@link RunHistory.reportViolation}. */
  reportViolation(rule: Rule, subject: readonly EventField[], detail: string): void {
    this.history.reportViolation(rule, subject, detail);
  }

  /** See {@link RunHistory.record}. */
  record(event: EventCode, ...fields: EventField[]): void {
    this.history.record(event, ...fields);
  }

  // --- tasks on machines ---

  /** Checks every rule about where and when a task may run, after a worker has started an attempt of it. */
  onStart(worker: Worker, task: string, attempt: number, work: Work): void {
    this.record('task_start', task, attempt, worker.id);
    this.lastProgressAt = this.time.now;
    this.started++;
    if (!this.firstStarts.has(work.spec.id)) this.firstStarts.set(work.spec.id, this.time.now);
    if (this.everStarted.has(task)) this.repeated++;
    this.everStarted.add(task);
    this.checkNotElsewhere(worker, task);
    const tasks = this.runningByJob.get(work.spec.id) ?? new Set<string>();
    tasks.add(task);
    this.runningByJob.set(work.spec.id, tasks);
    this.checkQuota(task, work);
    this.checkPlacement(worker, task, work, tasks);
    this.checkNotCancelled(worker, task, work.spec.id);
  }

  /** Checks the rules `ran_again` and `ran_twice`, and records that the task is on the worker. */
  private checkNotElsewhere(worker: Worker, task: string): void {
    if (this.forgottenResults.has(task) && !this.unrecoverableFacts.result.has(task))
      this.reportViolation(
        'ran_again',
        [task, worker.id],
        `${task} starts on ${worker.id} after its result was recorded`,
      );
    const workers = this.workersByTask.get(task) ?? new Set<Worker>();
    for (const other of workers) {
      if (other !== worker)
        this.reportViolation(
          'ran_twice',
          [task, worker.id, other.id],
          `${task} starts on ${worker.id} while it is on ${other.id}`,
        );
    }
    workers.add(worker);
    this.workersByTask.set(task, workers);
  }

  /** Checks the rule `quota`, and records what the task uses. */
  private checkQuota(task: string, { spec }: Work): void {
    const used = (this.usedCoresByTeam.get(spec.team) ?? 0) + spec.cores;
    this.usedCoresByTeam.set(spec.team, used);
    const quota = this.limits.teamCores.get(spec.team) ?? 0;
    if (quota > 0 && used > quota + ROUNDING)
      this.reportViolation(
        'quota',
        [spec.team, used, quota, task],
        `${spec.team} uses ${String(used)} CPUs of a quota of ${String(quota)} after the start of ${task}`,
      );
  }

  /** Checks the rule `ran_cancelled` on the start of a task. */
  private checkNotCancelled(worker: Worker, task: string, jobId: string): void {
    const final = this.jobs.get(jobId)?.final;
    if (final?.state !== 'cancelled' || this.unrecoverableFacts.final.has(jobId)) return;
    this.startsAfterCancelled++;
    if (this.time.now > final.at + this.limits.cancelMs)
      this.reportViolation(
        'ran_cancelled',
        ['starts', task, worker.id, final.at / 1000],
        `${task} starts on ${worker.id}, its job was cancelled at ${String(final.at / 1000)} s`,
      );
  }

  /** Checks the rule `wrong_place`: type, zone, spot flag, and the zones of the job's other tasks. */
  private checkPlacement(worker: Worker, task: string, { spec }: Work, tasks: Set<string>): void {
    const zones = spec.oneZone || spec.spread ? this.zonesOf(tasks) : [];
    for (const { cause, value, explanation } of placementErrors(spec, worker.machine, zones))
      this.reportViolation(
        'wrong_place',
        [task, worker.id, cause, value],
        `${task} on ${worker.id}: ${explanation}`,
      );
  }

  /** The zones of the tasks, one for each machine that a task is on. */
  private zonesOf(tasks: Set<string>): string[] {
    const workers = [...tasks].flatMap((task) => [...(this.workersByTask.get(task) ?? [])]);
    return workers.map(({ machine }) => machine.zone);
  }

  /** Records that an attempt ended on its worker. `lost`: it ended with its machine or its agent epoch. */
  onEnd(worker: Worker, task: string, attempt: number, reason: EndReason | 'lost', work: Work): void {
    this.record('task_end', task, attempt, worker.id, reason);
    this.lastProgressAt = this.time.now;
    if (reason === 'done') this.completed++;
    if (reason === 'done' && work.results.size === work.spec.tasks) this.onAllTasksDone(work.spec.id);
    this.workersByTask.get(task)?.delete(worker);
    if (this.workersByTask.get(task)?.size === 0) {
      this.workersByTask.delete(task);
      this.runningByJob.get(work.spec.id)?.delete(task);
    }
    this.usedCoresByTeam.set(
      work.spec.team,
      (this.usedCoresByTeam.get(work.spec.team) ?? 0) - work.spec.cores,
    );
  }

  /**
   * Records that a worker has forgotten the result of a batch task, so that only the stored records have it.
   */
  onResultForgotten(task: string, work: Work): void {
    if (work.spec.kind === 'batch') this.forgottenResults.add(task);
  }

  /** The job's tasks that are on machines now. */
  runningTasks(job: string): string[] {
    return [...(this.runningByJob.get(job) ?? [])];
  }

  // --- users ---

  /** The job's history; an empty one if the job is new to the checker. */
  private historyOf(id: string): JobHistory {
    const known = this.jobs.get(id);
    if (known) return known;
    const made: JobHistory = {
      acceptedAt: Infinity,
      final: null,
      cancelRequested: false,
      refused: false,
    };
    this.jobs.set(id, made);
    return made;
  }

  /** Whether an answer has reported that the job is accepted. */
  isAccepted(id: string): boolean {
    return this.historyOf(id).acceptedAt !== Infinity;
  }

  /** Whether a controller rejected a submission because the job can never run. */
  isRefused(id: string): boolean {
    return this.historyOf(id).refused;
  }

  /** Whether a loss of data removed every record that the job was accepted. */
  isAcceptanceLost(id: string): boolean {
    return this.unrecoverableFacts.acceptance.has(id);
  }

  /** The final state that an answer reported; null if none has yet. */
  finalState(id: string): 'done' | 'cancelled' | null {
    return this.historyOf(id).final?.state ?? null;
  }

  /** Whether a user has requested the cancellation of the job. */
  isCancelRequested(id: string): boolean {
    return this.historyOf(id).cancelRequested;
  }

  /** Records that a user requests the cancellation of the job. Called before the request is sent. */
  onCancelRequested(id: string): void {
    this.historyOf(id).cancelRequested = true;
  }

  /**
   * Checks an answer to a user. `state` is the job's state in a 200 or 201. Status 0 means that no answer
   * came.
   */
  onAnswer(id: string, request: RequestKind, sentAt: number, status: number, state: JobState | null): void {
    this.record('answer', id, request, status, state);
    const job = this.historyOf(id);
    if (request === 'poll') this.checkPoll(id, job, sentAt, status);
    this.checkRejection(id, request, sentAt, status);
    if ((status !== 200 && status !== 201) || state === null) return;
    if (!this.workload.get(id)?.submitted)
      this.reportViolation('invented', [id, request, status], `${id}: ${request} answered ${String(status)}`);
    if (request !== 'cancel') this.onAccepted(id, job);
    this.checkState(id, job, sentAt, state);
    if (state === 'done' || state === 'cancelled') this.onFinalState(id, job, state);
  }

  /** Checks the rule `forgotten` on an answer that denies the job. A submission answered 422 is refused. */
  private checkRejection(id: string, request: RequestKind, sentAt: number, status: number): void {
    const job = this.historyOf(id);
    const isAccepted = sentAt >= job.acceptedAt;
    if (status === 404 && isAccepted && !this.unrecoverableFacts.acceptance.has(id))
      this.reportViolation('forgotten', [id, request, status], `${id}: ${request} answered 404`);
    if (request !== 'submit' || (status !== 400 && status !== 422)) return;
    if (isAccepted)
      this.reportViolation(
        'forgotten',
        [id, request, status],
        `${id}: repeated submission answered ${String(status)}`,
      );
    if (status === 422) job.refused = true;
  }

  /** Records the first answer that reports the job as accepted. */
  private onAccepted(id: string, job: JobHistory): void {
    if (job.acceptedAt !== Infinity) return;
    job.acceptedAt = this.time.now;
    this.time.after(0, () => this.onStateLearned(id));
  }

  /** Checks the rules `went_back` and `not_done` on the state in an answer. */
  private checkState(
    id: string,
    { cancelRequested, final }: JobHistory,
    sentAt: number,
    state: JobState,
  ): void {
    const isFinalKnown = final !== null && sentAt >= final.at && !this.unrecoverableFacts.final.has(id);
    if (isFinalKnown && state !== final.state)
      this.reportViolation(
        'went_back',
        [id, final.state, state],
        `${id}: answered ${state} after ${final.state}`,
      );
    if (state === 'cancelled' && !cancelRequested)
      this.reportViolation(
        'went_back',
        [id, null, state],
        `${id}: answered cancelled, but no user cancelled it`,
      );
    const work = this.workload.get(id);
    if (state === 'done' && work && work.results.size < work.spec.tasks)
      this.reportViolation(
        'not_done',
        [id, work.results.size, work.spec.tasks],
        `${id}: answered done with ${String(work.results.size)} of ${String(work.spec.tasks)} tasks done`,
      );
  }

  /** Records the first answer that reports the job's final state. */
  private onFinalState(id: string, job: JobHistory, state: 'done' | 'cancelled'): void {
    if (job.final) return;
    job.final = { state, at: this.time.now };
    this.time.after(0, () => this.onStateLearned(id));
    if (state === 'cancelled') this.time.after(this.limits.cancelMs + 1, () => this.checkCancelledTasks(id));
  }

  /**
   * Checks the answer to a submission that is malformed or can never run. `id` is null if it names no job.
   */
  onInvalidRequestAnswer(kind: InvalidRequestKind, id: string | null, sentAt: number, status: number): void {
    this.record('invalid_request', kind, id, status);
    const acceptedAt = id === null ? Infinity : this.historyOf(id).acceptedAt;
    if (acceptedAt === Infinity && (status === 200 || status === 201))
      this.reportViolation('wrongly_accepted', [kind, status], `${kind}: answered ${String(status)}`);
    if (sentAt >= acceptedAt && (status === 400 || status === 422 || status === 404))
      this.reportViolation(
        'forgotten',
        [id, 'invalid_request', kind, status],
        `${String(id)}: ${kind}, answered ${String(status)}`,
      );
  }

  /** CPUs that the team's tasks use now. */
  usedCores(team: string): number {
    return this.usedCoresByTeam.get(team) ?? 0;
  }

  /** Checks the rule `ran_cancelled` when the time for the tasks of a cancelled job to stop has passed. */
  private checkCancelledTasks(id: string): void {
    if (this.unrecoverableFacts.final.has(id)) return;
    for (const task of this.runningTasks(id)) {
      const workers = [...(this.workersByTask.get(task) ?? [])].map((worker) => worker.id);
      this.reportViolation(
        'ran_cancelled',
        ['runs', task, ...workers],
        `${task} is still on ${workers.join(' ')}`,
      );
    }
  }

  /** Checks the rule `forgotten`. A poll that could reach no controller counts neither as answered nor as failed. */
  private checkPoll(id: string, job: JobHistory, sentAt: number, status: number): void {
    const { polls, time } = this;
    if (status === 200 || status === 404) return polls.onAnswered(id);
    if (status === 0 && polls.couldReachNoController(sentAt)) return;
    const mustBeAnswered = job.acceptedAt !== Infinity && job.final?.state !== 'cancelled';
    const forgotten = polls.onFailed(id, time.now, mustBeAnswered);
    if (!forgotten) return;
    const { afterMs, code, detail } = forgotten;
    this.reportViolation('forgotten', [id, code, afterMs], `${id}: ${detail}`);
  }
}
