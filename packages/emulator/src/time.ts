/** Virtual time, and the clocks of hosts, which run by it. All times are milliseconds. */
import type { Clock } from '@onyxkeel/scheduler';
import TinyQueue from 'tinyqueue';
import { CLOCK_DRIFT } from './constants.ts';

/** What happens at a time. */
interface ScheduledEvent {
  readonly at: number;
  /** Among events of one time, those scheduled first come first. */
  readonly sequence: number;
  /** Null once cancelled. */
  run: (() => void) | null;
}

/** Something that will happen, and can be cancelled. */
export interface Timer {
  /** Has no effect once it has happened. */
  cancel(): void;
}

/**
 * Virtual time: a queue of events, in order of time and, within one time, of scheduling. All promises that an event
 * settles are carried through before the next event, so a run's history depends on nothing but its inputs.
 */
export class VirtualTime {
  /** Milliseconds since the begin of the run. */
  now = 0;
  /** Events carried out so far. */
  events = 0;
  private nextSequence = 0;
  private readonly queue = new TinyQueue<ScheduledEvent>(
    [],
    (a, b) => a.at - b.at || a.sequence - b.sequence,
  );

  /** Calls `run` at that time, or next where it has passed. */
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

  /** Events still to come, cancelled ones counted. */
  get pending(): number {
    return this.queue.length;
  }

  /** Lets time pass until then; what is due at that very moment is carried out too. */
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

/** Resolves when every promise that can settle without time has done so. */
function promisesSettled(): Promise<void> {
  return new Promise((resolve) => setImmediate(resolve));
}

/**
 * A host's own steady clock, which runs fast or slow by up to `CLOCK_DRIFT`. The clock of a frozen host goes on, but its
 * timers wait until it is no longer frozen; those of an ended process never fire.
 */
export class HostClock implements Clock {
  /** Virtual time until which the host is frozen. */
  frozenUntil = 0;
  /** Its process has ended. */
  ended = false;
  /** Its milliseconds per millisecond of virtual time. */
  private readonly rate: number;
  /** Virtual time at which it showed 0. */
  private readonly start: number;

  constructor(
    private readonly time: VirtualTime,
    /** Share of the greatest drift: from -1, which is slow, to 1. */
    drift: number,
  ) {
    this.rate = 1 + drift * CLOCK_DRIFT;
    this.start = time.now;
  }

  /** Milliseconds since the clock's start, by itself. */
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
   * Calls `run` in `ms` milliseconds of this clock, rounded up to whole ones, as Node's timers do; at least one, since
   * repeated waits for less might never let time pass.
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

  /** Calls `run` within the present virtual time, after what is already scheduled for it. */
  soon(run: () => void): void {
    this.time.after(0, () => this.runWhenUnfrozen(run));
  }
}
