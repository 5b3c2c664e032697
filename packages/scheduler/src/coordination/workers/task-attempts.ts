/** The attempts of a shard's tasks, from their start to their end on the machines. */
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

/** Notified of attempt changes that affect other components of the shard's leader. */
export interface AttemptListener {
  /** This leader has started its first task. */
  onFirstStart(): void;
  /** A task of the slice has its result. */
  onSettled(slice: Slice): void;
  /** A task is pending again. */
  onPending(): void;
}

/** What identifies an attempt, and the task in its slice. */
export type AttemptIdentity = Pick<Attempt, 'key' | 'task' | 'number' | 'slice' | 'position'>;

/** Starts and ends attempts, and keeps slices, machines and quota usage consistent with them. */
export class TaskAttempts {
  /** How many attempts this leader has started. Attempt numbers contain this count. */
  private startedCount = 0;

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
   * Starts an attempt; a command launches it later. Once the attempt numbers of the leadership are used
   * up, starts nothing and reports this leader as superseded: further numbers belong to the next leadership.
   */
  start(machine: Machine & AttemptState, slice: Slice, position: number, now: number): void {
    if (this.areNumbersUsedUp) return this.context.onSuperseded(this.shard.name);
    const number = this.shard.tokens.first * ATTEMPTS_PER_TOKEN + ++this.startedCount;
    const task = taskName(slice.spec.id, slice.index(position));
    const key = attemptKey(task, number);
    this.attach(machine, {
      ...this.newAttempt({ key, task, number, slice, position }, now),
      phase: 'new',
      state: 'fetching',
      stopping: false,
    });
    if (this.startedCount === 1) this.collaborators.listener.onFirstStart();
    slice.place(position, key);
    machine.bookedSinceHeartbeat = bookedShare(machine, ({ phase }) => phase !== 'seen');
  }

  /** Whether no attempt can be started any more, because the attempt numbers of the leadership are used up. */
  get areNumbersUsedUp(): boolean {
    return this.startedCount >= ATTEMPTS_PER_TOKEN - 1;
  }

  /** Adopts an attempt that the machine reports and this leader has no record of. */
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
    return { ...identity, graceS: 0, startedAt, callToken: 0, runningAt: Infinity };
  }

  /** Ends an attempt that the machine reports as ended. */
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

  /**
   * Records an ended attempt. The worker gets a forget command for it once its result, if any, is in the
   * key-value store.
   */
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

  /** Records that the task has its result. A service task has none: a replica that exits is replaced. */
  settle(slice: Slice, position: number): void {
    if (slice.spec.kind === 'service') return;
    if (slice.settle(position)) this.collaborators.listener.onSettled(slice);
  }

  /** Ends an attempt that has certainly gone from its machine without a result. */
  markLost(machine: Machine, attempt: Attempt): void {
    this.detach(machine, attempt);
    attempt.slice?.unplace(attempt.position, attempt.key, null);
    this.collaborators.listener.onPending();
  }

  /**
   * Called when the worker has started its next agent epoch. `machine` still has the number of the last one.
   */
  onAgentEpochEnded(machine: Machine): void {
    if (machine.agentEpoch !== 0) this.logLoss(machine, 'tasks lost: agent epoch ended');
    this.markAllLost(machine);
  }

  /**
   * Called when every lease of the worker has expired: the worker has killed its tasks and started its next
   * agent epoch.
   */
  onLeaseExpired(machine: Machine): void {
    this.logLoss(machine, 'tasks lost: worker lease expired');
    this.markAllLost(machine);
  }

  private logLoss(machine: Machine, event: string): void {
    const tasks = machine.attempts.size;
    if (tasks > 0) this.context.log.info({ machine: machine.id, tasks }, event);
  }

  /**
   * Marks all attempts as lost. Nothing of the last agent epoch is left on the machine, and the worker
   * rejects commands for that epoch from now on.
   */
  private markAllLost(machine: Machine): void {
    for (const attempt of [...machine.attempts.values()]) this.markLost(machine, attempt);
    machine.endedAttempts.clear();
  }

  /** Computes the machine's load after a status: of the tasks that it reports, and of those started since. */
  updateLoad(machine: Machine & AttemptState): void {
    machine.load = bookedShare(machine, ({ phase }) => phase === 'seen');
    machine.bookedSinceHeartbeat = bookedShare(machine, ({ phase }) => phase !== 'seen');
  }

  /**
   * Stops the tasks of a dropped slice on the machine. Returns true if the machine is to get a stop command
   * for them.
   */
  cancelSlice(machine: Machine, slice: Slice): boolean {
    let needsStopCommand = false;
    for (const attempt of [...machine.attempts.values()]) {
      if (attempt.slice !== slice) continue;
      attempt.stopping = true;
      attempt.graceS = 0;
      if (attempt.phase === 'new') this.detach(machine, attempt);
      else needsStopCommand = true;
    }
    return needsStopCommand;
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
