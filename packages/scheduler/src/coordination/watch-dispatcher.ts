import type { CachedPages } from '../storage/cached-pages.ts';
import type { OpenJob, OpenJobs } from '../storage/open-jobs.ts';
import type { LiveRecord, MachinesRecord, ProgressRecord } from '../storage/records.ts';
import type { Int } from '../protocol/json.ts';
import type { Clock } from '../transport/clock.ts';
import type { Log } from '../transport/background-task.ts';
import type { FailingJobs } from './jobs/failing-jobs.ts';
import type { JobCompletion } from './jobs/job-completion.ts';
import type { JobRequests } from './jobs/job-requests.ts';
import type { Quotas } from './quota/quotas.ts';
import type { HeartbeatRouter } from './workers/heartbeat-router.ts';
import type { Membership } from './leadership/membership.ts';
import type { LedShards } from './leadership/led-shards.ts';
import type { NodeRegistration } from './leadership/node-registration.ts';
import type { ReachabilityProber } from './leadership/reachability-prober.ts';

export interface WatchDispatcherContext {
  clock: Clock;
  log: Log;
  shardNames: string[];
  membership: Membership;
  registration: NodeRegistration;
  led: LedShards;
  reach: ReachabilityProber;
  heartbeats: HeartbeatRouter;
  machinePages: CachedPages<MachinesRecord>;
  progressPages: CachedPages<ProgressRecord>;
  openJobs: OpenJobs;
  jobs: JobRequests;
  jobCompletion: JobCompletion;
  failingJobs: FailingJobs;
  quotas: Quotas;
}

/** What this node's copy of the records shows, change by change, told to whom it concerns. */
export class WatchDispatcher {
  /** Whether the copy is whole: not before the first read, nor while all is read anew. */
  loaded = false;

  constructor(private readonly context: WatchDispatcherContext) {}

  /**
   * All is read anew. Ownership is judged only when the records are complete: a part taken over on half of them would not
   * know every machine and slice of the owner before.
   */
  onLoading(): void {
    this.loaded = false;
  }

  onCaughtUp(): void {
    if (this.loaded) return;
    const { log, membership, openJobs, led, shardNames } = this.context;
    this.loaded = true;
    membership.onCaughtUp();
    this.context.registration.onCaughtUp();
    for (const shard of shardNames) led.check(shard);
    log.info({ jobs: openJobs.jobs.size }, 'records read');
  }

  onChange(change: LiveRecord, version: Int): void {
    const { clock, membership, led, reach, heartbeats, openJobs, jobCompletion, quotas } = this.context;
    switch (change.kind) {
      case 'node':
        this.context.registration.onNode(change.name, change.record);
        membership.onNode(change.name, change.record);
        if (this.loaded && membership.unreachedByLeader.length > 0) void reach.probeAll();
        return heartbeats.wake();
      case 'leadership':
        membership.onLeadership(change.shard, change.record);
        // While loading, the part's machines and slices are still to come.
        if (this.loaded) led.check(change.shard);
        return;
      case 'machines':
        return this.context.machinePages.update(change.shard, change.key, change.record, version);
      case 'progress':
        this.context.progressPages.update(change.shard, change.key, change.record, version);
        openJobs.setProgress(change.key, change.record, clock.now());
        if (this.loaded) jobCompletion.endAll();
        return;
      case 'job': {
        const { id, record } = change;
        if (!record) return this.onJobOver(id, openJobs.remove(id));
        const job = openJobs.set(id, record, version, clock.now());
        if (!job) return; // it is known to be over
        for (const shard of led.all()) {
          for (const given of openJobs.slicesOf(job, shard.name)) shard.setSlice(given);
        }
        return;
      }
      case 'quota':
        quotas.set(change.team, change.record);
        led.all().forEach((shard) => shard.requestScheduling());
    }
  }

  /**
   * The job has been withdrawn: by a transaction of this node, or of a sibling that says so. Told at once, as the state
   * service may be away from this node for long; that the tasks are gone in time does not depend on it.
   */
  onJobCancelled(id: string): void {
    this.context.jobs.remember(id, 'cancelled');
    this.onJobOver(id, this.context.openJobs.close(id));
  }

  private onJobOver(id: string, job: OpenJob | null): void {
    const { failingJobs, jobCompletion, openJobs, led } = this.context;
    failingJobs.drop(id);
    jobCompletion.drop(id);
    if (!job) return;
    for (const shard of led.all()) {
      for (const given of openJobs.slicesOf(job, shard.name)) shard.dropSlice(given.name);
    }
  }
}
