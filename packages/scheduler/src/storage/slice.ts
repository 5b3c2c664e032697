/** A slice of a job as kept by the leader of its shard: the state of each of its tasks. */
import type { JobSpec } from '../protocol/users.ts';
import { TaskSet } from './task-set.ts';

/** A slice according to the records: the tasks assigned to the shard, and which of them are settled. */
export interface SliceAssignment {
  /** The slice's name, as `sliceName` builds it. */
  name: string;
  /** The whole job. */
  spec: JobSpec;
  /** Time of day of the job's submission, in milliseconds. */
  at: number;
  /** Index in the job of the slice's first task. */
  from: number;
  /** Number of tasks. */
  count: number;
  /** The settled tasks, as an encoded `TaskSet`. */
  settled: string;
}

/**
 * A slice as kept by its shard's leader. A task is identified by its position in the slice. Each task is in
 * exactly one state: settled, unreconciled, pending, backing off after a failure, on a machine, or migrating
 * to another shard.
 */
export class Slice {
  /** As `sliceName` builds it. */
  readonly name: string;
  /** The whole job. */
  readonly spec: JobSpec;
  /** Index in the job of the slice's first task. */
  readonly from: number;
  /** Time of day of the job's submission, in milliseconds, and not a time of the monotonic clock. */
  readonly at: number;
  /** Positions of tasks that wait for a machine; the last is started first. */
  readonly pending: number[] = [];
  /** Positions of failed tasks, each with the time when it is pending again, in milliseconds of the clock. */
  readonly backingOff: { readonly position: number; readonly until: number }[] = [];
  /** Positions of tasks that may run on an unreconciled machine. */
  readonly unreconciled = new Set<number>();
  /** Positions of tasks on a machine, with the key of their attempt. */
  readonly placed = new Map<number, string>();
  /** Positions of tasks whose result is known. */
  settled: TaskSet;
  /** The settled positions that are recorded in the key-value store. */
  persisted: TaskSet;
  /**
   * Whether the shard has dropped the slice because its job is finished or all of its tasks have migrated.
   */
  cancelled = false;
  /** Failures of its tasks so far; the backoff of the next one depends on it. */
  failures = 0;
  /**
   * Since when scheduling rounds have found no room for the pending tasks, in milliseconds of the clock,
   * whether or not the team's quota is lacking too. Infinite while they find room, and while only the quota is
   * lacking.
   */
  unplaceableSince = Infinity;
  /**
   * Number of tasks at the slice's end that are migrating to another shard. They are in no other state until
   * the outcome of the migration is known.
   */
  migrating = 0;
  /** Positions of migrating tasks whose result has arrived. It counts here only if they do not migrate. */
  private readonly migratingWithResult = new Set<number>();
  private tasks: number;

  /**
   * `unreconciled`: whether a former leader may have started the tasks that are not settled; otherwise they
   * are pending.
   */
  constructor(assignment: SliceAssignment, unreconciled: boolean) {
    this.name = assignment.name;
    this.spec = assignment.spec;
    this.from = assignment.from;
    this.at = assignment.at;
    this.tasks = assignment.count;
    this.settled = new TaskSet(assignment.count, assignment.settled);
    this.persisted = new TaskSet(assignment.count, assignment.settled);
    for (let position = assignment.count - 1; position >= 0; position--) {
      if (this.settled.has(position)) continue;
      if (unreconciled) this.unreconciled.add(position);
      else this.pending.push(position);
    }
  }

  /** Number of tasks; fewer once some have migrated to another shard. */
  get count(): number {
    return this.tasks;
  }

  /** Number of consecutive pending tasks at the slice's end; at most these can migrate. */
  get migratable(): number {
    const pending = new Set(this.pending);
    let tasks = 0;
    while (pending.has(this.count - 1 - tasks)) tasks++;
    return tasks;
  }

  /**
   * Removes this number of tasks at the end from the pending tasks, so that they are not started during the
   * migration.
   */
  beginMigration(tasks: number): void {
    const kept = this.pending.filter((position) => position < this.count - tasks);
    this.pending.splice(0, this.pending.length, ...kept);
    this.migrating = tasks;
  }

