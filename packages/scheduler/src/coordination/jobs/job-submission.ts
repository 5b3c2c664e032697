/** Submission of a job: validates it, assigns its tasks to shards, writes its open record. */
import type { MachineType } from '../../protocol/cloud.ts';
import type { CompareAndSwapResult, Revision } from '../../protocol/key-value.ts';
import { encodeState, type JobSpec, type UserAnswer, userAnswers } from '../../protocol/users.ts';
import type { Settings } from '../../settings.ts';
import type { KeyValueStore } from '../../storage/key-value-store.ts';
import { encodeOpenJob } from '../../storage/record-codec.ts';
import { jobKey, openJobKey } from '../../storage/records.ts';
import { NoAnswer } from '../../transport/http-client.ts';
import type { Random } from '../../transport/random.ts';
import type { ShardMap } from '../leadership/shard-map.ts';
import type { ShardLoads } from '../scheduling/shard-loads.ts';
import type { JobState, JobStateReader } from './job-state-reader.ts';
import { allowedZones, rejectionReason } from './job-validation.ts';
import { assignToShards } from './shard-assignment.ts';

interface JobSubmissionContext {
  readonly settings: Settings;
  /** Time of day, milliseconds. */
  readonly wallClock: () => number;
  readonly random: Random;
  readonly store: KeyValueStore;
  readonly shardLoads: ShardLoads;
  readonly shardMap: ShardMap;
  /** The cloud's machine types; null until they have been read. */
  readonly catalog: () => readonly MachineType[] | null;
  readonly stateReader: JobStateReader;
  /** Called before a user is told that the job is accepted; it was open at the revision. */
  readonly onAccepted: (jobId: string, revision: Revision) => void;
}

/**
 * Accepts jobs. A submission is idempotent: a repeated submission is answered with the state of its job.
 */
export class JobSubmission {
  constructor(private readonly context: JobSubmissionContext) {}

  /**
   * Accepts the job, rejects it with a reason, or answers that nothing can be decided now. Throws
   * `RequestRejected` or `NoAnswer` if the key-value store cannot be reached.
   */
  async submit(spec: JobSpec): Promise<UserAnswer> {
    const { settings, stateReader } = this.context;
    const catalog = this.context.catalog();
    const zones = allowedZones(spec, catalog ?? [], settings.zones);
    const rejection = catalog ? rejectionReason(spec, zones, settings.teams) : null;
    if (!catalog || rejection !== null) {
      // A job that was accepted before stays accepted, even if the current catalog would reject it.
      const existing = await stateReader.read(spec.id);
      if (existing) return this.answerExisting(spec.id, existing);
      return rejection === null ? userAnswers.undecided : { status: 422, body: { error: rejection } };
    }
    try {
      const result = await this.writeOpenRecord(spec, zones);
      if (result.kind === 'committed') {
        this.context.onAccepted(spec.id, result.revision);
        return { status: 201, body: encodeState(spec.id, 'queued') };
      }
    } catch (error: unknown) {
      // It is unknown whether the write was committed, so the answer depends on the read below.
      if (!(error instanceof NoAnswer)) throw error;
    }
    const existing = await stateReader.read(spec.id);
    return existing ? this.answerExisting(spec.id, existing) : userAnswers.undecided;
  }

  /** The answer to the submission of a job that was accepted before, by this node or another. */
  private answerExisting(jobId: string, state: JobState): UserAnswer {
    const { onAccepted, stateReader } = this.context;
    if (state.status === 'open') onAccepted(jobId, state.precondition.version);
    return stateReader.answer(jobId, state);
  }

  private writeOpenRecord(spec: JobSpec, zones: ReadonlySet<string>): Promise<CompareAndSwapResult> {
    const { settings, store, wallClock } = this.context;
    const key = openJobKey(spec.id);
    const submittedAt = wallClock();
    const slices = assignToShards(spec, zones, { ...this.context, valueKb: settings.valueKb });
    // The job must have neither an open nor a final record, so that a late repetition is not accepted again.
    const preconditions = [key, jobKey(spec.id)].map((absent) => ({ key: absent, version: 0 }));
    const value = encodeOpenJob({ spec, at: submittedAt, slices });
    return store.compareAndSwap(preconditions, [{ op: 'put', key, value }], 'user');
  }
}
