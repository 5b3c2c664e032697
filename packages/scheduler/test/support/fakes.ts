/** Fakes of a controller's dependencies: clock, network, key-value store, workers and cloud. */
import type { Clock } from '../../src/transport/clock.ts';
import {
  type HttpCall,
  type HttpClient,
  type HttpResponse,
  NoAnswer,
} from '../../src/transport/http-client.ts';
import type { Log } from '../../src/transport/background-task.ts';

/** A clock that only advances when a test advances it. */
export class FakeClock implements Clock {
  private time = 1000;
  private timers: { at: number; wake: () => void }[] = [];

  now(): number {
    return this.time;
  }

  sleep(ms: number, signal?: AbortSignal): Promise<void> {
    return new Promise((resolve) => {
      if (signal?.aborted) return resolve();
      this.timers.push({ at: this.time + Math.max(0, ms), wake: resolve });
      signal?.addEventListener('abort', () => resolve());
    });
  }

  defer(run: () => void): void {
    setImmediate(run);
  }

  /** Advances the time from timer to timer, so that the effects of each timer happen at its own time. */
  async advance(ms: number): Promise<void> {
    const end = this.time + ms;
    await drainEventLoop();
    while (this.time < end) {
      const next = Math.min(end, ...this.timers.map((wait) => wait.at).filter((at) => at > this.time));
      this.time = next;
      const due = this.timers.filter((wait) => wait.at <= next);
      this.timers = this.timers.filter((wait) => wait.at > next);
      for (const wait of due) wait.wake();
      await drainEventLoop();
    }
  }
}

/** Lets pending work that does not wait for a timer run, for twelve turns of the event loop. */
export async function drainEventLoop(): Promise<void> {
  for (let i = 0; i < 12; i++) await new Promise((resolve) => setImmediate(resolve));
}

export const silentLog: Log = { debug: () => {}, info: () => {}, warn: () => {}, error: () => {} };

interface Answer {
  status: number;
  body: unknown;
}
type Server = (method: string, path: string, body: unknown) => Answer | Promise<Answer>;
/**
 * `silent`: the request is lost. `lost`: the request is executed, but its response is lost. `held`: the
 * request is executed when the test calls `deliverHeld`, and its response is lost. In these three cases the
 * client gets no answer before its deadline. `refused`: the answer is 503.
 */
export type Fault = 'none' | 'silent' | 'lost' | 'held' | 'refused';

/** A network of servers by address. A fault can be set for each pair of client and address. */
export class FakeNetwork {
  private readonly servers = new Map<string, Server>();
  private readonly faults = new Map<string, Fault>();
  private held: (() => void)[] = [];

  constructor(private readonly clock: FakeClock) {}

  serve(address: string, server: Server): void {
    this.servers.set(address, server);
  }

  setFault(client: string, address: string, fault: Fault): void {
    this.faults.set(`${client}>${address}`, fault);
  }

  /** Delivers the held requests in order. */
  deliverHeld(): void {
    for (const deliver of this.held.splice(0)) deliver();
  }

  client(name: string): HttpClient {
    return async (call: HttpCall): Promise<HttpResponse> => {
      const fault = this.faults.get(`${name}>${call.address}`) ?? 'none';
      const body: unknown = call.body === undefined ? undefined : JSON.parse(call.body);
      const server = this.servers.get(call.address);
      const execute = (): Answer | Promise<Answer> =>
        server?.(call.method, call.path, body) ?? { status: 404, body: {} };
      if (fault === 'refused') return { status: 503, text: '{}' };
      if (!server || fault !== 'none') {
        if (fault === 'lost') await execute();
        if (fault === 'held') this.held.push(() => void execute());
        await this.clock.sleep(call.deadlineMs, call.signal);
        throw new NoAnswer(`${call.path}: no answer`);
      }
      const answer = await execute();
      return { status: answer.status, text: JSON.stringify(answer.body) };
    };
  }
}

interface Stored {
  v: unknown;
  edizione: number;
  lease: number | null;
}

/** An in-memory key-value store that implements the published protocol. */
export class FakeKeyValueStore {
  readonly data = new Map<string, Stored>();
  down = false;
  /** Numbers of requests and of changes, counted as for the rate limits of the key-value store. */
  requests = 0;
  changes = 0;
  /** Number of reads of a single key. */
  reads = 0;
  private revision = 1;
  private leases = new Map<number, { lifeMs: number; until: number }>();
  private history: ({ put: string; v: unknown; edizione: number } | { remove: string; edizione: number })[] =
    [];
  private nextLease = 1;

  constructor(private readonly clock: Clock) {}

