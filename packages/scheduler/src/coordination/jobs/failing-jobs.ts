import {
  FAILURE_SCORE_UNPROVEN_JOB,
  FAILURE_SCORE_SOUND_JOB,
  FAILING_JOB_MACHINES,
  FAILING_JOBS_REPORTED,
  OUTLIVES_FACTOR,
  OUTLIVES_MS,
  TASK_RETRY_DOUBLINGS,
  TASK_RETRY_MAX_MS,
  TASK_RETRY_MS,
} from '../../constants.ts';

/** What is known of a job that has failed and never yet had a result here. */
interface Evidence {
  /** Machines on which tasks of it failed. */
  machines: Set<string>;
  /** Milliseconds that the longest of them ran. */
  ranMs: number;
  /** A task of it has had a result: whatever fails after that, the job itself is sound. */
  sound: boolean;
}

/** Whether a task that has run for so long has outlived those that failed. */
function outlives(ranMs: number, failedAfterMs: number): boolean {
  return ranMs > failedAfterMs * OUTLIVES_FACTOR + OUTLIVES_MS;
}

/**
 * Tells a job submitted with a mistake, which fails wherever it runs, from the machines that it fails on. Such a job is
 * tried on, a task at a time and less and less often; no machine is blamed for it. What siblings have found out counts
 * until a task of the job has a result here, so that a takeover need not find it out anew.
 */
export class FailingJobs {
  private readonly evidence = new Map<string, Evidence>();
  private readonly failing = new Set<string>();
  /** How often tasks of failing jobs were tried here since they count as such, and when the next may be. */
  private readonly attempts = new Map<string, { times: number; nextAt: number }>();
  /** By part, what its owner told last. */
  private readonly reportedByPeers = new Map<string, Set<string>>();

  constructor(
    private readonly context: {
      /** The longest time, in milliseconds, that any task of the job has been running on an owned part's machine. */
      longestRunMs: (job: string) => number;
      /** What is blamed on whom may have changed. */
      onChanged: (job: string) => void;
    },
  ) {}

  /** A task of the job failed on the machine after running so long; `sound`: others of it have had results. */
  recordFailure(job: string, machine: string, ranMs: number, sound: boolean): void {
    const known = this.evidence.get(job) ?? { machines: new Set(), ranMs: 0, sound: false };
    this.evidence.set(job, known);
    known.sound ||= sound;
    // More machines than that tell nothing more.
    if (known.machines.size < FAILING_JOB_MACHINES) known.machines.add(machine);
    known.ranMs = Math.max(known.ranMs, ranMs);
    if (known.machines.size === 2) this.context.onChanged(job); // the first is not alone any more
    this.evaluate(job, known);
  }

  /** A task of the job has its result. */
  recordSuccess(job: string): void {
    const known = this.evidence.get(job);
    if (!known) {
      if (!this.isFailing(job)) return;
      this.evidence.set(job, { machines: new Set(), ranMs: 0, sound: true });
    } else if (known.sound) return;
    else known.sound = true;
    this.clear(job);
    this.context.onChanged(job);
  }

  /** The job is over. */
  drop(job: string): void {
    this.evidence.delete(job);
    this.clear(job);
  }

  private clear(job: string): void {
    this.failing.delete(job);
    this.attempts.delete(job);
  }

  /** Whether another task of a failing job may be tried by this node. */
  mayTry(job: string, now: number): boolean {
    return now >= (this.attempts.get(job)?.nextAt ?? -Infinity);
  }

  /** A task of a failing job is being tried: the next one later, and each time longer. */
  recordAttempt(job: string, now: number): void {
    const times = (this.attempts.get(job)?.times ?? 0) + 1;
    const pause = Math.min(TASK_RETRY_MS * 2 ** Math.min(times, TASK_RETRY_DOUBLINGS), TASK_RETRY_MAX_MS);
    this.attempts.set(job, { times, nextAt: now + pause });
  }

  /** Whether the job seems to fail wherever it runs. */
  isFailing(job: string): boolean {
    if (this.failing.has(job)) return true;
    if (this.evidence.get(job)?.sound) return false;
    for (const jobs of this.reportedByPeers.values()) if (jobs.has(job)) return true;
    return false;
  }

  /**
   * How much so many failures of the job on the machine speak against the machine. A job that failed elsewhere too and never
   * had a result may be the one at fault.
   */
  failureScore(job: string, machine: string, times: number): number {
    if (this.isFailing(job)) return 0;
    const known = this.evidence.get(job);
    const sound = !known || known.sound || outlives(this.context.longestRunMs(job), known.ranMs);
    if (sound) return FAILURE_SCORE_SOUND_JOB * times;
    return known.machines.size === 1 && known.machines.has(machine) ? FAILURE_SCORE_UNPROVEN_JOB : 0;
  }

  /** A task may have outlived those that failed since: looked at now and then. */
  tick(): void {
    for (const [job, known] of this.evidence) this.evaluate(job, known);
  }

  private evaluate(job: string, known: Evidence): void {
    if (known.sound || known.machines.size < FAILING_JOB_MACHINES) return;
    const failing = !outlives(this.context.longestRunMs(job), known.ranMs);
    if (failing === this.failing.has(job)) return;
    if (failing) this.failing.add(job);
    else this.clear(job);
    this.context.onChanged(job);
  }

  // --- siblings ---

  /** What this node has found out, for the others. */
  toReport(): string[] {
    return [...this.failing].slice(0, FAILING_JOBS_REPORTED);
  }

  onPeerReport(shard: string, jobs: string[]): void {
    if (jobs.length > 0) this.reportedByPeers.set(shard, new Set(jobs));
    else this.reportedByPeers.delete(shard);
  }

  /** The part is this node's now: what its owner before told is its own from here on. */
  inherit(shard: string): void {
    for (const job of this.reportedByPeers.get(shard) ?? []) {
      if (!this.evidence.get(job)?.sound) this.failing.add(job);
    }
    this.reportedByPeers.delete(shard);
  }
}
