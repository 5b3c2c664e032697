/**
 * The outside systems' side of the wire protocol (PROTOCOL): parsing and encoding of requests and answers.
 * Wire names are used only here; the models use the glossary's terms. Parsers return null for malformed
 * input.
 */
import type { JobSpec } from '@onyxkeel/scheduler';

// --- key-value store ---

/** A write on the wire: a put with its value and lease, or a removal. */
export interface WireWrite {
  put?: string;
  v?: unknown;
  concessione?: number;
  remove?: string;
}

/** Writes that are applied atomically if every key has the version in its precondition (0: no such key). */
export interface Transaction {
  conditions: { key: string; version: number }[];
  writes: ({ op: 'put'; key: string; text: string; lease: number | null } | { op: 'remove'; key: string })[];
}

/** Parses a transaction; null if it is malformed. */
export function readTransaction(body: string): Transaction | null {
  try {
    const raw = JSON.parse(body) as { when?: { key: string; edizione: number }[]; writes?: WireWrite[] };
    return {
      conditions: (raw.when ?? []).map((c) => ({ key: c.key, version: c.edizione })),
      writes: (raw.writes ?? []).map((w) => {
        if (w.remove !== undefined) return { op: 'remove', key: w.remove };
        if (w.put === undefined) throw new SyntaxError('neither put nor remove');
        return { op: 'put', key: w.put, text: JSON.stringify(w.v), lease: w.concessione ?? null };
      }),
    };
  } catch {
    return null;
  }
}

/**
 * Parses the requested duration of a lease, in milliseconds; null if it is malformed or outside the limits.
 */
export function readLeaseDuration(body: string): number | null {
  try {
    const lifeMs = (JSON.parse(body) as { life_ms?: unknown }).life_ms;
    return typeof lifeMs === 'number' && lifeMs >= 100 && lifeMs <= 600_000 ? lifeMs : null;
  } catch {
    return null;
  }
}

/** Bodies of the key-value store's answers. `text` is a value that is already JSON. */
export const storeResponses = {
  revision: (revision: number): string => `{"protocollo":${String(revision)}}`,
  conflict: (failed: string[], revision: number): string =>
    `{"failed":${JSON.stringify(failed)},"protocollo":${String(revision)}}`,
  entry: (key: string, text: string, version: number, lease: number | null): string =>
    `{"key":${JSON.stringify(key)},"v":${text},"edizione":${String(version)}` +
    (lease === null ? '}' : `,"concessione":${String(lease)}}`),
  page: (items: string[], truncated: boolean, revision: number): string =>
    `{"items":[${items.join(',')}],"truncated":${String(truncated)},"protocollo":${String(revision)}}`,
  put: (key: string, text: string, version: number): string =>
    `{"put":${JSON.stringify(key)},"v":${text},"edizione":${String(version)}}`,
  removed: (key: string, version: number): string =>
    `{"remove":${JSON.stringify(key)},"edizione":${String(version)}}`,
  changes: (events: string[], revision: number): string =>
    `{"protocollo":${String(revision)},"events":[${events.join(',')}]}`,
  lease: (id: number): string => `{"concessione":${String(id)}}`,
};

// --- cloud ---

/** A requested rental. */
export interface RentRequest {
  /** Identifies the rental: a repetition with the same name gets the same machines. */
  name: string;
  type: string;
  zone: string;
  spot: boolean;
  count: number;
}

/** Parses a rental; null if it is malformed. */
export function readRent(body: string): RentRequest | null {
  try {
    const raw = JSON.parse(body) as Record<string, unknown>;
    const { richiesta, modello, sede, number } = raw;
    if (typeof richiesta !== 'string' || typeof modello !== 'string' || typeof sede !== 'string') return null;
    if (typeof number !== 'number' || !Number.isInteger(number) || number < 1) return null;
    return { name: richiesta, type: modello, zone: sede, spot: raw['prestiti'] === true, count: number };
  } catch {
    return null;
  }
}

/** Parses the ids of the machines that a request returns; null if it is malformed. */
export function readReturn(body: string): string[] | null {
  try {
    const names = (JSON.parse(body) as { banchi?: unknown }).banchi;
    return Array.isArray(names) && names.every((n): n is string => typeof n === 'string') ? names : null;
  } catch {
    return null;
  }
}

