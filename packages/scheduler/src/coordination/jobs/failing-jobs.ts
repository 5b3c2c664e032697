/** Detection of failing jobs: those submitted with a mistake, which fail wherever they run. */
import {
  FAILING_JOB_MACHINES,
  FAILING_JOBS_REPORTED,
  FAILURE_SCORE_SOUND_JOB,
  FAILURE_SCORE_UNPROVEN_JOB,
  OUTLIVES_FACTOR,
  OUTLIVES_MS,
} from '../../constants.ts';
import { FailingJobBackoff } from './failing-job-backoff.ts';

/** What this node has observed of a job whose tasks have failed. */
interface FailureEvidence {
  /** Ids of machines on which tasks of it failed; no more than decide whether the job is failing. */
  readonly machines: Set<string>;
  /** How long the longest of the failed tasks ran, milliseconds. */
  longestFailedRunMs: number;
  /** A task of it has had a result: whatever fails after that, the job itself is sound. */
  hasSucceeded: boolean;
}

/** A failed run of a task. */
export interface TaskFailure {
  /** The job's id. */
  readonly job: string;
  /** The id of the machine on which the task failed. */
  readonly machine: string;
  /** How long the task ran, milliseconds. */
  readonly ranMs: number;
  /** Whether other tasks of the job have had results. */
  readonly hasResults: boolean;
}

interface FailingJobsContext {
  /** The longest time, milliseconds, that any task of the job has been running in the shards led here. */
  readonly longestRunMs: (jobId: string) => number;
  /** Which of the job's failures count against machines may have changed. */
  readonly onChanged: (jobId: string) => void;
}

/** Whether a task that has run for `ranMs` has outlived, by a margin, those that failed. */
function outlives(ranMs: number, longestFailedRunMs: number): boolean {
  return ranMs > longestFailedRunMs * OUTLIVES_FACTOR + OUTLIVES_MS;
}

/**
 * Tells failing jobs from failing machines. A failing job is retried one task at a time, with a growing
 * backoff, and its failures do not count against any machine. What peers have found counts until a task of
 * the job has a result here, so that a failover need not discover it anew.
 */
export class FailingJobs {
  private readonly evidence = new Map<string, FailureEvidence>();
  private readonly failing = new Set<string>();
  private readonly backoff = new FailingJobBackoff();
  /** By shard, the failing jobs in its leader's last status message. */
  private readonly reportedByPeers = new Map<string, ReadonlySet<string>>();

  constructor(private readonly context: FailingJobsContext) {}

  /** A task failed. */
  recordFailure({ job, machine, ranMs, hasResults }: TaskFailure): void {
    const evidence = this.evidenceOf(job);
    evidence.hasSucceeded ||= hasResults;
    if (evidence.machines.size < FAILING_JOB_MACHINES) evidence.machines.add(machine);
    evidence.longestFailedRunMs = Math.max(evidence.longestFailedRunMs, ranMs);
    // From the second machine on, the failures on the first no longer count against it.
    if (evidence.machines.size === 2) this.context.onChanged(job);
    this.evaluate(job, evidence);
  }

  /** A task of the job has had a result: the job is sound. */
  recordSuccess(jobId: string): void {
    const known = this.evidence.get(jobId);
    const mayBeFailing = known ? !known.hasSucceeded : this.isFailing(jobId);
    if (!mayBeFailing) return;
    this.evidenceOf(jobId).hasSucceeded = true;
    this.clearFailing(jobId);
    this.context.onChanged(jobId);
  }

  /** The job is over. */
  drop(jobId: string): void {
    this.evidence.delete(jobId);
    this.clearFailing(jobId);
  }

  /** Whether another task of a failing job may be tried by this node. */
  mayAttempt(jobId: string, now: number): boolean {
    return this.backoff.mayAttempt(jobId, now);
  }

  /** A task of a failing job is being tried. */
  recordAttempt(jobId: string, now: number): void {
    this.backoff.recordAttempt(jobId, now);
  }

  /** Whether the job seems to fail wherever it runs, by the evidence of this node or of a peer. */
  isFailing(jobId: string): boolean {
    if (this.failing.has(jobId)) return true;
    if (this.evidence.get(jobId)?.hasSucceeded) return false;
    for (const jobIds of this.reportedByPeers.values()) if (jobIds.has(jobId)) return true;
    return false;
  }

  /**
   * How much the failures of the job on the machine count against the machine. A job that failed on other
   * machines too and has had no result may be the cause itself: its failures count nothing.
   */
  failureScore(jobId: string, machineId: string, failures: number): number {
    if (this.isFailing(jobId)) return 0;
    const evidence = this.evidence.get(jobId);
    if (!evidence || evidence.hasSucceeded || this.hasOutlivingTask(jobId, evidence)) {
      return FAILURE_SCORE_SOUND_JOB * failures;
    }
    const failedHereOnly = evidence.machines.size === 1 && evidence.machines.has(machineId);
    return failedHereOnly ? FAILURE_SCORE_UNPROVEN_JOB : 0;
  }

  /** Evaluates the evidence again: a task may have outlived those that failed since. Called periodically. */
  tick(): void {
    for (const [jobId, evidence] of this.evidence) this.evaluate(jobId, evidence);
  }

  /** The jobs that this node has found failing, for its shard status messages. */
  jobsToReport(): string[] {
    return [...this.failing].slice(0, FAILING_JOBS_REPORTED);
  }

  /** The failing jobs in a status message of the shard's leader; they replace those of its last message. */
  onPeerReport(shard: string, jobIds: readonly string[]): void {
    if (jobIds.length > 0) this.reportedByPeers.set(shard, new Set(jobIds));
    else this.reportedByPeers.delete(shard);
  }

  /**
   * This node now leads the shard: what its former leader reported is this node's own evidence from here on.
   */
  adoptPeerReport(shard: string): void {
    for (const jobId of this.reportedByPeers.get(shard) ?? []) {
      if (!this.evidence.get(jobId)?.hasSucceeded) this.failing.add(jobId);
    }
    this.reportedByPeers.delete(shard);
  }

  private evidenceOf(jobId: string): FailureEvidence {
    const known = this.evidence.get(jobId);
    if (known) return known;
    const evidence = { machines: new Set<string>(), longestFailedRunMs: 0, hasSucceeded: false };
    this.evidence.set(jobId, evidence);
    return evidence;
  }

  private hasOutlivingTask(jobId: string, { longestFailedRunMs }: FailureEvidence): boolean {
    return outlives(this.context.longestRunMs(jobId), longestFailedRunMs);
  }

  private evaluate(jobId: string, evidence: FailureEvidence): void {
    if (evidence.hasSucceeded || evidence.machines.size < FAILING_JOB_MACHINES) return;
    const isFailing = !this.hasOutlivingTask(jobId, evidence);
    if (isFailing === this.failing.has(jobId)) return;
    if (isFailing) this.failing.add(jobId);
    else this.clearFailing(jobId);
    this.context.onChanged(jobId);
  }

  private clearFailing(jobId: string): void {
    this.failing.delete(jobId);
    this.backoff.reset(jobId);
  }
}
