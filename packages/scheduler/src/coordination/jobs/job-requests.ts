/**
 * Routing of users' requests: this node executes a request, or forwards it to a peer that reaches the
 * key-value store.
 */
import { STORE_CONTACT_STALE_MS } from '../../constants.ts';
import type { MachineType } from '../../protocol/cloud.ts';
import { RequestRejected, type Revision } from '../../protocol/key-value.ts';
import type { UserOperation } from '../../protocol/peer-messages.ts';
import { encodeState, type JobSpec, reportsEnd, type UserAnswer, userAnswers } from '../../protocol/users.ts';
import type { Settings } from '../../settings.ts';
import type { KeyValueStore } from '../../storage/key-value-store.ts';
import type { WatchCache } from '../../storage/watch-cache.ts';
import type { Clock } from '../../transport/clock.ts';
import { firstNonNull } from '../../transport/first-non-null.ts';
import { NoAnswer } from '../../transport/http-client.ts';
import type { Random } from '../../transport/random.ts';
import type { ShardMap } from '../leadership/shard-map.ts';
import type { ShardLoads } from '../scheduling/shard-loads.ts';
import type { FinalRecord } from './final-record-reader.ts';
import type { FinishedJobs, JobEnd } from './finished-jobs.ts';
import { JobCancellation } from './job-cancellation.ts';
import { JobStateReader, type OpenJobLookup, viewAnswer } from './job-state-reader.ts';
import { JobSubmission } from './job-submission.ts';

/** What the execution of users' requests needs of the node. */
export interface JobRequestsContext extends OpenJobLookup {
  /** The operators' settings. */
  readonly settings: Settings;
  /** Monotonic time, milliseconds. */
  readonly clock: Clock;
  /** Time of day, milliseconds. */
  readonly wallClock: () => number;
  /** Source of random numbers for the choice between shards. */
  readonly random: Random;
  /** The key-value store, within this node's share of its limits. */
  readonly store: KeyValueStore;
  /** This node's copy of the open jobs. */
  readonly watchCache: WatchCache;
  /** The load of every shard, for the assignment of tasks. */
  readonly shardLoads: ShardLoads;
  /** The deployment's shards. */
  readonly shardMap: ShardMap;
  /** The cloud's machine types; null until they have been read. */
  readonly catalog: () => MachineType[] | null;
  /** The ends that this node knows. */
  readonly finishedJobs: FinishedJobs;
  /** Whether the end of a job, which this node knows, may be reported to users; may ask the peers. */
  readonly isReportable: (jobId: string) => Promise<boolean>;
  /** The unanimous read: whether no node, asked after this call began, may have reported the job's end. */
  readonly isUnfinishedForUsers: (jobId: string) => Promise<boolean>;
  /** Called when this node has committed the end of a job, or has read a final record that it did not know. */
  readonly onEndLearned: (jobId: string, record: FinalRecord) => void;
  /** Called when this node has read the job's open record, at this version. */
  readonly onOpenRead: (jobId: string, version: Revision) => void;
  /** Called before a user is told that the job is accepted; it was open at the revision. */
  readonly onAccepted: (jobId: string, revision: Revision) => void;
  /** Forwards a request to the peers, in case one reaches the key-value store; null if no peer answers it. */
  readonly forward: (operation: UserOperation, body: JobSpec | string) => Promise<UserAnswer | null>;
}

/** Whether the key-value store rejected a call or did not answer it. */
function isStoreFailure(error: unknown): boolean {
  return error instanceof RequestRejected || error instanceof NoAnswer;
}

/**
 * Executes users' requests. The body of a submission is the job's specification, that of every other request
 * is the job's id.
 */
export class JobRequests {
  private readonly finishedJobs: FinishedJobs;
  private readonly stateReader: JobStateReader;
  private readonly submission: JobSubmission;
  private readonly cancellation: JobCancellation;

  constructor(private readonly context: JobRequestsContext) {
    const { finishedJobs, onEndLearned, store } = context;
    this.finishedJobs = finishedJobs;
    this.stateReader = new JobStateReader(context);
    const { stateReader } = this;
    this.submission = new JobSubmission({ ...context, stateReader });
    this.cancellation = new JobCancellation({ store, stateReader, onCancelled: onEndLearned });
  }

  /** Accepts or rejects a job. */
  submit(spec: JobSpec): Promise<UserAnswer> {
    return this.route('submit', spec, spec.id);
  }

