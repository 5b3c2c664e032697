/** Cancellation of a job at its user's request. */
import { CANCEL_ATTEMPTS } from '../../constants.ts';
import type { CompareAndSwapResult, Precondition, Revision } from '../../protocol/key-value.ts';
import { encodeState, type UserAnswer, userAnswers } from '../../protocol/users.ts';
import type { KeyValueStore } from '../../storage/key-value-store.ts';
import { encodeJob } from '../../storage/record-codec.ts';
import { jobKey } from '../../storage/records.ts';
import type { FinishedJobs } from './finished-jobs.ts';
import type { JobStateReader } from './job-state-reader.ts';

interface JobCancellationContext {
  readonly store: KeyValueStore;
  readonly finishedJobs: FinishedJobs;
  readonly stateReader: JobStateReader;
  /**
   * Called when this node has committed the job's cancellation, or has found the job already cancelled while
   * it executed a user's cancellation. `revision` is that of the final record.
   */
  readonly onCancelled: (jobId: string, revision: Revision | null) => void;
}

/** Cancels jobs. Idempotent: a repeated cancellation is answered with the job's final status. */
export class JobCancellation {
  constructor(private readonly context: JobCancellationContext) {}

  /**
   * Cancels the job unless it has finished. Throws `RequestRejected` or `NoAnswer` if the key-value store
   * cannot be reached.
   */
  async cancel(jobId: string): Promise<UserAnswer> {
    const { finishedJobs, onCancelled, stateReader } = this.context;
    for (let attempt = 0; attempt < CANCEL_ATTEMPTS; attempt++) {
      const state = await stateReader.read(jobId);
      if (!state) return userAnswers.notFound;
      // Usually the transaction that cancelled the job got no answer, so that its sender notified no peers.
      if (state.status === 'cancelled') onCancelled(jobId, finishedJobs.revision(jobId));
      if (state.status !== 'open') return { status: 200, body: encodeState(jobId, state.status) };
      const result = await this.writeCancellation(jobId, state.tasks, state.precondition);
      if (result.kind !== 'committed') continue; // the job was completed, cancelled or migrated meanwhile
      finishedJobs.add(jobId, 'cancelled', result.revision);
      onCancelled(jobId, result.revision);
      return { status: 200, body: encodeState(jobId, 'cancelled') };
    }
    return userAnswers.undecided;
  }

  /** Replaces the open record, at the version that was read, by the final record. */
  private writeCancellation(
    jobId: string,
    tasks: number,
    openRecord: Precondition,
  ): Promise<CompareAndSwapResult> {
    return this.context.store.compareAndSwap(
      [openRecord],
      [
        { op: 'put', key: jobKey(jobId), value: encodeJob({ status: 'cancelled', tasks }) },
        { op: 'delete', key: openRecord.key },
      ],
      'user',
    );
  }
}
