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

/** CPUs, accelerators and memory (GB) that a machine has free. */
export interface FreeCapacity {
  cores: number;
  accelerators: number;
  ramGb: number;
}

/** Machines of one type and market (on demand or spot) in a shard, as its leader reports them. */
export interface KindOfMachines {
  /** Machines that may take tasks. */
  open: number;
  /** Those of them without a task. */
  idle: number;
  /** Free capacity of the roomiest; left out where a machine is idle or tasks of the shard wait for capacity. */
  left?: FreeCapacity[] | undefined;
}

/** What the leader of a shard reports of it to its peers. */
export interface PartMessage {
  kind: 'part';
  part: string;
  token: number;
  /** Idle machines; above 0 is the paper's idle flag. */
  idle: number;
  /** Booked and pending share over the shard's machines. */
  average: number;
  /** Machines that may take tasks. */
  machines: number;
  /** CPUs of the machines that may take tasks. */
  cores: number;
  /** CPUs of the machines that are booting. */
  coming: number;
  /** Tasks on machines, by job, for display. */
  running: Record<string, number>;
  /** Machines that may take tasks, by kind; a peer of an older version reports none. */
  kinds: Record<string, KindOfMachines>;
  /** Jobs that fail wherever they run, as the leader has found out. */
  failing: string[];
  /** What the shard lacks of each team's quota, in CPUs and accelerators. */
  wants: Record<string, { cores: number; accelerators: number }>;
}

/** From a former leader to its direct successor: the tasks that certainly run nowhere. */
export interface Handover {
  kind: 'handover';
  part: string;
  /** Fencing token of the successor. */
  token: number;
  /** Positions of the tasks as an encoded set, by slice name. */
  free: Record<string, string>;
}

/** The sender is alive, and has nothing else to report. */
export interface Beat {
  kind: 'beat';
}

/** Jobs whose cancellation the sender has committed. An end is final, so this holds whenever it arrives. */
export interface Cancelled {
  kind: 'cancelled';
  jobs: string[];
}

/** Asks what the receiver knows of these jobs. */
export interface Vouch {
  kind: 'vouch';
  /** With the asking process's incarnation: an answer to the process before may arrive once the next one is up. */
  id: string;
  jobs: string[];
}

/** The answer to a `Vouch`. */
export interface Vouched {
  kind: 'vouched';
  id: string;
  /** Jobs that the sender knows as open, with their records' versions. */
  open: [string, Int][];
  /** Jobs that it knows to be over, or of which it can say nothing. */
  over: string[];
  /** Jobs of which its watch cache has no open record, with the revision of the cache. */
  none: [string, Int][];
}

/** A user's request, forwarded to a peer that may reach the key-value store. */
export interface Ask {
  kind: 'ask';
  id: string;
  op: 'submit' | 'status' | 'withdraw';
  body: string;
}

/** The answer to an `Ask`; status 0: the peer has none. */
export interface Answer {
  kind: 'answer';
  id: string;
  status: number;
  body: string;
}

/** What controllers send one another. */
export type MeshMessage = PartMessage | Handover | Beat | Cancelled | Vouch | Vouched | Ask | Answer;

const requestId = z.string();

const wireKind = z.object({
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
    kinds: z._default(z.record(z.string(), wireKind), {}),
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
  z.object({ kind: z.literal('vouch'), id: requestId, jobs: z.array(z.string()) }),
  z.object({
    kind: z.literal('vouched'),
    id: requestId,
    open: z.array(z.tuple([z.string(), int])),
    over: z.array(z.string()),
    none: z.array(z.tuple([z.string(), int])),
  }),
  z.object({
    kind: z.literal('ask'),
    id: requestId,
    op: z.enum(['submit', 'status', 'withdraw']),
    body: z.string(),
  }),
  z.object({ kind: z.literal('answer'), id: requestId, status: z.number(), body: z.string() }),
]);

/** A message as it is on the wire, before CBOR. */
export type WireMessage = z.infer<typeof wireMessage>;

/** The message in its wire form. The order of the keys is part of that form. */
export function encodeMesh(message: MeshMessage): WireMessage {
  switch (message.kind) {
    case 'part':
      return {
        kind: 'part',
        part: message.part,
        token: message.token,
        idle: message.idle,
        wants: message.wants,
        running: message.running,
        kinds: Object.fromEntries(
          Object.entries(message.kinds).map(([name, kind]) => [name, encodeKind(kind)]),
        ),
        failing: message.failing,
        coming: message.coming,
        average: message.average,
        machines: message.machines,
        cores: message.cores,
      };
    case 'handover':
      return { kind: 'handover', part: message.part, token: message.token, free: message.free };
    case 'beat':
      return { kind: 'beat' };
    case 'cancelled':
      return { kind: 'cancelled', jobs: message.jobs };
    case 'vouch':
      return { kind: 'vouch', id: message.id, jobs: message.jobs };
    case 'vouched':
      return { kind: 'vouched', id: message.id, open: message.open, over: message.over, none: message.none };
    case 'ask':
      return { kind: 'ask', id: message.id, op: message.op, body: message.body };
    case 'answer':
      return { kind: 'answer', id: message.id, status: message.status, body: message.body };
  }
}

function encodeKind(kind: KindOfMachines): z.infer<typeof wireKind> {
  const counts = { open: kind.open, idle: kind.idle };
  return kind.left === undefined ? counts : { ...counts, left: kind.left };
}

/** The message, or null for one that this version does not know. */
export function decodeMesh(value: unknown): MeshMessage | null {
  const parsed = z.safeParse(wireMessage, value);
  return parsed.success ? fromWire(parsed.data) : null;
}

function fromWire(wire: WireMessage): MeshMessage {
  switch (wire.kind) {
    case 'part':
      return {
        kind: 'part',
        part: wire.part,
        token: wire.token,
        idle: wire.idle,
        average: wire.average,
        machines: wire.machines,
        cores: wire.cores,
        coming: wire.coming,
        running: wire.running,
        kinds: Object.fromEntries(
          Object.entries(wire.kinds).map(([name, kind]) => [
            name,
            { open: kind.open, idle: kind.idle, left: kind.left },
          ]),
        ),
        failing: wire.failing,
        wants: wire.wants,
      };
    case 'handover':
      return { kind: 'handover', part: wire.part, token: wire.token, free: wire.free };
    case 'beat':
      return { kind: 'beat' };
    case 'cancelled':
      return { kind: 'cancelled', jobs: wire.jobs };
    case 'vouch':
      return { kind: 'vouch', id: wire.id, jobs: wire.jobs };
    case 'vouched':
      return { kind: 'vouched', id: wire.id, open: wire.open, over: wire.over, none: wire.none };
    case 'ask':
      return { kind: 'ask', id: wire.id, op: wire.op, body: wire.body };
    case 'answer':
      return { kind: 'answer', id: wire.id, status: wire.status, body: wire.body };
  }
}
