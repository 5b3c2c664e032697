/** Detection of failing jobs: jobs that are defective themselves, so that they fail on every machine. */
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
  /** Ids of machines on which its tasks failed, up to `FAILING_JOB_MACHINES`. */
  readonly machines: Set<string>;
  /** Milliseconds that the longest of the failed tasks ran. */
  longestFailedRunMs: number;
  /** Whether one of its tasks has had a result. The job is then sound, even if further tasks fail. */
  hasSucceeded: boolean;
}

/** A failed run of a task. */
export interface TaskFailure {
  /** The job's id. */
  readonly job: string;
  /** The id of the machine on which the task failed. */
  readonly machine: string;
  /** Milliseconds that the task ran. */
  readonly ranMs: number;
  /** Whether other tasks of the job have had results. */
  readonly hasResults: boolean;
}

interface FailingJobsContext {
  /** Milliseconds that the job's longest-running task has run, in the shards that this node leads. */
  readonly longestRunMs: (jobId: string) => number;
  /** Called when the scores of the job's failures (`failureScore`) may have changed. */
  readonly onChanged: (jobId: string) => void;
}

/** Whether a task that has run for `ranMs` has run longer than all failed tasks, by a margin. */
function outlives(ranMs: number, longestFailedRunMs: number): boolean {
  return ranMs > longestFailedRunMs * OUTLIVES_FACTOR + OUTLIVES_MS;
}

/**
 * Distinguishes failing jobs from failing machines. A failing job is retried one task at a time, with a
 * growing backoff, and its failures do not count against any machine. A job in a peer's last report counts as
 * failing at this node too, unless one of its tasks has had a result here. So a new leader after a failover
 * does not have to detect the failing jobs again.
 */
export class FailingJobs {
  private readonly evidence = new Map<string, FailureEvidence>();
  private readonly failing = new Set<string>();
  private readonly backoff = new FailingJobBackoff();
  /** By shard: the failing jobs in the last status message of the shard's leader. */
  private readonly reportedByPeers = new Map<string, ReadonlySet<string>>();

  constructor(private readonly context: FailingJobsContext) {}

  /** Records the failure of a task. */
  recordFailure({ job, machine, ranMs, hasResults }: TaskFailure): void {
    const evidence = this.evidenceOf(job);
    evidence.hasSucceeded ||= hasResults;
    if (evidence.machines.size < FAILING_JOB_MACHINES) evidence.machines.add(machine);
    evidence.longestFailedRunMs = Math.max(evidence.longestFailedRunMs, ranMs);
    // Once the job has failed on a second machine, the job may be the cause: the first machine's score falls.
    if (evidence.machines.size === 2) this.context.onChanged(job);
    this.evaluate(job, evidence);
  }

  /** Records that a task of the job has had a result, so that the job is sound. */
  recordSuccess(jobId: string): void {
    const known = this.evidence.get(jobId);
    const mayBeFailing = known ? !known.hasSucceeded : this.isFailing(jobId);
    if (!mayBeFailing) return;
    this.evidenceOf(jobId).hasSucceeded = true;
    this.clearFailing(jobId);
    this.context.onChanged(jobId);
  }

  /** Removes the evidence of a job that has finished. */
  drop(jobId: string): void {
    this.evidence.delete(jobId);
    this.clearFailing(jobId);
  }

  /** Whether this node may attempt another task of a failing job. */
  mayAttempt(jobId: string, now: number): boolean {
    return this.backoff.mayAttempt(jobId, now);
  }

  /** Records an attempt of a task of a failing job. */
  recordAttempt(jobId: string, now: number): void {
    this.backoff.recordAttempt(jobId, now);
  }

  /** Whether the job seems to fail on every machine, by the evidence of this node or of a peer. */
  isFailing(jobId: string): boolean {
    if (this.failing.has(jobId)) return true;
    if (this.evidence.get(jobId)?.hasSucceeded) return false;
    for (const jobIds of this.reportedByPeers.values()) if (jobIds.has(jobId)) return true;
    return false;
  }

  /**
   * How much the failures of the job on the machine count against the machine. Each failure counts if the job
   * is sound: a task has had a result, or runs for longer than the failed ones did. Otherwise the job may
   * itself be the cause. Its failures then count once in all if it has failed on this machine only, and 0 if
   * it has failed on other machines too or counts as failing.
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

  /** Evaluates the evidence again: tasks may meanwhile have outlived the failed ones. Called periodically. */
  tick(): void {
    for (const [jobId, evidence] of this.evidence) this.evaluate(jobId, evidence);
  }

  /** The jobs that this node has found failing, for its shard status messages. */
  jobsToReport(): string[] {
    return [...this.failing].slice(0, FAILING_JOBS_REPORTED);
  }

  /** Replaces the failing jobs known for the shard by those in the latest status message of its leader. */
  onPeerReport(shard: string, jobIds: readonly string[]): void {
    if (jobIds.length > 0) this.reportedByPeers.set(shard, new Set(jobIds));
    else this.reportedByPeers.delete(shard);
  }

  /**
   * Takes over the report of the shard's former leader as this node's own evidence. Called when this node
   * becomes the shard's leader.
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
