/** The state service (PROTOCOL, "Controller nodes -> state service"): one store, one port for each node. */
import { type Answer, type Json, list, num, now, serve, sleep, text } from './wire.ts';

interface Entry {
  v: unknown;
  edizione: number;
  concessione: number | null;
}

interface Change {
  revision: number;
  key: string;
  put: boolean;
  v: unknown;
}

const KEPT_CHANGES = 10_000;
const MAX_ITEMS = 1000;
const LATENCY_MS = 4;

/** One transaction, as a test sees it before it is carried out. */
export interface Transaction {
  node: string;
  writes: { key: string; v: Json | null }[];
}

/** What a test may do with a transaction: delays before it is carried out and before it is answered. */
export interface TransactionPlan {
  delayMs?: number;
  answerDelayMs?: number;
  /** Carried out, and never answered. */
  unanswered?: boolean;
}

export class StateService {
  private readonly entries = new Map<string, Entry>();
  private readonly leases = new Map<number, { lifeMs: number; timer: NodeJS.Timeout }>();
  private changes: Change[] = [];
  private revision = 100;
  private leaseCount = 0;
  private readonly watchers = new Set<() => void>();
  /** Nodes that are refused alone: 503, and their open watches wait. */
  readonly refused = new Set<string>();
  onTransaction: (transaction: Transaction) => TransactionPlan = () => ({});
  /** The delay of the answers to a node, of watches too. */
  answerDelayMs: (node: string, path: string) => number = () => 0;

  /** The largest value that is accepted, in bytes. */
  constructor(public valueBytes: number) {}

  /** Serves one node. Resolves with the port. */
  async listen(node: string): Promise<number> {
    const { port } = await serve(async (method, url, body) => {
      await sleep(LATENCY_MS);
      if (this.refused.has(node)) return { status: 503, body: {} };
      const answer = await this.handle(node, method, url, body);
      const delayMs = this.answerDelayMs(node, url.pathname);
      if (delayMs > 0) await sleep(delayMs);
      return answer;
    });
    return port;
  }

  /** The value of a key; null if it does not exist. */
  read(key: string): Json | null {
    return (this.entries.get(key)?.v ?? null) as Json | null;
  }

  keys(prefix: string): string[] {
    return [...this.entries.keys()].filter((key) => key.startsWith(prefix)).sort();
  }

  private handle(node: string, method: string, url: URL, body: Json): Answer | Promise<Answer> {
    const path = url.pathname;
    if (method === 'GET' && path === '/kv') return this.listKeys(url);
    if (method === 'GET' && path.startsWith('/kv/')) return this.getKey(path.slice('/kv/'.length));
    if (method === 'POST' && path === '/txn') return this.transact(node, body);
    if (path.startsWith('/grants')) return this.lease(method, path, body);
    if (method === 'GET' && path === '/follow') return this.follow(node, url);
    return { status: 400, body: {} };
  }

  private getKey(key: string): Answer {
    const entry = this.entries.get(key);
    if (!entry) return { status: 404, body: { protocollo: this.revision } };
    return { status: 200, body: { key, ...entry } };
  }

  private listKeys(url: URL): Answer {
    const from = url.searchParams.get('from') ?? '';
    const most = Math.min(MAX_ITEMS, Number(url.searchParams.get('most') ?? MAX_ITEMS));
    const keys = this.keys(url.searchParams.get('prefix') ?? '').filter((key) => key > from);
    const items = keys.slice(0, most).map((key) => {
      const entry = this.entries.get(key);
      return { key, v: entry?.v, edizione: entry?.edizione };
    });
    return { status: 200, body: { items, truncated: keys.length > most, protocollo: this.revision } };
  }

  private async transact(node: string, body: Json): Promise<Answer> {
    const writes = list(body['writes']).map((write) => ({
      key: text(write['put'] ?? write['remove']),
      v: typeof write['put'] === 'string' ? ((write['v'] ?? {}) as Json) : null,
      lease: typeof write['concessione'] === 'number' ? write['concessione'] : null,
    }));
    const plan = this.onTransaction({ node, writes });
    if (plan.delayMs !== undefined) await sleep(plan.delayMs);
    const answer = this.commit(list(body['when']), writes);
    if (plan.unanswered === true) return null;
    if (plan.answerDelayMs !== undefined) await sleep(plan.answerDelayMs);
    return answer;
  }

