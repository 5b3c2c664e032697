import type { JobSpec } from '../protocol/users.ts';
import { TaskSet } from './task-set.ts';

/** What a part was given of a job, and which of it the state service has as settled. */
export interface GivenSlice {
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
  readonly waiting: number[] = [];
  readonly pausing: { position: number; until: number }[] = [];
  readonly held = new Set<number>();
  /** Positions on a machine, by the key of their attempt. */
  readonly placed = new Map<number, string>();
  settled: TaskSet;
  /** What the state service has of `settled`. */
  recorded: TaskSet;
  withdrawn = false;
  failures = 0;
  /** Since when rounds of placing find no room for what waits; infinite while they do, or for want of a limit. */
  crowdedSince = Infinity;
  /** How many tasks at the end are being given to another part: neither waiting nor anything else until that is decided. */
  moving = 0;
  private tasks: number;
  readonly name: string;

  constructor(given: GivenSlice, held: boolean) {
    this.name = given.name;
    this.spec = given.spec;
    this.from = given.from;
    this.tasks = given.count;
    this.at = given.at;
    this.settled = new TaskSet(given.count, given.settled);
    this.recorded = new TaskSet(given.count, given.settled);
    for (let p = given.count - 1; p >= 0; p--) {
      if (this.settled.has(p)) continue;
      if (held) this.held.add(p);
      else this.waiting.push(p);
    }
  }

  /** How many tasks the slice has; fewer once some have moved to another part. */
  get count(): number {
    return this.tasks;
  }

  /** How many tasks at the slice's end all wait. */
  get movable(): number {
    const waiting = new Set(this.waiting);
    let tasks = 0;
    while (waiting.has(this.count - 1 - tasks)) tasks++;
    return tasks;
  }

  /** Takes as many tasks at the end out of the waits, so that nothing starts them while a move is under way. */
  beginMove(tasks: number): void {
    const kept = this.waiting.filter((position) => position < this.count - tasks);
    this.waiting.splice(0, this.waiting.length, ...kept);
    this.moving = tasks;
  }

  /** The move is decided: the slice has so many tasks now. Those not gone wait again, to be taken last. */
  endMove(count: number): void {
    const stayed = this.count === count ? this.moving : 0;
    const back = Array.from({ length: stayed }, (_, i) => count - 1 - i);
    this.waiting.unshift(...back);
    this.moving = 0;
    if (this.count === count) return;
    this.tasks = count;
    this.settled = new TaskSet(count, this.settled.encode());
    this.recorded = new TaskSet(count, this.recorded.encode());
  }

  /** The share of the slice's tasks that still waits. */
  get left(): number {
    return this.waiting.length / this.count;
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
    this.held.delete(position);
    remove(this.waiting, position);
    const pause = this.pausing.findIndex((entry) => entry.position === position);
    if (pause >= 0) this.pausing.splice(pause, 1);
    this.placed.set(position, attempt);
  }

  /** The attempt is over without a result: the task waits again, after a pause if one is given. */
  unplace(position: number, attempt: string, pauseUntil: number | null): void {
    if (this.placed.get(position) !== attempt) return;
    this.placed.delete(position);
    if (this.settled.has(position)) return;
    if (pauseUntil === null) this.waiting.push(position);
    else this.pausing.push({ position, until: pauseUntil });
  }

  settle(position: number): void {
    this.held.delete(position);
    remove(this.waiting, position);
    this.placed.delete(position);
    this.settled.add(position);
  }

  release(): void {
    for (const position of this.held) this.waiting.push(position);
    this.held.clear();
  }

  /** The tasks that certainly run nowhere, as a record of a set. */
  get free(): string {
    const free = new TaskSet(this.count);
    for (const position of this.waiting) free.add(position);
    for (const { position } of this.pausing) free.add(position);
    return free.encode();
  }

  /** Of the tasks held, those that the owner before knew to run nowhere wait again. */
  releaseFree(encoded: string): void {
    const free = new TaskSet(this.count, encoded);
    for (const position of this.held) {
      if (free.has(position) && this.held.delete(position)) this.waiting.push(position);
    }
  }

  wake(now: number): void {
    for (let i = this.pausing.length - 1; i >= 0; i--) {
      const entry = this.pausing[i];
      if (!entry || entry.until > now) continue;
      this.pausing.splice(i, 1);
      this.waiting.push(entry.position);
    }
  }
}

function remove(list: number[], value: number): void {
  const at = list.lastIndexOf(value);
  if (at >= 0) list.splice(at, 1);
}
