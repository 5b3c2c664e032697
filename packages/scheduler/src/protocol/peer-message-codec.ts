/**
 * The wire form of the messages between controllers.
 *
 * The wire names never change, as two versions of the program run side by side during a rolling restart. This
 * is the only module that uses both the wire names and the names in the code.
 */
import * as z from 'zod/mini';
import type { KnownEnd, MachinePool, ObservationReply, PeerMessage, ReadLease } from './peer-messages.ts';
import { exactInteger } from './schema.ts';

const wirePool = z.object({
  open: z.number(),
  idle: z.number(),
  left: z.optional(z.array(z.object({ cores: z.number(), accelerators: z.number(), ramGb: z.number() }))),
});

type WirePool = z.infer<typeof wirePool>;

/** A job's id, with the version of its open record or the revision of the sender's watch cache. */
const wireJobRevision = z.tuple([z.string(), exactInteger]);

/** An end that the sender knows. */
const wireEnd = z.object({
  job: z.string(),
  status: z.enum(['done', 'cancelled']),
  revision: z.optional(exactInteger),
  tasks: z.number(),
});

/** A node, its process, and a revision. */
const wireReadLease = z.tuple([z.string(), z.string(), exactInteger]);

const wireMessage = z.discriminatedUnion('kind', [
  z.object({
    kind: z.literal('part'),
    part: z.string(),
    token: z.number(),
    idle: z.number(),
    average: z.number(),
    machines: z.number(),
    cores: z.number(),
    coming: z.number(),
    running: z.record(z.string(), z.number()),
    kinds: z._default(z.record(z.string(), wirePool), {}),
    failing: z._default(z.array(z.string()), []),
    wants: z.record(z.string(), z.object({ cores: z.number(), accelerators: z.number() })),
  }),
  z.object({
    kind: z.literal('handover'),
    part: z.string(),
    token: z.number(),
    free: z.record(z.string(), z.string()),
  }),
  z.object({ kind: z.literal('beat') }),
  z.object({
    kind: z.literal('cancelled'),
    jobs: z.array(z.string()),
    revision: z.optional(exactInteger),
  }),
  z.object({ kind: z.literal('done'), job: z.string(), revision: exactInteger, tasks: z.number() }),
  z.object({ kind: z.literal('accepted'), job: z.string(), revision: exactInteger }),
  z.object({ kind: z.literal('vouch'), id: z.string(), jobs: z.array(z.string()) }),
  z.object({
    kind: z.literal('vouched'),
    id: z.string(),
    open: z.array(wireJobRevision),
    over: z.array(z.string()),
    none: z.array(wireJobRevision),
    after: z.optional(z.array(wireJobRevision)),
    upTo: z.optional(exactInteger),
    unread: z.optional(z.array(z.string())),
    process: z.optional(z.string()),
    lease: z.optional(z.boolean()),
    ends: z.optional(z.array(wireEnd)),
    leases: z.optional(z.array(wireReadLease)),
  }),
  z.object({
    kind: z.literal('ask'),
    id: z.string(),
    op: z.enum(['submit', 'status', 'withdraw']),
    body: z.string(),
  }),
  z.object({ kind: z.literal('answer'), id: z.string(), status: z.number(), body: z.string() }),
]);

/** A message in its wire form, before it is encoded as CBOR. */
export type PeerWireMessage = z.infer<typeof wireMessage>;

/** Encodes a message. The order of the keys is part of the wire form. */
export function encodePeerMessage(message: PeerMessage): PeerWireMessage {
  switch (message.kind) {
    case 'shardStatus':
      return {
        kind: 'part',
        part: message.shard,
        token: message.fencingToken,
        idle: message.idleMachines,
        wants: message.quotaDemand,
        running: message.runningTasks,
        kinds: mapValues(message.pools, encodePool),
        failing: message.failingJobs,
        coming: message.bootingCores,
        average: message.averageLoad,
        machines: message.schedulableMachines,
        cores: message.schedulableCores,
      };
    case 'handover':
      return { kind: 'handover', part: message.shard, token: message.fencingToken, free: message.notRunning };
    case 'keepalive':
      return { kind: 'beat' };
    case 'jobsCancelled':
      return {
        kind: 'cancelled',
        jobs: message.jobIds,
        ...(message.revision === null ? {} : { revision: message.revision }),
      };
    case 'jobDone':
      return { kind: 'done', job: message.jobId, revision: message.revision, tasks: message.tasks };
    case 'jobAccepted':
      return { kind: 'accepted', job: message.jobId, revision: message.revision };
    case 'observationRequest':
      return { kind: 'vouch', id: message.requestId, jobs: message.jobIds };
    case 'observationReply':
      return encodeObservationReply(message);
    case 'forwardedRequest':
      return {
        kind: 'ask',
        id: message.requestId,
        op: message.operation === 'cancel' ? 'withdraw' : message.operation,
        body: message.body,
      };
    case 'forwardedReply':
      return { kind: 'answer', id: message.requestId, status: message.status, body: message.body };
  }
}

