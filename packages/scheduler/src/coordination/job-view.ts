/** What this node knows of jobs without a read of the key-value store. */
import type { Revision } from '../protocol/key-value.ts';
import type { DeletedJobs } from '../storage/deleted-jobs.ts';
import type { OpenJobs } from '../storage/open-jobs.ts';
import type { WatchCache } from '../storage/watch-cache.ts';
import type { JobRequests } from './jobs/job-requests.ts';
import type { JobObservation, JobObserver } from './leadership/unanimous-read.ts';
import type { ShardLoads } from './scheduling/shard-loads.ts';
import type { WatchDispatcher } from './watch-dispatcher.ts';

/** What {@link JobView} needs of its node. */
export interface JobViewContext {
  readonly dispatcher: WatchDispatcher;
  readonly jobRequests: JobRequests;
  readonly openJobs: OpenJobs;
  readonly deletedJobs: DeletedJobs;
  readonly shardLoads: ShardLoads;
  readonly watchCache: WatchCache;
}

/** Observations of jobs in the watch cache and in the shards' status reports. */
export class JobView implements JobObserver {
  constructor(private readonly context: JobViewContext) {}

  /** What this node knows of the job; null while its watch cache is not complete. */
  observe(job: string): JobObservation | null {
    const { deletedJobs, dispatcher, jobRequests, openJobs, watchCache } = this.context;
    if (!dispatcher.isLoaded) return null;
    if (jobRequests.isFinished(job) || openJobs.isClosed(job)) return { kind: 'over' };
    const asOf = watchCache.currentRevision;
    const open = openJobs.jobs.get(job);
    if (open) return { kind: 'open', version: open.version, endedAfter: asOf };
    const forgottenEndsUpTo = this.forgottenEndsUpTo ?? asOf;
    return { kind: 'none', asOf, endedAfter: deletedJobs.endedAfter(job), forgottenEndsUpTo };
  }

  /**
   * Ends that this node may have reported to users, and that this process does not remember, have at most
   * this revision: an earlier process of the node committed or read them before this one had its first answer
   * from the key-value store, or this process has evicted them. Null before that answer.
   */
  get forgottenEndsUpTo(): Revision | null {
    const { jobRequests, watchCache } = this.context;
    const { firstRevision } = watchCache;
    const evicted = jobRequests.forgottenEndsUpTo;
    return firstRevision !== null && evicted > firstRevision ? evicted : firstRevision;
  }

  /** Counts the job's tasks that are not settled, and those running according to the shards' reports. */
  progress(job: string): { unsettled: number; running: number } {
    const { openJobs, shardLoads } = this.context;
    const unsettled = openJobs.jobs.get(job)?.unsettledTasks ?? 0;
    let running = 0;
    for (const status of shardLoads.all()) running += status.runningTasks[job] ?? 0;
    return { unsettled, running };
  }
}
