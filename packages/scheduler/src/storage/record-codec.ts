/**
 * Encodes and decodes stored records. Only this module knows both the stored field names and those of the
 * code.
 *
 * Records outlive the program that wrote them, and two versions run concurrently during a rolling restart.
 * The stored form therefore keeps its field names and the order of its keys, byte for byte. Decoding throws a
 * `ZodError` for a malformed value.
 */
import * as z from 'zod/mini';
import { exactInteger } from '../protocol/schema.ts';
import type {
  JobRecord,
  LiveRecord,
  MachinesRecord,
  NodeRecord,
  OpenJobRecord,
  LeadershipRecord,
  ProgressRecord,
  QuotaRecord,
  SliceRange,
} from './records.ts';

const storedSpec = z.object({
  id: z.string(),
  class: z.string(),
  team: z.string(),
  kind: z.enum(['batch', 'service', 'gang']),
  priority: z.number(),
  tasks: z.number(),
  cores: z.number(),
  accelerators: z.number(),
  ramGb: z.number(),
  image: z.string(),
  imageGb: z.number(),
  types: z.nullable(z.array(z.string())),
  zone: z.nullable(z.string()),
  oneZone: z.boolean(),
  spread: z.boolean(),
  spot: z.boolean(),
  estimateS: z.number(),
  checkpointS: z.number(),
  saveS: z.number(),
  deadlineS: z.nullable(z.number()),
});
const storedNode = z.object({
  incarnation: z.string(),
  unreachable: z.array(z.string()),
  // Controllers of an older version do not write this field.
  reaches: z._default(z.array(z.string()), []),
  seen: z.optional(exactInteger),
});
const storedLeadership = z.object({
  owner: z.string(),
  incarnation: z.string(),
  token: z.number(),
  // Records of an older version, which gave each leadership one token, lack this field.
  tokens: z._default(z.number(), 1),
  // Records of an older version, which had a different shard map, lack this field.
  layout: z._default(z.string(), ''),
});
const storedMachine = z.object({
  endpoint: z.string(),
  type: z.string(),
  zone: z.string(),
  spot: z.boolean(),
});
const storedMachines = z.object({ machines: z.record(z.string(), storedMachine) });
const storedOpenJob = z.object({
  spec: storedSpec,
  at: z.number(),
  slices: z.array(z.object({ part: z.string(), from: z.number(), count: z.number() })),
});
const storedProgress = z.object({ settled: z.record(z.string(), z.string()) });
const storedQuota = z.object({
  shares: z.record(z.string(), z.object({ cores: z.number(), accelerators: z.number() })),
});
const storedJob = z.object({
  status: z.enum(['done', 'cancelled']),
  tasks: z.number(),
});

/** The stored form of a node's record. */
export function encodeNode(record: NodeRecord): object {
  const { incarnation, reachable, seenRevision, unreachable } = record;
  const seen = seenRevision === undefined ? {} : { seen: seenRevision };
  return { incarnation, unreachable, reaches: reachable, ...seen };
}

/** The stored form of the record that makes a node the leader of a shard. */
export function encodeLeadership(record: LeadershipRecord): object {
  const { fencingTokenCount } = record;
  return {
    owner: record.leader,
    incarnation: record.incarnation,
    token: record.fencingToken,
    layout: record.shardMapVersion,
    ...(fencingTokenCount === 1 ? {} : { tokens: fencingTokenCount }),
  };
}

/** The stored form of a page of machines. */
export function encodeMachines(record: MachinesRecord): object {
  return { machines: record.machines };
}

/** The stored form of a page of progress. */
export function encodeProgress(record: ProgressRecord): object {
  return { settled: record.settled };
}

/** The stored form of a job that is not finished. */
export function encodeOpenJob(record: OpenJobRecord): object {
  const slices = record.slices.map((slice) => ({ part: slice.shard, from: slice.from, count: slice.count }));
  return { spec: record.spec, at: record.at, slices };
}

/** The stored form of a team's quota, divided among the shards. */
export function encodeQuota(record: QuotaRecord): object {
  return { shares: record.shares };
}

/** The stored form of how a job ended. */
export function encodeJob(record: JobRecord): object {
  return { status: record.status, tasks: record.tasks };
}

function decodeNode(value: unknown): NodeRecord {
  const stored = z.parse(storedNode, value);
  const { incarnation, reaches, seen, unreachable } = stored;
  return {
    incarnation,
    unreachable,
    reachable: reaches,
    ...(seen === undefined ? {} : { seenRevision: seen }),
  };
}

function decodeLeadership(value: unknown): LeadershipRecord {
  const stored = z.parse(storedLeadership, value);
  return {
    leader: stored.owner,
    incarnation: stored.incarnation,
    fencingToken: stored.token,
    fencingTokenCount: stored.tokens,
    shardMapVersion: stored.layout,
  };
}

/** The record of a job that is not finished. */
export function decodeOpenJob(value: unknown): OpenJobRecord {
  const stored = z.parse(storedOpenJob, value);
  const slices = stored.slices.map((slice): SliceRange => ({
    shard: slice.part,
    from: slice.from,
    count: slice.count,
  }));
  return { spec: stored.spec, at: stored.at, slices };
}

/** How a job ended. */
export function decodeJob(value: unknown): JobRecord {
  return z.parse(storedJob, value);
}

/**
 * The record at a key under `live/`; `value` is undefined for a deleted record. Null for a key of an unknown
 * kind.
 */
export function decodeLiveRecord(key: string, value: unknown): LiveRecord | null {
  const [, kind, first, ...rest] = key.split('/');
  if (first === undefined) return null;
  const isDeleted = value === undefined;
  switch (kind) {
    case 'node':
      return { kind, name: first, record: isDeleted ? null : decodeNode(value) };
    case 'part':
      return { kind: 'leadership', shard: first, record: isDeleted ? null : decodeLeadership(value) };
    case 'machines':
      return { kind, shard: first, key, record: isDeleted ? null : z.parse(storedMachines, value) };
    case 'progress':
      return { kind, shard: first, key, record: isDeleted ? null : z.parse(storedProgress, value) };
    case 'job':
      return { kind, id: first, record: isDeleted ? null : decodeOpenJob(value) };
    case 'quota':
      return {
        kind,
        team: [first, ...rest].join('/'),
        record: isDeleted ? null : z.parse(storedQuota, value),
      };
    default:
      return null;
  }
}
