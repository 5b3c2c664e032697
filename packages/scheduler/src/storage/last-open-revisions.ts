/** Revisions at which jobs were open, for jobs that are not open in the watch cache. */
import { LAST_OPEN_REVISIONS_REMEMBERED } from '../constants.ts';
import type { Revision } from '../protocol/key-value.ts';
import type { JobId } from '../protocol/users.ts';

/**
 * For each of these jobs, the latest revision at which it is known to have been open, so that its end, if it
 * has ended, has a later one. The watch cache does not have the job yet, as it was accepted a moment ago, or not
 * any more: the watch shows that an open record is deleted, but not the final record that replaces it. Beyond
 * `LAST_OPEN_REVISIONS_REMEMBERED` jobs, the one that was added least recently is evicted.
 */
export class LastOpenRevisions {
  private readonly revisions = new Map<JobId, Revision>();

  /** The job was open at the revision. */
  add(id: JobId, revision: Revision): void {
    const known = this.endedAfter(id);
    this.revisions.delete(id);
    this.revisions.set(id, known > revision ? known : revision);
    if (this.revisions.size <= LAST_OPEN_REVISIONS_REMEMBERED) return;
    const [oldest] = this.revisions.keys();
    if (oldest !== undefined) this.revisions.delete(oldest);
  }

  /** The job is open in the watch cache, which knows a later revision. */
  delete(id: JobId): void {
    this.revisions.delete(id);
  }

  /** A revision after which the job ended, or will end; 0 if none is known. */
  endedAfter(id: JobId): Revision {
    return this.revisions.get(id) ?? 0;
  }
}
