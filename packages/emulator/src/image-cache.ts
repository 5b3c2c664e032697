import type { Random } from '@onyxkeel/scheduler';
import type { MachineTypeSpec } from './protocol/wire.ts';
import type { HostClock, Timer } from './time.ts';

interface Fetch {
  timer: Timer;
  readonly waiting: Map<object, () => void>;
}

/** The images of one machine: fetched once for all who need them, those used least recently dropped (PROTOCOL). */
export class ImageCache {
  private readonly cached = new Map<string, number>();
  private readonly fetches = new Map<string, Fetch>();

  constructor(
    private readonly clock: HostClock,
    private readonly random: Random,
    private readonly type: MachineTypeSpec,
  ) {}

  /** Calls `ready` once the machine has the image, at once if it has it. */
  need(image: string, gb: number, who: object, ready: () => void): void {
    if (this.cached.has(image)) {
      this.keep(image, gb);
      return ready();
    }
    const under = this.fetches.get(image);
    if (under) return void under.waiting.set(who, ready);
    const vary = 1 + (this.random.below(2001) / 1000 - 1) / 3;
    // Fetched at the same time they share the rate.
    const ms = ((gb * 1000) / this.type.pullGbPerS) * vary * (this.fetches.size + 1);
    const waiting = new Map([[who, ready]]);
    const timer = this.clock.after(ms, () => {
      this.fetches.delete(image);
      this.keep(image, gb);
      for (const run of waiting.values()) run();
    });
    this.fetches.set(image, { timer, waiting });
  }

  /** It needs no image any more; a fetch that nobody waits for is given up. */
  release(who: object): void {
    for (const [image, fetch] of this.fetches) {
      if (!fetch.waiting.delete(who) || fetch.waiting.size > 0) continue;
      fetch.timer.cancel();
      this.fetches.delete(image);
    }
  }

  private keep(image: string, gb: number): void {
    this.cached.delete(image);
    this.cached.set(image, gb);
    let sum = 0;
    for (const size of this.cached.values()) sum += size;
    for (const [oldest, size] of this.cached) {
      if (sum <= this.type.localGb || oldest === image) break;
      this.cached.delete(oldest);
      sum -= size;
    }
  }
}
