/**
 * A model of the key-value store (PROTOCOL "Controller nodes -> state service", "Outages and cuts"):
 * transactions, leases, lists and watches, with its limits and faults. All times are virtual, in
 * milliseconds.
 */
import type { Random } from '@onyxkeel/scheduler';
import {
  WATCH_HISTORY,
  KEY_BYTES,
  LATE_WRITE_MS,
  LEASE_LATE_MS,
  LIST_BYTES,
  LIST_ITEMS,
  LATE_TRANSACTION_MS,
  STORE_LATENCY_MS,
  STORE_SLOW_LATENCY_MS,
  STORE_SLOW_SHARE,
  TXN_BYTES,
} from './constants.ts';
import { TokenBucket } from './token-bucket.ts';
import { Snapshots, type Loss, applyLoss, type StoredValue } from './data-loss.ts';
import type { Host, Reply, Request } from './network.ts';
import { readLeaseDuration, readTransaction, storeResponses, type Transaction } from './protocol/wire.ts';
import type { Timer, VirtualTime } from './time.ts';

/** A lease that has not ended. */
interface Lease {
  readonly lifeMs: number;
  readonly holder: Host;
  /** Ends the lease. Cancelled during an outage. */
  timer: Timer;
}

/** A watch call that waits for changes. */
interface Watch {
  readonly prefix: string;
  /** The call waits for changes of higher revisions. */
  readonly from: number;
  readonly holder: Host;
  /** Makes the call look for changes again. */
  readonly wake: () => void;
}

/**
 * A fault of one transaction: after how many milliseconds it is applied (null: never), and whether it is
 * answered.
 */
export interface TransactionFault {
  appliedAfterMs: number | null;
  answered: boolean;
}

const unavailable: Reply = { status: 503, body: '{}' };
const tooManyRequests: Reply = { status: 429, body: '{}' };
const malformed: Reply = { status: 400, body: '{"error":"malformed"}' };

/** The key-value store of a deployment. Its own nodes appear to the controllers as one server. */
export class KeyValueStoreServer {
  /** Stored values, by key. */
  private data = new Map<string, StoredValue>();
  /** Snapshots for losses of data that go back to one; null if none are kept. */
  private snapshots: Snapshots | null = null;
  private readonly leases = new Map<number, Lease>();
  private readonly watches = new Set<Watch>();
  /**
   * The newest changes, oldest first, for watches. Once there are `WATCH_HISTORY` of them, a watch from an
   * older revision is answered 410.
   */
  private readonly history: { revision: number; key: string; text: string }[] = [];
  /** Incremented by every transaction that writes, and by every lease that ends with keys attached. */
  private revision = 1;
  private leaseCount = 0;
  /** While set, no controller is served. */
  private hasOutage = false;
  /** Controllers that are not served even without an outage for all. */
  private readonly refusedNodes = new Set<Host>();
  private readonly requestLimit: TokenBucket;
  private readonly writeLimit: TokenBucket;
  /**
   * Share of transactions that get no answer and are applied within `LATE_TRANSACTION_MS`, unless there
   * is an outage then.
   */
  lateTransactionShare = 0;
  /**
   * Share of transactions that get no answer and are applied seconds later (`LATE_WRITE_MS`), mostly after
   * newer ones, unless there is an outage then.
   */
  lateWriteShare = 0;
  /** Share of transactions that are applied at once and get no answer. */
  lostAnswerShare = 0;
  /** Called with each key that a transaction puts. */
  onPut: (key: string) => void = () => {};
  /** Greatest additional latency of an answer, in milliseconds. */
  extraLatencyMs = 0;
  /**
   * Returns the fault of a transaction that writes these keys, or null if it has none. For named scenarios of
   * one transaction.
   */
  transactionFaultFor: ((keys: string[], from: Host) => TransactionFault | null) | null = null;
  /** Calls rejected by either limit, calls that the request limit let pass, writes that both let pass. */
  readonly counts = { refused: 0, requests: 0, changes: 0 };

  constructor(
    private readonly time: VirtualTime,
    private readonly random: Random,
    /** Limits: requests and writes a second, kibibytes of a value, operations of a transaction. */
    private readonly limits: { rps: number; writeRps: number; valueKb: number; txnOps: number },
  ) {
    this.requestLimit = new TokenBucket(time, limits.rps, limits.rps);
    this.writeLimit = new TokenBucket(time, limits.writeRps, limits.writeRps);
  }

  /** The parsed value of a key, for tests and the invariant checker; undefined if there is none. */
  read(key: string): unknown {
    const stored = this.data.get(key);
    return stored === undefined ? undefined : (JSON.parse(stored.text) as unknown);
  }

  /** All present keys with the prefix, for tests. */
  keys(prefix: string): string[] {
    return [...this.data.keys()].filter((key) => key.startsWith(prefix));
  }

  /**
   * Starts or ends an outage for all controllers. No lease ends during it; afterwards each has its full
   * duration.
   */
  setOutage(outage: boolean): void {
    this.hasOutage = outage;
    if (outage) for (const lease of this.leases.values()) lease.timer.cancel();
    else {
      for (const [id, lease] of this.leases) this.renew(id, lease);
      for (const watch of [...this.watches]) watch.wake();
    }
  }

