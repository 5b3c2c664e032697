import type { Clock } from '@onyxkeel/scheduler';
import TinyQueue from 'tinyqueue';
import { CLOCK_DRIFT } from './constants.ts';

interface Event {
  at: number;
  order: number;
  run: (() => void) | null;
}

/** Something that will happen, and can be called off. */
export interface Timer {
  cancel(): void;
}

/**
 * Virtual time: a queue of events by time, and by order of asking among those of one time. What an event sets off
 * by promises is carried out to its end before the next event, so a history depends on nothing but its inputs.
 */
export class VirtualTime {
  now = 0;
  /** Events carried out so far. */
  events = 0;
  private order = 0;
  private readonly queue = new TinyQueue<Event>([], (a, b) => a.at - b.at || a.order - b.order);

  at(time: number, run: () => void): Timer {
    const event: Event = { at: Math.max(time, this.now), order: this.order++, run };
    this.queue.push(event);
    return { cancel: () => void (event.run = null) };
  }

  after(ms: number, run: () => void): Timer {
    return this.at(this.now + ms, run);
  }

  sleep(ms: number): Promise<void> {
    return new Promise((resolve) => this.after(ms, resolve));
  }

  /** Events still to come. */
  get pending(): number {
    return this.queue.length;
  }

  /** Lets time pass until then; what is due at that very moment is carried out too. */
  async runUntil(end: number): Promise<void> {
    await settled();
    for (;;) {
      const next = this.queue.peek();
      if (!next || next.at > end) break;
      this.queue.pop();
      if (!next.run) continue;
      this.now = next.at;
      this.events++;
      next.run();
      await settled();
    }
    this.now = Math.max(this.now, end);
  }
}

/** Resolves when every promise that can settle without time has done so. */
function settled(): Promise<void> {
  return new Promise((resolve) => setImmediate(resolve));
}

/**
 * A host's own steady clock: it may run fast or slow by the drift of the protocol. A frozen host's clock goes on,
 * but nothing it waits for happens before it thaws; what an ended process waited for never happens.
 */
export class HostClock implements Clock {
  frozenUntil = 0;
  ended = false;
  private readonly rate: number;
  private readonly start: number;

  constructor(
    private readonly time: VirtualTime,
    /** From -1, slow by the whole drift, to 1. */
    drift: number,
  ) {
    this.rate = 1 + drift * CLOCK_DRIFT;
    this.start = time.now;
  }

  now(): number {
    return (this.time.now - this.start) * this.rate;
  }

  /** Carries out what reaches the host, when it can: later if it is frozen, never if it has ended. */
  whenAwake(run: () => void): void {
    if (this.ended) return;
    if (this.frozenUntil > this.time.now) this.time.at(this.frozenUntil, () => this.whenAwake(run));
    else run();
  }

  /** As timers do, in whole milliseconds of one at least: a wait for a sliver of one would never let time pass. */
  after(ms: number, run: () => void): Timer {
    return this.time.after(Math.max(1, Math.ceil(ms)) / this.rate, () => this.whenAwake(run));
  }

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

  soon(run: () => void): void {
    this.time.after(0, () => this.whenAwake(run));
  }
}
