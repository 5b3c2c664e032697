import type { JobSpec } from '../protocol/users.ts';
import { TaskSet } from './task-set.ts';

/** What a part was given of a job, and which of it the state service has as settled. */
export interface SliceAssignment {
  name: string;
  spec: JobSpec;
  at: number;
  from: number;
  count: number;
  settled: string;
}

/**
 * A slice at its part's owner. Each task is settled, held (it may be on a machine that is not fenced
 * yet), waiting, pausing after a failure, or on a machine.
 */
export class Slice {
  readonly spec: JobSpec;
  readonly from: number;
  readonly at: number;
  /** Positions that wait for a machine; taken from the end. */
  readonly pending: number[] = [];
  readonly backingOff: { position: number; until: number }[] = [];
  readonly unreconciled = new Set<number>();
  /** Positions on a machine, by the key of their attempt. */
  readonly placed = new Map<number, string>();
  settled: TaskSet;
  /** What the state service has of `settled`. */
  persisted: TaskSet;
  cancelled = false;
  failures = 0;
  /** Since when rounds of placing find no room for what waits; infinite while they do, or for want of a limit. */
  unplaceableSince = Infinity;
  /** How many tasks at the end are being given to another part: neither waiting nor anything else until that is decided. */
  migrating = 0;
  private tasks: number;
  readonly name: string;

  constructor(given: SliceAssignment, held: boolean) {
    this.name = given.name;
    this.spec = given.spec;
    this.from = given.from;
    this.tasks = given.count;
    this.at = given.at;
    this.settled = new TaskSet(given.count, given.settled);
    this.persisted = new TaskSet(given.count, given.settled);
    for (let p = given.count - 1; p >= 0; p--) {
      if (this.settled.has(p)) continue;
      if (held) this.unreconciled.add(p);
      else this.pending.push(p);
    }
  }

  /** How many tasks the slice has; fewer once some have moved to another part. */
  get count(): number {
    return this.tasks;
  }

  /** How many tasks at the slice's end all wait. */
  get migratable(): number {
    const waiting = new Set(this.pending);
    let tasks = 0;
    while (waiting.has(this.count - 1 - tasks)) tasks++;
    return tasks;
  }

  /** Takes as many tasks at the end out of the waits, so that nothing starts them while a move is under way. */
  beginMigration(tasks: number): void {
    const kept = this.pending.filter((position) => position < this.count - tasks);
    this.pending.splice(0, this.pending.length, ...kept);
    this.migrating = tasks;
  }

  /** The move is decided: the slice has so many tasks now. Those not gone wait again, to be taken last. */
  endMigration(count: number): void {
    const stayed = this.count === count ? this.migrating : 0;
    const back = Array.from({ length: stayed }, (_, i) => count - 1 - i);
    this.pending.unshift(...back);
    this.migrating = 0;
    if (this.count === count) return;
    this.tasks = count;
    this.settled = new TaskSet(count, this.settled.encode());
    this.persisted = new TaskSet(count, this.persisted.encode());
  }

  /** The share of the slice's tasks that still waits. */
  get pendingShare(): number {
    return this.pending.length / this.count;
  }

  /** The position of the job's task `index`, which the slice has. */
  position(index: number): number {
    return index - this.from;
  }

  has(index: number): boolean {
    return index >= this.from && index < this.from + this.count;
  }

  index(position: number): number {
    return this.from + position;
  }

  /** Takes the task out of the waits and holds, as it turned out to be on a machine. */
  place(position: number, attempt: string): void {
    this.unreconciled.delete(position);
    remove(this.pending, position);
    const pause = this.backingOff.findIndex((entry) => entry.position === position);
    if (pause >= 0) this.backingOff.splice(pause, 1);
    this.placed.set(position, attempt);
  }

  /** The attempt is over without a result: the task waits again, after a pause if one is given. */
  unplace(position: number, attempt: string, pauseUntil: number | null): void {
    if (this.placed.get(position) !== attempt) return;
    this.placed.delete(position);
    if (this.settled.has(position)) return;
    if (pauseUntil === null) this.pending.push(position);
    else this.backingOff.push({ position, until: pauseUntil });
  }

  settle(position: number): void {
    this.unreconciled.delete(position);
    remove(this.pending, position);
    this.placed.delete(position);
    this.settled.add(position);
  }

  releaseUnreconciled(): void {
    for (const position of this.unreconciled) this.pending.push(position);
    this.unreconciled.clear();
  }

  /** The tasks that certainly run nowhere, as a record of a set. */
  get notRunning(): string {
    const free = new TaskSet(this.count);
    for (const position of this.pending) free.add(position);
    for (const { position } of this.backingOff) free.add(position);
    return free.encode();
  }

  /** Of the tasks held, those that the owner before knew to run nowhere wait again. */
  releaseNotRunning(encoded: string): void {
    const free = new TaskSet(this.count, encoded);
    for (const position of this.unreconciled) {
      if (free.has(position) && this.unreconciled.delete(position)) this.pending.push(position);
    }
  }

  endBackoffs(now: number): void {
    for (let i = this.backingOff.length - 1; i >= 0; i--) {
      const entry = this.backingOff[i];
      if (!entry || entry.until > now) continue;
      this.backingOff.splice(i, 1);
      this.pending.push(entry.position);
    }
  }
}

function remove(list: number[], value: number): void {
  const at = list.lastIndexOf(value);
  if (at >= 0) list.splice(at, 1);
}
