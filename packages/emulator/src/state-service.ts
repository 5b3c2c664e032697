import type { Random } from '@onyxkeel/scheduler';
import {
  HISTORY,
  KEY_BYTES,
  LATE_WRITE_MS,
  LEASE_LATE_MS,
  LIST_BYTES,
  LIST_ITEMS,
  STATE_LATE_MS,
  STATE_MS,
  STATE_SLOW_MS,
  STATE_SLOW_SHARE,
  TXN_BYTES,
} from './constants.ts';
import { Bucket } from './bucket.ts';
import { Copies, type Loss, lost, type Stored } from './losses.ts';
import type { Host, Reply, Request } from './network.ts';
import { readLife, readTxn, stateWords, type Txn } from './protocol/wire.ts';
import type { Timer, VirtualTime } from './time.ts';

interface Lease {
  lifeMs: number;
  holder: Host;
  timer: Timer;
}
interface Watch {
  prefix: string;
  from: number;
  holder: Host;
  wake: () => void;
}

/** When a transaction is applied, in milliseconds (null: never), and whether its sender is answered. */
export interface Fate {
  appliedAfterMs: number | null;
  answered: boolean;
}

const unavailable: Reply = { status: 503, body: '{}' };
const tooMany: Reply = { status: 429, body: '{}' };
const malformed: Reply = { status: 400, body: '{"error":"malformed"}' };

/** The state service, by PROTOCOL "Controller nodes -> state service" and "Outages and cuts". */
export class StateService {
  private data = new Map<string, Stored>();
  /** Kept only where a loss may go back to one. */
  private copies: Copies | null = null;
  private readonly leases = new Map<number, Lease>();
  private readonly watches = new Set<Watch>();
  private readonly history: { revision: number; key: string; text: string }[] = [];
  private revision = 1;
  private leaseCount = 0;
  private outage = false;
  private readonly refused = new Set<Host>();
  private readonly requests: Bucket;
  private readonly changes: Bucket;
  /** Share of transactions that get no answer and are applied later, or not seen to be. */
  lateShare = 0;
  /** Share of transactions that get no answer and are carried out some seconds later, after newer ones. */
  lateWrites = 0;
  /** Share of transactions that are carried out at once and get no answer. */
  lostAnswers = 0;
  /** Told of every key that a transaction puts. */
  onPut: (key: string) => void = () => {};
  /** Milliseconds more that an answer takes, at most. */
  slowMs = 0;
  /** What becomes of a transaction that writes these keys, for stories of one transaction; null: nothing special. */
  fate: ((keys: string[], from: Host) => Fate | null) | null = null;
  /** Calls refused because a limit was passed, and all calls and changes taken. */
  readonly counts = { refused: 0, requests: 0, changes: 0 };

  constructor(
    private readonly time: VirtualTime,
    private readonly random: Random,
    private readonly limits: { rps: number; writeRps: number; valueKb: number; txnOps: number },
  ) {
    this.requests = new Bucket(time, limits.rps, limits.rps);
    this.changes = new Bucket(time, limits.writeRps, limits.writeRps);
  }

  /** The value of a key, for tests and judges. */
  read(key: string): unknown {
    const stored = this.data.get(key);
    return stored === undefined ? undefined : (JSON.parse(stored.text) as unknown);
  }

  keys(prefix: string): string[] {
    return [...this.data.keys()].filter((key) => key.startsWith(prefix));
  }

  /** An outage of all, or its end: leases then have their full time again. */
  setOutage(outage: boolean): void {
    this.outage = outage;
    if (outage) for (const lease of this.leases.values()) lease.timer.cancel();
    else {
      for (const [id, lease] of this.leases) this.renew(id, lease);
      for (const watch of [...this.watches]) watch.wake();
    }
  }

  /** From now on a loss may go back to the data as it was. */
  keepCopies(): void {
    this.copies ??= new Copies();
  }

  /** Data is lost, and with it what was kept for those who follow; nobody is told. */
  lose(loss: Loss): void {
    const copies = this.copies ?? new Copies();
    const after = lost(
      loss,
      this.time.now,
      { data: this.data, revision: this.revision },
      copies,
      this.random,
    );
    this.data = after.data;
    this.revision = after.revision;
    this.history.length = 0;
    if (loss.leases) {
      for (const lease of this.leases.values()) lease.timer.cancel();
      this.leases.clear();
      if (loss.revisions === 'back') this.leaseCount = 0;
    }
    for (const [key, { lease }] of this.data) {
      if (lease !== null && !this.leases.has(lease)) this.data.delete(key);
    }
  }

