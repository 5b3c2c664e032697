/** Cancellation of a job at its user's request. */
import { CANCEL_ATTEMPTS } from '../../constants.ts';
import type { CompareAndSwapResult, Precondition } from '../../protocol/key-value.ts';
import { encodeState, type UserAnswer, userAnswers } from '../../protocol/users.ts';
import type { KeyValueStore } from '../../storage/key-value-store.ts';
import { encodeJob } from '../../storage/record-codec.ts';
import { jobKey } from '../../storage/records.ts';
import type { FinalRecord } from './final-record-reader.ts';
import type { JobStateReader } from './job-state-reader.ts';

interface JobCancellationContext {
  readonly store: KeyValueStore;
  readonly stateReader: JobStateReader;
  /** Called when this node has committed the job's cancellation. */
  readonly onCancelled: (jobId: string, record: FinalRecord) => void;
}

/** Cancels jobs. Idempotent: a repeated cancellation is answered with the job's final status. */
export class JobCancellation {
  constructor(private readonly context: JobCancellationContext) {}

  /**
   * Cancels the job unless it has finished. Throws `RequestRejected` or `NoAnswer` if the key-value store
   * cannot be reached.
   */
  async cancel(jobId: string): Promise<UserAnswer> {
    const { onCancelled, stateReader } = this.context;
    for (let attempt = 0; attempt < CANCEL_ATTEMPTS; attempt++) {
      const state = await stateReader.read(jobId);
      if (!state) return userAnswers.notFound;
      if (state.status !== 'open') return { status: 200, body: encodeState(jobId, state.status) };
      const result = await this.writeCancellation(jobId, state.tasks, state.precondition);
      if (result.kind !== 'committed') continue; // the job was completed, cancelled or migrated meanwhile
      onCancelled(jobId, { status: 'cancelled', revision: result.revision, tasks: state.tasks });
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
