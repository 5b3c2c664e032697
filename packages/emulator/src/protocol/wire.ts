/**
 * The outside systems' side of the wire, by PROTOCOL: what they read of requests and how they write their
 * answers. Wire names are used here only; the models use the glossary's terms. Readers return null for what is malformed.
 */
import type { JobSpec } from '@onyxkeel/scheduler';

// --- key-value store ---

/** A write as it is sent: a put with its value and lease, or a removal. */
export interface WireWrite {
  put?: string;
  v?: unknown;
  concessione?: number;
  remove?: string;
}

/** Writes that are applied together if every key has the version that its precondition names (0: no such key). */
export interface Transaction {
  conditions: { key: string; version: number }[];
  writes: ({ op: 'put'; key: string; text: string; lease: number | null } | { op: 'remove'; key: string })[];
}

/** The transaction of a request, or null where it is malformed. */
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

/** The duration of a lease asked for, in milliseconds; null where it is malformed or outside the limits. */
export function readLeaseDuration(body: string): number | null {
  try {
    const lifeMs = (JSON.parse(body) as { life_ms?: unknown }).life_ms;
    return typeof lifeMs === 'number' && lifeMs >= 100 && lifeMs <= 600_000 ? lifeMs : null;
  } catch {
    return null;
  }
}

/** Bodies of the key-value store's answers; `text` is a value that is JSON already. */
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

/** A rental asked for. */
export interface RentRequest {
  /** Identifies the rental: repeated under the same name, it gets the same machines. */
  name: string;
  type: string;
  zone: string;
  spot: boolean;
  count: number;
}

/** The rental of a request; null where it is malformed. */
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

/** The machines that a request returns; null where it is malformed. */
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
  /** Room for images. */
  localGb: number;
  /** Rate at which images are fetched. */
  pullGbPerS: number;
  price: number;
  spotPrice: number;
  /** Seconds that a machine usually boots. */
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

/** What a controller commands; a stopped task has `graceS` seconds to save its progress. */
export type WorkerCommand =
  | { op: 'launch'; task: string; attempt: number }
  | { op: 'halt'; task: string; attempt: number; graceS: number }
  | { op: 'forget'; task: string; attempt: number };

/** A command as it is sent. */
interface WireCommand {
  ordine: string;
  pratica: string;
  tentativo: number;
  tolleranza_s?: number;
}

/**
 * Commands with the fencing token and agent epoch that they are sent with; null where the token is missing, or the epoch
 * in direct commands. Answers to heartbeats may leave the epoch out. Unknown commands are dropped.
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

/** The name of the node that a 421 redirects to; null where it has none. */
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

/** An attempt as heartbeats report it. */
export interface AttemptStatus {
  task: string;
  attempt: number;
  state: 'fetching' | 'running' | 'flushing' | 'ended';
  /** Null before its end. */
  reason: EndReason | null;
  /** It was stopped with all of its progress saved. */
  saved: boolean;
}

/** What a heartbeat reports. */
export interface WorkerStatus {
  id: string;
  endpoint: string;
  type: string;
  zone: string;
  spot: boolean;
  agentEpoch: number;
  sequence: number;
  fencingToken: number;
  /** Seconds until the cloud takes the machine; null without a preemption notice. */
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

/** Wire names by priority. */
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
 * Kinds of invalid submissions: the name of a required field that is missing, or a code for a field that has a wrong
 * type or value, or that asks for what can never run. Codes are part of a run's digest, and the order decides which kind
 * a random number draws.
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

/** The job's submission with one thing wrong; where `kind` is a field's name, that field is left out. */
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

/** The state of the job in a 200 or 201; null where there is none that can be read. */
export function readJobState(text: string): JobState | null {
  try {
    const state = (JSON.parse(text) as { stato?: unknown }).stato;
    if (state === 'aborted') return 'cancelled';
    return state === 'queued' || state === 'running' || state === 'done' ? state : null;
  } catch {
    return null;
  }
}
