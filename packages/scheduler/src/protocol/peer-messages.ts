/**
 * Messages between controllers; their form on the wire is in `peer-message-codec.ts`.
 *
 * No message grants a permission. Messages only give hints, forward requests, or pass on what a former leader
 * knows. So a message that is lost, late or repeated does no harm.
 */
import type { Revision } from './key-value.ts';
import type { FinalStatus, JobId } from './users.ts';
import type { FencingToken } from './workers.ts';

/** A shard's name: its zone and its number in the zone. */
export type ShardId = string;

/** CPU cores, accelerators and memory (in gigabytes) that a machine has free. */
export interface FreeCapacity {
  cores: number;
  accelerators: number;
  ramGb: number;
}

/** Machines of one type and market (on demand or spot) in a shard, as its leader reports them. */
export interface MachinePool {
  /** Machines that may take tasks. */
  schedulable: number;
  /** Schedulable machines without a task. */
  idle: number;
  /**
   * Free capacity of the machines that have the most free cores. Omitted if a machine of the pool is idle, or
   * if tasks of the shard wait for capacity.
   */
  freeCapacity?: FreeCapacity[] | undefined;
}

/** The load of a shard's machines. */
export interface LoadSummary {
  /** Booked and pending load, averaged over the shard's machines; 1 is the load of a full machine. */
  averageLoad: number;
  /** Machines that may take tasks. */
  schedulableMachines: number;
  /** CPU cores of the machines that may take tasks. */
  schedulableCores: number;
}

/** Status of a shard, from its leader to all peers. */
export interface ShardStatus extends LoadSummary {
  kind: 'shardStatus';
  shard: ShardId;
  /** The sender's fencing token. A lower one than the receiver has seen comes from a former leader. */
  fencingToken: FencingToken;
  /** Machines without a task. A number above 0 stands for the idle flag of Horus (PAPER). */
  idleMachines: number;
  /** CPU cores of the machines that are booting. */
  bootingCores: number;
  /** Number of tasks on machines, by job, for display. */
  runningTasks: Record<JobId, number>;
  /**
   * Machines that may take tasks, by type and market (`machinePoolKey`). Empty in a message from a peer of an
   * older version.
   */
  pools: Record<string, MachinePool>;
  /** Jobs that the leader has found to fail on every machine. */
  failingJobs: JobId[];
  /** By team: how much more of the team's quota the shard needs. */
  quotaDemand: Record<string, { cores: number; accelerators: number }>;
}

/**
 * From a former leader to its direct successor: the tasks that certainly run on no machine, so that they may
 * start at once.
 */
export interface Handover {
  kind: 'handover';
  shard: ShardId;
  /** Fencing token of the successor. */
  fencingToken: FencingToken;
  /** Positions of the tasks as an encoded `TaskSet`, by slice name. */
  notRunning: Record<string, string>;
}

/** The sender is alive, and has nothing else to report. */
export interface Keepalive {
  kind: 'keepalive';
}

/** Jobs whose cancellation is committed. A cancellation is final, so a late message is still true. */
export interface JobsCancelled {
  kind: 'jobsCancelled';
  jobIds: JobId[];
  /** Revision of the final records; null from a peer of an older version. */
  revision: Revision | null;
}

/** A job whose completion is committed. A completion is final, so a late message is still true. */
export interface JobDone {
  kind: 'jobDone';
  jobId: JobId;
  /** Revision of the final record. */
  revision: Revision;
  /** Number of tasks of the job. */
  tasks: number;
}

/**
 * A job whose acceptance the sender has committed or read. It was open at the revision, whatever has happened
 * since, so a late message is still true.
 */
export interface JobAccepted {
  kind: 'jobAccepted';
  jobId: JobId;
  /** A version of the open record. */
  revision: Revision;
}

/** Asks for the receiver's observation of these jobs, for a unanimous read. */
export interface ObservationRequest {
  kind: 'observationRequest';
  /** Contains the sender's incarnation, as a reply to its previous process may arrive after a restart. */
  requestId: string;
  jobIds: JobId[];
}

/** An end that the sender knows. */
export interface KnownEnd {
  jobId: JobId;
  status: FinalStatus;
  /** Revision of the final record; null if it is not known. */
  revision: Revision | null;
  /** Number of tasks of the job; 0 if it is not known. */
  tasks: number;
}

/**
 * The sender has had read leases of a peer node without a gap: no process of the node before this one has
 * reported, without a majority, an end that is later than the revision and that the sender does not know.
 */
export interface ReadLease {
  node: string;
  /** The node's process that replied last. */
  incarnation: string;
  fromRevision: Revision;
}

/** The reply to an `ObservationRequest`; each of its jobs is in `open`, `over` or `none`. */
export interface ObservationReply {
  kind: 'observationReply';
  /** The id of the request. */
  requestId: string;
  /** Jobs that the sender observes as open, with the versions of their open records. */
  open: [job: JobId, version: Revision][];
  /** Jobs that the sender knows to have finished, or about which it can say nothing. */
  over: JobId[];
  /** Jobs without an open record in the sender's watch cache, with the revision of the cache. */
  none: [job: JobId, asOf: Revision][];
  /**
   * Jobs in `over` whose ends the sender does not know, as it has not read its watch cache yet. Empty in a
   * reply of an older version.
   */
  unread: JobId[];
  /**
   * Jobs in `open` or `none` that the sender knows to have been open, each with a revision that its end is
   * later than.
   */
  endedAfter: [job: JobId, revision: Revision][];
  /**
   * Ends that the sender's node may have reported to users, and that the sender does not remember, have at
   * most this revision. Null from a peer of an older version.
   */
  forgottenEndsUpTo: Revision | null;
  /** The sender's process; null from a peer of an older version. */
  incarnation: string | null;
  /** Whether the reply grants a read lease: `ends` is complete. */
  grantsReadLease: boolean;
  /** Ends that the sender knows, and that neither the receiver nor a majority is known to know. */
  ends: KnownEnd[];
  /** The sender's unbroken read leases of peers. */
  readLeases: ReadLease[];
}

/** An operation that a user may request for a job. */
export type UserOperation = 'submit' | 'status' | 'cancel';

/** A user's request, forwarded to a peer that may reach the key-value store. */
export interface ForwardedRequest {
  kind: 'forwardedRequest';
  /** The reply contains the same id. */
  requestId: string;
  operation: UserOperation;
  /** JSON: the specification of a submitted job, otherwise the job's id. */
  body: string;
}

/** The reply to a `ForwardedRequest`. */
export interface ForwardedReply {
  kind: 'forwardedReply';
  /** The id of the request. */
  requestId: string;
  /** HTTP status of the answer for the user; 0 if the peer has no answer either. */
  status: number;
  /** JSON: the body of the answer for the user. Empty if the status is 0. */
  body: string;
}

/** Any message between controllers. */
export type PeerMessage =
  | ShardStatus
  | Handover
  | Keepalive
  | JobsCancelled
  | JobDone
  | JobAccepted
  | ObservationRequest
  | ObservationReply
  | ForwardedRequest
  | ForwardedReply;
