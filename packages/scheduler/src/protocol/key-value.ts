/**
 * The key-value store's API (PROTOCOL), and its client over HTTP. The names on the wire are used in this
 * module only.
 *
 * A call has one of three outcomes: an answer; an error that says that the store did not carry it out
 * (`RequestRejected`); or `NoAnswer`, after which it is unknown whether the store carried it out. If the
 * answer's JSON does not conform to PROTOCOL, the call rejects with a `ZodError`, which means the same as
 * `NoAnswer`.
 */
import * as z from 'zod/mini';
import { STORE_PAGE_SIZE } from '../constants.ts';
import { NoAnswer } from '../transport/http-client.ts';
import { errorOf, type JsonReply, parseReply, type ServiceEndpoint } from './json-reply.ts';
import { type ExactInteger, stringifyJson } from './json.ts';
import { exactInteger } from './schema.ts';

/**
 * A revision of the whole key-value store, or the version of a key, which is the revision of its last write.
 * Revisions grow with every write. The version 0 stands for a key that does not exist.
 */
export type Revision = ExactInteger;

/** The id of a lease granted by the store. The store deletes the lease's keys when the lease expires. */
export type LeaseId = ExactInteger;

/** A condition of a transaction: the key has this version. */
export interface Precondition {
  key: string;
  /** 0: the key must not exist. */
  version: Revision;
}

/** One write of a transaction. A key written with a lease is deleted when the lease expires. */
export type Write =
  { op: 'put'; key: string; value: object; lease?: LeaseId } | { op: 'delete'; key: string };

/** A key with its value, and the revision that last wrote it. */
export interface Entry {
  key: string;
  value: unknown;
  version: Revision;
}

/** A change seen by a watch; `version` is the revision of the change. */
export type WatchEvent =
  | { op: 'put'; key: string; value: unknown; version: Revision }
  | { op: 'delete'; key: string; version: Revision };

/**
 * The outcome of a transaction: committed at a revision; not carried out because the keys in `failed` have
 * other versions; or not carried out because the lease of a write has expired.
 */
export type CompareAndSwapResult =
  { kind: 'committed'; revision: Revision } | { kind: 'conflict'; failed: string[] } | { kind: 'no_lease' };

/** A page of a list, in the order of the keys, as of one revision. Pages may be of different revisions. */
export interface ListPage {
  entries: Entry[];
  /** Whether there are further pages. */
  more: boolean;
  revision: Revision;
}

/** The changes up to a revision. */
export interface WatchResult {
  /** The revision from which the next watch continues. */
  revision: Revision;
  events: WatchEvent[];
}

/** The key-value store refused the call and did not carry it out. A missing answer is a `NoAnswer`. */
export class RequestRejected extends Error {
  readonly code = 'REQUEST_REJECTED';
}

/** The store no longer keeps the changes since the given revision: the caller must read the keys again. */
export class RevisionCompacted extends Error {
  readonly code = 'REVISION_COMPACTED';
}

/**
 * The calls of the key-value store. All of them may reject with `RequestRejected` or `NoAnswer`; see the
 * module's comment.
 */
export interface KeyValueApi {
  /** The key's entry, or null if it does not exist. */
  get(key: string): Promise<Entry | null>;
  /** The next page of the keys with the prefix, after the key `after`; null for the first page. */
  list(prefix: string, after: string | null): Promise<ListPage>;
  /** Carries out all writes in one transaction if all preconditions hold, otherwise none. */
  compareAndSwap(
    preconditions: readonly Precondition[],
    writes: readonly Write[],
  ): Promise<CompareAndSwapResult>;
  /** Grants a lease that expires after `ttlMs` unless it is renewed. */
  grantLease(ttlMs: number): Promise<LeaseId>;
  /** Renews a lease for its whole duration; false if it has expired. */
  renewLease(lease: LeaseId): Promise<boolean>;
  /**
   * The changes of keys with the prefix after the revision `from`. If there are none, the store holds the
   * call for up to `holdMs`. May also reject with `RevisionCompacted`.
   */
  watch(prefix: string, from: Revision, holdMs: number): Promise<WatchResult>;
}

const wireEntry = z.object({ key: z.string(), v: z.unknown(), edizione: exactInteger });
const wirePage = z.object({
  items: z.array(wireEntry),
  truncated: z.nullish(z.boolean()),
  protocollo: exactInteger,
});
const wireCommitted = z.object({ protocollo: exactInteger });
const wireConflict = z.object({ failed: z.nullish(z.array(z.string())) });
const wireLease = z.object({ concessione: exactInteger });
const wireEvent = z.object({
  put: z.nullish(z.string()),
  remove: z.nullish(z.string()),
  v: z.optional(z.unknown()),
  edizione: exactInteger,
});
const wireChanges = z.object({ protocollo: exactInteger, events: z.array(wireEvent) });

