/** Tells the peers what this node has committed or read of jobs, so that they know it without the store. */
import type { Revision } from '../../protocol/key-value.ts';
import type { JobId } from '../../protocol/users.ts';
import type { NodeIdentity } from '../leadership/membership.ts';
import type { PeerChannel } from '../peer-channel.ts';
import { notifyOfEnd } from './end-notice.ts';
import type { FinalRecord } from './final-record-reader.ts';
import type { JobEnd } from './finished-jobs.ts';

/** What {@link JobAnnouncements} needs of its node. */
export interface JobAnnouncementsContext {
  readonly self: NodeIdentity;
  readonly peers: PeerChannel;
  readonly jobRequests: { recordEnd(jobId: JobId, end: JobEnd, source: string): void };
  readonly jobView: { recordOpen(jobId: JobId, revision: Revision): void };
  readonly dispatcher: { onJobCancelled(jobId: JobId): void };
}

/** Records acceptances and ends of jobs at this node, and notifies its peers of them. */
export class JobAnnouncements {
  constructor(private readonly context: JobAnnouncementsContext) {}

  /**
   * A user is about to be told that the job is accepted. The key-value store may fail before any watch shows the
   * job, and this process may end, so the peers are notified first.
   */
  announceAcceptance(jobId: JobId, revision: Revision): void {
    const { jobView, peers } = this.context;
    jobView.recordOpen(jobId, revision);
    peers.broadcast({ kind: 'jobAccepted', jobId, revision });
  }

  /** Records an end like `recordEnd`, and notifies all peers, so that any of them can answer the job's user. */
  announceEnd(jobId: JobId, record: FinalRecord): void {
    const { peers } = this.context;
    this.recordEnd(jobId, record);
    notifyOfEnd(peers, peers.names, jobId, record);
  }

  /** This node has committed or read the job's final record. The tasks of a cancelled job are stopped. */
  recordEnd(jobId: JobId, record: FinalRecord): void {
    const { dispatcher, jobRequests, self } = this.context;
    jobRequests.recordEnd(jobId, record, self.name);
    if (record.status === 'cancelled') dispatcher.onJobCancelled(jobId);
  }
}
