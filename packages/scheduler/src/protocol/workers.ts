/**
 * The API between workers and controllers (PROTOCOL): heartbeats, and commands, which are in the answers to
 * heartbeats or sent directly. The names on the wire are used in this module only.
 */
import * as z from 'zod/mini';
import type { ExactInteger } from './json.ts';
import { exactInteger } from './schema.ts';
import type { JobId } from './users.ts';

/** A machine's name, assigned by the cloud; never reused for another machine. */
export type MachineId = string;

/**
 * Grows with every change of a shard's leader. A worker refuses commands with a lower token than it has seen.
 */
export type FencingToken = number;

/** State of a task's attempt on a machine: fetching its image, running, saving its state, or ended. */
export type TaskState = 'fetching' | 'running' | 'saving' | 'ended';
/**
 * Why an attempt ended: `done`; `stopped` by command; `error`. Or why its start was refused: `no_room` on the
 * machine; `busy` with another attempt of the task; `unknown` job or task. Or `gang`: because of the other
 * tasks of its gang.
 */
export type EndReason = 'done' | 'stopped' | 'error' | 'no_room' | 'busy' | 'unknown' | 'gang';

/** A task's attempt as a heartbeat reports it. */
export interface ReportedTask {
  /** Name of the task, as `taskName` builds it. */
  task: string;
  /** Number of the attempt. */
  attempt: ExactInteger;
  state: TaskState;
  /** Set if and only if the state is `ended`. */
  reason: EndReason | null;
}

/** A worker's periodic report of its status. */
export interface Heartbeat {
  machine: MachineId;
  /** Address at which the worker takes commands. */
  endpoint: string;
  /** Name of the machine's type. */
  type: string;
  zone: string;
  /** Whether it is a spot machine. */
  spot: boolean;
  /** Starts at 1. Grows each time the worker lease expires and the worker kills its tasks. */
  agentEpoch: ExactInteger;
  /**
   * Grows with every message of the worker. Of two messages, the one with the higher agent epoch is the newer
   * one. In the same epoch, the one with the higher sequence is the newer one.
   */
  sequence: ExactInteger;
  /** The highest fencing token that the worker has seen; 0 if it has seen none. */
  fencingToken: ExactInteger;
  /** Seconds until the cloud preempts the machine; null without a preemption notice. */
  preemptionNoticeS: number | null;
  tasks: ReportedTask[];
}

/**
 * A command to a worker. `launch` starts an attempt; it has no effect if the worker has the attempt in any
 * state. `stop` lets a task save its state if the grace period is long enough. `forget` removes an ended
 * attempt, after which a repeated `launch` would start it again.
 */
export type Command =
  | { op: 'launch'; task: string; attempt: number }
  | { op: 'stop'; task: string; attempt: ExactInteger; graceS: number }
  | { op: 'forget'; task: string; attempt: ExactInteger };

/** The answer to a heartbeat from the leader of the machine's shard. It renews the worker lease. */
export interface LeaderReply {
  /** A worker that has seen a higher token drops the answer. */
  fencingToken: FencingToken;
  commands: Command[];
}

const wireTask = z.object({
  pratica: z.string(),
  tentativo: exactInteger,
  stato: z.string(),
  causale: z.nullish(z.string()),
});

const wireHeartbeat = z.object({
  banco: z.string(),
  endpoint: z.string(),
  modello: z.string(),
  sede: z.string(),
  prestiti: z.nullish(z.boolean()),
  turno: exactInteger,
  progressivo: exactInteger,
  mandato: z.nullish(exactInteger),
  preavviso_s: z.nullish(z.number()),
  pratiche: z.nullish(z.array(wireTask)),
});

/** Task states by wire name. */
const taskStateByWireName: Record<string, TaskState> = {
  fetching: 'fetching',
  running: 'running',
  gathering: 'running',
  flushing: 'saving',
  ended: 'ended',
};
/** End reasons by wire name. */
const endReasonByWireName: Record<string, EndReason> = {
  done: 'done',
  stopped: 'stopped',
  error: 'error',
  full: 'no_room',
  busy: 'busy',
  no_such: 'unknown',
  peers: 'gang',
  alone: 'gang',
};

function decodeTask(wire: z.infer<typeof wireTask>): ReportedTask {
  const state = taskStateByWireName[wire.stato] ?? 'running';
  return {
    task: wire.pratica,
    attempt: wire.tentativo,
    state,
    reason: state === 'ended' ? (endReasonByWireName[wire.causale ?? ''] ?? 'error') : null,
  };
}

/**
 * The heartbeat, or null if the body is malformed. An unknown task state counts as running, so that the
 * task's resources stay booked. An unknown reason counts as an error.
 */
export function decodeHeartbeat(body: unknown): Heartbeat | null {
  const parsed = z.safeParse(wireHeartbeat, body);
  if (!parsed.success) return null;
  const wire = parsed.data;
  return {
    machine: wire.banco,
    endpoint: wire.endpoint,
    type: wire.modello,
    zone: wire.sede,
    spot: wire.prestiti ?? false,
    agentEpoch: wire.turno,
    sequence: wire.progressivo,
    fencingToken: wire.mandato ?? 0,
    preemptionNoticeS: wire.preavviso_s ?? null,
    tasks: (wire.pratiche ?? []).map(decodeTask),
  };
}

/** Wire names of the commands. */
const wireCommands: Record<Command['op'], string> = { launch: 'launch', stop: 'halt', forget: 'forget' };

function encodeCommand(command: Command): object {
  const base = { ordine: wireCommands[command.op], pratica: command.task, tentativo: command.attempt };
  return command.op === 'stop' ? { ...base, tolleranza_s: command.graceS } : base;
}

/** The body of the answer to a heartbeat, from the leader of the machine's shard. */
export function encodeHeartbeatReply(fencingToken: FencingToken, commands: Command[]): object {
  return { mandato: fencingToken, ordini: commands.map(encodeCommand) };
}

/**
 * The body of the answer to a heartbeat from a controller that doesn't lead the shard. `node` is the shard's
 * leader, or null if the shard has no known leader.
 */
export function encodeRedirect(node: string | null): object {
  return node === null ? {} : { riferisce_a: node };
}

/** The body of a direct command. A worker in another agent epoch refuses it. */
export function encodeCommands(
  fencingToken: FencingToken,
  agentEpoch: ExactInteger,
  commands: Command[],
): object {
  return { mandato: fencingToken, turno: agentEpoch, ordini: commands.map(encodeCommand) };
}

/** Paths of a worker's HTTP server: for direct commands, and for a request of its status. */
export const workerPaths = { commands: '/commands', inspect: '/inspect' };

/** A task's name: its job and its index in the job. */
export function taskName(job: JobId, index: number): string {
  return `${job}/${String(index)}`;
}

/** The job and index in a task's name, or null if the text is not a task's name. */
export function parseTaskName(name: string): { job: JobId; index: number } | null {
  const match = /^(.+)\/(\d{1,9})$/.exec(name);
  return match?.[1] === undefined ? null : { job: match[1], index: Number(match[2]) };
}
