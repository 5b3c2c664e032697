/**
 * Changes of the records under `live/`, each passed from the watch cache to the components that it concerns.
 */
import type { CachedPages } from '../storage/cached-pages.ts';
import type { OpenJob, OpenJobs } from '../storage/open-jobs.ts';
import type { LiveRecord, MachinesRecord, OpenJobRecord, ProgressRecord } from '../storage/records.ts';
import type { ExactInteger } from '../protocol/json.ts';
import type { Clock } from '../transport/clock.ts';
import type { Log } from '../transport/background-task.ts';
import type { FailingJobs } from './jobs/failing-jobs.ts';
import type { JobCompletion } from './jobs/job-completion.ts';
import type { JobRequests } from './jobs/job-requests.ts';
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
  readonly jobRequests: JobRequests;
  readonly jobCompletion: JobCompletion;
  readonly failingJobs: FailingJobs;
  readonly quotas: Quotas;
}

/** Dispatches what the watch cache shows, change by change. */
export class WatchDispatcher {
  private isComplete = false;

  constructor(private readonly context: WatchDispatcherContext) {}

  /** Whether the watch cache is complete: not before the first read, nor while everything is read anew. */
  get isLoaded(): boolean {
    return this.isComplete;
  }

  /**
   * Everything has been read anew, and its changes follow. Leaderships begin and end only on complete records: a shard taken on
   * half of them would not know every machine and slice of its former leader.
   */
  onLoading(): void {
    this.isComplete = false;
  }

  /** The watch cache is complete, for the first time or again. */
  onCaughtUp(): void {
    if (this.isComplete) return;
    const { log, membership, openJobs, ledShards, registration, shardMap } = this.context;
    this.isComplete = true;
    membership.onCaughtUp();
    registration.onCaughtUp();
    for (const shard of shardMap.names) ledShards.check(shard);
    log.info({ jobs: openJobs.jobs.size }, 'watch cache loaded');
  }

  /** A record has changed; `version` is its new version in the key-value store. */
  onChange(change: LiveRecord, version: ExactInteger): void {
    const { clock, heartbeats, ledShards, machinePages, membership, openJobs, quotas } = this.context;
    switch (change.kind) {
      case 'node':
        this.context.registration.onNode(change.name, change.record);
        membership.onNode(change.name, change.record);
        if (this.isComplete && membership.unreachedByLeader.length > 0) void this.context.prober.probeAll();
        return heartbeats.wake();
      case 'leadership':
        membership.onLeadership(change.shard, change.record);
        // While everything is read, the shard's machines and slices are still to come.
        if (this.isComplete) ledShards.check(change.shard);
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
        return this.onJobOver(change.id, openJobs.remove(change.id));
      case 'quota':
        quotas.set(change.team, change.record);
        ledShards.all().forEach((shard) => shard.requestScheduling());
    }
  }

  /**
   * The job has been cancelled by a transaction of this node, or of a peer that has notified this one. Its
   * tasks are stopped at once, as this node may not reach the key-value store for long; that they end in time
   * does not depend on it (docs/design.md, "Leader lease").
   */
  onJobCancelled(id: string): void {
    this.context.jobRequests.recordFinalStatus(id, 'cancelled');
    this.onJobOver(id, this.context.openJobs.close(id));
  }

  private onOpenJob(id: string, record: OpenJobRecord, version: ExactInteger): void {
    const { clock, ledShards, openJobs } = this.context;
    const job = openJobs.set(id, record, version, clock.now());
    if (!job) return; // the job is known to be over
    for (const shard of ledShards.all()) {
      for (const slice of openJobs.slicesOf(job, shard.name)) shard.setSlice(slice);
    }
  }

  private onJobOver(id: string, job: OpenJob | null): void {
    const { failingJobs, jobCompletion, openJobs, ledShards } = this.context;
    failingJobs.drop(id);
    jobCompletion.drop(id);
    if (!job) return;
    for (const shard of ledShards.all()) {
      for (const slice of openJobs.slicesOf(job, shard.name)) shard.dropSlice(slice.name);
    }
  }
}