  /** Keeps snapshots from now on, so that a loss of data may go back to one. */
  keepSnapshots(): void {
    this.snapshots ??= new Snapshots();
  }

  /** Loses data and the history for watches. Watches do not report the loss. */
  loseData(loss: Loss): void {
    const snapshots = this.snapshots ?? new Snapshots();
    const after = applyLoss(
      loss,
      this.time.now,
      { data: this.data, revision: this.revision },
      snapshots,
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

  /** Starts or ends an outage for one controller: it gets 503, its leases expire and its watches wait. */
  setRefused(node: Host, refused: boolean): void {
    if (refused) this.refusedNodes.add(node);
    else {
      this.refusedNodes.delete(node);
      for (const watch of [...this.watches]) if (watch.holder === node) watch.wake();
    }
  }

  private isUnavailableTo(node: Host): boolean {
    return this.hasOutage || this.refusedNodes.has(node);
  }

  /** Serves one request. Undefined means that the answer is lost. */
  serve = async (request: Request): Promise<Reply | undefined> => {
    if (this.isUnavailableTo(request.from)) return unavailable;
    if (!this.requestLimit.take(1)) return this.refuseOverLimit();
    this.counts.requests++;
    const isSlow = this.random.below(100_000) < STORE_SLOW_SHARE * 100_000;
    const extraMs = this.extraLatencyMs > 0 ? this.random.below(this.extraLatencyMs) : 0;
    await this.time.sleep((isSlow ? STORE_SLOW_LATENCY_MS : STORE_LATENCY_MS) + extraMs);
    if (this.isUnavailableTo(request.from)) return unavailable;
    const url = new URL(request.path, 'http://state');
    const { pathname, searchParams } = url;
    if (request.method === 'POST' && pathname === '/txn') return this.onTransaction(request);
    if (request.method === 'POST' && pathname === '/grants') return this.grantLease(request);
    const grant = /^\/grants\/(\d+)(\/extend)?$/.exec(pathname);
    if (grant) return this.onLease(request.method, Number(grant[1]), grant[2] !== undefined);
    if (request.method !== 'GET') return malformed;
    if (pathname === '/follow') return this.watch(request.from, searchParams);
    if (pathname === '/kv') return this.list(searchParams);
    if (!pathname.startsWith('/kv/')) return malformed;
    const key = pathname.slice(4);
    const stored = this.data.get(key);
    if (!stored) return { status: 404, body: storeResponses.revision(this.revision) };
    return { status: 200, body: storeResponses.entry(key, stored.text, stored.version, stored.lease) };
  };

  private refuseOverLimit(): Reply {
    this.counts.refused++;
    return tooManyRequests;
  }

  // --- transactions ---

  /**
   * Checks the transaction against the limits and applies it. Active faults may delay it or lose its answer.
   */
  private async onTransaction({ body, from }: Request): Promise<Reply | undefined> {
    const txn = readTransaction(body);
    const { valueKb, txnOps } = this.limits;
    if (!txn || Buffer.byteLength(body) > TXN_BYTES || txn.writes.length > txnOps) return malformed;
    if (txn.conditions.length > 4 * txnOps) return malformed;
    for (const write of txn.writes) {
      if (Buffer.byteLength(write.key) > KEY_BYTES || write.key === '' || write.key.includes(' '))
        return malformed;
      if (write.op === 'put' && Buffer.byteLength(write.text) > valueKb * 1024) return malformed;
    }
    if (txn.writes.length > 0 && !this.writeLimit.take(txn.writes.length)) return this.refuseOverLimit();
    this.counts.changes += txn.writes.length;
    const fault = this.transactionFaultFor?.(
      txn.writes.map((write) => write.key),
      from,
    );
    if (fault) {
      await this.time.sleep(fault.appliedAfterMs ?? 0);
      const reply = fault.appliedAfterMs === null || this.hasOutage ? undefined : this.apply(txn);
      return fault.answered ? reply : undefined;
    }
    if (this.lateWriteShare > 0 && this.random.below(1000) < this.lateWriteShare * 1000) {
      const [fromMs, belowMs] = LATE_WRITE_MS;
      await this.time.sleep(fromMs + this.random.below(belowMs - fromMs));
      if (!this.hasOutage) this.apply(txn);
      return undefined;
    }
    if (this.lateTransactionShare > 0 && this.random.below(1000) < this.lateTransactionShare * 1000) {
      await this.time.sleep(this.random.below(LATE_TRANSACTION_MS));
      if (!this.hasOutage) this.apply(txn);
      return undefined;
    }
    const reply = this.apply(txn);
    const isAnswerLost = this.lostAnswerShare > 0 && this.random.below(1000) < this.lostAnswerShare * 1000;
    return isAnswerLost ? undefined : reply;
  }

  /** Applies the transaction if all its preconditions hold. All its writes get the same revision. */
  private apply(txn: Transaction): Reply {
    const failed = txn.conditions
      .filter((c) => (this.data.get(c.key)?.version ?? 0) !== c.version)
      .map((c) => c.key);
    // An ended lease is reported even if preconditions fail.
    if (txn.writes.some((w) => w.op === 'put' && w.lease !== null && !this.leases.has(w.lease))) {
      return { status: 400, body: '{"error":"no such lease"}' };
    }
    if (failed.length > 0) return { status: 409, body: storeResponses.conflict(failed, this.revision) };
    this.snapshots?.take(this.time.now, this.revision, this.data);
    if (txn.writes.length > 0) this.revision++;
    for (const write of txn.writes) {
      if (write.op === 'remove') this.remove(write.key);
      else {
        const { key, text, lease } = write;
        this.data.set(key, { text, version: this.revision, lease });
        this.addToHistory(key, storeResponses.put(key, text, this.revision));
        this.onPut(key);
      }
    }
    this.wakeWatches();
    return { status: 200, body: storeResponses.revision(this.revision) };
  }

  private remove(key: string): void {
    if (this.data.delete(key)) this.addToHistory(key, storeResponses.removed(key, this.revision));
  }

  private addToHistory(key: string, text: string): void {
    this.history.push({ revision: this.revision, key, text });
    if (this.history.length > WATCH_HISTORY) this.history.shift();
  }

  /** Wakes the watches whose prefix matches a change of the present revision. */
  private wakeWatches(): void {
    const newest = this.history.at(-1);
    if (newest?.revision !== this.revision) return;
    for (const watch of [...this.watches]) {
      if (this.isUnavailableTo(watch.holder)) continue;
      for (let i = this.history.length - 1; this.history[i]?.revision === this.revision; i--) {
        if (this.history[i]?.key.startsWith(watch.prefix)) {
          watch.wake();
          break;
        }
      }
    }
  }

  // --- leases ---

  private grantLease(request: Request): Reply {
    const lifeMs = readLeaseDuration(request.body);
    if (lifeMs === null) return malformed;
    const id = ++this.leaseCount;
    const lease: Lease = { lifeMs, holder: request.from, timer: { cancel: () => {} } };
    this.leases.set(id, lease);
    this.renew(id, lease);
    return { status: 200, body: storeResponses.lease(id) };
  }

  /** Restarts the lease with its full duration. It ends up to `LEASE_LATE_MS` late. */
  private renew(id: number, lease: Lease): void {
    lease.timer.cancel();
    const lateMs = this.random.below(LEASE_LATE_MS);
    lease.timer = this.time.after(lease.lifeMs + lateMs, () => this.endLease(id));
  }

  /** Ends the lease and removes the keys attached to it, in one revision. */
  private endLease(id: number): void {
    if (!this.leases.delete(id)) return;
    const keys = [...this.data].filter(([, stored]) => stored.lease === id).map(([key]) => key);
    if (keys.length === 0) return;
    this.revision++;
    for (const key of keys) this.remove(key);
    this.wakeWatches();
  }

  /** Extends a lease or ends it. */
  private onLease(method: string, id: number, extend: boolean): Reply {
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

  /** A page of the entries with a prefix, in the order of their keys. */
  private list(query: URLSearchParams): Reply {
    const prefix = query.get('prefix') ?? '';
    const from = query.get('from') ?? '';
    const limit = Math.min(LIST_ITEMS, Number(query.get('most') ?? LIST_ITEMS));
    const keys = [...this.data.keys()].filter((key) => key.startsWith(prefix) && key > from).sort();
    const items: string[] = [];
    let bytes = 0;
    for (const key of keys) {
      const stored = this.data.get(key);
      if (!stored) continue;
      const text = storeResponses.entry(key, stored.text, stored.version, stored.lease);
      bytes += text.length;
      if (items.length >= limit || (bytes > LIST_BYTES && items.length > 0)) break;
      items.push(text);
    }
    return { status: 200, body: storeResponses.page(items, items.length < keys.length, this.revision) };
  }

  /** Answers with the changes since a revision as soon as there are some, or with none after `hold_ms`. */
  private async watch(holder: Host, query: URLSearchParams): Promise<Reply> {
    const prefix = query.get('prefix') ?? '';
    const from = Number(query.get('from') ?? '0');
    const until = this.time.now + Math.min(60_000, Number(query.get('hold_ms') ?? '0'));
    for (;;) {
      const oldest = this.history[0]?.revision ?? 0;
      if (this.history.length >= WATCH_HISTORY && from < oldest - 1) return { status: 410, body: '{}' };
      if (!this.isUnavailableTo(holder)) {
        const events: string[] = [];
        for (let i = this.history.length - 1; i >= 0; i--) {
          const change = this.history[i];
          if (!change || change.revision <= from) break;
          if (change.key.startsWith(prefix)) events.push(change.text);
        }
        if (events.length > 0 || this.time.now >= until) {
          return { status: 200, body: storeResponses.changes(events.reverse(), this.revision) };
        }
      }
      await new Promise<void>((resolve) => {
        const watch: Watch = { prefix, from, holder, wake: () => done() };
        // After `hold_ms` only an outage keeps the call waiting. The end of the outage wakes the watch.
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
