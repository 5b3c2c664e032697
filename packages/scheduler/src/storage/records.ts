/**
 * The records kept in the key-value store, their keys, and what each is for.
 *
 * Every controller watches all records under `live/`. Those under `job/` are read one by one, so that
 * finished jobs, which are kept for ever, cost nothing until somebody asks for them. The stored form is in
 * `record-codec.ts`.
 */
import { SLICE_RECORD_OVERHEAD_BYTES } from '../constants.ts';
import type { ShardId } from '../protocol/peer-messages.ts';
import type { JobId, JobSpec } from '../protocol/users.ts';
import type { FencingToken, MachineId } from '../protocol/workers.ts';

/** Prefix of the keys that every controller watches. */
export const LIVE_PREFIX = 'live/';

/** A running controller. Bound to the controller's lease, so that it disappears when the controller does. */
export interface NodeRecord {
  /** Tells the controller's starts apart. */
  incarnation: string;
  /** Shards whose machines this controller cannot reach. */
  unreachable: ShardId[];
  /** Shards whose leaders cannot reach them, while one of their machines has answered this controller. */
  reachable: ShardId[];
}

/** The process that leads a shard: a controller, and which of its starts. */
export interface LeaderIdentity {
  /** Name of the controller. */
  leader: string;
  /** Random text drawn at each start of a controller. */
  incarnation: string;
}

/** Who leads a shard. Changed by compare-and-swap only, with a higher fencing token each time. */
export interface LeadershipRecord extends LeaderIdentity {
  fencingToken: FencingToken;
  /** Version of the shard map that the shard belongs to; by another map its machines are in other shards. */
  shardMapVersion: string;
}

/** What a later leader must know of a machine to call it and to judge what fits on it. */
export interface MachineRecord {
  /** Host and port of the worker. */
  endpoint: string;
  /** Name of its machine type. */
  type: string;
  zone: string;
  spot: boolean;
}

/** Machines of a shard that may run tasks. Many in one record, as the store limits the number of writes. */
export interface MachinesRecord {
  machines: Record<MachineId, MachineRecord>;
}

/**
 * The tasks `from` to `from + count` (exclusive) of a job, assigned to a shard. Its name is that of
 * `sliceName`.
 */
export interface SliceRange {
  shard: ShardId;
  /** Index in the job of the first task. */
  from: number;
  /** Number of tasks. */
  count: number;
}

/**
 * A job that is not over, with its slices. Written when the job is accepted, and when pending tasks migrate.
 */
export interface OpenJobRecord {
  spec: JobSpec;
  /** Time of day of the submission, in milliseconds; the order of pending jobs depends on it. */
  at: number;
  slices: SliceRange[];
}

/**
 * Settled tasks of a shard's slices, as encoded `TaskSet`s by slice name. Tasks are only ever added to a set.
 */
export interface ProgressRecord {
  settled: Record<string, string>;
}

/** CPU cores and accelerators of a quota. */
export interface QuotaAmounts {
  cores: number;
  accelerators: number;
}

/** How a team's quota is split over the shards. */
export interface QuotaRecord {
  shares: Record<ShardId, QuotaAmounts>;
}

/** How a job ended, kept for ever. Written by the same transaction that deletes the job's open record. */
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
/** Key of the record of a job that is not over. */
export const openJobKey = (id: JobId): string => `${LIVE_PREFIX}job/${id}`;
/**
 * Name of a job's slice in progress records and in a handover; `index` is its position in the job's record.
 */
export const sliceName = (shard: ShardId, job: JobId, index: number): string =>
  `${shard}/${job}/${String(index)}`;
/** Key of a team's quota. */
export const quotaKey = (team: string): string => `${LIVE_PREFIX}quota/${team}`;
/** Key of how a job ended. */
export const jobKey = (id: JobId): string => `job/${id}`;

/** A record under `live/` as it is after a change; `record` is null for one that is deleted. */
export type LiveRecord =
  | { kind: 'node'; name: string; record: NodeRecord | null }
  | { kind: 'leadership'; shard: ShardId; record: LeadershipRecord | null }
  | { kind: 'machines'; shard: ShardId; key: string; record: MachinesRecord | null }
  | { kind: 'progress'; shard: ShardId; key: string; record: ProgressRecord | null }
  | { kind: 'job'; id: JobId; record: OpenJobRecord | null }
  | { kind: 'quota'; team: string; record: QuotaRecord | null };

/**
 * The most tasks that one slice may have for its progress to fit into a value of `valueKb` kilobytes: base64
 * has six bits, and so six tasks, a character.
 */
export function sliceCapacity(valueKb: number): number {
  const bytesForTasks = Math.max(valueKb * 1024 - SLICE_RECORD_OVERHEAD_BYTES, 512);
  return Math.floor(bytesForTasks * 6) - 8;
}
