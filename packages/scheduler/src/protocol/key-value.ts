import * as z from 'zod/mini';
import { STORE_PAGE_SIZE } from '../constants.ts';
import { type HttpClient, NoAnswer } from '../transport/http-client.ts';
import { type Int, parseJson, stringifyJson } from './json.ts';
import { int } from './schema.ts';

/**
 * A revision of the whole key-value store, and the version of a key: the revision of its last write. Revisions grow with
 * every write; a precondition's 0 stands for a key that does not exist.
 */
export type Revision = Int;
/** A lease granted by the store; the keys bound to it are deleted when it expires. */
export type LeaseId = Int;

export interface Precondition {
  key: string;
  /** 0: the key must not exist. */
  version: Int;
}
export type Write = { op: 'put'; key: string; value: object; lease?: Int } | { op: 'delete'; key: string };
export interface Entry {
  key: string;
  value: unknown;
  version: Int;
}
export type WatchEvent =
  { op: 'put'; key: string; value: unknown; version: Int } | { op: 'delete'; key: string; version: Int };
export type CompareAndSwapResult =
  { kind: 'committed'; revision: Int } | { kind: 'conflict'; failed: string[] } | { kind: 'no_lease' };

/** The state service refused the call: it was not carried out. A missing answer is a `NoAnswer` instead. */
export class RequestRejected extends Error {}
/** The changes since the asked revision are no longer kept: read the keys again. */
export class RevisionCompacted extends Error {}

export interface KeyValueApi {
  get(key: string): Promise<Entry | null>;
  list(prefix: string, after: string | null): Promise<{ entries: Entry[]; more: boolean; revision: Int }>;
  compareAndSwap(
    conditions: readonly Precondition[],
    writes: readonly Write[],
  ): Promise<CompareAndSwapResult>;
  grantLease(lifeMs: number): Promise<Int>;
  /** False when the lease is over. */
  renewLease(lease: Int): Promise<boolean>;
  watch(prefix: string, from: Int, holdMs: number): Promise<{ revision: Int; events: WatchEvent[] }>;
}

const entry = z.object({ key: z.string(), v: z.unknown(), edizione: int });
const page = z.object({ items: z.array(entry), truncated: z.nullish(z.boolean()), protocollo: int });
const committed = z.object({ protocollo: int });
const failed = z.object({ failed: z.nullish(z.array(z.string())) });
const lease = z.object({ concessione: int });
const changes = z.object({
  protocollo: int,
  events: z.array(
    z.object({
      put: z.nullish(z.string()),
      remove: z.nullish(z.string()),
      v: z.optional(z.unknown()),
      edizione: int,
    }),
  ),
});

function encodeWrite(write: Write): object {
  if (write.op === 'delete') return { remove: write.key };
  const put = { put: write.key, v: write.value };
  return write.lease === undefined ? put : { ...put, concessione: write.lease };
}

export function encodeCompareAndSwap(conditions: readonly Precondition[], writes: readonly Write[]): string {
  return stringifyJson({
    when: conditions.map((c) => ({ key: c.key, edizione: c.version })),
    writes: writes.map(encodeWrite),
  });
}

export function keyValueApi(
  http: HttpClient,
  address: string,
  deadlineMs: number,
  signal: AbortSignal,
): KeyValueApi {
  const call = async (
    method: 'GET' | 'POST',
    path: string,
    body?: string,
    holdMs = 0,
  ): Promise<{ status: number; body: unknown }> => {
    const sent = body === undefined ? {} : { body };
    const answer = await http({ address, method, path, deadlineMs: deadlineMs + holdMs, signal, ...sent });
    if (answer.status === 429 || answer.status === 503)
      throw new RequestRejected(`${path}: ${String(answer.status)}`);
    try {
      return { status: answer.status, body: answer.text === '' ? null : parseJson(answer.text) };
    } catch {
      throw new NoAnswer(`${path}: not JSON`);
    }
  };
  const expect = <T extends z.ZodMiniType>(
    schema: T,
    answer: { status: number; body: unknown },
  ): z.infer<T> => {
    if (answer.status !== 200) throw new NoAnswer(`unexpected status ${String(answer.status)}`);
    return z.parse(schema, answer.body);
  };
  return {
    get: async (key) => {
      const answer = await call('GET', `/kv/${key}`);
      if (answer.status === 404) return null;
      const e = expect(entry, answer);
      return { key: e.key, value: e.v, version: e.edizione };
    },
    list: async (prefix, after) => {
      const from = after === null ? '' : `&from=${after}`;
      const p = expect(
        page,
        await call('GET', `/kv?prefix=${prefix}${from}&most=${String(STORE_PAGE_SIZE)}`),
      );
      return {
        entries: p.items.map((e) => ({ key: e.key, value: e.v, version: e.edizione })),
        more: p.truncated ?? false,
        revision: p.protocollo,
      };
    },
    compareAndSwap: async (conditions, writes) => {
      const answer = await call('POST', '/txn', encodeCompareAndSwap(conditions, writes));
      if (answer.status === 409)
        return { kind: 'conflict', failed: z.parse(failed, answer.body).failed ?? [] };
      if (answer.status === 400 && (answer.body as { error?: unknown } | null)?.error === 'no such lease') {
        return { kind: 'no_lease' };
      }
      return { kind: 'committed', revision: expect(committed, answer).protocollo };
    },
    grantLease: async (lifeMs) =>
      expect(lease, await call('POST', '/grants', stringifyJson({ life_ms: lifeMs }))).concessione,
    renewLease: async (id) => {
      const answer = await call('POST', `/grants/${String(id)}/extend`, '{}');
      if (answer.status === 404) return false;
      if (answer.status !== 200) throw new NoAnswer(`extend: ${String(answer.status)}`);
      return true;
    },
    watch: async (prefix, from, holdMs) => {
      const path = `/follow?prefix=${prefix}&from=${String(from)}&hold_ms=${String(holdMs)}`;
      const answer = await call('GET', path, undefined, holdMs);
      if (answer.status === 410) throw new RevisionCompacted(path);
      const c = expect(changes, answer);
      return {
        revision: c.protocollo,
        events: c.events.map((e): WatchEvent => {
          if (typeof e.put === 'string') return { op: 'put', key: e.put, value: e.v, version: e.edizione };
          if (typeof e.remove === 'string') return { op: 'delete', key: e.remove, version: e.edizione };
          throw new NoAnswer('follow: an event without a key');
        }),
      };
    },
  };
}
