/** A bounded cache of finished jobs, so that polls for them need no read of the key-value store. */
import { FINISHED_JOBS_CACHED } from '../../constants.ts';
import type { Revision } from '../../protocol/key-value.ts';
import type { FinalStatus } from '../../protocol/users.ts';
import type { EndAcknowledgements } from './end-acknowledgements.ts';

/** How a job ended, as far as this node knows. */
export interface JobEnd {
  readonly status: FinalStatus;
  /** Revision of the final record; null if it is not known. */
  readonly revision: Revision | null;
  /** Number of tasks of the job; 0 if it is not known. */
  readonly tasks: number;
}

/**
 * The final status of the jobs whose final records this node has read or committed, or of which a peer has
 * notified it. A final status never changes, so an entry never becomes stale. The oldest entries are evicted
 * first.
 */
export class FinishedJobs {
  private readonly jobs = new Map<string, JobEnd>();
  private newestEvicted: Revision = 0;

  constructor(private readonly acknowledgements: EndAcknowledgements) {}

  /** How the job ended; undefined if the cache has no entry for the job. */
  end(jobId: string): JobEnd | undefined {
    return this.jobs.get(jobId);
  }

  /** Whether the cache has the job's final status. */
  has(jobId: string): boolean {
    return this.jobs.has(jobId);
  }

  /** How many of the job's tasks are done, for display; 0 if the number is not known. */
  doneTasks(jobId: string): number {
    const end = this.jobs.get(jobId);
    return end?.status === 'done' ? end.tasks : 0;
  }

  /** The final records of evicted jobs have at most this revision; 0 if none was evicted. */
  get evictedUpTo(): Revision {
    return this.newestEvicted;
  }

  /**
   * Records a job's end. Must not be called before the final record is committed. `source`: the node that
   * told this one, or this node if it has read or committed the final record.
   */
  add(jobId: string, { status, revision, tasks }: JobEnd, source: string): void {
    const known = this.jobs.get(jobId);
    this.jobs.set(jobId, {
      status,
      revision: revision ?? known?.revision ?? null,
      tasks: tasks === 0 ? (known?.tasks ?? 0) : tasks,
    });
    if (known) this.acknowledgements.onAcknowledged(jobId, source);
    else this.acknowledgements.onLearned(jobId, source, revision);
    if (this.jobs.size > FINISHED_JOBS_CACHED) this.evictOldest();
  }

  private evictOldest(): void {
    const [oldest] = this.jobs;
    if (!oldest) return;
    const [jobId, { revision }] = oldest;
    this.jobs.delete(jobId);
    this.acknowledgements.drop(jobId);
    const upTo = revision ?? Number.MAX_SAFE_INTEGER;
    if (upTo > this.newestEvicted) this.newestEvicted = upTo;
  }
}
