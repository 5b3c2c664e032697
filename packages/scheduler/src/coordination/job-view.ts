/** What this node knows of jobs without a read of the key-value store. */
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
  readonly shardLoads: ShardLoads;
  readonly watchCache: WatchCache;
}

/** Observations of jobs in the watch cache and in the shards' status reports. */
export class JobView implements JobObserver {
  constructor(private readonly context: JobViewContext) {}

  /** What this node knows of the job; null while its watch cache is not complete. */
  observe(job: string): JobObservation | null {
    const { dispatcher, jobRequests, openJobs, watchCache } = this.context;
    if (!dispatcher.isLoaded) return null;
    if (jobRequests.isFinished(job) || openJobs.isClosed(job)) return { kind: 'over' };
    const open = openJobs.jobs.get(job);
    return open
      ? { kind: 'open', version: open.version }
      : { kind: 'none', asOf: watchCache.currentRevision };
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