  read(key: string): unknown {
    return this.data.get(key)?.v;
  }

  /** Removes expired leases and their keys. Every request does so first, because the fake has no timer. */
  private expireLeases(): void {
    for (const [id, lease] of this.leases) {
      if (lease.until > this.clock.now()) continue;
      this.leases.delete(id);
      const keys = [...this.data].filter(([, stored]) => stored.lease === id).map(([key]) => key);
      if (keys.length === 0) continue;
      this.revision++;
      for (const key of keys) this.remove(key);
    }
  }

  private remove(key: string): void {
    if (this.data.delete(key)) this.history.push({ remove: key, edizione: this.revision });
  }

  server: Server = async (method, path, body) => {
    if (this.down) return { status: 503, body: {} };
    this.requests++;
    this.expireLeases();
    const url = new URL(path, 'http://state');
    if (url.pathname === '/txn') return this.txn(body as never);
    if (url.pathname === '/grants') {
      const lifeMs = (body as { life_ms: number }).life_ms;
      this.leases.set(this.nextLease, { lifeMs: lifeMs, until: this.clock.now() + lifeMs });
      return { status: 200, body: { concessione: this.nextLease++ } };
    }
    const renewal = /^\/grants\/(\d+)\/extend$/.exec(url.pathname);
    if (renewal) {
      const lease = this.leases.get(Number(renewal[1]));
      if (!lease) return { status: 404, body: {} };
      lease.until = this.clock.now() + lease.lifeMs;
      return { status: 200, body: {} };
    }
    if (url.pathname === '/follow') return this.watch(url);
    if (url.pathname === '/kv') return this.list(url);
    if (method === 'GET' && url.pathname.startsWith('/kv/')) {
      this.reads++;
      const key = url.pathname.slice(4);
      const stored = this.data.get(key);
      if (!stored) return { status: 404, body: { protocollo: this.revision } };
      return { status: 200, body: { key, v: stored.v, edizione: stored.edizione } };
    }
    return { status: 400, body: {} };
  };

  private txn(transaction: {
    when: { key: string; edizione: number }[];
    writes: { put?: string; remove?: string; v?: unknown; concessione?: number }[];
  }): Answer {
    this.changes += transaction.writes.length;
    const failed = transaction.when
      .filter((c) => (this.data.get(c.key)?.edizione ?? 0) !== c.edizione)
      .map((c) => c.key);
    if (failed.length > 0) return { status: 409, body: { failed, protocollo: this.revision } };
    if (transaction.writes.some((w) => w.concessione !== undefined && !this.leases.has(w.concessione))) {
      return { status: 400, body: { error: 'no such lease' } };
    }
    this.revision++;
    for (const w of transaction.writes) {
      if (w.remove !== undefined) this.remove(w.remove);
      if (w.put === undefined) continue;
      this.data.set(w.put, {
        v: structuredClone(w.v),
        edizione: this.revision,
        lease: w.concessione ?? null,
      });
      this.history.push({ put: w.put, v: structuredClone(w.v), edizione: this.revision });
    }
    return { status: 200, body: { protocollo: this.revision } };
  }

  private list(url: URL): Answer {
    const prefix = url.searchParams.get('prefix') ?? '';
    const from = url.searchParams.get('from') ?? '';
    const keys = [...this.data.keys()].filter((key) => key.startsWith(prefix) && key > from).sort();
    const items = keys.map((key) => ({
      key,
      v: this.data.get(key)?.v,
      edizione: this.data.get(key)?.edizione,
    }));
    return { status: 200, body: { items, truncated: false, protocollo: this.revision } };
  }

  private async watch(url: URL): Promise<Answer> {
    const prefix = url.searchParams.get('prefix') ?? '';
    const from = Number(url.searchParams.get('from'));
    const until = this.clock.now() + Number(url.searchParams.get('hold_ms') ?? '0');
    for (;;) {
      this.expireLeases();
      const events = this.history.filter(
        (e) => e.edizione > from && ('put' in e ? e.put : e.remove).startsWith(prefix),
      );
      if (!this.down && (events.length > 0 || this.clock.now() >= until)) {
        return { status: 200, body: { events, protocollo: this.revision } };
      }
      await this.clock.sleep(50);
    }
  }
}

interface ReportedTask {
  pratica: string;
  tentativo: number;
  stato: string;
  causale?: string;
}
interface WireCommand {
  ordine: string;
  pratica: string;
  tentativo: number;
}

/**
 * A worker that implements the published protocol: fencing tokens, agent epochs, worker leases and commands.
 * Tasks run until the test calls `finish` or the protocol ends them.
 */