  private commit(when: Json[], writes: { key: string; v: Json | null; lease: number | null }[]): Answer {
    if (writes.some(({ lease }) => lease !== null && !this.leases.has(lease)))
      return { status: 400, body: { error: 'no such lease' } };
    if (writes.some(({ v }) => v !== null && Buffer.byteLength(JSON.stringify(v)) > this.valueBytes))
      return { status: 400, body: { error: 'value too large' } };
    const failed = when
      .filter(({ key, edizione }) => (this.entries.get(text(key))?.edizione ?? 0) !== num(edizione))
      .map(({ key }) => key);
    if (failed.length > 0) return { status: 409, body: { failed, protocollo: this.revision } };
    if (writes.length > 0) this.revision++;
    for (const { key, v, lease } of writes) this.apply(key, v, lease);
    this.wake();
    return { status: 200, body: { protocollo: this.revision } };
  }

  private apply(key: string, v: Json | null, lease: number | null): void {
    if (v === null) {
      if (!this.entries.delete(key)) return;
    } else this.entries.set(key, { v, edizione: this.revision, concessione: lease });
    this.changes.push({ revision: this.revision, key, put: v !== null, v });
    if (this.changes.length > KEPT_CHANGES) this.changes = this.changes.slice(-KEPT_CHANGES);
  }

  private wake(): void {
    for (const watcher of [...this.watchers]) watcher();
  }

  private lease(method: string, path: string, body: Json): Answer {
    const [, , id, verb] = path.split('/');
    if (method === 'POST' && id === undefined) {
      const lease = ++this.leaseCount;
      const lifeMs = num(body['life_ms']);
      this.leases.set(lease, { lifeMs, timer: setTimeout(() => this.endLease(lease), lifeMs) });
      return { status: 200, body: { concessione: lease } };
    }
    const lease = Number(id);
    const known = this.leases.get(lease);
    if (!known) return { status: 404, body: {} };
    clearTimeout(known.timer);
    if (method === 'DELETE') this.endLease(lease);
    else if (verb === 'extend') known.timer = setTimeout(() => this.endLease(lease), known.lifeMs);
    return { status: 200, body: {} };
  }

  private endLease(lease: number): void {
    this.leases.delete(lease);
    const keys = [...this.entries].filter(([, { concessione }]) => concessione === lease).map(([key]) => key);
    if (keys.length === 0) return;
    this.revision++;
    for (const key of keys) this.apply(key, null, null);
    this.wake();
  }

  private async follow(node: string, url: URL): Promise<Answer> {
    const prefix = url.searchParams.get('prefix') ?? '';
    const from = Number(url.searchParams.get('from') ?? 0);
    const until = now() + Math.min(60_000, Number(url.searchParams.get('hold_ms') ?? 0));
    for (;;) {
      const oldest = this.changes[0]?.revision ?? this.revision + 1;
      if (this.changes.length >= KEPT_CHANGES && from < oldest - 1) return { status: 410, body: {} };
      const found = this.changes.filter(({ revision, key }) => revision > from && key.startsWith(prefix));
      const isOpen = this.refused.has(node);
      if (!isOpen && (found.length > 0 || now() >= until)) {
        const events = found.map(({ revision, key, put, v }) =>
          put ? { put: key, v, edizione: revision } : { remove: key, edizione: revision },
        );
        return { status: 200, body: { protocollo: this.revision, events } };
      }
      await this.nextChange(Math.max(10, Math.min(200, until - now())));
    }
  }

  private nextChange(ms: number): Promise<void> {
    return new Promise((resolve) => {
      const end = (): void => {
        clearTimeout(timer);
        this.watchers.delete(end);
        resolve();
      };
      const timer = setTimeout(end, ms);
      this.watchers.add(end);
    });
  }
}
