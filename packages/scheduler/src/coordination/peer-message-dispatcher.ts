/** Passes messages from peers to the components that handle them. */
import { decodePeerMessage } from '../protocol/peer-message-codec.ts';
import type { KnownEnd, ObservationReply } from '../protocol/peer-messages.ts';
import type { Clock } from '../transport/clock.ts';
import type { Log } from '../transport/background-task.ts';
import type { FailingJobs } from './jobs/failing-jobs.ts';
import type { EndReporting } from './jobs/end-reporting.ts';
import type { JobRequests } from './jobs/job-requests.ts';
import type { JobView } from './job-view.ts';
import type { LedShards } from './leadership/led-shards.ts';
import type { ObservationResponder } from './leadership/observation-responder.ts';
import type { PeerReadLeases } from './leadership/peer-read-leases.ts';
import type { RequestForwarding } from './leadership/request-forwarding.ts';
import type { UnanimousRead } from './leadership/unanimous-read.ts';
import type { ShardLoads } from './scheduling/shard-loads.ts';
import type { WatchDispatcher } from './watch-dispatcher.ts';

/** What {@link PeerMessageDispatcher} needs of its node. */
export interface PeerMessageDispatcherContext {
  readonly clock: Clock;
  readonly log: Log;
  readonly shardLoads: ShardLoads;
  readonly failingJobs: FailingJobs;
  readonly ledShards: LedShards;
  readonly dispatcher: WatchDispatcher;
  readonly unanimousRead: UnanimousRead;
  readonly observationResponder: ObservationResponder;
  readonly readLeases: PeerReadLeases;
  readonly endReporting: EndReporting;
  readonly jobRequests: JobRequests;
  readonly jobView: JobView;
  readonly forwarding: RequestForwarding;
}

/** Decodes and dispatches messages from peers. */
export class PeerMessageDispatcher {
  private lastAt = -Infinity;

  constructor(private readonly context: PeerMessageDispatcherContext) {}

  /** When any peer's last message was received, in milliseconds of the clock; -Infinity before the first. */
  get lastMessageAt(): number {
    return this.lastAt;
  }

  /** Handles a message from the named peer. A message that cannot be decoded is logged and dropped. */
  onMessage(from: string, raw: unknown): void {
    const { clock, forwarding, ledShards, log, observationResponder } = this.context;
    const message = decodePeerMessage(raw);
    this.lastAt = clock.now();
    switch (message?.kind) {
      case 'keepalive':
        return;
      case 'shardStatus': {
        const { failingJobs, shardLoads } = this.context;
        if (!shardLoads.set(message, false)) return;
        failingJobs.onPeerReport(message.shard, message.failingJobs);
        return ledShards.onShardStatus(from, message);
      }
      case 'handover':
        return ledShards.onHandover(message);
      case 'jobsCancelled':
        return message.jobIds.forEach((jobId) =>
          this.onEnd(from, { jobId, status: 'cancelled', revision: message.revision, tasks: 0 }),
        );
      case 'jobDone':
        return this.onEnd(from, { ...message, status: 'done' });
      case 'jobAccepted':
        return this.context.jobView.recordOpen(message.jobId, message.revision);
      case 'observationRequest':
        return observationResponder.onRequest(from, message);
      case 'observationReply':
        return this.onObservationReply(from, message);
      case 'forwardedRequest':
        return void forwarding.onRequest(from, message);
      case 'forwardedReply':
        return forwarding.onReply(message);
      case undefined:
        log.debug({ peer: from }, 'peer message dropped: unknown kind or malformed');
    }
  }

  private onEnd(from: string, { jobId, status, revision, tasks }: KnownEnd): void {
    const { dispatcher, jobRequests } = this.context;
    jobRequests.recordEnd(jobId, { status, revision, tasks }, from);
    if (status === 'cancelled') dispatcher.onJobCancelled(jobId);
  }

  /**
   * The ends in the reply are recorded first: the read lease that it grants depends on them. What the peer knows
   * of open jobs is remembered, as its process may end.
   */
  private onObservationReply(from: string, reply: ObservationReply): void {
    const { endReporting, jobView, readLeases, unanimousRead } = this.context;
    for (const end of reply.ends) this.onEnd(from, end);
    for (const [jobId, revision] of reply.endedAfter) jobView.recordOpen(jobId, revision);
    readLeases.onReply(from, reply);
    endReporting.onReply(from, reply);
    unanimousRead.onReply(from, reply);
  }
}
