/**
 * Messages between controllers; their form on the wire is in `peer-message-codec.ts`.
 *
 * No message carries a right: all of it is advice, forwarded requests, or what a former leader knows. So a
 * message that is lost, late or repeated does no harm.
 */
import type { Revision } from './key-value.ts';
import type { JobId } from './users.ts';
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
  /** Those of them without a task. */
  idle: number;
  /**
   * Free capacity of the roomiest; left out where a machine is idle or tasks of the shard wait for capacity.
   */
  freeCapacity?: FreeCapacity[] | undefined;
}

/** The load of a shard's machines. */
export interface LoadSummary {
  /** Booked and pending load, averaged over the shard's machines; 1 is a machine's worth. */
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
  /** The sender's; a status with a lower one than the receiver has seen comes from a former leader. */
  fencingToken: FencingToken;
  /** Machines without a task; above 0 is the idle flag of Horus (PAPER). */
  idleMachines: number;
  /** CPU cores of the machines that are booting. */
  bootingCores: number;
  /** Tasks on machines, by job, for display. */
  runningTasks: Record<JobId, number>;
  /**
   * Machines that may take tasks, by type and market (`machinePoolKey`); none from a peer of an older
   * version.
   */
  pools: Record<string, MachinePool>;
  /** Jobs that fail wherever they run, as the leader has found out. */
  failingJobs: JobId[];
  /** What the shard lacks of each team's quota, by team. */
  quotaDemand: Record<string, { cores: number; accelerators: number }>;
}

/**
 * From a former leader to its direct successor: the tasks that certainly run nowhere, so may start at once.
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

/** Jobs whose cancellation is committed. A cancellation is final, so this holds whenever it arrives. */
export interface JobsCancelled {
  kind: 'jobsCancelled';
  jobIds: JobId[];
}

/** Asks for the receiver's observation of these jobs, for a unanimous read. */
export interface ObservationRequest {
  kind: 'observationRequest';
  /** Contains the sender's incarnation: a reply to its former process may arrive once the next one is up. */
  requestId: string;
  jobIds: JobId[];
}

/** The reply to an `ObservationRequest`; each of its jobs is in one of the three lists. */
export interface ObservationReply {
  kind: 'observationReply';
  /** That of the request. */
  requestId: string;
  /** Jobs that the sender has as open, with the versions of their open records. */
  open: [job: JobId, version: Revision][];
  /** Jobs that are over as far as the sender knows, or of which it can say nothing. */
  over: JobId[];
  /** Jobs of which its watch cache has no open record, with the revision of the cache. */
  none: [job: JobId, asOf: Revision][];
}

/** What a user may request for a job. */
export type UserOperation = 'submit' | 'status' | 'cancel';

/** A user's request, forwarded to a peer that may reach the key-value store. */
export interface ForwardedRequest {
  kind: 'forwardedRequest';
  /** Returned in the reply. */
  requestId: string;
  operation: UserOperation;
  /** JSON: the submitted job, or what identifies it. */
  body: string;
}

/** The reply to a `ForwardedRequest`. */
export interface ForwardedReply {
  kind: 'forwardedReply';
  /** That of the request. */
  requestId: string;
  /** HTTP status for the user; 0 if the peer could not decide either. */
  status: number;
  /** JSON: the body of the answer for the user. */
  body: string;
}

/** Any message between controllers. */
export type PeerMessage =
  | ShardStatus
  | Handover
  | Keepalive
  | JobsCancelled
  | ObservationRequest
  | ObservationReply
  | ForwardedRequest
  | ForwardedReply;
