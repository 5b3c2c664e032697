/**
 * Read leases of peers. A peer's reply to a request grants this node a lease: until `READ_LEASE_MS` after the
 * request was sent, no process of the peer's node reports an end that this node does not know, unless a
 * majority knows it. docs/design.md, "Reported ends", has the proof.
 */
import { READ_LEASE_MS } from '../../constants.ts';
import type { Revision } from '../../protocol/key-value.ts';
import type { ObservationReply, ReadLease } from '../../protocol/peer-messages.ts';
import type { Clock } from '../../transport/clock.ts';

/** What {@link PeerReadLeases} needs of its node. */
export interface PeerReadLeasesContext {
  readonly clock: Clock;
  /** The node's copy of the key-value store: its revision, and when it was last confirmed. */
  readonly watchCache: { readonly confirmedAt: number; readonly currentRevision: Revision };
}

/** A periodic request to all peers. */
interface LeaseRequest {
  readonly id: string;
  readonly sentAt: number;
}

/** The unbroken leases of one peer node, over all its processes that have replied since `unbrokenSince`. */
interface LeaseChain {
  /** The process that replied last. */
  incarnation: string;
  /** When the request was sent whose reply granted the last lease. */
  grantedAt: number;
  /** When the request was sent whose reply began the chain. */
  readonly unbrokenSince: number;
  /** A revision that the key-value store had after `unbrokenSince`; null until one is known. */
  fromRevision: Revision | null;
}

/** The read leases that this process has from its peers. */
export class PeerReadLeases {
  private readonly chains = new Map<string, LeaseChain>();
  private request: LeaseRequest = { id: '', sentAt: -Infinity };

  constructor(private readonly context: PeerReadLeasesContext) {}

  /** A request is about to be sent to all peers. Replies to earlier ones no longer grant leases. */
  onRequested(requestId: string): void {
    this.request = { id: requestId, sentAt: this.context.clock.now() };
  }

  /** A peer has replied. Must be called after the ends in the reply have been recorded. */
  onReply(from: string, reply: ObservationReply): void {
    const { incarnation } = reply;
    // A process of an older version reports ends at once.
    if (incarnation === null) return void this.chains.delete(from);
    const { id, sentAt } = this.request;
    // Only a process that is running now can reply to the latest request, so a former one never does.
    if (reply.requestId !== id || this.isExpired(sentAt)) return;
    const chain = this.chains.get(from);
    if (chain?.incarnation === incarnation) {
      if (reply.grantsReadLease) chain.grantedAt = sentAt;
    } else if (chain && !this.isExpired(chain.grantedAt)) {
      // The earlier process ended before its lease did, and so did all processes since.
      chain.incarnation = incarnation;
      if (reply.grantsReadLease) chain.grantedAt = sentAt;
    } else if (reply.grantsReadLease) {
      this.chains.set(from, { incarnation, grantedAt: sentAt, unbrokenSince: sentAt, fromRevision: null });
    } else {
      this.chains.delete(from);
    }
    this.setFromRevisions();
  }

  /**
   * For each peer with an unbroken chain of leases: its present process, and the revision such that no earlier
   * process has reported, without a majority, a later end that this node does not know.
   */
  unbroken(): ReadLease[] {
    this.setFromRevisions();
    return [...this.chains].flatMap(([node, { incarnation, fromRevision }]) =>
      fromRevision === null ? [] : [{ node, incarnation, fromRevision }],
    );
  }

  private isExpired(grantedAt: number): boolean {
    return this.context.clock.now() - grantedAt >= READ_LEASE_MS;
  }

  /** The cache then has everything that was committed before the chain began. */
  private setFromRevisions(): void {
    const { watchCache } = this.context;
    for (const chain of this.chains.values()) {
      if (chain.fromRevision !== null || watchCache.confirmedAt < chain.unbrokenSince) continue;
      chain.fromRevision = watchCache.currentRevision;
    }
  }
}
