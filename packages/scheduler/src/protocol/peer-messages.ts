/**
 * Messages between controllers, and their form on the wire.
 *
 * The code names things in standard terms; the wire keeps the names it has always had, as two versions of the program run
 * side by side during a rolling restart. This module is the only place that knows both. No message carries a right: all of
 * it is advice, forwarded requests, or what a former leader knows.
 */
import * as z from 'zod/mini';
import type { Int } from './json.ts';
import { int } from './schema.ts';

/** A shard's name: its zone and its number in the zone. */
export type ShardId = string;

/** CPUs, accelerators and memory (GB) that a machine has free. */
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
  /** Free capacity of the roomiest; left out where a machine is idle or tasks of the shard wait for capacity. */
  freeCapacity?: FreeCapacity[] | undefined;
}

/** The load of a shard's machines. */
export interface LoadSummary {
  /** Booked and pending share over the shard's machines. */
  averageLoad: number;
  /** Machines that may take tasks. */
  schedulableMachines: number;
  /** CPUs of the machines that may take tasks. */
  schedulableCores: number;
}

/** What the leader of a shard reports of it to its peers. */
export interface ShardStatus extends LoadSummary {
  kind: 'shardStatus';
  shard: string;
  fencingToken: number;
  /** Idle machines; above 0 is the paper's idle flag. */
  idleMachines: number;
  /** CPUs of the machines that are booting. */
  bootingCores: number;
  /** Tasks on machines, by job, for display. */
  runningTasks: Record<string, number>;
  /** Machines that may take tasks, by kind; a peer of an older version reports none. */
  pools: Record<string, MachinePool>;
  /** Jobs that fail wherever they run, as the leader has found out. */
  failingJobs: string[];
  /** What the shard lacks of each team's quota, in CPUs and accelerators. */
  quotaDemand: Record<string, { cores: number; accelerators: number }>;
}

/** From a former leader to its direct successor: the tasks that certainly run nowhere. */
export interface Handover {
  kind: 'handover';
  shard: string;
  /** Fencing token of the successor. */
  fencingToken: number;
  /** Positions of the tasks as an encoded set, by slice name. */
  notRunning: Record<string, string>;
}

/** The sender is alive, and has nothing else to report. */
export interface Keepalive {
  kind: 'keepalive';
}

/** Jobs whose cancellation the sender has committed. An end is final, so this holds whenever it arrives. */
export interface JobsCancelled {
  kind: 'jobsCancelled';
  jobIds: string[];
}

/** Asks what the receiver knows of these jobs. */
export interface ObservationRequest {
  kind: 'observationRequest';
  /** With the asking process's incarnation: an answer to the process before may arrive once the next one is up. */
  requestId: string;
  jobIds: string[];
}

/** The answer to a `Vouch`. */
export interface ObservationReply {
  kind: 'observationReply';
  requestId: string;
  /** Jobs that the sender knows as open, with their records' versions. */
  open: [string, Int][];
  /** Jobs that it knows to be over, or of which it can say nothing. */
  over: string[];
  /** Jobs of which its watch cache has no open record, with the revision of the cache. */
  none: [string, Int][];
}

/** What a user asks of a job. */
export type UserOperation = 'submit' | 'status' | 'cancel';

/** A user's request, forwarded to a peer that may reach the key-value store. */
export interface ForwardedRequest {
  kind: 'forwardedRequest';
  requestId: string;
  operation: UserOperation;
  body: string;
}

/** The answer to an `Ask`; status 0: the peer has none. */
export interface ForwardedReply {
  kind: 'forwardedReply';
  requestId: string;
  status: number;
  body: string;
}

/** What controllers send one another. */
export type PeerMessage =
  | ShardStatus
  | Handover
  | Keepalive
  | JobsCancelled
  | ObservationRequest
  | ObservationReply
  | ForwardedRequest
  | ForwardedReply;

const wireRequestId = z.string();

const wirePool = z.object({
  open: z.number(),
  idle: z.number(),
  left: z.optional(z.array(z.object({ cores: z.number(), accelerators: z.number(), ramGb: z.number() }))),
});

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
  z.object({ kind: z.literal('cancelled'), jobs: z.array(z.string()) }),
  z.object({ kind: z.literal('vouch'), id: wireRequestId, jobs: z.array(z.string()) }),
  z.object({
    kind: z.literal('vouched'),
    id: wireRequestId,
    open: z.array(z.tuple([z.string(), int])),
    over: z.array(z.string()),
    none: z.array(z.tuple([z.string(), int])),
  }),
  z.object({
    kind: z.literal('ask'),
    id: wireRequestId,
    op: z.enum(['submit', 'status', 'withdraw']),
    body: z.string(),
  }),
  z.object({ kind: z.literal('answer'), id: wireRequestId, status: z.number(), body: z.string() }),
]);

/** A message as it is on the wire, before CBOR. */
export type PeerWireMessage = z.infer<typeof wireMessage>;

/** The message in its wire form. The order of the keys is part of that form. */
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
        kinds: Object.fromEntries(
          Object.entries(message.pools).map(([name, kind]) => [name, encodePool(kind)]),
        ),
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
      return { kind: 'cancelled', jobs: message.jobIds };
    case 'observationRequest':
      return { kind: 'vouch', id: message.requestId, jobs: message.jobIds };
    case 'observationReply':
      return {
        kind: 'vouched',
        id: message.requestId,
        open: message.open,
        over: message.over,
        none: message.none,
      };
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

function encodePool(kind: MachinePool): z.infer<typeof wirePool> {
  const counts = { open: kind.schedulable, idle: kind.idle };
  return kind.freeCapacity === undefined ? counts : { ...counts, left: kind.freeCapacity };
}

/** The message, or null for one that this version does not know. */
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
        pools: Object.fromEntries(
          Object.entries(wire.kinds).map(([name, kind]): [string, MachinePool] => [
            name,
            { schedulable: kind.open, idle: kind.idle, freeCapacity: kind.left },
          ]),
        ),
        failingJobs: wire.failing,
        quotaDemand: wire.wants,
      };
    case 'handover':
      return { kind: 'handover', shard: wire.part, fencingToken: wire.token, notRunning: wire.free };
    case 'beat':
      return { kind: 'keepalive' };
    case 'cancelled':
      return { kind: 'jobsCancelled', jobIds: wire.jobs };
    case 'vouch':
      return { kind: 'observationRequest', requestId: wire.id, jobIds: wire.jobs };
    case 'vouched':
      return {
        kind: 'observationReply',
        requestId: wire.id,
        open: wire.open,
        over: wire.over,
        none: wire.none,
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
