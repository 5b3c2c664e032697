/** A slice of a job at the leader of its shard: the state of each of its tasks. */
import type { JobSpec } from '../protocol/users.ts';
import { TaskSet } from './task-set.ts';

/** A slice as the records have it: which tasks are assigned to the shard, and which of them are settled. */
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
 * A slice at its shard's leader. A task is named by its position in the slice. Each is in exactly one state:
 * settled, unreconciled, pending, backing off after a failure, on a machine, or migrating to another shard.
 */
export class Slice {
  /** As `sliceName` builds it. */
  readonly name: string;
  /** The whole job. */
  readonly spec: JobSpec;
  /** Index in the job of the slice's first task. */
  readonly from: number;
  /** Time of day of the job's submission, in milliseconds; not of the steady clock. */
  readonly at: number;
  /** Positions that wait for a machine; the last is taken first. */
  readonly pending: number[] = [];
  /** Positions that failed, each with the time at which it is pending again, in milliseconds of the clock. */
  readonly backingOff: { readonly position: number; readonly until: number }[] = [];
  /** Positions that may run on a machine which is not fenced yet. */
  readonly unreconciled = new Set<number>();
  /** Positions on a machine, with the key of their attempt. */
  readonly placed = new Map<number, string>();
  /** Positions whose result is known. */
  settled: TaskSet;
  /** Those of the settled positions that are in the key-value store. */
  persisted: TaskSet;
  /** Whether the shard has dropped the slice: its job is over, or all of its tasks have migrated. */
  cancelled = false;
  /** Failures of its tasks so far; the backoff of the next one depends on it. */
  failures = 0;
  /**
   * Since when scheduling rounds find no room for what is pending, in milliseconds of the clock. Infinite
   * while they do, and while it is the team's quota that is lacking.
   */
  unplaceableSince = Infinity;
  /**
   * How many tasks at the slice's end are migrating to another shard; in no other state until that is
   * decided.
   */
  migrating = 0;
  private tasks: number;

  /**
   * `unreconciled`: whether tasks that are not settled may run somewhere, as a former leader may have started
   * them; else they are pending.
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

  /** How many tasks at the slice's end are pending without a gap: up to as many can migrate. */
  get migratable(): number {
    const pending = new Set(this.pending);
    let tasks = 0;
    while (pending.has(this.count - 1 - tasks)) tasks++;
    return tasks;
  }

  /**
   * Takes that many tasks at the end out of the pending ones, so that nothing starts them during the
   * migration.
   */
  beginMigration(tasks: number): void {
    const kept = this.pending.filter((position) => position < this.count - tasks);
    this.pending.splice(0, this.pending.length, ...kept);
    this.migrating = tasks;
  }

  /**
   * The migration is decided, and the slice has `count` tasks now. If it was not carried out, its tasks are
   * pending again; they are taken last.
   */
  endMigration(count: number): void {
    const returned = this.count === count ? this.migrating : 0;
    const positions = Array.from({ length: returned }, (_, i) => count - 1 - i);
    this.pending.unshift(...positions);
    this.migrating = 0;
    if (this.count === count) return;
    this.tasks = count;
    this.settled = new TaskSet(count, this.settled.encode());
    this.persisted = new TaskSet(count, this.persisted.encode());
  }

  /** The share of the slice's tasks that is pending. */
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

  /** The task is on a machine, whether just started there or found there during reconciliation. */
  place(position: number, attempt: string): void {
    this.unreconciled.delete(position);
    removeLast(this.pending, position);
    const backoff = this.backingOff.findIndex((entry) => entry.position === position);
    if (backoff >= 0) this.backingOff.splice(backoff, 1);
    this.placed.set(position, attempt);
  }

  /**
   * The attempt ended without a result: the task is pending again, from `backoffUntil` on unless that is
   * null.
   */
  unplace(position: number, attempt: string, backoffUntil: number | null): void {
    if (this.placed.get(position) !== attempt) return;
    this.placed.delete(position);
    if (this.settled.has(position)) return;
    if (backoffUntil === null) this.pending.push(position);
    else this.backingOff.push({ position, until: backoffUntil });
  }

  /** The task's result is known. */
  settle(position: number): void {
    this.unreconciled.delete(position);
    removeLast(this.pending, position);
    this.placed.delete(position);
    this.settled.add(position);
  }

  /**
   * No unreconciled machine could run a task of this slice: what was found on no machine runs nowhere, and is
   * pending.
   */
  releaseUnreconciled(): void {
    for (const position of this.unreconciled) this.pending.push(position);
    this.unreconciled.clear();
  }

  /**
   * The tasks that certainly run nowhere, as an encoded `TaskSet`: what a leader hands over to its successor.
   */
  get notRunning(): string {
    const notRunning = new TaskSet(this.count);
    for (const position of this.pending) notRunning.add(position);
    for (const { position } of this.backingOff) notRunning.add(position);
    return notRunning.encode();
  }

  /** Takes the former leader's `notRunning`: of the unreconciled tasks, those in it are pending. */
  releaseNotRunning(encoded: string): void {
    const notRunning = new TaskSet(this.count, encoded);
    for (const position of this.unreconciled) {
      if (notRunning.has(position) && this.unreconciled.delete(position)) this.pending.push(position);
    }
  }

  /** Tasks whose backoff is over by `now` are pending again. */
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
