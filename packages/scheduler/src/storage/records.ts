import { SLICE_RECORD_OVERHEAD_BYTES } from '../constants.ts';
import type { JobSpec } from '../protocol/users.ts';

/**
 * The records kept in the state service. All under `live/` is followed by every node; `job/` is read
 * one by one, so that the finished jobs, which are kept for ever, cost nobody anything.
 */
export const LIVE_PREFIX = 'live/';

export interface NodeRecord {
  incarnation: string;
  /** Parts whose machines this node cannot reach. */
  unreachable: string[];
  /** Parts that their owners cannot reach, and a machine of which has answered this node. */
  reachable: string[];
}
/** A node's process that leads a shard. */
export interface LeaderIdentity {
  leader: string;
  incarnation: string;
}
export interface LeadershipRecord extends LeaderIdentity {
  fencingToken: number;
  /** Of the parts among which it is one; a machine is in another part by another layout. */
  shardMapVersion: string;
}
export interface MachineRecord {
  endpoint: string;
  type: string;
  zone: string;
  spot: boolean;
}
/** Machines of a part that may hold a task, by name. Many in one record: the state service limits changes. */
export interface MachinesRecord {
  machines: Record<string, MachineRecord>;
}
/** The tasks `from` to `from + count` of a job, given to a part. A slice is named `part/job/index`. */
export interface SliceRange {
  shard: string;
  from: number;
  count: number;
}
/** A job that is not over, with what each part was given of it. Written once, when it is accepted. */
export interface OpenJobRecord {
  spec: JobSpec;
  /** Time of day of the submission, milliseconds; orders the waits. */
  at: number;
  slices: SliceRange[];
}
/** Which tasks of a part's slices are settled, by the slice's name. Tasks only ever join these sets. */
export interface ProgressRecord {
  settled: Record<string, string>;
}
export interface QuotaAmounts {
  cores: number;
  accelerators: number;
}
/** How a team's limit is split over the parts. */
export interface QuotaRecord {
  shares: Record<string, QuotaAmounts>;
}
/** How a job ended, kept for ever. Written when its open record is removed, by the same transaction. */
export interface JobRecord {
  status: 'done' | 'cancelled';
  tasks: number;
}

export const nodeKey = (name: string): string => `${LIVE_PREFIX}node/${name}`;
export const leadershipKey = (shard: string): string => `${LIVE_PREFIX}part/${shard}`;
export const machinesPrefix = (shard: string): string => `${LIVE_PREFIX}machines/${shard}/`;
export const progressPrefix = (shard: string): string => `${LIVE_PREFIX}progress/${shard}/`;
export const openJobKey = (id: string): string => `${LIVE_PREFIX}job/${id}`;
export const sliceName = (shard: string, job: string, index: number): string =>
  `${shard}/${job}/${String(index)}`;
export const quotaKey = (team: string): string => `${LIVE_PREFIX}quota/${team}`;
export const jobKey = (id: string): string => `job/${id}`;

export type LiveRecord =
  | { kind: 'node'; name: string; record: NodeRecord | null }
  | { kind: 'leadership'; shard: string; record: LeadershipRecord | null }
  | { kind: 'machines'; shard: string; key: string; record: MachinesRecord | null }
  | { kind: 'progress'; shard: string; key: string; record: ProgressRecord | null }
  | { kind: 'job'; id: string; record: OpenJobRecord | null }
  | { kind: 'quota'; team: string; record: QuotaRecord | null };

/** The most tasks one slice may hold for its record to stay under the value limit: six bits a character. */
export function sliceCapacity(valueKb: number): number {
  const room = Math.max(valueKb * 1024 - SLICE_RECORD_OVERHEAD_BYTES, 512);
  return Math.floor(room * 6) - 8;
}