/** A machine type of the cloud's catalog. */
export interface MachineTypeSpec {
  name: string;
  cores: number;
  ramGb: number;
  /** Disk space for images, in gigabytes. */
  localGb: number;
  /** Rate at which images are fetched, in gigabytes per second. */
  pullGbPerS: number;
  price: number;
  spotPrice: number;
  /** Usual boot time in seconds. */
  bootS: number;
}

/** A machine in the cloud's list. */
export interface ListedMachine {
  id: string;
  endpoint: string;
  type: string;
  zone: string;
  spot: boolean;
  state: 'starting' | 'running' | 'failed';
  /** Seconds since its rental. */
  ageS: number;
}

/** Bodies of the cloud's answers. */
export const cloudResponses = {
  catalog: (types: MachineTypeSpec[], zones: string[]): string =>
    JSON.stringify({
      modelli: types.map((t) => ({
        name: t.name,
        cores: t.cores,
        accelerators: 0,
        ram_gb: t.ramGb,
        local_gb: t.localGb,
        pull_gb_per_s: t.pullGbPerS,
        rate: t.price,
        low_price: t.spotPrice,
        ready_s: t.bootS,
        sedi: zones,
      })),
    }),
  rented: (names: string[]): string => JSON.stringify({ banchi: names }),
  list: (hosts: ListedMachine[], truncated: boolean): string =>
    JSON.stringify({
      banchi: hosts.map((h) => ({
        id: h.id,
        endpoint: h.endpoint,
        modello: h.type,
        sede: h.zone,
        prestiti: h.spot,
        stato: h.state,
        age_s: h.ageS,
      })),
      truncated,
    }),
};

// --- workers ---

/** A controller's command to a worker. A stopped task has `graceS` seconds to save its progress. */
export type WorkerCommand =
  | { op: 'launch'; task: string; attempt: number }
  | { op: 'halt'; task: string; attempt: number; graceS: number }
  | { op: 'forget'; task: string; attempt: number };

/** A command on the wire. */
interface WireCommand {
  ordine: string;
  pratica: string;
  tentativo: number;
  tolleranza_s?: number;
}

/**
 * Parses commands with their fencing token and agent epoch. Null if the token is missing, or if the epoch is
 * missing in a direct command. Answers to heartbeats may omit the epoch, which is then 0. Unknown commands
 * are ignored.
 */
export function readCommands(
  text: string,
  direct: boolean,
): { fencingToken: number; agentEpoch: number; commands: WorkerCommand[] } | null {
  try {
    const raw = JSON.parse(text) as { mandato?: unknown; turno?: unknown; ordini?: WireCommand[] };
    if (typeof raw.mandato !== 'number' || (direct && typeof raw.turno !== 'number')) return null;
    const commands = (raw.ordini ?? []).flatMap((order): WorkerCommand[] => {
      const attempt = { task: order.pratica, attempt: order.tentativo };
      if (order.ordine === 'launch' || order.ordine === 'forget') return [{ op: order.ordine, ...attempt }];
      return order.ordine === 'halt' ? [{ op: 'halt', ...attempt, graceS: order.tolleranza_s ?? 0 }] : [];
    });
    const agentEpoch = typeof raw.turno === 'number' ? raw.turno : 0;
    return { fencingToken: raw.mandato, agentEpoch, commands };
  } catch {
    return null;
  }
}

/** Parses the name of the node to which a 421 redirects; null if there is none. */
export function readRedirect(text: string): string | null {
  try {
    const to = (JSON.parse(text) as { riferisce_a?: unknown }).riferisce_a;
    return typeof to === 'string' ? to : null;
  } catch {
    return null;
  }
}

/** Why an attempt ended. `full`: no room on the machine; `busy`: another attempt of the task is on it. */
export type EndReason = 'done' | 'stopped' | 'error' | 'full' | 'busy' | 'no_such';

/** The status of an attempt in a heartbeat. */
export interface AttemptStatus {
  task: string;
  attempt: number;
  state: 'fetching' | 'running' | 'flushing' | 'ended';
  /** Null before its end. */
  reason: EndReason | null;
  /** Whether it was stopped with all of its progress saved. */
  saved: boolean;
}

/** The content of a heartbeat. */
export interface WorkerStatus {
  id: string;
  endpoint: string;
  type: string;
  zone: string;
  spot: boolean;
  agentEpoch: number;
  sequence: number;
  fencingToken: number;
  /** Seconds until the cloud preempts the machine; null without a preemption notice. */
  noticeS: number | null;
  tasks: Iterable<AttemptStatus>;
}

