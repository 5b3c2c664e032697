/** Passes changes of the records under `live/` from the watch cache to the components that use them. */
import type { CachedPages } from '../storage/cached-pages.ts';
import type { LastOpenRevisions } from '../storage/last-open-revisions.ts';
import type { OpenJob, OpenJobs } from '../storage/open-jobs.ts';
import type { LiveRecord, MachinesRecord, OpenJobRecord, ProgressRecord } from '../storage/records.ts';
import type { WatchCache } from '../storage/watch-cache.ts';
import type { ExactInteger } from '../protocol/json.ts';
import type { Clock } from '../transport/clock.ts';
import type { Log } from '../transport/background-task.ts';
import type { EndReporting } from './jobs/end-reporting.ts';
import type { FailingJobs } from './jobs/failing-jobs.ts';
import type { FinalRecordReader } from './jobs/final-record-reader.ts';
import type { JobCompletion } from './jobs/job-completion.ts';
import type { RecentEndsReader } from './jobs/recent-ends-reader.ts';
import type { Quotas } from './quota/quotas.ts';
import type { HeartbeatRouter } from './workers/heartbeat-router.ts';
import type { LedShards } from './leadership/led-shards.ts';
import type { Membership } from './leadership/membership.ts';
import type { NodeRegistration } from './leadership/node-registration.ts';
import type { ReachabilityProber } from './leadership/reachability-prober.ts';
import type { ShardMap } from './leadership/shard-map.ts';

/** What {@link WatchDispatcher} needs of its node. */
export interface WatchDispatcherContext {
  readonly clock: Clock;
  readonly log: Log;
  readonly shardMap: ShardMap;
  readonly membership: Membership;
  readonly registration: NodeRegistration;
  readonly ledShards: LedShards;
  readonly prober: ReachabilityProber;
  readonly heartbeats: HeartbeatRouter;
  readonly machinePages: CachedPages<MachinesRecord>;
  readonly progressPages: CachedPages<ProgressRecord>;
  readonly openJobs: OpenJobs;
  readonly lastOpenRevisions: LastOpenRevisions;
  readonly watchCache: WatchCache;
  readonly jobCompletion: JobCompletion;
  readonly finalRecords: FinalRecordReader;
  readonly recentEnds: RecentEndsReader;
  readonly endReporting: EndReporting;
  readonly failingJobs: FailingJobs;
  readonly quotas: Quotas;
}

/** Dispatches the changes that the watch cache receives, one by one. */
export class WatchDispatcher {
  private isComplete = false;

  constructor(private readonly context: WatchDispatcherContext) {}

  /** Whether the watch cache is complete. False before the first read, and while a new read is applied. */
  get isLoaded(): boolean {
    return this.isComplete;
  }

  /**
   * All records have been read again, and their changes follow. Leaderships begin and end only on complete
   * records: without some of them, a leader would not know every machine and slice of the former leader.
   */
  onLoading(): void {
    this.isComplete = false;
  }

  /** The watch cache is complete, for the first time or again. */
  onCaughtUp(): void {
    if (this.isComplete) return;
    const { log, membership, openJobs, ledShards, recentEnds, registration } = this.context;
    const { shardMap, watchCache } = this.context;
    this.isComplete = true;
    if (watchCache.firstRevision !== null) void recentEnds.read(watchCache.firstRevision);
    membership.onCaughtUp();
    registration.onCaughtUp();
    for (const shard of shardMap.names) ledShards.updateLeadership(shard);
    log.info({ jobs: openJobs.jobs.size }, 'watch cache loaded');
  }

  /** A record has changed; `version` is its new version in the key-value store. */
  onChange(change: LiveRecord, version: ExactInteger): void {
    const { clock, heartbeats, ledShards, machinePages, membership, openJobs, quotas } = this.context;
    switch (change.kind) {
      case 'node':
        this.context.registration.onNode(change.name, change.record);
        membership.onNode(change.name, change.record);
        this.context.endReporting.onNode(change.name, change.record);
        if (this.isComplete && membership.unreachedByLeader.length > 0) void this.context.prober.probeAll();
        return heartbeats.wake();
      case 'leadership':
        membership.onLeadership(change.shard, change.record);
        // While the watch cache is incomplete, the shard's machines and slices are still to come.
        if (this.isComplete) ledShards.updateLeadership(change.shard);
        return;
      case 'machines':
        return machinePages.update(change.shard, change.key, change.record, version);
      case 'progress':
        this.context.progressPages.update(change.shard, change.key, change.record, version);
        openJobs.setProgress(change.key, change.record, clock.now());
        if (this.isComplete) this.context.jobCompletion.completeSettledJobs();
        return;
      case 'job':
        if (change.record) return this.onOpenJob(change.id, change.record, version);
        this.context.lastOpenRevisions.add(change.id, this.context.watchCache.currentRevision);
        this.context.finalRecords.onDeleted(change.id);
        return this.onJobOver(change.id, openJobs.remove(change.id));
      case 'quota':
        quotas.set(change.team, change.record);
        ledShards.shardLeaders().forEach((shard) => shard.requestScheduling());
    }
  }

  /**
   * The job has been cancelled by a transaction of this node, or of a peer that has notified this one. Its
   * tasks are stopped at once, because this node may not reach the key-value store for a long time. That
   * they end in time does not depend on this notification (docs/design.md, "Leader lease").
   */
  onJobCancelled(id: string): void {
    this.onJobOver(id, this.context.openJobs.close(id));
  }

  private onOpenJob(id: string, record: OpenJobRecord, version: ExactInteger): void {
    const { clock, lastOpenRevisions, ledShards, openJobs } = this.context;
    lastOpenRevisions.delete(id);
    const job = openJobs.set(id, record, version, clock.now());
    if (!job) return; // the job is known to be over
    for (const shard of ledShards.shardLeaders()) {
      for (const slice of openJobs.slicesOf(job, shard.name)) shard.setSlice(slice);
    }
  }

  private onJobOver(id: string, job: OpenJob | null): void {
    const { failingJobs, jobCompletion, openJobs, ledShards } = this.context;
    failingJobs.drop(id);
    jobCompletion.drop(id);
    if (!job) return;
    for (const shard of ledShards.shardLeaders()) {
      for (const slice of openJobs.slicesOf(job, shard.name)) shard.dropSlice(slice.name);
    }
  }
}
