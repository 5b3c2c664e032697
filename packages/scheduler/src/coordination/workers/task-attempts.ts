/** The attempts of a shard's tasks: how they begin and end on the machines. */
import {
  ATTEMPTS_PER_TOKEN,
  TASK_RETRY_DOUBLINGS,
  TASK_RETRY_MAX_MS,
  TASK_RETRY_MS,
} from '../../constants.ts';
import { type Attempt, attemptKey, type EndedAttempt } from '../../storage/attempt.ts';
import { attach, bookedShare, detach, type Machine } from '../../storage/machine.ts';
import type { AttemptState } from '../../storage/machine-state.ts';
import type { Slice } from '../../storage/slice.ts';
import { type EndReason, taskName } from '../../protocol/workers.ts';
import type { TeamUsage } from '../quota/team-usage.ts';
import type { ShardContext, ShardState } from '../shard-context.ts';
import type { FailureAttribution } from './failure-attribution.ts';

/** Called when an attempt's course has consequences elsewhere in the shard. */
export interface AttemptListener {
  /** The first task that this leader starts is being launched. */
  onFirstStart(): void;
  /** A task of the slice has its result. */
  onSettled(slice: Slice): void;
  /** A task is pending again. */
  onPending(): void;
}

/** What identifies an attempt, and the task in its slice. */
export type AttemptIdentity = Pick<Attempt, 'key' | 'task' | 'number' | 'slice' | 'position'>;

/** Begins and ends attempts, and keeps slices, machines and quota usage in accordance. */
export class TaskAttempts {
  /** Attempts that this leader has started; part of their numbers. */
  private counter = 0;

  constructor(
    private readonly context: ShardContext,
    private readonly shard: ShardState,
    private readonly collaborators: {
      readonly usage: TeamUsage;
      readonly failures: FailureAttribution;
      readonly listener: AttemptListener;
    },
  ) {}

  /**
   * Begins an attempt, which is still to be launched by a command. Does nothing once the fencing token's
   * attempt numbers are used up: a further one would be the next leader's.
   */
  start(machine: Machine & AttemptState, slice: Slice, position: number, now: number): void {
    if (this.counter >= ATTEMPTS_PER_TOKEN - 1) return this.context.onSuperseded(this.shard.name);
    const number = this.shard.fencingToken * ATTEMPTS_PER_TOKEN + ++this.counter;
    const task = taskName(slice.spec.id, slice.index(position));
    const key = attemptKey(task, number);
    this.attach(machine, {
      ...this.newAttempt({ key, task, number, slice, position }, now),
      phase: 'new',
      state: 'fetching',
      stopping: false,
    });
    if (this.counter === 1) this.collaborators.listener.onFirstStart();
    slice.place(position, key);
    machine.bookedSinceHeartbeat = bookedShare(machine, ({ phase }) => phase !== 'seen');
  }

  /** Takes over an attempt that the machine reports and this leader did not start, or gave up. */
  adopt(machine: Machine, identity: AttemptIdentity, state: Attempt['state']): Attempt {
    const { key, slice, position } = identity;
    const attempt: Attempt = {
      ...this.newAttempt(identity, this.context.clock.now()),
      phase: 'seen',
      state,
      stopping: slice === null,
    };
    slice?.place(position, key);
    this.attach(machine, attempt);
    return attempt;
  }

  private newAttempt(
    identity: AttemptIdentity,
    startedAt: number,
  ): Omit<Attempt, 'phase' | 'state' | 'stopping'> {
    return { ...identity, graceS: 0, startedAt, jobOpenConfirmedAt: Infinity, runningAt: Infinity };
  }

  /** The attempt is reported as ended. */
  end(machine: Machine, attempt: Attempt, reason: EndReason): void {
    const { slice, position, key } = attempt;
    const now = this.context.clock.now();
    this.detach(machine, attempt);
    this.recordEnd(machine, attempt, reason);
    if (!slice || slice.cancelled) return;
    if (reason === 'done') {
      this.collaborators.failures.recordSuccess(machine, slice);
      this.settle(slice, position);
      return;
    }
    if (reason === 'stopped') return slice.unplace(position, key, null);
    slice.failures++;
    const backoffMs = Math.min(
      TASK_RETRY_MS * 2 ** Math.min(slice.failures, TASK_RETRY_DOUBLINGS),
      TASK_RETRY_MAX_MS,
    );
    if (reason === 'error') this.collaborators.failures.recordFailure(machine, attempt, slice, now);
    slice.unplace(position, key, now + backoffMs);
    this.context.log.info({ machine: machine.id, task: attempt.task, reason }, 'task failed');
  }

