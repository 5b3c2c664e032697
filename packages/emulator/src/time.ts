/** Virtual time, and the hosts' clocks that follow it. All times are milliseconds. */
import type { Clock } from '@onyxkeel/scheduler';
import TinyQueue from 'tinyqueue';
import { CLOCK_DRIFT } from './constants.ts';

/** An event in the queue of virtual time. */
interface ScheduledEvent {
  readonly at: number;
  /** Events of the same time run in the order in which they were scheduled. */
  readonly sequence: number;
  /** Null after cancellation. */
  run: (() => void) | null;
}

/** A scheduled event that can be cancelled. */
export interface Timer {
  /** Has no effect after the event has run. */
  cancel(): void;
}

/**
 * Virtual time: a queue of events, in the order of time and, for equal times, of scheduling. All promises
 * that an event settles, and their continuations, complete before the next event, so a run depends only on
 * its inputs.
 */
export class VirtualTime {
  /** Milliseconds since the start of the run. */
  now = 0;
  /** Number of events that have run. */
  events = 0;
  private nextSequence = 0;
  private readonly queue = new TinyQueue<ScheduledEvent>(
    [],
    (a, b) => a.at - b.at || a.sequence - b.sequence,
  );

  /** Calls `run` at that time, or as soon as possible if the time has passed. */
  at(time: number, run: () => void): Timer {
    const event: ScheduledEvent = { at: Math.max(time, this.now), sequence: this.nextSequence++, run };
    this.queue.push(event);
    return { cancel: () => void (event.run = null) };
  }

  /** Calls `run` in `ms` milliseconds. */
  after(ms: number, run: () => void): Timer {
    return this.at(this.now + ms, run);
  }

  /** Resolves in `ms` milliseconds. */
  sleep(ms: number): Promise<void> {
    return new Promise((resolve) => this.after(ms, resolve));
  }

  /** Number of queued events, including cancelled ones. */
  get pending(): number {
    return this.queue.length;
  }

  /** Advances time to `end` and runs all events up to and including that time. */
  async runUntil(end: number): Promise<void> {
    await promisesSettled();
    for (;;) {
      const next = this.queue.peek();
      if (!next || next.at > end) break;
      this.queue.pop();
      if (!next.run) continue;
      this.now = next.at;
      this.events++;
      next.run();
      await promisesSettled();
    }
    this.now = Math.max(this.now, end);
  }
}

/** Resolves when all promises that can settle without advancing time have settled. */
function promisesSettled(): Promise<void> {
  return new Promise((resolve) => setImmediate(resolve));
}

/**
 * A host's own steady clock, which runs fast or slow by up to `CLOCK_DRIFT`. The clock of a frozen host goes
 * on, but its timers wait until the host is no longer frozen. Timers of an ended process never fire.
 */
export class HostClock implements Clock {
  /** Virtual time until which the host is frozen. */
  frozenUntil = 0;
  /** The host's process has ended. */
  ended = false;
  /** Milliseconds of this clock per millisecond of virtual time. */
  private readonly rate: number;
  /** Virtual time at which this clock showed 0. */
  private readonly start: number;

  constructor(
    private readonly time: VirtualTime,
    /** Fraction of the greatest drift, from -1 (slow) to 1 (fast). */
    drift: number,
  ) {
    this.rate = 1 + drift * CLOCK_DRIFT;
    this.start = time.now;
  }

  /** Milliseconds since the clock's start, as this clock measures them. */
  now(): number {
    return (this.time.now - this.start) * this.rate;
  }

  /** Calls `run` now, or when the host is no longer frozen; never if its process has ended. */
  runWhenUnfrozen(run: () => void): void {
    if (this.ended) return;
    if (this.frozenUntil > this.time.now) this.time.at(this.frozenUntil, () => this.runWhenUnfrozen(run));
    else run();
  }

  /**
   * Calls `run` in `ms` milliseconds of this clock, rounded up to whole milliseconds, as Node's timers do.
   * The least is one millisecond, since repeated shorter waits might never advance time.
   */
  after(ms: number, run: () => void): Timer {
    return this.time.after(Math.max(1, Math.ceil(ms)) / this.rate, () => this.runWhenUnfrozen(run));
  }

  /** Resolves in `ms` milliseconds of this clock, or as soon as the signal is aborted. */
  sleep(ms: number, signal?: AbortSignal): Promise<void> {
    return new Promise((resolve) => {
      if (signal?.aborted) return resolve();
      const done = (): void => {
        timer.cancel();
        signal?.removeEventListener('abort', done);
        resolve();
      };
      const timer = this.after(ms, done);
      signal?.addEventListener('abort', done);
    });
  }

  /** Calls `run` at the present virtual time, after the events already scheduled for that time. */
  defer(run: () => void): void {
    this.time.after(0, () => this.runWhenUnfrozen(run));
  }
}
