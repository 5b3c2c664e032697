/** Jobs whose open records have been deleted while this process watched them. */
import { DELETED_JOBS_REMEMBERED } from '../constants.ts';
import type { Revision } from '../protocol/key-value.ts';
import type { JobId } from '../protocol/users.ts';

/**
 * For each of these jobs, a revision after which it ended. The watch shows that an open record is deleted, but
 * not the final record that replaces it. The oldest entries are evicted first.
 */
export class DeletedJobs {
  private readonly revisions = new Map<JobId, Revision>();

  /** The job's open record has been deleted later than the revision. */
  add(id: JobId, revision: Revision): void {
    this.revisions.set(id, revision);
    if (this.revisions.size <= DELETED_JOBS_REMEMBERED) return;
    const [oldest] = this.revisions.keys();
    if (oldest !== undefined) this.revisions.delete(oldest);
  }

  /** A revision after which the job ended; 0 if this process has not seen its open record deleted. */
  endedAfter(id: JobId): Revision {
    return this.revisions.get(id) ?? 0;
  }
}