export class FakeWorker {
  fencingToken = 0;
  agentEpoch = 1;
  sequence = 0;
  /** Number of direct calls received. */
  directCalls = 0;
  tasks: ReportedTask[] = [];
  /** All task starts on this worker, with their time. */
  readonly started: { task: string; attempt: number; at: number }[] = [];
  address: string;
  private lastRenewedAt: number;

  constructor(
    readonly id: string,
    readonly zone: string,
    private readonly clock: Clock,
    private readonly leaseMs: number,
    readonly spot = false,
  ) {
    this.address = `worker-${id}:1`;
    this.lastRenewedAt = clock.now();
  }

  runningTasks(): string[] {
    this.expireLease();
    return this.tasks.filter((t) => t.stato !== 'ended').map((t) => t.pratica);
  }

  finish(task: string, reason = 'done'): void {
    for (const t of this.tasks) {
      if (t.pratica === task && t.stato !== 'ended') Object.assign(t, { stato: 'ended', causale: reason });
    }
  }

  /** If the worker lease has expired, ends all tasks and starts a new agent epoch. */
  expireLease(): void {
    if (this.clock.now() - this.lastRenewedAt <= this.leaseMs) return;
    this.tasks = [];
    this.agentEpoch++;
    this.lastRenewedAt = this.clock.now();
  }

  heartbeat(): Record<string, unknown> {
    this.expireLease();
    return {
      banco: this.id,
      endpoint: this.address,
      modello: 'small',
      sede: this.zone,
      prestiti: this.spot,
      turno: this.agentEpoch,
      progressivo: ++this.sequence,
      mandato: this.fencingToken,
      preavviso_s: null,
      pratiche: structuredClone(this.tasks),
    };
  }

  /**
   * Handles the reply to a heartbeat. Returns false if the reply is ignored, because it belongs to another
   * agent epoch or has an older fencing token.
   */
  onHeartbeatReply(
    sentAt: number,
    agentEpoch: number,
    answer: { mandato: number; ordini: WireCommand[] },
  ): boolean {
    this.expireLease();
    if (agentEpoch !== this.agentEpoch || answer.mandato < this.fencingToken) return false;
    this.fencingToken = answer.mandato;
    this.lastRenewedAt = sentAt;
    this.executeCommands(answer.ordini);
    return true;
  }

  private executeCommands(commands: WireCommand[]): void {
    for (const o of commands) {
      const known = this.tasks.find((t) => t.pratica === o.pratica && t.tentativo === o.tentativo);
      if (o.ordine === 'launch' && !known) {
        this.tasks.push({ pratica: o.pratica, tentativo: o.tentativo, stato: 'running' });
        this.started.push({ task: o.pratica, attempt: o.tentativo, at: this.clock.now() });
      }
      if (o.ordine === 'halt' && known && known.stato !== 'ended')
        Object.assign(known, { stato: 'ended', causale: 'stopped' });
      if (o.ordine === 'forget') this.tasks = this.tasks.filter((t) => t !== known || t.stato !== 'ended');
    }
  }

  server: Server = (_method, path, body) => {
    this.expireLease();
    this.directCalls++;
    if (path === '/inspect') return { status: 200, body: this.heartbeat() };
    const request = body as { mandato: number; turno: number; ordini: WireCommand[] };
    if (request.mandato < this.fencingToken || request.turno !== this.agentEpoch)
      return { status: 409, body: this.heartbeat() };
    this.fencingToken = request.mandato;
    this.executeCommands(request.ordini);
    return { status: 200, body: this.heartbeat() };
  };
}

/** A cloud that implements the published protocol and has no machines to rent. */
export class FakeCloud {
  readonly returned: string[] = [];
  calls = 0;
  onReturn: (id: string) => void = () => {};

  constructor(private readonly zones: string[]) {}

  server: Server = (_method, path, body) => {
    this.calls++;
    if (path === '/catalog') {
      const type = { name: 'small', cores: 8, accelerators: 0, ram_gb: 32, local_gb: 50, pull_gb_per_s: 1 };
      return {
        status: 200,
        body: { modelli: [{ ...type, rate: 1, low_price: 0.5, ready_s: 30, sedi: this.zones }] },
      };
    }
    if (path === '/hosts/return') {
      for (const id of (body as { banchi: string[] }).banchi) {
        this.returned.push(id);
        this.onReturn(id);
      }
      return { status: 200, body: {} };
    }
    if (path === '/hosts') return { status: 503, body: { error: 'no capacity' } };
    return { status: 200, body: { banchi: [], truncated: false } };
  };
}