  /** Notes an attempt that its worker is to forget once its result, if it has one, is recorded. */
  recordEnd(machine: AttemptState, attempt: AttemptIdentity, reason: EndReason): void {
    const { key, task, number, position } = attempt;
    const ended: EndedAttempt = {
      task,
      number,
      reason,
      slice: reason === 'done' ? attempt.slice : null,
      position,
      endReportedAt: this.context.clock.now(),
    };
    machine.endedAttempts.set(key, ended);
  }

  /** The task has its result. A service has none: a replica that exits is replaced. */
  settle(slice: Slice, position: number): void {
    if (slice.spec.kind === 'service') return;
    slice.settle(position);
    this.collaborators.listener.onSettled(slice);
  }

  /** The attempt is certainly gone from its machine without a result. */
  lose(machine: Machine, attempt: Attempt): void {
    this.detach(machine, attempt);
    attempt.slice?.unplace(attempt.position, attempt.key, null);
    this.collaborators.listener.onPending();
  }

  /** The worker has begun its next agent epoch; `machine` has the number of the last one still. */
  onAgentEpochEnded(machine: Machine): void {
    if (machine.agentEpoch !== 0) this.logLoss(machine, 'agent epoch ended');
    this.loseAll(machine);
  }

  /** Every lease of the worker is over: it has killed its tasks and begun its next agent epoch. */
  onLeaseExpired(machine: Machine): void {
    this.logLoss(machine, 'worker lease expired');
    this.loseAll(machine);
  }

  private logLoss(machine: Machine, event: string): void {
    const tasks = machine.attempts.size;
    if (tasks > 0) this.context.log.info({ machine: machine.id, tasks }, event);
  }

  /**
   * Nothing of the last agent epoch is left on the machine, and the worker rejects commands for it from now
   * on.
   */
  private loseAll(machine: Machine): void {
    for (const attempt of [...machine.attempts.values()]) this.lose(machine, attempt);
    machine.endedAttempts.clear();
    machine.launchesInDoubt.clear();
  }

  /** Computes the machine's load after a status: of reported tasks, and of those started since. */
  updateLoad(machine: Machine & AttemptState): void {
    machine.load = bookedShare(machine, ({ phase }) => phase === 'seen');
    machine.bookedSinceHeartbeat = bookedShare(machine, ({ phase }) => phase !== 'seen');
  }

  /**
   * The slice has been dropped: what runs of it is stopped. True if the machine is to get a command for it.
   */
  cancelSlice(machine: Machine, slice: Slice): boolean {
    let commanded = false;
    for (const attempt of [...machine.attempts.values()]) {
      if (attempt.slice !== slice) continue;
      attempt.stopping = true;
      attempt.graceS = 0;
      attempt.jobOpenConfirmedAt = this.context.watchCache.confirmedAt;
      if (attempt.phase === 'new') this.detach(machine, attempt);
      else commanded = true;
    }
    return commanded;
  }

  /**
   * Whether a launch by this leader may still arrive at the machine although its job has been over for longer
   * than the leader lease: a launch that was sent by a call and never answered may be executed as long as the
   * agent epoch lasts. The worker's lease is then not renewed, as if contact with the key-value store had
   * been lost when the job ended: the agent epoch ends within the time in which a cancellation must take
   * effect.
   */
  mayStartCancelled(machine: Machine): boolean {
    const now = this.context.clock.now();
    for (const { phase, jobOpenConfirmedAt } of machine.attempts.values()) {
      if (phase === 'direct' && now - jobOpenConfirmedAt > this.context.leaderLeaseMs) return true;
    }
    return false;
  }

  private attach(machine: Machine, attempt: Attempt): void {
    attach(machine, attempt);
    this.collaborators.usage.count(attempt, 1);
  }

  private detach(machine: Machine, attempt: Attempt): void {
    if (machine.attempts.get(attempt.key) !== attempt) return;
    detach(machine, attempt);
    this.collaborators.usage.count(attempt, -1);
  }
}
