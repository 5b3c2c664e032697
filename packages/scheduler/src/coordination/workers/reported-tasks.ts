/** Updates the shard's attempts from the tasks that workers list in their status. */
import { type Attempt, attemptKey } from '../../storage/attempt.ts';
import { type Machine, recordImageUse } from '../../storage/machine.ts';
import type { Slice } from '../../storage/slice.ts';
import {
  type Command,
  type EndReason,
  type Heartbeat,
  parseTaskName,
  type ReportedTask,
} from '../../protocol/workers.ts';
import type { Clock } from '../../transport/clock.ts';
import type { ShardState } from '../shard-context.ts';
import type { TaskAttempts } from './task-attempts.ts';

/** A task of the shard: its slice, and its position there. */
interface TaskInSlice {
  readonly slice: Slice;
  readonly position: number;
}

/** How a worker's status arrived: in a heartbeat, or in the worker's answer to a call. */
export type StatusSource = 'heartbeat' | 'reply';

/** Compares the tasks that workers report with the attempts that the shard's leader has a record of. */
export class ReportedTasks {
  constructor(
    private readonly clock: Clock,
    private readonly shard: ShardState,
    private readonly attempts: TaskAttempts,
  ) {}

  /**
   * Applies the status of a machine that has accepted this leader. Such a status lists every task on the
   * machine.
   */
  apply(machine: Machine, heartbeat: Heartbeat, source: StatusSource): void {
    const listed = new Set<string>();
    for (const reported of heartbeat.tasks) {
      const key = attemptKey(reported.task, reported.attempt);
      listed.add(key);
      const attempt = machine.attempts.get(key) ?? this.adopt(machine, key, reported);
      if (attempt) this.update(machine, attempt, reported);
    }
    for (const attempt of [...machine.attempts.values()])
      if (!listed.has(attempt.key)) this.onUnlisted(machine, attempt, heartbeat, source);
    for (const key of [...machine.endedAttempts.keys()])
      if (source === 'heartbeat' && !listed.has(key)) machine.endedAttempts.delete(key);
    this.attempts.updateLoad(machine);
  }

  /**
   * Applies the results in a status that was made before the machine accepted this leader. Only results
   * count, because they are final.
   */
  applyResultsOnly(heartbeat: Heartbeat): void {
    for (const { task, reason } of heartbeat.tasks)
      if (reason === 'done') this.applyResult(this.findTask(task));
  }

  /** Settles the task, which has a result. The result counts whichever attempt produced it. */
  private applyResult(found: TaskInSlice | null): void {
    if (found && !found.slice.settled.has(found.position)) this.attempts.settle(found.slice, found.position);
  }

  /**
   * Stop commands for the listed tasks that belong to no open job of the shard. Their jobs have ended, and
   * the end of a job is final.
   */
  stopCommandsFor(heartbeat: Heartbeat): Command[] {
    return heartbeat.tasks.flatMap(({ task, attempt, state }): Command[] =>
      state === 'ended' || this.findTask(task) ? [] : [{ op: 'stop', task, attempt, graceS: 0 }],
    );
  }

  private update(machine: Machine, attempt: Attempt, reported: ReportedTask): void {
    const { state, reason } = reported;
    attempt.phase = 'seen';
    attempt.callToken = 0;
    if (attempt.slice && (state === 'running' || reason === 'done')) {
      const { image, imageGb } = attempt.slice.spec;
      if (attempt.state === 'fetching' || !machine.images.has(image)) recordImageUse(machine, image, imageGb);
    }
    attempt.state = state;
    if (state === 'running' && attempt.runningAt === Infinity) attempt.runningAt = this.clock.now();
    if (reason === null) return;
    this.attempts.end(machine, attempt, reason);
    if (!attempt.slice) this.recordEnd(machine, reported, reason);
  }

  private onUnlisted(
    machine: Machine,
    attempt: Attempt,
    { fencingToken }: Heartbeat,
    source: StatusSource,
  ): void {
    if (attempt.phase === 'seen') return this.attempts.markLost(machine, attempt);
    // The worker refuses an unanswered call with the launch only if it has accepted a higher token since.
    if (attempt.phase === 'new' || attempt.callToken >= fencingToken) return;
    // The worker did not execute the launch, and drops the reply that carried it if the reply still arrives:
    // a worker sends a heartbeat only after it has stopped waiting for the reply to the previous one. The
    // answer to a call does not prove this, because it can cross the reply to a heartbeat.
    if (source === 'reply') return;
    attempt.callToken = 0;
    // The attempt is launched again, unless the machine does not answer calls. In that case the task becomes
    // pending, and another machine may get it.
    if (attempt.stopping || machine.unreachableSince !== Infinity) this.attempts.markLost(machine, attempt);
    else attempt.phase = 'new';
  }

  /**
   * Adopts a reported attempt that this leader has no record of. An earlier leader started it, or this leader
   * had already counted it as lost. Returns null if the attempt has ended. The attempt is stopped unless
   * this leader has a record of its task, and the task is neither settled nor placed nor migrating.
   */
  private adopt(machine: Machine, key: string, reported: ReportedTask): Attempt | null {
    if (machine.endedAttempts.has(key)) return null;
    const { task, attempt: number, state, reason } = reported;
    if (reason !== null) {
      this.recordEnd(machine, reported, reason);
      return null;
    }
    const { slice, position } = this.findTask(task) ?? { slice: null, position: 0 };
    // A migrating task runs nowhere, and its next shard may start it: the report is older than its loss.
    const isFree =
      slice !== null &&
      !slice.placed.has(position) &&
      !slice.settled.has(position) &&
      !slice.isMigrating(position);
    const identity = { key, task, number, slice: isFree ? slice : null, position };
    return this.attempts.adopt(machine, identity, state);
  }

  /**
   * Records the end of an attempt that belongs to no slice, or of which this leader has no record. A result
   * that this leader already has may not be in the key-value store yet. Until it is, the machine must keep
   * it, because this leader may terminate before it stores the result.
   */
  private recordEnd(machine: Machine, reported: ReportedTask, reason: EndReason): void {
    const { task, attempt: number } = reported;
    const found = this.findTask(task);
    if (reason === 'done') this.applyResult(found);
    const { slice, position } = found ?? { slice: null, position: 0 };
    const key = attemptKey(task, number);
    this.attempts.recordEnd(machine, { key, task, number, slice, position }, reason);
  }

  private findTask(task: string): TaskInSlice | null {
    const parsed = parseTaskName(task);
    if (!parsed) return null;
    for (const slice of this.shard.slices.values()) {
      if (slice.spec.id === parsed.job && slice.has(parsed.index))
        return { slice, position: slice.position(parsed.index) };
    }
    return null;
  }
}
