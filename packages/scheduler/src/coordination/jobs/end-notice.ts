/** Notices of the ends of jobs to peers. */
import type { JobDone, JobsCancelled } from '../../protocol/peer-messages.ts';
import type { JobId } from '../../protocol/users.ts';
import type { PeerChannel } from '../peer-channel.ts';
import type { JobEnd } from './finished-jobs.ts';

/** The notice of a job's end; null for a completion at an unknown revision, which no notice can state. */
function endNotice(jobId: JobId, { status, revision, tasks }: JobEnd): JobsCancelled | JobDone | null {
  if (status === 'cancelled') return { kind: 'jobsCancelled', jobIds: [jobId], revision };
  return revision === null ? null : { kind: 'jobDone', jobId, revision, tasks };
}

/** Notifies these peers of a job's end, which is committed. */
export function notifyOfEnd(peers: PeerChannel, names: readonly string[], jobId: JobId, end: JobEnd): void {
  const notice = endNotice(jobId, end);
  if (!notice) return;
  for (const name of names) peers.send(name, notice);
}