  /** One node alone gets 503 for a while; its leases run out meanwhile and its watches wait. */
  setRefused(node: Host, refused: boolean): void {
    if (refused) this.refused.add(node);
    else {
      this.refused.delete(node);
      for (const watch of [...this.watches]) if (watch.holder === node) watch.wake();
    }
  }

  private away(node: Host): boolean {
    return this.outage || this.refused.has(node);
  }

  serve = async (request: Request): Promise<Reply | undefined> => {
    if (this.away(request.from)) return unavailable;
    if (!this.requests.take(1)) return this.refuse();
    this.counts.requests++;
    const slow = this.random.below(100_000) < STATE_SLOW_SHARE * 100_000;
    const more = this.slowMs > 0 ? this.random.below(this.slowMs) : 0;
    await this.time.sleep((slow ? STATE_SLOW_MS : STATE_MS) + more);
    if (this.away(request.from)) return unavailable;
    const url = new URL(request.path, 'http://state');
    const { pathname, searchParams } = url;
    if (request.method === 'POST' && pathname === '/txn') return this.onTxn(request);
    if (request.method === 'POST' && pathname === '/grants') return this.grant(request);
    const grant = /^\/grants\/(\d+)(\/extend)?$/.exec(pathname);
    if (grant) return this.onGrant(request.method, Number(grant[1]), grant[2] !== undefined);
    if (request.method !== 'GET') return malformed;
    if (pathname === '/follow') return this.follow(request.from, searchParams);
    if (pathname === '/kv') return this.list(searchParams);
    if (!pathname.startsWith('/kv/')) return malformed;
    const key = pathname.slice(4);
    const stored = this.data.get(key);
    if (!stored) return { status: 404, body: stateWords.revision(this.revision) };
    return { status: 200, body: stateWords.entry(key, stored.text, stored.version, stored.lease) };
  };

  private refuse(): Reply {
    this.counts.refused++;
    return tooMany;
  }

  // --- transactions ---

  private async onTxn({ body, from }: Request): Promise<Reply | undefined> {
    const txn = readTxn(body);
    const { valueKb, txnOps } = this.limits;
    if (!txn || Buffer.byteLength(body) > TXN_BYTES || txn.writes.length > txnOps) return malformed;
    if (txn.conditions.length > 4 * txnOps) return malformed;
    for (const write of txn.writes) {
      if (Buffer.byteLength(write.key) > KEY_BYTES || write.key === '' || write.key.includes(' '))
        return malformed;
      if (write.op === 'put' && Buffer.byteLength(write.text) > valueKb * 1024) return malformed;
    }
    if (txn.writes.length > 0 && !this.changes.take(txn.writes.length)) return this.refuse();
    this.counts.changes += txn.writes.length;
    const fate = this.fate?.(
      txn.writes.map((write) => write.key),
      from,
    );
    if (fate) {
      await this.time.sleep(fate.appliedAfterMs ?? 0);
      const reply = fate.appliedAfterMs === null || this.outage ? undefined : this.apply(txn);
      return fate.answered ? reply : undefined;
    }
    if (this.lateWrites > 0 && this.random.below(1000) < this.lateWrites * 1000) {
      const [from, to] = LATE_WRITE_MS;
      await this.time.sleep(from + this.random.below(to - from));
      if (!this.outage) this.apply(txn);
      return undefined;
    }
    if (this.lateShare > 0 && this.random.below(1000) < this.lateShare * 1000) {
      await this.time.sleep(this.random.below(STATE_LATE_MS));
      if (!this.outage) this.apply(txn);
      return undefined;
    }
    const reply = this.apply(txn);
    const lost = this.lostAnswers > 0 && this.random.below(1000) < this.lostAnswers * 1000;
    return lost ? undefined : reply;
  }

  private apply(txn: Txn): Reply {
    const failed = txn.conditions
      .filter((c) => (this.data.get(c.key)?.version ?? 0) !== c.version)
      .map((c) => c.key);
    // A lease that is over is told whatever the conditions are.
    if (txn.writes.some((w) => w.op === 'put' && w.lease !== null && !this.leases.has(w.lease))) {
      return { status: 400, body: '{"error":"no such lease"}' };
    }
    if (failed.length > 0) return { status: 409, body: stateWords.conflict(failed, this.revision) };
    this.copies?.take(this.time.now, this.revision, this.data);
    if (txn.writes.length > 0) this.revision++;
    for (const write of txn.writes) {
      if (write.op === 'remove') this.remove(write.key);
      else {
        const { key, text, lease } = write;
        this.data.set(key, { text, version: this.revision, lease });
        this.note(key, stateWords.put(key, text, this.revision));
        this.onPut(key);
      }
    }
    this.tellWatches();
    return { status: 200, body: stateWords.revision(this.revision) };
  }

