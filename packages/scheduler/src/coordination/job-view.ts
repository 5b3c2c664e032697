/** What this node knows of jobs without a read of the key-value store. */
import type { Revision } from '../protocol/key-value.ts';
import type { LastOpenRevisions } from '../storage/last-open-revisions.ts';
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
  readonly lastOpenRevisions: LastOpenRevisions;
  readonly recentEnds: RecentEndsReader;
  readonly shardLoads: ShardLoads;
  readonly watchCache: WatchCache;
}

/** Observations of jobs in the watch cache and in the shards' status reports. */
export class JobView implements JobObserver {
  constructor(private readonly context: JobViewContext) {}

  /** What this node knows of the job. */
  observe(job: string): JobObservation {
    const { dispatcher, jobRequests, lastOpenRevisions, openJobs, watchCache } = this.context;
    if (jobRequests.isFinished(job) || openJobs.isClosed(job)) return { kind: 'over' };
    const { forgottenEndsUpTo } = this;
    if (!dispatcher.isLoaded) return { kind: 'unread', forgottenEndsUpTo };
    const asOf = watchCache.currentRevision;
    const open = openJobs.jobs.get(job);
    if (open) return { kind: 'open', version: open.version, endedAfter: asOf };
    return { kind: 'none', asOf, endedAfter: lastOpenRevisions.endedAfter(job), forgottenEndsUpTo };
  }

  /**
   * The job was open at the revision, as this node or a peer has written or read. The watch cache may not show
   * it before the key-value store fails, and then has no later revision.
   */
  recordOpen(job: string, revision: Revision): void {
    const { jobRequests, lastOpenRevisions, openJobs } = this.context;
    if (openJobs.jobs.has(job) || jobRequests.isFinished(job)) return;
    lastOpenRevisions.add(job, revision);
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
