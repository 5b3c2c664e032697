/** What this node knows of jobs without a read of the key-value store. */
import type { Revision } from '../protocol/key-value.ts';
import type { DeletedJobs } from '../storage/deleted-jobs.ts';
import type { OpenJobs } from '../storage/open-jobs.ts';
import type { WatchCache } from '../storage/watch-cache.ts';
import type { JobRequests } from './jobs/job-requests.ts';
import type { RecentEndsReader } from './jobs/recent-ends-reader.ts';
import type { JobObserver } from './leadership/unanimous-read.ts';
import type { JobObservation } from './leadership/unreported-end.ts';
import type { ShardLoads } from './scheduling/shard-loads.ts';
import type { WatchDispatcher } from './watch-dispatcher.ts';

/** What {@link JobView} needs of its node. */
export interface JobViewContext {
  readonly dispatcher: WatchDispatcher;
  readonly jobRequests: JobRequests;
  readonly openJobs: OpenJobs;
  readonly deletedJobs: DeletedJobs;
  readonly recentEnds: RecentEndsReader;
  readonly shardLoads: ShardLoads;
  readonly watchCache: WatchCache;
}

/** Observations of jobs in the watch cache and in the shards' status reports. */
export class JobView implements JobObserver {
  constructor(private readonly context: JobViewContext) {}

  /** What this node knows of the job. */
  observe(job: string): JobObservation {
    const { deletedJobs, dispatcher, jobRequests, openJobs, watchCache } = this.context;
    if (jobRequests.isFinished(job) || openJobs.isClosed(job)) return { kind: 'over' };
    const { forgottenEndsUpTo } = this;
    if (!dispatcher.isLoaded) return { kind: 'unread', forgottenEndsUpTo };
    const asOf = watchCache.currentRevision;
    const open = openJobs.jobs.get(job);
    if (open) return { kind: 'open', version: open.version, endedAfter: asOf };
    return { kind: 'none', asOf, endedAfter: deletedJobs.endedAfter(job), forgottenEndsUpTo };
  }

  /**
   * Ends that this node may have reported to users, and that this process does not remember, have at most
   * this revision: an earlier process of the node committed or read them before this one had its first answer
   * from the key-value store, and this process has not read them since, or it has evicted them. While the watch
   * cache is not complete, only what this process has evicted counts.
   */
  get forgottenEndsUpTo(): Revision {
    const { dispatcher, jobRequests, recentEnds, watchCache } = this.context;
    const evicted = jobRequests.forgottenEndsUpTo;
    if (!dispatcher.isLoaded || watchCache.firstRevision === null) return evicted;
    const unreadUpTo = recentEnds.endsReadAfter ?? watchCache.firstRevision;
    return evicted > unreadUpTo ? evicted : unreadUpTo;
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
