import * as z from 'zod/mini';
import { int } from './schema.ts';

/**
 * Names a question to a sibling: with the asking process's incarnation, as an answer to the process before may arrive
 * when the next one is up, a fraction of a second later.
 */
const question = z.string();

const kind = z.object({
  open: z.number(),
  idle: z.number(),
  /**
   * What the roomiest machines have left beside their tasks; none where one of them is idle, or tasks of the part wait for
   * room: left out then, as this is told many times a second, and read by all.
   */
  left: z.optional(z.array(z.object({ cores: z.number(), accelerators: z.number(), ramGb: z.number() }))),
});

/** What siblings say to one another: advice, requests passed on, and what an owner before knows. None carries a right. */
const message = z.discriminatedUnion('kind', [
  z.object({
    kind: z.literal('part'),
    part: z.string(),
    token: z.number(),
    /** How many idle machines the part has; above 0 is the idle flag. */
    idle: z.number(),
    /** Booked and waiting share over the part's machines. */
    average: z.number(),
    machines: z.number(),
    /** CPUs of the machines that may take tasks. */
    cores: z.number(),
    /** CPUs of the machines that are coming up. */
    coming: z.number(),
    /** Tasks on machines, by job, for display. */
    running: z.record(z.string(), z.number()),
    /** The machines that may take tasks and the idle ones among them, by kind; a sibling of an older version tells none. */
    kinds: z._default(z.record(z.string(), kind), {}),
    /** Jobs that fail wherever they run, as its owner has found out. */
    failing: z._default(z.array(z.string()), []),
    /** What the part lacks of each team's limit, in CPUs and accelerators. */
    wants: z.record(z.string(), z.object({ cores: z.number(), accelerators: z.number() })),
  }),
  z.object({
    kind: z.literal('handover'),
    part: z.string(),
    /** Of the owner that it is for, the sender's direct successor. */
    token: z.number(),
    /** Tasks that run nowhere, by the slice's name, as the bits of their positions. */
    free: z.record(z.string(), z.string()),
  }),
  /** The sender is there, and has nothing else to say. */
  z.object({ kind: z.literal('beat') }),
  z.object({
    kind: z.literal('cancelled'),
    /** Withdrawn by transactions of the sender: an end is final, so it is true whenever it arrives. */
    jobs: z.array(z.string()),
  }),
  z.object({
    kind: z.literal('vouch'),
    id: question,
    /** Of which the sender wants to tell that they are open. */
    jobs: z.array(z.string()),
  }),
  z.object({
    kind: z.literal('vouched'),
    id: question,
    /** Jobs that the sender knows as open, with their records' versions. */
    open: z.array(z.tuple([z.string(), int])),
    /** Jobs of whose end it knows, or of which it can say nothing. */
    over: z.array(z.string()),
    /** Jobs of which its copy has no open record, with the revision of the copy. */
    none: z.array(z.tuple([z.string(), int])),
  }),
  z.object({
    kind: z.literal('ask'),
    id: question,
    op: z.enum(['submit', 'status', 'withdraw']),
    body: z.string(),
  }),
  z.object({ kind: z.literal('answer'), id: question, status: z.number(), body: z.string() }),
]);

export type MeshMessage = z.infer<typeof message>;
export type PartMessage = Extract<MeshMessage, { kind: 'part' }>;
/** Machines of one kind in a part, as its owner tells of them. */
export type KindOfMachines = z.infer<typeof kind>;
export type Handover = Extract<MeshMessage, { kind: 'handover' }>;

/** The message, or null for one this version does not know. */
export function decodeMesh(value: unknown): MeshMessage | null {
  const parsed = z.safeParse(message, value);
  return parsed.success ? parsed.data : null;
}