  /**
   * The outcome of the migration is known, and the slice has `count` tasks now. If the tasks did not migrate,
   * those whose result arrived meanwhile are settled, and the others are pending again and are started last.
   * Returns whether any was settled.
   */
  endMigration(count: number): boolean {
    const positions = Array.from({ length: this.migrating }, (_, i) => this.count - 1 - i);
    const withResult = [...this.migratingWithResult];
    this.migrating = 0;
    this.migratingWithResult.clear();
    if (this.count !== count) {
      this.shorten(count);
      return false;
    }
    for (const position of withResult) this.settled.add(position);
    this.pending.unshift(...positions.filter((position) => !this.settled.has(position)));
    return withResult.length > 0;
  }

  /** The tasks from position `count` on belong to another shard now. */
  private shorten(count: number): void {
    this.tasks = count;
    this.settled = new TaskSet(count, this.settled.encode());
    this.persisted = new TaskSet(count, this.persisted.encode());
  }

  /** Whether the task at the position is migrating to another shard. */
  isMigrating(position: number): boolean {
    return position >= this.count - this.migrating && position < this.count;
  }

  /** The share of the slice's tasks that are pending. */
  get pendingShare(): number {
    return this.pending.length / this.count;
  }

  /** The position of the job's task `index`, which must be in the slice. */
  position(index: number): number {
    return index - this.from;
  }

  /** Whether the job's task `index` is in the slice. */
  has(index: number): boolean {
    return index >= this.from && index < this.from + this.count;
  }

  /** The index in the job of the task at a position. */
  index(position: number): number {
    return this.from + position;
  }

  /** The task is on a machine: it was just started there, or found there during reconciliation. */
  place(position: number, attempt: string): void {
    this.unreconciled.delete(position);
    removeLast(this.pending, position);
    this.removeBackoff(position);
    this.placed.set(position, attempt);
  }

  /**
   * The attempt ended without a result. The task is pending again at once if `backoffUntil` is null,
   * otherwise from that time on.
   */
  unplace(position: number, attempt: string, backoffUntil: number | null): void {
    if (this.placed.get(position) !== attempt) return;
    this.placed.delete(position);
    if (this.settled.has(position)) return;
    if (backoffUntil === null) this.pending.push(position);
    else this.backingOff.push({ position, until: backoffUntil });
  }

  /**
   * The task's result is known. Returns whether the task is settled now. While it is migrating, it is not:
   * once it has migrated, a result in this slice's record would count for no task.
   */
  settle(position: number): boolean {
    if (this.isMigrating(position)) {
      this.migratingWithResult.add(position);
      return false;
    }
    this.unreconciled.delete(position);
    removeLast(this.pending, position);
    this.removeBackoff(position);
    this.placed.delete(position);
    this.settled.add(position);
    return true;
  }

  private removeBackoff(position: number): void {
    const backoff = this.backingOff.findIndex((entry) => entry.position === position);
    if (backoff >= 0) this.backingOff.splice(backoff, 1);
  }

  /**
   * No unreconciled machine can run a task of this slice any more. Tasks found on no machine therefore run
   * nowhere and are pending.
   */
  releaseUnreconciled(): void {
    for (const position of this.unreconciled) this.pending.push(position);
    this.unreconciled.clear();
  }

  /**
   * The tasks that certainly run nowhere, as an encoded `TaskSet`. A leader hands them over to its successor.
   */
  get notRunning(): string {
    const notRunning = new TaskSet(this.count);
    for (const position of this.pending) notRunning.add(position);
    for (const { position } of this.backingOff) notRunning.add(position);
    return notRunning.encode();
  }

  /** Applies the former leader's `notRunning`: unreconciled tasks in this set become pending. */
  releaseNotRunning(encoded: string): void {
    const notRunning = new TaskSet(this.count, encoded);
    for (const position of this.unreconciled) {
      if (notRunning.has(position) && this.unreconciled.delete(position)) this.pending.push(position);
    }
  }

  /** Tasks whose backoff has expired at `now` become pending. */
  endBackoffs(now: number): void {
    for (let i = this.backingOff.length - 1; i >= 0; i--) {
      const entry = this.backingOff[i];
      if (!entry || entry.until > now) continue;
      this.backingOff.splice(i, 1);
      this.pending.push(entry.position);
    }
  }
}

function removeLast(list: number[], value: number): void {
  const at = list.lastIndexOf(value);
  if (at >= 0) list.splice(at, 1);
}
