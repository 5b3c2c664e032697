import * as z from 'zod/mini';
import type { Int } from './json.ts';
import { int } from './schema.ts';

/** A machine's name, as the cloud assigned it; never used again for another machine. */
export type MachineId = string;
/** Grows with every change of a shard's leader; a worker refuses commands with a lower one than it has seen. */
export type FencingToken = number;

export type TaskState = 'fetching' | 'running' | 'saving' | 'ended';
export type EndReason = 'done' | 'stopped' | 'error' | 'no_room' | 'busy' | 'unknown' | 'gang';

export interface ReportedTask {
  task: string;
  attempt: Int;
  state: TaskState;
  /** Set when ended. */
  reason: EndReason | null;
}

export interface Heartbeat {
  machine: string;
  endpoint: string;
  type: string;
  zone: string;
  spot: boolean;
  agentEpoch: Int;
  sequence: Int;
  fencingToken: Int;
  /** Seconds until the cloud takes the machine, or null. */
  preemptionNoticeS: number | null;
  tasks: ReportedTask[];
}

export type Command =
  | { op: 'launch'; task: string; attempt: number }
  | { op: 'stop'; task: string; attempt: Int; graceS: number }
  | { op: 'forget'; task: string; attempt: Int };

const wireHeartbeat = z.object({
  banco: z.string(),
  endpoint: z.string(),
  modello: z.string(),
  sede: z.string(),
  prestiti: z.nullish(z.boolean()),
  turno: int,
  progressivo: int,
  mandato: z.nullish(int),
  preavviso_s: z.nullish(z.number()),
  pratiche: z.nullish(
    z.array(
      z.object({ pratica: z.string(), tentativo: int, stato: z.string(), causale: z.nullish(z.string()) }),
    ),
  ),
});

const states: Record<string, TaskState> = {
  fetching: 'fetching',
  running: 'running',
  gathering: 'running',
  flushing: 'saving',
  ended: 'ended',
};
const reasons: Record<string, EndReason> = {
  done: 'done',
  stopped: 'stopped',
  error: 'error',
  full: 'no_room',
  busy: 'busy',
  no_such: 'unknown',
  peers: 'gang',
  alone: 'gang',
};

/** The report, or null where the body is malformed. An unknown state counts as running: it holds its place. */
export function decodeHeartbeat(body: unknown): Heartbeat | null {
  const parsed = z.safeParse(wireHeartbeat, body);
  if (!parsed.success) return null;
  const b = parsed.data;
  return {
    machine: b.banco,
    endpoint: b.endpoint,
    type: b.modello,
    zone: b.sede,
    spot: b.prestiti ?? false,
    agentEpoch: b.turno,
    sequence: b.progressivo,
    fencingToken: b.mandato ?? 0,
    preemptionNoticeS: b.preavviso_s ?? null,
    tasks: (b.pratiche ?? []).map((t) => {
      const state = states[t.stato] ?? 'running';
      return {
        task: t.pratica,
        attempt: t.tentativo,
        state,
        reason: state === 'ended' ? (reasons[t.causale ?? ''] ?? 'error') : null,
      };
    }),
  };
}

const wireCommands: Record<Command['op'], string> = { launch: 'launch', stop: 'halt', forget: 'forget' };

function encodeCommand(command: Command): object {
  const base = { ordine: wireCommands[command.op], pratica: command.task, tentativo: command.attempt };
  return command.op === 'stop' ? { ...base, tolleranza_s: command.graceS } : base;
}

export function encodeHeartbeatReply(fencingToken: number, commands: Command[]): object {
  return { mandato: fencingToken, ordini: commands.map(encodeCommand) };
}

export function encodeRedirect(node: string | null): object {
  return node === null ? {} : { riferisce_a: node };
}

export function encodeCommands(fencingToken: number, agentEpoch: Int, commands: Command[]): object {
  return { mandato: fencingToken, turno: agentEpoch, ordini: commands.map(encodeCommand) };
}

export const workerPaths = { commands: '/commands', inspect: '/inspect' };

export function taskName(job: string, index: number): string {
  return `${job}/${String(index)}`;
}

/** Job and index of a task's name, or null where it is none. */
export function parseTaskName(name: string): { job: string; index: number } | null {
  const match = /^(.+)\/(\d{1,9})$/.exec(name);
  return match?.[1] === undefined ? null : { job: match[1], index: Number(match[2]) };
}