function encodeObservationReply(reply: ObservationReply): PeerWireMessage {
  return {
    kind: 'vouched',
    id: reply.requestId,
    open: reply.open,
    over: reply.over,
    none: reply.none,
    ...(reply.endedAfter.length === 0 ? {} : { after: reply.endedAfter }),
    ...(reply.forgottenEndsUpTo === null ? {} : { upTo: reply.forgottenEndsUpTo }),
    ...(reply.unread.length === 0 ? {} : { unread: reply.unread }),
    ...(reply.incarnation === null ? {} : { process: reply.incarnation }),
    ...(reply.grantsReadLease ? { lease: true } : {}),
    ...(reply.ends.length === 0 ? {} : { ends: reply.ends.map(encodeEnd) }),
    ...(reply.readLeases.length === 0 ? {} : { leases: reply.readLeases.map(encodeReadLease) }),
  };
}

function encodeEnd({ jobId, status, revision, tasks }: KnownEnd): z.infer<typeof wireEnd> {
  return { job: jobId, status, tasks, ...(revision === null ? {} : { revision }) };
}

function decodeEnd({ job, status, revision, tasks }: z.infer<typeof wireEnd>): KnownEnd {
  return { jobId: job, status, revision: revision ?? null, tasks };
}

function encodeReadLease({ node, incarnation, fromRevision }: ReadLease): z.infer<typeof wireReadLease> {
  return [node, incarnation, fromRevision];
}

function decodeReadLease([node, incarnation, fromRevision]: z.infer<typeof wireReadLease>): ReadLease {
  return { node, incarnation, fromRevision };
}

function encodePool(pool: MachinePool): WirePool {
  const counts = { open: pool.schedulable, idle: pool.idle };
  return pool.freeCapacity === undefined ? counts : { ...counts, left: pool.freeCapacity };
}

function decodePool(pool: WirePool): MachinePool {
  return { schedulable: pool.open, idle: pool.idle, freeCapacity: pool.left };
}

function mapValues<From, To>(record: Record<string, From>, map: (value: From) => To): Record<string, To> {
  return Object.fromEntries(Object.entries(record).map(([key, value]) => [key, map(value)]));
}

/** Decodes a message. Null if the message is malformed, or of a kind that this version does not know. */
export function decodePeerMessage(value: unknown): PeerMessage | null {
  const parsed = z.safeParse(wireMessage, value);
  return parsed.success ? fromWire(parsed.data) : null;
}

function fromWire(wire: PeerWireMessage): PeerMessage {
  switch (wire.kind) {
    case 'part':
      return {
        kind: 'shardStatus',
        shard: wire.part,
        fencingToken: wire.token,
        idleMachines: wire.idle,
        averageLoad: wire.average,
        schedulableMachines: wire.machines,
        schedulableCores: wire.cores,
        bootingCores: wire.coming,
        runningTasks: wire.running,
        pools: mapValues(wire.kinds, decodePool),
        failingJobs: wire.failing,
        quotaDemand: wire.wants,
      };
    case 'handover':
      return { kind: 'handover', shard: wire.part, fencingToken: wire.token, notRunning: wire.free };
    case 'beat':
      return { kind: 'keepalive' };
    case 'cancelled':
      return { kind: 'jobsCancelled', jobIds: wire.jobs, revision: wire.revision ?? null };
    case 'done':
      return { kind: 'jobDone', jobId: wire.job, revision: wire.revision, tasks: wire.tasks };
    case 'accepted':
      return { kind: 'jobAccepted', jobId: wire.job, revision: wire.revision };
    case 'vouch':
      return { kind: 'observationRequest', requestId: wire.id, jobIds: wire.jobs };
    case 'vouched':
      return {
        kind: 'observationReply',
        requestId: wire.id,
        open: wire.open,
        over: wire.over,
        none: wire.none,
        endedAfter: wire.after ?? [],
        forgottenEndsUpTo: wire.upTo ?? null,
        unread: wire.unread ?? [],
        incarnation: wire.process ?? null,
        grantsReadLease: wire.lease ?? false,
        ends: (wire.ends ?? []).map(decodeEnd),
        readLeases: (wire.leases ?? []).map(decodeReadLease),
      };
    case 'ask':
      return {
        kind: 'forwardedRequest',
        requestId: wire.id,
        operation: wire.op === 'withdraw' ? 'cancel' : wire.op,
        body: wire.body,
      };
    case 'answer':
      return { kind: 'forwardedReply', requestId: wire.id, status: wire.status, body: wire.body };
  }
}
