// A stand-in of the state service (PROTOCOL, "Controller nodes -> state service"). Each client gets a port of its
// own, so that one controller can be refused alone.
/* eslint-disable @typescript-eslint/no-unsafe-member-access, @typescript-eslint/no-unsafe-assignment, @typescript-eslint/no-unsafe-call, @typescript-eslint/no-unsafe-return, @typescript-eslint/no-unsafe-argument, @typescript-eslint/restrict-plus-operands -- plain JavaScript, which has no types */
import { createServer } from 'node:http';

const KEPT_CHANGES = 10_000;
const PAGE_BYTES = 512 * 1024;

/** A token bucket with a burst of one second. */
class Bucket {
  constructor(perSecond) {
    this.perSecond = perSecond;
    this.tokens = perSecond;
    this.at = performance.now();
  }
  take(cost) {
    const now = performance.now();
    this.tokens = Math.min(this.perSecond, this.tokens + ((now - this.at) / 1000) * this.perSecond);
    this.at = now;
    if (this.tokens < cost) return false;
    this.tokens -= cost;
    return true;
  }
}

export class StateService {
  constructor({ rps, writeRps, valueKb, txnOps, latencyMs = 5 }) {
    Object.assign(this, { valueKb, txnOps, latencyMs });
    this.requests = new Bucket(rps);
    this.writes = new Bucket(writeRps);
    this.entries = new Map();
    this.revision = 0;
    this.changes = [];
    this.leases = new Map();
    this.nextLease = 1;
    this.watches = new Set();
    this.isDown = false;
    /** While it is slow: the least and the most milliseconds that a request waits before it is served. */
    this.slowMs = null;
    /** While it is set: milliseconds after which a late copy of each transaction arrives, whatever the first got. */
    this.copyAfterMs = null;
    /** Called with the writes of each transaction that is carried out; `isCopy`: by a late copy. */
    this.onCommit = () => {};
    /** Ports whose requests get 503, as if the service refused these clients alone. */
    this.refused = new Set();
    this.servers = [];
    this.timer = setInterval(() => this.expireLeases(), 20);
  }

  /** A new port for one client. */
  async listen() {
    const server = createServer({ keepAliveTimeout: 120_000 }, (req, res) => this.receive(req, res));
    await new Promise((resolve) => server.listen(0, '127.0.0.1', resolve));
    this.servers.push(server);
    return server.address().port;
  }

  close() {
    clearInterval(this.timer);
    for (const server of this.servers) {
      server.close();
      server.closeAllConnections();
    }
  }

  /** Begins or ends an outage for all clients. After an outage all leases have their full time again. */
  setOutage(isDown) {
    this.isDown = isDown;
    if (isDown) return;
    for (const lease of this.leases.values()) lease.until = performance.now() + lease.lifeMs;
    this.answerWatches();
  }

  receive(req, res) {
    let text = '';
    req.on('data', (chunk) => (text += chunk));
    req.on('end', () => {
      const port = req.socket.localPort;
      const [least, most] = (this.isDown ? null : this.slowMs) ?? [this.latencyMs, this.latencyMs];
      const waitMs = least + Math.random() * (most - least);
      setTimeout(() => this.serve(req, res, port, text), waitMs);
      if (this.copyAfterMs !== null && req.url === '/txn') setTimeout(() => this.receiveCopy(text), this.copyAfterMs);
    });
  }

  /** A late copy of a transaction arrives; nobody waits for its answer. */
  receiveCopy(text) {
    if (!this.isDown && this.requests.take(1)) this.transact(JSON.parse(text), text.length, true);
  }

  serve(req, res, port, text) {
    const reply = (status, body) => {
      if (res.writableEnded || res.destroyed) return;
      res.writeHead(status, { 'content-type': 'application/json' }).end(JSON.stringify(body));
    };
    const url = new URL(req.url, 'http://localhost');
    if (this.isDown || this.refused.has(port)) reply(503, { error: 'unavailable' });
    else if (!this.requests.take(1)) reply(429, { error: 'limit' });
    else if (url.pathname === '/follow') this.follow(url.searchParams, port, res, reply);
    else reply(...this.answer(req.method, url, text));
  }

