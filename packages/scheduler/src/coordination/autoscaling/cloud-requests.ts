import { CLOUD_SHARE, RETRY_MS, TERMINATE_BATCH } from '../../constants.ts';
import type { Cloud, ListedMachine, ScaleOutResult } from '../../protocol/cloud.ts';
import { NoAnswer } from '../../transport/http-client.ts';
import type { Clock } from '../../transport/clock.ts';
import { RateLimiter } from '../../transport/rate-limiter.ts';
import type { Log } from '../../transport/background-task.ts';

/** The cloud's calls of this node, kept below its share of the limit; returns go first and are batched. */
export class CloudRequests {
  private readonly rateLimiter: RateLimiter;
  private readonly queued = new Map<string, (gone: boolean) => void>();
  private terminating = false;
  private requests = 0;

  constructor(
    private readonly cloud: Cloud,
    private readonly clock: Clock,
    private readonly log: Log,
    private readonly signal: AbortSignal,
    /** Of this node's incarnation, so that no request name is ever used twice. */
    private readonly requestPrefix: string,
    private readonly limits: { rps: number; nodes: number },
  ) {
    const { rate, burst } = this.rateFor(1 / limits.nodes);
    this.rateLimiter = new RateLimiter(clock, rate, burst);
  }

  private rateFor(share: number): { rate: number; burst: number } {
    const rate = this.limits.rps * CLOUD_SHARE * share;
    return { rate, burst: Math.max(1, rate * 2) };
  }

  /** Who owns more parts has more to ask for: the share of the limit goes by parts, and never below an even one. */
  setShare(shareOfShards: number): void {
    const { rate, burst } = this.rateFor(Math.max(shareOfShards, 1 / this.limits.nodes));
    this.rateLimiter.setRate(rate, burst);
  }

  /** Rents under a new name, and repeats the same name for as long as no answer tells what became of it. */
  async scaleOut(what: {
    type: string;
    zone: string;
    spot: boolean;
    count: number;
  }): Promise<ScaleOutResult> {
    const name = `${this.requestPrefix}-${String(++this.requests)}`;
    while (!this.signal.aborted) {
      await this.acquire(1);
      try {
        const result = await this.cloud.createMachines({ name, ...what });
        if (result.kind !== 'refused') return result;
      } catch (error) {
        if (!(error instanceof NoAnswer)) throw error;
      }
      await this.clock.sleep(RETRY_MS * 4, this.signal);
    }
    return { kind: 'refused' };
  }

  async list(): Promise<ListedMachine[]> {
    const all: ListedMachine[] = [];
    let after: string | null = null;
    for (;;) {
      await this.acquire(1);
      const page = await this.cloud.list(after);
      all.push(...page.machines);
      after = page.machines.at(-1)?.id ?? null;
      if (!page.more || after === null) return all;
    }
  }

  async catalog(): ReturnType<Cloud['catalog']> {
    await this.acquire(1);
    return this.cloud.catalog();
  }

  /** True once the machine and all on it are certainly gone; false only when this process ends. */
  terminate(machine: string): Promise<boolean> {
    return new Promise((resolve) => {
      this.queued.set(machine, resolve);
      if (this.terminating) return;
      this.terminating = true;
      this.clock.soon(() => void this.terminateQueued());
    });
  }

  private async terminateQueued(): Promise<void> {
    while (this.queued.size > 0 && !this.signal.aborted) {
      const names = [...this.queued.keys()].slice(0, TERMINATE_BATCH);
      await this.acquire(0);
      try {
        await this.cloud.terminateMachines(names);
        for (const name of names) {
          this.queued.get(name)?.(true);
          this.queued.delete(name);
        }
      } catch (error) {
        this.log.debug({ err: String(error) }, 'return not confirmed yet');
        await this.clock.sleep(RETRY_MS * 2, this.signal);
      }
    }
    this.terminating = false;
  }

  /** Waits until a call may be made; all but returns leave one call's room for a return. */
  private async acquire(reserve: number): Promise<void> {
    for (;;) {
      const wait = this.rateLimiter.delayMs(1, reserve);
      if (wait === 0 || this.signal.aborted) break;
      await this.clock.sleep(wait, this.signal);
    }
    this.rateLimiter.take(1);
  }
}
