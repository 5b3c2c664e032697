/**
 * Decides when this node may report the ends of jobs to users. It asks the peers which ends they know, and
 * notifies again those that have missed a notice: docs/design.md, "Reported ends".
 */
import {
  END_ACKNOWLEDGEMENT_BATCH,
  END_ACKNOWLEDGEMENT_DEADLINE_MS,
  END_ACKNOWLEDGEMENT_GAP_MS,
  PEER_SILENT_MS,
} from '../../constants.ts';
import type { ObservationReply } from '../../protocol/peer-messages.ts';
import type { JobId } from '../../protocol/users.ts';
import type { Clock } from '../../transport/clock.ts';
import type { NodeRecord } from '../../storage/records.ts';
import type { Membership, NodeIdentity } from '../leadership/membership.ts';
import type { PeerReadLeases } from '../leadership/peer-read-leases.ts';
import type { PeerChannel } from '../peer-channel.ts';
import type { EndAcknowledgements } from './end-acknowledgements.ts';
import { notifyOfEnd } from './end-notice.ts';
import type { FinishedJobs } from './finished-jobs.ts';

/** What {@link EndReporting} needs of its node. */
export interface EndReportingContext {
  readonly clock: Clock;
  /** Aborted at the end of the process. */
  readonly signal: AbortSignal;
  readonly self: NodeIdentity;
  readonly peers: PeerChannel;
  readonly membership: Membership;
  readonly finishedJobs: FinishedJobs;
  readonly endAcknowledgements: EndAcknowledgements;
  readonly readLeases: PeerReadLeases;
}

/** A user's request that waits until a majority knows the end of its job. */
interface Waiter {
  readonly jobId: JobId;
  readonly wake: () => void;
}

/** Obtains the acknowledgements of ends. */
export class EndReporting {
  private readonly waiters = new Set<Waiter>();
  private isAsking = false;
  private requestCount = 0;
  /** When each peer replied last, in milliseconds of the clock. */
  private readonly lastReplies = new Map<string, number>();

  constructor(private readonly context: EndReportingContext) {}

  /**
   * Whether this node may report the job's end, which it knows, to a user now. If a majority is not known to
   * know the end yet, asks the peers and waits for their replies.
   */
  async isReportable(jobId: JobId): Promise<boolean> {
    const { clock, endAcknowledgements } = this.context;
    if (endAcknowledgements.isReportable(jobId)) return true;
    const acknowledged = new AbortController();
    const waiter: Waiter = { jobId, wake: () => acknowledged.abort() };
    this.waiters.add(waiter);
    void this.askForWaiters();
    await clock.sleep(END_ACKNOWLEDGEMENT_DEADLINE_MS, acknowledged.signal);
    this.waiters.delete(waiter);
    return endAcknowledgements.isReportable(jobId);
  }

  /**
   * Asks every peer which of the unacknowledged ends it knows, the oldest first. Called periodically: the
   * replies also renew the peers' read leases.
   */
  renew(): void {
    const { endAcknowledgements, readLeases } = this.context;
    const requestId = this.nextRequestId();
    readLeases.onRequested(requestId);
    this.ask(requestId, endAcknowledgements.jobs(END_ACKNOWLEDGEMENT_BATCH));
  }

  /** A peer has replied to a request for its observations; late replies count too, as ends are final. */
  onReply(from: string, reply: ObservationReply): void {
    const { clock, endAcknowledgements } = this.context;
    this.lastReplies.set(from, clock.now());
    const unread = new Set(reply.unread);
    for (const jobId of reply.over) {
      if (unread.has(jobId)) this.notify(from, jobId);
      else endAcknowledgements.onAcknowledged(jobId, from);
    }
    for (const [jobId] of [...reply.open, ...reply.none]) this.notify(from, jobId);
    this.wakeWaiters();
  }

  /** A node's record has changed: it may acknowledge ends. */
  onNode(node: string, record: NodeRecord | null): void {
    if (record?.seenRevision === undefined || node === this.context.self.name) return;
    this.context.endAcknowledgements.onSeen(node, record.seenRevision);
    this.wakeWaiters();
  }

  /** Whether a peer that is up does not reply: it gets no acknowledgement of this node by messages. */
  get hasSilentPeer(): boolean {
    const { clock, membership, peers } = this.context;
    return peers.names.some((name) => {
      const upSince = membership.liveNode(name)?.since;
      if (upSince === undefined) return false;
      const lastReplyAt = this.lastReplies.get(name) ?? -Infinity;
      return clock.now() - Math.max(upSince, lastReplyAt) > PEER_SILENT_MS;
    });
  }

  private wakeWaiters(): void {
    const { endAcknowledgements } = this.context;
    for (const { jobId, wake } of this.waiters) if (endAcknowledgements.isReportable(jobId)) wake();
  }

  /** Asks about the jobs that users wait for, repeatedly until none waits: a peer may have missed a notice. */
  private async askForWaiters(): Promise<void> {
    if (this.isAsking) return;
    this.isAsking = true;
    const { clock, signal } = this.context;
    while (this.waiters.size > 0 && !signal.aborted) {
      const jobIds = new Set([...this.waiters].map(({ jobId }) => jobId));
      this.ask(this.nextRequestId(), [...jobIds].slice(0, END_ACKNOWLEDGEMENT_BATCH));
      await clock.sleep(END_ACKNOWLEDGEMENT_GAP_MS, signal);
    }
    this.isAsking = false;
  }

  private nextRequestId(): string {
    return `${this.context.self.incarnation}/e${String(++this.requestCount)}`;
  }

  private ask(requestId: string, jobIds: JobId[]): void {
    this.context.peers.broadcast({ kind: 'observationRequest', requestId, jobIds });
  }

  /** Notifies a peer again of an end that it does not know, if this node knows it. */
  private notify(peer: string, jobId: JobId): void {
    const { finishedJobs, peers } = this.context;
    const end = finishedJobs.end(jobId);
    if (end) notifyOfEnd(peers, [peer], jobId, end);
  }
}