  /** The status and the body that answer a request at once. */
  answer(method, { pathname, searchParams }, text) {
    const body = text === '' ? {} : JSON.parse(text);
    if (method === 'GET' && pathname === '/kv') return [200, this.list(searchParams)];
    if (method === 'GET' && pathname.startsWith('/kv/')) {
      const entry = this.entries.get(pathname.slice(4));
      return entry ? [200, entry] : [404, { protocollo: this.revision }];
    }
    if (method === 'POST' && pathname === '/txn') return this.transact(body, text.length);
    if (method === 'POST' && pathname === '/grants') {
      const id = this.nextLease++;
      this.leases.set(id, { lifeMs: body.life_ms, until: performance.now() + body.life_ms });
      return [200, { concessione: id }];
    }
    const extend = /^\/grants\/(\d+)\/extend$/.exec(pathname);
    if (!extend) return [400, { error: 'malformed' }];
    const lease = this.leases.get(Number(extend[1]));
    if (!lease) return [404, {}];
    lease.until = performance.now() + lease.lifeMs;
    return [200, {}];
  }

  list(query) {
    const prefix = query.get('prefix') ?? '';
    const from = query.get('from') ?? '';
    const most = Math.min(1000, Number(query.get('most') ?? 1000));
    const keys = [...this.entries.keys()].filter((key) => key.startsWith(prefix) && key > from).sort();
    const items = [];
    let bytes = 0;
    for (const key of keys) {
      const entry = this.entries.get(key);
      bytes += JSON.stringify(entry).length;
      if (items.length >= most || (items.length > 0 && bytes > PAGE_BYTES)) break;
      items.push(entry);
    }
    return { items, truncated: items.length < keys.length, protocollo: this.revision };
  }

  follow(query, port, res, reply) {
    const prefix = query.get('prefix') ?? '';
    const from = Number(query.get('from') ?? 0);
    const oldest = this.changes[0]?.edizione ?? this.revision + 1;
    if (this.changes.length >= KEPT_CHANGES && from < oldest - 1) return reply(410, { protocollo: this.revision });
    const watch = { prefix, from, port, reply, until: performance.now() + Number(query.get('hold_ms') ?? 0) };
    this.watches.add(watch);
    res.on('close', () => this.watches.delete(watch));
    this.answerWatches();
  }

  /** Answers the watches that have changes to show, or whose time is up. In an outage they stay open. */
  answerWatches() {
    const now = performance.now();
    for (const watch of this.watches) {
      if (this.isDown || this.refused.has(watch.port)) continue;
      const events = this.changes
        .filter(({ edizione, put, remove }) => edizione > watch.from && (put ?? remove).startsWith(watch.prefix))
        .map((change) => ({ ...change }));
      if (events.length === 0 && now < watch.until) continue;
      this.watches.delete(watch);
      watch.reply(200, { protocollo: this.revision, events });
    }
  }

  transact({ when = [], writes = [] }, bytes, isCopy = false) {
    if (writes.length > this.txnOps || when.length > 4 * this.txnOps || bytes > 64 * 1024)
      return [400, { error: 'too large' }];
    if (writes.some(({ v }) => v !== undefined && JSON.stringify(v).length > this.valueKb * 1024))
      return [400, { error: 'too large' }];
    if (writes.length > 0 && !this.writes.take(writes.length)) return [429, { error: 'limit' }];
    if (writes.some(({ concessione }) => concessione !== undefined && !this.leases.has(concessione)))
      return [400, { error: 'no such lease' }];
    const failed = when
      .filter(({ key, edizione }) => (this.entries.get(key)?.edizione ?? 0) !== edizione)
      .map(({ key }) => key);
    if (failed.length > 0) return [409, { failed, protocollo: this.revision }];
    if (writes.length > 0) {
      this.apply(writes);
      setImmediate(() => this.answerWatches());
      this.onCommit(writes, isCopy);
    }
    return [200, { protocollo: this.revision }];
  }

  apply(writes) {
    const edizione = ++this.revision;
    for (const { put, remove, v, concessione } of writes) {
      if (put !== undefined) {
        this.entries.set(put, { key: put, v, edizione, ...(concessione === undefined ? {} : { concessione }) });
        this.changes.push({ put, v, edizione });
      } else if (this.entries.delete(remove)) {
        this.changes.push({ remove, edizione });
      }
    }
    this.changes.splice(0, Math.max(0, this.changes.length - KEPT_CHANGES));
  }

  expireLeases() {
    const now = performance.now();
    if (this.isDown) return;
    for (const [id, { until }] of this.leases) {
      if (until > now) continue;
      this.leases.delete(id);
      const keys = [...this.entries.values()].filter(({ concessione }) => concessione === id);
      if (keys.length > 0) this.apply(keys.map(({ key }) => ({ remove: key })));
    }
    this.answerWatches();
  }
}
