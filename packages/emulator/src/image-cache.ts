/** The image cache of one machine. Tasks wait for their image before they run. */
import type { Random } from '@onyxkeel/scheduler';
import type { MachineTypeSpec } from './protocol/wire.ts';
import type { HostClock, Timer } from './time.ts';

/** An image that is being fetched. */
interface ImageFetch {
  readonly timer: Timer;
  /** Callbacks for when the image is there, by requester. */
  readonly waiting: Map<object, () => void>;
}

/**
 * The images of one machine. Requesters that wait for the same image share one fetch. When the disk is full,
 * the least recently used images are evicted (PROTOCOL).
 */
export class ImageCache {
  /** Size of each image in gigabytes, least recently used first. */
  private readonly cached = new Map<string, number>();
  /** Ongoing fetches, by image. */
  private readonly fetches = new Map<string, ImageFetch>();

  constructor(
    private readonly clock: HostClock,
    private readonly random: Random,
    private readonly type: MachineTypeSpec,
  ) {}

  /**
   * Calls `ready` once the machine has the image, which may be at once. Never calls it if `requester`
   * releases first.
   */
  request(image: string, gb: number, requester: object, ready: () => void): void {
    if (this.cached.has(image)) {
      this.addOrTouch(image, gb);
      return ready();
    }
    const ongoing = this.fetches.get(image);
    if (ongoing) return void ongoing.waiting.set(requester, ready);
    const jitter = 1 + (this.random.below(2001) / 1000 - 1) / 3;
    // A new fetch shares the fetch rate with the ongoing ones. Those keep their time.
    const ms = ((gb * 1000) / this.type.pullGbPerS) * jitter * (this.fetches.size + 1);
    const waiting = new Map([[requester, ready]]);
    const timer = this.clock.after(ms, () => {
      this.fetches.delete(image);
      this.addOrTouch(image, gb);
      for (const run of waiting.values()) run();
    });
    this.fetches.set(image, { timer, waiting });
  }

  /** Withdraws the requests of `requester`. A fetch for which no other requester waits is cancelled. */
  release(requester: object): void {
    for (const [image, fetch] of this.fetches) {
      if (!fetch.waiting.delete(requester) || fetch.waiting.size > 0) continue;
      fetch.timer.cancel();
      this.fetches.delete(image);
    }
  }

  /**
   * Marks the image as used, adding it if needed, and evicts the least recently used others until all fit.
   * The image itself stays even if it does not fit.
   */
  private addOrTouch(image: string, gb: number): void {
    this.cached.delete(image);
    this.cached.set(image, gb);
    let totalGb = 0;
    for (const size of this.cached.values()) totalGb += size;
    for (const [oldest, size] of this.cached) {
      if (totalGb <= this.type.localGb || oldest === image) break;
      this.cached.delete(oldest);
      totalGb -= size;
    }
  }
}