  private remove(key: string): void {
    if (this.data.delete(key)) this.note(key, stateWords.removed(key, this.revision));
  }

  private note(key: string, text: string): void {
    this.history.push({ revision: this.revision, key, text });
    if (this.history.length > HISTORY) this.history.shift();
  }

  private tellWatches(): void {
    const newest = this.history.at(-1);
    if (newest?.revision !== this.revision) return;
    for (const watch of [...this.watches]) {
      if (this.away(watch.holder)) continue;
      for (let i = this.history.length - 1; this.history[i]?.revision === this.revision; i--) {
        if (this.history[i]?.key.startsWith(watch.prefix)) {
          watch.wake();
          break;
        }
      }
    }
  }

  // --- leases ---

  private grant(request: Request): Reply {
    const lifeMs = readLife(request.body);
    if (lifeMs === null) return malformed;
    const id = ++this.leaseCount;
    const lease: Lease = { lifeMs, holder: request.from, timer: { cancel: () => {} } };
    this.leases.set(id, lease);
    this.renew(id, lease);
    return { status: 200, body: stateWords.lease(id) };
  }

  private renew(id: number, lease: Lease): void {
    lease.timer.cancel();
    const late = this.random.below(LEASE_LATE_MS);
    lease.timer = this.time.after(lease.lifeMs + late, () => this.endLease(id));
  }

  private endLease(id: number): void {
    if (!this.leases.delete(id)) return;
    const keys = [...this.data].filter(([, stored]) => stored.lease === id).map(([key]) => key);
    if (keys.length === 0) return;
    this.revision++;
    for (const key of keys) this.remove(key);
    this.tellWatches();
  }

  private onGrant(method: string, id: number, extend: boolean): Reply {
    const lease = this.leases.get(id);
    if (!lease) return { status: 404, body: '{}' };
    if (extend && method === 'POST') this.renew(id, lease);
    else if (method === 'DELETE') {
      lease.timer.cancel();
      this.endLease(id);
    } else return malformed;
    return { status: 200, body: '{}' };
  }

  // --- reading ---

  private list(query: URLSearchParams): Reply {
    const prefix = query.get('prefix') ?? '';
    const from = query.get('from') ?? '';
    const most = Math.min(LIST_ITEMS, Number(query.get('most') ?? LIST_ITEMS));
    const keys = [...this.data.keys()].filter((key) => key.startsWith(prefix) && key > from).sort();
    const items: string[] = [];
    let bytes = 0;
    for (const key of keys) {
      const stored = this.data.get(key);
      if (!stored) continue;
      const text = stateWords.entry(key, stored.text, stored.version, stored.lease);
      bytes += text.length;
      if (items.length >= most || (bytes > LIST_BYTES && items.length > 0)) break;
      items.push(text);
    }
    return { status: 200, body: stateWords.page(items, items.length < keys.length, this.revision) };
  }

  private async follow(holder: Host, query: URLSearchParams): Promise<Reply> {
    const prefix = query.get('prefix') ?? '';
    const from = Number(query.get('from') ?? '0');
    const until = this.time.now + Math.min(60_000, Number(query.get('hold_ms') ?? '0'));
    for (;;) {
      const oldest = this.history[0]?.revision ?? 0;
      if (this.history.length >= HISTORY && from < oldest - 1) return { status: 410, body: '{}' };
      if (!this.away(holder)) {
        const events: string[] = [];
        for (let i = this.history.length - 1; i >= 0; i--) {
          const change = this.history[i];
          if (!change || change.revision <= from) break;
          if (change.key.startsWith(prefix)) events.push(change.text);
        }
        if (events.length > 0 || this.time.now >= until) {
          return { status: 200, body: stateWords.changes(events.reverse(), this.revision) };
        }
      }
      await new Promise<void>((resolve) => {
        const watch: Watch = { prefix, from, holder, wake: () => done() };
        // Past its time it waits for the outage's end alone.
        const timer = this.time.now < until ? this.time.at(until, () => done()) : null;
        const done = (): void => {
          timer?.cancel();
          this.watches.delete(watch);
          resolve();
        };
        this.watches.add(watch);
      });
    }
  }
}
