/**
 * The records in the key-value store, their keys and their purpose.
 *
 * Every controller watches all records under `live/`. Records under `job/` are read one by one, and the latest
 * of them at a start: finished jobs are kept for ever, and cost nothing until a user asks for one.
 * `record-codec.ts` defines the stored form.
 */
import { SLICE_RECORD_OVERHEAD_BYTES } from '../constants.ts';
import type { Revision } from '../protocol/key-value.ts';
import type { ShardId } from '../protocol/peer-messages.ts';
import type { JobId, JobSpec } from '../protocol/users.ts';
import type { FencingToken, MachineId } from '../protocol/workers.ts';

/** Prefix of the keys that every controller watches. */
export const LIVE_PREFIX = 'live/';
/** Prefix of the keys of the records of how jobs ended. */
export const FINAL_PREFIX = 'job/';

/**
 * A running controller. Bound to the controller's lease, so that the store deletes it when the lease expires.
 */
export interface NodeRecord {
  /** Identifies this start of the controller; see `LeaderIdentity`. */
  incarnation: string;
  /** Shards whose machines this controller cannot reach. */
  unreachable: ShardId[];
  /** Shards that their leaders cannot reach but of which a machine has answered this controller. */
  reachable: ShardId[];
  /**
   * The revision of this controller's watch cache. Only while a peer is silent: the record then acknowledges
   * the ends up to this revision in place of messages (docs/design.md, "Reported ends").
   */
  seenRevision?: Revision;
}

/** The process that leads a shard: a controller and one of its starts. */
export interface LeaderIdentity {
  /** Name of the controller. */
  leader: string;
  /** Random text generated at each start of a controller. */
  incarnation: string;
}

/** The leader of a shard. Changed only by compare-and-swap, with a higher fencing token each time. */
export interface LeadershipRecord extends LeaderIdentity {
  /** The last fencing token of the leadership. */
  fencingToken: FencingToken;
  /** How many fencing tokens, up to `fencingToken`, belong to the leadership. */
  fencingTokenCount: number;
  /** Version of the shard map that the shard belongs to. Another map assigns its machines to other shards. */
  shardMapVersion: string;
}

/** What a later leader must know of a machine to call it and to decide which tasks fit on it. */
export interface MachineRecord {
  /** Host and port of the worker. */
  endpoint: string;
  /** Name of its machine type. */
  type: string;
  zone: string;
  spot: boolean;
}

/**
 * Machines of a shard that may run tasks. One record holds many, as the store limits the number of writes.
 */
export interface MachinesRecord {
  machines: Record<MachineId, MachineRecord>;
}

/**
 * The tasks `from` to `from + count` (exclusive) of a job, assigned to a shard. `sliceName` gives its name.
 */
export interface SliceRange {
  shard: ShardId;
  /** Index in the job of the first task. */
  from: number;
  /** Number of tasks. */
  count: number;
}

/**
 * A job that is not finished, with its slices. Written when the job is accepted and when pending tasks
 * migrate.
 */
export interface OpenJobRecord {
  spec: JobSpec;
  /** Time of day of the submission, in milliseconds; the order of pending jobs depends on it. */
  at: number;
  slices: SliceRange[];
}

/**
 * Settled tasks of a shard's slices, as encoded `TaskSet`s by slice name. Tasks are never removed from a set.
 */
export interface ProgressRecord {
  settled: Record<string, string>;
}

/** CPU cores and accelerators of a quota. */
export interface QuotaAmounts {
  cores: number;
  accelerators: number;
}

/** How a team's quota is divided among the shards. */
export interface QuotaRecord {
  shares: Record<ShardId, QuotaAmounts>;
}

/** How a job ended. Kept for ever. Written by the transaction that deletes the job's open record. */
export interface JobRecord {
  status: 'done' | 'cancelled';
  /** Number of the job's tasks. */
  tasks: number;
}

/** Key of a controller's record. */
export const nodeKey = (name: string): string => `${LIVE_PREFIX}node/${name}`;
/** Key of a shard's leadership record. */
export const leadershipKey = (shard: ShardId): string => `${LIVE_PREFIX}part/${shard}`;
/** Prefix of the keys of a shard's pages of machines. */
export const machinesPrefix = (shard: ShardId): string => `${LIVE_PREFIX}machines/${shard}/`;
/** Prefix of the keys of a shard's pages of progress. */
export const progressPrefix = (shard: ShardId): string => `${LIVE_PREFIX}progress/${shard}/`;
/** Key of the record of a job that is not finished. */
export const openJobKey = (id: JobId): string => `${LIVE_PREFIX}job/${id}`;
/**
 * Name of a job's slice in progress records and in a handover; `index` is its position in the job's record.
 */
export const sliceName = (shard: ShardId, job: JobId, index: number): string =>
  `${shard}/${job}/${String(index)}`;
/** Key of a team's quota. */
export const quotaKey = (team: string): string => `${LIVE_PREFIX}quota/${team}`;
/** Key of the record of how a job ended. */
export const jobKey = (id: JobId): string => `${FINAL_PREFIX}${id}`;

/** A record under `live/` after a change; `record` is null if it is deleted. */
export type LiveRecord =
  | { kind: 'node'; name: string; record: NodeRecord | null }
  | { kind: 'leadership'; shard: ShardId; record: LeadershipRecord | null }
  | { kind: 'machines'; shard: ShardId; key: string; record: MachinesRecord | null }
  | { kind: 'progress'; shard: ShardId; key: string; record: ProgressRecord | null }
  | { kind: 'job'; id: JobId; record: OpenJobRecord | null }
  | { kind: 'quota'; team: string; record: QuotaRecord | null };

/**
 * The maximum number of tasks of a slice whose progress fits into a value of `valueKb` kilobytes. A base64
 * character has six bits, one for each task.
 */
export function sliceCapacity(valueKb: number): number {
  const bytesForTasks = Math.max(valueKb * 1024 - SLICE_RECORD_OVERHEAD_BYTES, 512);
  return Math.floor(bytesForTasks * 6) - 8;
}
