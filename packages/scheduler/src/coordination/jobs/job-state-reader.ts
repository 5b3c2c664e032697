/** Reads the state of a job for its users, from the key-value store or from the confirmed watch cache. */
import { POLL_CONFIRM_MS } from '../../constants.ts';
import type { Precondition, Revision } from '../../protocol/key-value.ts';
import {
  encodeView,
  type JobSpec,
  type FinalStatus,
  type JobView,
  type UserAnswer,
  userAnswers,
} from '../../protocol/users.ts';
import type { KeyValueStore } from '../../storage/key-value-store.ts';
import { decodeJob, decodeOpenJob } from '../../storage/record-codec.ts';
import { jobKey, openJobKey } from '../../storage/records.ts';
import type { WatchCache } from '../../storage/watch-cache.ts';
import type { FinalRecord } from './final-record-reader.ts';
import type { FinishedJobs } from './finished-jobs.ts';

/** A job's state in the key-value store: open, with the open record's version as a precondition, or final. */
export type JobState =
  | { readonly status: 'open'; readonly tasks: number; readonly precondition: Precondition }
  | { readonly status: FinalStatus; readonly tasks: number };

/** A job's progress, as this node knows it from the records and from shard status messages. */
export interface JobProgress {
  /** Tasks that are not settled in the records. */
  readonly unsettled: number;
  /** Tasks that are on machines, by the last status message of each shard. */
  readonly running: number;
}

/** What this node knows of open jobs without a read of the key-value store. */
export interface OpenJobLookup {
  /** The job's specification in the watch cache; null if the cache has no open job of this id. */
  readonly openSpec: (jobId: string) => JobSpec | null;
  /** The progress of an open job. */
  readonly progress: (jobId: string) => JobProgress;
}

interface JobStateReaderContext extends OpenJobLookup {
  readonly store: KeyValueStore;
  readonly watchCache: WatchCache;
  readonly finishedJobs: FinishedJobs;
  /** Called with the version of each open record that has been read. */
  readonly onOpenRead: (jobId: string, version: Revision) => void;
  /** Called with a final record that has been read for a user and that this node did not know. */
  readonly onEndLearned: (jobId: string, record: FinalRecord) => void;
}

/** The successful answer to a request about a job, with the job's view as its body. */
export function viewAnswer(view: JobView): UserAnswer {
  return { status: 200, body: encodeView(view) };
}

/**
 * Reads the state of a job. A job is reported as unfinished only after a read made for the request, or by the
 * watch cache after the store has answered a watch that this node sent after it had received the request.
 */
export class JobStateReader {
  constructor(private readonly context: JobStateReaderContext) {}

  /** Answers a poll. Throws `RequestRejected` or `NoAnswer` if the key-value store cannot be read. */
  async status(jobId: string): Promise<UserAnswer> {
    const { watchCache, openSpec } = this.context;
    // With a confirmed cache, a poll for an open job (most polls) needs no read, any other poll only one.
    const confirmed = await watchCache.confirmWithin(POLL_CONFIRM_MS);
    const spec = confirmed ? openSpec(jobId) : null;
    if (spec) return viewAnswer(this.openView(jobId, spec.tasks));
    const state = await (confirmed ? this.readFinished(jobId) : this.read(jobId));
    return state ? this.answer(jobId, state) : userAnswers.notFound;
  }

  /**
   * The job's state in the key-value store; null if the job had not been accepted when this read began. The
   * order of the two reads matters: one transaction deletes the open record and writes the final record. So
   * a job that has no open record, and after that no final record, was not accepted.
   */
  async read(jobId: string): Promise<JobState | null> {
    const entry = await this.context.store.get(openJobKey(jobId), 'user');
    if (!entry) return this.readFinished(jobId);
    this.context.onOpenRead(jobId, entry.version);
    const { spec } = decodeOpenJob(entry.value);
    return { status: 'open', tasks: spec.tasks, precondition: { key: entry.key, version: entry.version } };
  }

  /** The job's final record; null if there is none. Does not delay the requests of users. */
  async readFinalRecord(jobId: string): Promise<FinalRecord | null> {
    const entry = await this.context.store.get(jobKey(jobId), 'background');
    return entry && { ...decodeJob(entry.value), revision: entry.version };
  }

  private async readFinished(jobId: string): Promise<JobState | null> {
    const entry = await this.context.store.get(jobKey(jobId), 'user');
    if (!entry) return null;
    const record = { ...decodeJob(entry.value), revision: entry.version };
    // Usually the transaction that ended the job got no answer, so that its sender notified no peers.
    if (!this.context.finishedJobs.has(jobId)) this.context.onEndLearned(jobId, record);
    return record;
  }

  /** The answer to a request about a job in this state. */
  answer(jobId: string, state: JobState): UserAnswer {
    if (state.status === 'open') return viewAnswer(this.openView(jobId, state.tasks));
    const done = state.status === 'done' ? state.tasks : 0;
    return viewAnswer({ id: jobId, status: state.status, done, running: 0 });
  }

  /** The view of an open job. Its status is `running` if at least one of its tasks is on a machine. */
  openView(jobId: string, tasks: number): JobView {
    const { unsettled, running } = this.context.progress(jobId);
    // Records and status messages both lag behind the machines, and may disagree. A task that the status
    // messages count as running does not count as done, whatever the records say.
    const done = Math.max(0, tasks - Math.max(unsettled, running));
    return { id: jobId, status: running > 0 ? 'running' : 'queued', done, running };
  }
}