function encodeWrite(write: Write): object {
  if (write.op === 'delete') return { remove: write.key };
  const put = { put: write.key, v: write.value };
  return write.lease === undefined ? put : { ...put, concessione: write.lease };
}

/** The body of a transaction. Its length counts against the store's limits. */
export function encodeCompareAndSwap(
  preconditions: readonly Precondition[],
  writes: readonly Write[],
): string {
  return stringifyJson({
    when: preconditions.map(({ key, version }) => ({ key, edizione: version })),
    writes: writes.map(encodeWrite),
  });
}

function decodeEntry(wire: z.infer<typeof wireEntry>): Entry {
  return { key: wire.key, value: wire.v, version: wire.edizione };
}

function decodeEvent(wire: z.infer<typeof wireEvent>): WatchEvent {
  const version = wire.edizione;
  if (typeof wire.put === 'string') return { op: 'put', key: wire.put, value: wire.v, version };
  if (typeof wire.remove === 'string') return { op: 'delete', key: wire.remove, version };
  throw new NoAnswer('follow: an event without a key');
}

function expectOk<T extends z.ZodMiniType>(schema: T, reply: JsonReply): z.infer<T> {
  if (reply.status !== 200) throw new NoAnswer(`unexpected status ${String(reply.status)}`);
  return z.parse(schema, reply.body);
}

/** Puts keys and prefixes into URLs unescaped, so they must contain only characters that need no escaping. */
class KeyValueClient implements KeyValueApi {
  constructor(private readonly endpoint: ServiceEndpoint) {}

  async get(key: string): Promise<Entry | null> {
    const reply = await this.call('GET', `/kv/${key}`);
    return reply.status === 404 ? null : decodeEntry(expectOk(wireEntry, reply));
  }

  async list(prefix: string, after: string | null): Promise<ListPage> {
    const from = after === null ? '' : `&from=${after}`;
    const path = `/kv?prefix=${prefix}${from}&most=${String(STORE_PAGE_SIZE)}`;
    const page = expectOk(wirePage, await this.call('GET', path));
    return {
      entries: page.items.map(decodeEntry),
      more: page.truncated ?? false,
      revision: page.protocollo,
    };
  }

  async compareAndSwap(
    preconditions: readonly Precondition[],
    writes: readonly Write[],
  ): Promise<CompareAndSwapResult> {
    const reply = await this.call('POST', '/txn', { body: encodeCompareAndSwap(preconditions, writes) });
    if (reply.status === 409) {
      return { kind: 'conflict', failed: z.parse(wireConflict, reply.body).failed ?? [] };
    }
    if (reply.status === 400 && errorOf(reply) === 'no such lease') return { kind: 'no_lease' };
    return { kind: 'committed', revision: expectOk(wireCommitted, reply).protocollo };
  }

  async grantLease(ttlMs: number): Promise<LeaseId> {
    const body = stringifyJson({ life_ms: ttlMs });
    return expectOk(wireLease, await this.call('POST', '/grants', { body })).concessione;
  }

  async renewLease(lease: LeaseId): Promise<boolean> {
    const reply = await this.call('POST', `/grants/${String(lease)}/extend`, { body: '{}' });
    if (reply.status === 404) return false;
    if (reply.status !== 200) throw new NoAnswer(`extend: ${String(reply.status)}`);
    return true;
  }

  async watch(prefix: string, from: Revision, holdMs: number): Promise<WatchResult> {
    const path = `/follow?prefix=${prefix}&from=${String(from)}&hold_ms=${String(holdMs)}`;
    const reply = await this.call('GET', path, { holdMs });
    if (reply.status === 410) throw new RevisionCompacted(path);
    const changes = expectOk(wireChanges, reply);
    return { revision: changes.protocollo, events: changes.events.map(decodeEvent) };
  }

  /** Makes a call. Statuses 429 and 503 reject here; the meaning of the others depends on the call. */
  private async call(
    method: 'GET' | 'POST',
    path: string,
    { holdMs = 0, ...sent }: { body?: string; holdMs?: number } = {},
  ): Promise<JsonReply> {
    const { http, address, deadlineMs, signal } = this.endpoint;
    const response = await http({ address, method, path, deadlineMs: deadlineMs + holdMs, signal, ...sent });
    const { status, text } = response;
    if (status === 429 || status === 503) throw new RequestRejected(`${path}: ${String(status)}`);
    return text === '' ? { status, body: null } : parseReply(path, response);
  }
}

/** A client of the key-value store. */
export function keyValueApi(endpoint: ServiceEndpoint): KeyValueApi {
  return new KeyValueClient(endpoint);
}
