/** Replies to peers that ask what this node knows of jobs. */
import { END_ACKNOWLEDGEMENT_BATCH } from '../../constants.ts';
import type { KnownEnd, ObservationReply, ObservationRequest } from '../../protocol/peer-messages.ts';
import type { EndAcknowledgements } from '../jobs/end-acknowledgements.ts';
import type { FinishedJobs } from '../jobs/finished-jobs.ts';
import type { PeerChannel } from '../peer-channel.ts';
import type { NodeIdentity } from './membership.ts';
import type { PeerReadLeases } from './peer-read-leases.ts';
import type { JobObserver } from './unanimous-read.ts';

/** What {@link ObservationResponder} needs of its node. */
export interface ObservationResponderContext {
  readonly self: NodeIdentity;
  readonly peers: PeerChannel;
  readonly jobView: JobObserver;
  readonly finishedJobs: FinishedJobs;
  readonly endAcknowledgements: EndAcknowledgements;
  readonly readLeases: PeerReadLeases;
}

/** Makes the replies to observation requests. */
export class ObservationResponder {
  constructor(private readonly context: ObservationResponderContext) {}

  /** A peer asks what this node knows of jobs. */
  onRequest(from: string, request: ObservationRequest): void {
    this.context.peers.send(from, this.reply(from, request));
  }

  private reply(from: string, { requestId, jobIds }: ObservationRequest): ObservationReply {
    const { jobView, readLeases, self } = this.context;
    const ends = this.endsUnknownTo(from);
    const reply: ObservationReply = {
      kind: 'observationReply',
      requestId,
      open: [],
      over: [],
      none: [],
      unread: [],
      endedAfter: [],
      forgottenEndsUpTo: jobView.forgottenEndsUpTo,
      incarnation: self.incarnation,
      grantsReadLease: ends !== null,
      ends: ends ?? [],
      readLeases: readLeases.unbroken(),
    };
    for (const jobId of jobIds) this.addObservation(reply, jobId);
    return reply;
  }

  private addObservation(reply: ObservationReply, jobId: string): void {
    const observation = this.context.jobView.observe(jobId);
    switch (observation.kind) {
      case 'over':
        return void reply.over.push(jobId);
      case 'unread':
        // In both lists: a peer of an older version knows only the first, and must not take the job as open.
        reply.over.push(jobId);
        return void reply.unread.push(jobId);
      case 'open':
        reply.open.push([jobId, observation.version]);
        break;
      case 'none':
        reply.none.push([jobId, observation.asOf]);
    }
    if (observation.endedAfter > 0) reply.endedAfter.push([jobId, observation.endedAfter]);
  }

  /**
   * The ends that neither the peer nor a majority is known to know; null if they are too many for a message,
   * or if this process has evicted one. The peer then gets no read lease.
   */
  private endsUnknownTo(peer: string): KnownEnd[] | null {
    const { endAcknowledgements, finishedJobs } = this.context;
    if (endAcknowledgements.hasDroppedUnacknowledged) return null;
    const jobIds = endAcknowledgements.jobsUnknownTo(peer);
    if (jobIds.length > END_ACKNOWLEDGEMENT_BATCH) return null;
    return jobIds.flatMap((jobId) => {
      const end = finishedJobs.end(jobId);
      return end ? [{ jobId, ...end }] : [];
    });
  }
}
