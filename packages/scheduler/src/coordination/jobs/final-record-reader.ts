/**
 * Reads the final records of jobs whose end no controller has reported to its peers: docs/design.md, "User
 * requests".
 */
import { FINAL_RECORD_GRACE_MS, FINAL_RECORD_READS, FINAL_RECORDS_MISSING_MAX } from '../../constants.ts';
import type { Revision } from '../../protocol/key-value.ts';
import type { Clock } from '../../transport/clock.ts';
import type { Log } from '../../transport/log.ts';
import type { JobEnd } from './finished-jobs.ts';

/** How a job ended, and the revision of its final record. */
export interface FinalRecord extends JobEnd {
  readonly revision: Revision;
}

interface FinalRecordReaderContext {
  readonly clock: Clock;
  readonly log: Log;
  /** Whether this node knows the job's final status. */
  readonly isFinished: (jobId: string) => boolean;
  /** Reads the job's final record; null if there is none. Rejects if the key-value store cannot be read. */
  readonly read: (jobId: string) => Promise<FinalRecord | null>;
  /** Called with each final record that has been read. */
  readonly onRead: (jobId: string, record: FinalRecord) => void;
}

/**
 * The watch shows that a job's open record is deleted, but not how the job ended. The controller that ends a
 * job notifies its peers. If its transaction got no answer, or its notice is lost, no controller knows the end,
 * and none could tell it in an outage. So each controller reads the final record of such a job soon after the
 * deletion.
 */
export class FinalRecordReader {
  /** When the open record of each job with an unknown end was deleted; the oldest first. */
  private readonly deletedAt = new Map<string, number>();

  constructor(private readonly context: FinalRecordReaderContext) {}

  /** The job's open record has been deleted. Beyond `FINAL_RECORDS_MISSING_MAX` jobs the oldest are dropped. */
  onDeleted(jobId: string): void {
    this.deletedAt.set(jobId, this.context.clock.now());
    if (this.deletedAt.size <= FINAL_RECORDS_MISSING_MAX) return;
    const [oldest] = this.deletedAt.keys();
    if (oldest !== undefined) this.deletedAt.delete(oldest);
  }

  /** Reads the final records that are due, a few at a time. A read that fails is repeated in the next turn. */
  async readMissing(): Promise<void> {
    await Promise.all(this.due().map((jobId) => this.read(jobId)));
  }

  /** The jobs whose end is still unknown a while after the deletion, `FINAL_RECORD_READS` at most. */
  private due(): string[] {
    const { clock, isFinished } = this.context;
    const due: string[] = [];
    for (const [jobId, deletedAt] of this.deletedAt) {
      if (due.length >= FINAL_RECORD_READS) break;
      if (clock.now() - deletedAt < FINAL_RECORD_GRACE_MS) break;
      if (isFinished(jobId)) this.deletedAt.delete(jobId);
      else due.push(jobId);
    }
    return due;
  }

  private async read(jobId: string): Promise<void> {
    const { log, onRead, read } = this.context;
    try {
      const record = await read(jobId);
      this.deletedAt.delete(jobId);
      if (!record) return;
      onRead(jobId, record);
      log.debug({ job: jobId, status: record.status }, 'final record read: no controller reported the end');
    } catch (error: unknown) {
      log.debug({ job: jobId, err: String(error) }, 'final record not read; retrying');
    }
  }
}
