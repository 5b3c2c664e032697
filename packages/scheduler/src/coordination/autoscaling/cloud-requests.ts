/** Requests to the cloud's API, within this node's rate limit and with retries where they are safe. */
import { SCALE_OUT_RETRY_MS, TERMINATION_RESERVE } from '../../constants.ts';
import type {
  Cloud,
  ListedMachine,
  MachineType,
  ScaleOutRequest,
  ScaleOutResult,
} from '../../protocol/cloud.ts';
import type { Log } from '../../transport/log.ts';
import type { Clock } from '../../transport/clock.ts';
import { NoAnswer } from '../../transport/http-client.ts';
import { type CloudLimits, CloudRateLimit } from './cloud-rate-limit.ts';
import { TerminationQueue } from './termination-queue.ts';

/** The dependencies of the requests to the cloud. */
export interface CloudRequestsContext {
  /** The cloud's API. */
  readonly cloud: Cloud;
  /** Monotonic time, milliseconds. */
  readonly clock: Clock;
  /** The node's log. */
  readonly log: Log;
  /** Ends all requests and retries. */
  readonly signal: AbortSignal;
  /** Unique to this node's incarnation, so that no request name is used twice. */
  readonly requestPrefix: string;
  /** The cloud's limit. */
  readonly limits: CloudLimits;
}

/** This node's requests to the cloud. */
export class CloudRequests {
  private readonly rateLimit: CloudRateLimit;
  private readonly terminations: TerminationQueue;
  private requestCount = 0;

  constructor(private readonly context: CloudRequestsContext) {
    this.rateLimit = new CloudRateLimit(context);
    this.terminations = new TerminationQueue({ ...context, rateLimit: this.rateLimit });
  }

  /** Sets this node's share of the cloud's limit according to its share of the shards. */
  setShare(shareOfShards: number): void {
    this.rateLimit.setShare(shareOfShards);
  }

  /**
   * Requests machines under a new request name, and retries under that name until an answer shows the
   * outcome. Retries are safe because the cloud executes a request name only once. Returns `refused` only
   * once the process terminates.
   */
  async scaleOut(request: Omit<ScaleOutRequest, 'name'>): Promise<ScaleOutResult> {
    const { cloud, clock, requestPrefix, signal } = this.context;
    const name = `${requestPrefix}-${String(++this.requestCount)}`;
    while (!signal.aborted) {
      await this.rateLimit.acquire(TERMINATION_RESERVE);
      try {
        const result = await cloud.createMachines({ name, ...request });
        if (result.kind !== 'refused') return result;
      } catch (error: unknown) {
        if (!(error instanceof NoAnswer)) throw error;
      }
      await clock.sleep(SCALE_OUT_RETRY_MS, signal);
    }
    return { kind: 'refused' };
  }

  /** All machines in the cloud's list, page by page. Throws `NoAnswer` or `CloudRefused`. */
  async list(): Promise<ListedMachine[]> {
    const all: ListedMachine[] = [];
    let after: string | null = null;
    for (;;) {
      await this.rateLimit.acquire(TERMINATION_RESERVE);
      const page = await this.context.cloud.list(after);
      all.push(...page.machines);
      after = page.machines.at(-1)?.id ?? null;
      if (!page.more || after === null) return all;
    }
  }

  /** The cloud's machine types. Throws `NoAnswer` or `CloudRefused`. */
  async catalog(): Promise<MachineType[]> {
    await this.rateLimit.acquire(TERMINATION_RESERVE);
    return this.context.cloud.catalog();
  }

  /**
   * Resolves once the cloud confirms that the machine and every task on it have ended. Never resolves if the
   * process terminates first.
   */
  terminate(machineId: string): Promise<void> {
    return this.terminations.terminate(machineId);
  }
}