  /** The job's status and progress. */
  status(jobId: string): Promise<UserAnswer> {
    return this.route('status', jobId, jobId);
  }

  /** Cancels a job unless it has finished. */
  cancel(jobId: string): Promise<UserAnswer> {
    return this.route('cancel', jobId, jobId);
  }

  /**
   * Executes a request that a peer forwarded; null if this node has no answer: it knows no final status of the
   * job that may be reported, and does not reach the key-value store either.
   */
  async handleLocally(operation: UserOperation, body: JobSpec | string): Promise<UserAnswer | null> {
    const jobId = typeof body === 'string' ? body : body.id;
    const known = this.knownAnswer(operation, jobId);
    if (known) return this.reportable(jobId, known);
    try {
      return await this.reportable(jobId, await this.execute(operation, body));
    } catch (error: unknown) {
      if (isStoreFailure(error)) return null;
      throw error;
    }
  }

  /** The job's final record; null if there is none. Rejects if the key-value store cannot be read. */
  readFinalRecord(jobId: string): Promise<FinalRecord | null> {
    return this.stateReader.readFinalRecord(jobId);
  }

  /** Whether this node has the job's final status in its cache. */
  isFinished(jobId: string): boolean {
    return this.finishedJobs.has(jobId);
  }

  /** Ends that this node may have reported to users, and has evicted, have at most this revision. */
  get forgottenEndsUpTo(): Revision {
    return this.finishedJobs.evictedUpTo;
  }

  /** Caches the end of a job. `source`: the peer that told this node, or this node if it knows by itself. */
  recordEnd(jobId: string, end: JobEnd, source: string): void {
    this.finishedJobs.add(jobId, end, source);
  }

  /** The answer to a request for a job whose final status is cached; null for any other job. */
  private knownAnswer(operation: UserOperation, jobId: string): UserAnswer | null {
    const { finishedJobs } = this;
    const status = finishedJobs.end(jobId)?.status;
    if (!status) return null;
    if (operation !== 'status') return { status: 200, body: encodeState(jobId, status) };
    return viewAnswer({ id: jobId, status, done: finishedJobs.doneTasks(jobId), running: 0 });
  }

  /** The answer, or null if it reports an end that must not be reported yet. */
  private async reportable(jobId: string, answer: UserAnswer): Promise<UserAnswer | null> {
    return !reportsEnd(answer) || (await this.context.isReportable(jobId)) ? answer : null;
  }

  private execute(operation: UserOperation, body: JobSpec | string): Promise<UserAnswer> {
    if (typeof body !== 'string') return this.submission.submit(body);
    return operation === 'cancel' ? this.cancellation.cancel(body) : this.stateReader.status(body);
  }

  /**
   * Executes a request unless the job's final status is cached. If this node has lost contact with the
   * key-value store, it asks the peers first. Otherwise it asks them only after the store has rejected or not
   * answered a call of the execution. If no node has an answer, the user is told that nothing can be decided
   * now.
   */
  private async route(operation: UserOperation, body: JobSpec | string, jobId: string): Promise<UserAnswer> {
    const { clock, watchCache, forward } = this.context;
    const known = this.knownAnswer(operation, jobId);
    if (known) return (await this.reportable(jobId, known)) ?? userAnswers.undecided;
    const isStoreContactStale = clock.now() - watchCache.confirmedAt > STORE_CONTACT_STALE_MS;
    if (isStoreContactStale) {
      // Both at the same time, so that a peer that does not respond to one does not delay the other.
      const unanimous = operation === 'cancel' ? [] : [this.viewByUnanimousRead(jobId)];
      const answer = await firstNonNull([forward(operation, body), ...unanimous]);
      if (answer) return answer;
    }
    try {
      const answer = await this.execute(operation, body);
      return (await this.reportable(jobId, answer)) ?? userAnswers.undecided;
    } catch (error: unknown) {
      if (!isStoreFailure(error)) throw error;
      const answer = isStoreContactStale ? null : await forward(operation, body);
      return answer ?? userAnswers.undecided;
    }
  }

  /** The view of an open job if no node may have reported the job's end, else null. Does not read the store. */
  private async viewByUnanimousRead(jobId: string): Promise<UserAnswer | null> {
    if (!(await this.context.isUnfinishedForUsers(jobId))) return null;
    const tasks = this.context.openSpec(jobId)?.tasks ?? 0;
    return viewAnswer(this.stateReader.openView(jobId, tasks));
  }
}