/** The body of a heartbeat. */
export function encodeHeartbeat(status: WorkerStatus): string {
  return JSON.stringify({
    banco: status.id,
    endpoint: status.endpoint,
    modello: status.type,
    sede: status.zone,
    prestiti: status.spot,
    turno: status.agentEpoch,
    progressivo: status.sequence,
    mandato: status.fencingToken,
    preavviso_s: status.noticeS,
    pratiche: Array.from(status.tasks, (t) => ({
      pratica: t.task,
      tentativo: t.attempt,
      stato: t.state,
      ...(t.reason === null ? {} : { causale: t.reason }),
      ...(t.saved ? { saved: true } : {}),
    })),
  });
}

// --- users ---

/** Wire names, indexed by priority. */
const priorities = ['critical', 'urgent', 'standard', 'low'];

/** The body of a job's submission. */
export function encodeSubmission(spec: JobSpec): string {
  return JSON.stringify({
    id: spec.id,
    lot: spec.class,
    ufficio: spec.team,
    genere: spec.kind === 'service' ? 'standing' : spec.kind,
    urgenza: priorities[spec.priority],
    pratiche: spec.tasks,
    cores: spec.cores,
    accelerators: spec.accelerators,
    ram_gb: spec.ramGb,
    stampo: spec.image,
    size_gb: spec.imageGb,
    modelli: spec.types,
    sede: spec.zone,
    same_place: spec.oneZone,
    apart: spec.spread,
    prestiti: spec.spot,
    stima_s: spec.estimateS,
    salvataggio_s: spec.checkpointS,
    scrittura_s: spec.saveS,
    scadenza_s: spec.deadlineS,
  });
}

/**
 * Kinds of invalid submissions. A kind is the name of a missing required field, or a code for another error:
 * a wrong type or value, or a job that can never run. Kinds are part of a run's digest, and their order
 * determines which one a random number selects.
 */
export const invalidRequestKinds = [
  ...[
    'id',
    'lot',
    'ufficio',
    'genere',
    'urgenza',
    'pratiche',
    'cores',
    'ram_gb',
    'stampo',
    'size_gb',
    'stima_s',
  ],
  ...['accelerators', 'same_place', 'apart', 'prestiti', 'salvataggio_s', 'scrittura_s'],
  ...[
    'tasks_as_text',
    'no_tasks',
    'negative_cores',
    'unknown_kind',
    'flag_as_text',
    'not_an_object',
    'not_json',
  ],
  ...['unknown_team', 'too_large', 'unknown_type', 'unknown_zone'],
] as const;

/** A kind of invalid submission. */
export type InvalidRequestKind = (typeof invalidRequestKinds)[number];

/** The job's submission with one error. If `kind` is a field's name, that field is omitted. */
export function invalidSubmission(spec: JobSpec, kind: InvalidRequestKind): string {
  const valid = JSON.parse(encodeSubmission(spec)) as Record<string, unknown>;
  const wrong: Partial<Record<InvalidRequestKind, object>> = {
    tasks_as_text: { pratiche: '3' },
    no_tasks: { pratiche: 0 },
    negative_cores: { cores: -1 },
    unknown_kind: { genere: 'other' },
    flag_as_text: { apart: 'no' },
    unknown_team: { ufficio: 'nobody' },
    too_large: { cores: 1e6 },
    unknown_type: { modelli: ['none'] },
    unknown_zone: { sede: 'nowhere' },
  };
  if (kind === 'not_json') return encodeSubmission(spec).slice(1);
  if (kind === 'not_an_object') return '[1]';
  const change = wrong[kind];
  if (change) return JSON.stringify({ ...valid, ...change });
  return JSON.stringify(Object.fromEntries(Object.entries(valid).filter(([name]) => name !== kind)));
}

/** A job's state in answers to users. */
export type JobState = 'queued' | 'running' | 'done' | 'cancelled';

/** Parses the job's state in the body of a 200 or 201 answer; null if there is no valid state. */
export function readJobState(text: string): JobState | null {
  try {
    const state = (JSON.parse(text) as { stato?: unknown }).stato;
    if (state === 'aborted') return 'cancelled';
    return state === 'queued' || state === 'running' || state === 'done' ? state : null;
  } catch {
    return null;
  }
}
