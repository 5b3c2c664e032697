import {
  type HttpCall,
  type HttpClient,
  type HttpResponse,
  NoAnswer,
  type Random,
} from '@onyxkeel/scheduler';
import {
  CONNECTION_LIFE_MS,
  CROSS_ZONE_MS,
  PARTITION_QUEUE_MAX,
  COMMAND_DELAY_MS,
  IDLE_CONNECTION_MS,
  PACKET_JITTER,
  HEARTBEAT_REPLAY_MS,
  LATE_HEARTBEAT_MS,
  PACKET_LOSS,
  DUPLICATE_DELAY_MS,
  RESEND_MS,
  SAME_ZONE_MS,
} from './constants.ts';
import type { HostClock, VirtualTime } from './time.ts';

/** What takes part in the network. Hosts without a zone are regional (PROTOCOL, table of components). */
export interface Host {
  readonly name: string;
  readonly zone: string | null;
  readonly kind: 'node' | 'worker' | 'state' | 'cloud' | 'users';
  readonly clock: HostClock;
  /** `dead`: without power, it stays silent. `ended`: its process is gone, connections are refused. */
  status: 'up' | 'ended' | 'dead';
}

export interface Request {
  method: string;
  path: string;
  body: string;
  from: Host;
}
export interface Reply {
  status: number;
  body: string;
  retryAfterS?: number;
}
/** Serves a request; undefined: no answer will come. */
export type Server = (request: Request) => Promise<Reply | undefined> | Reply | undefined;

/**
 * What a cut does (DEPLOY "Network", PROTOCOL "Delayed messages"): `drop` loses packets in silence, `hold` keeps
 * them and delivers them in order when it ends, `reset` breaks connections, `refuse` only refuses new ones.
 */
export type PartitionMode = 'drop' | 'hold' | 'reset' | 'refuse';

interface Partition {
  mode: PartitionMode;
  between: (a: Host, b: Host) => boolean;
  since: number;
  queued: (() => void)[];
}

/** The network between the hosts: delay, loss, connections, cuts. */
export class Network {
  private readonly hosts = new Map<string, { host: Host; serve: Server }>();
  private readonly partitions = new Set<Partition>();
  /** Open connections by the names of both ends, with the time they were last used. */
  private readonly lastUsedByConnection = new Map<string, number>();
  private readonly lastDelivery = new Map<string, number>();
  private readonly partitionListeners: (() => void)[] = [];
  /**
   * Share of messages that were delivered of which a copy comes once more, to whoever is at the address by then. Not of
   * orders to workers: PROTOCOL, "Workers", says which of those may be repeated, and the network delivers them once.
   */
  duplicateShare = 0;
  /** Share of workers' reports of which a copy comes again, and within how many milliseconds. */
  lateHeartbeats = { share: 0, withinMs: 0 };
  /** Share of workers' reports of which a copy is kept for the next leader, and the copies, one a machine. */
  recordedHeartbeatShare = 0;
  private readonly recordedHeartbeats = new Map<string, Request>();
  /** Share of orders and answers to workers that are held up for seconds, each by itself. */
  delayedCommandShare = 0;
  /** How long an order sent straight to a worker is held up, in milliseconds, for stories of one order. */
  commandDelayMs: (to: Host, body: string) => number = () => 0;
  private readonly oneWayLosses = new Set<(a: Host, b: Host) => boolean>();
  private readonly hangingCalls = new Set<(a: Host, b: Host) => boolean>();
  /** Calls that reached their host, by its kind. */
  readonly calls = { node: 0, worker: 0, state: 0, cloud: 0, users: 0 };

  constructor(
    readonly time: VirtualTime,
    private readonly random: Random,
  ) {}

  serve(address: string, host: Host, serve: Server): void {
    this.hosts.set(address, { host, serve });
  }

  remove(address: string): void {
    this.hosts.delete(address);
  }

  /** The connections of a process that ended, or of a machine that is gone, are gone with it. */
  closeConnections(host: Host): void {
    for (const key of this.lastUsedByConnection.keys()) {
      const [a, b] = key.split('>');
      if (a === host.name || b === host.name) this.lastUsedByConnection.delete(key);
    }
  }

  onPartitionChange(run: () => void): void {
    this.partitionListeners.push(run);
  }

  /** Begins a cut; the function returned ends it, and delivers what it held, in order. */
  startPartition(mode: PartitionMode, drawBetween: (a: Host, b: Host) => boolean): () => void {
    const cut: Partition = { mode, between: drawBetween, since: this.time.now, queued: [] };
    this.partitions.add(cut);
    for (const run of this.partitionListeners) run();
    return () => {
      if (!this.partitions.delete(cut)) return;
      for (const deliver of cut.queued.splice(0)) deliver();
      for (const run of this.partitionListeners) run();
    };
  }

  /** Loses what goes one way, from the first host to the second, while the other way stays open. Returns what ends it. */
  dropOneWay(between: (a: Host, b: Host) => boolean): () => void {
    this.oneWayLosses.add(between);
    return () => void this.oneWayLosses.delete(between);
  }

  /** Calls that the first host makes to the second hang, while the second reaches the first. Returns what ends it. */
  hangCalls(between: (a: Host, b: Host) => boolean): () => void {
    this.hangingCalls.add(between);
    return () => void this.hangingCalls.delete(between);
  }

  /** The kept copies of reports come to all these addresses, at once or within seconds, and are kept no more. */
  replayHeartbeats(addresses: string[]): void {
    for (const request of this.recordedHeartbeats.values()) {
      for (const address of addresses)
        this.time.after(this.random.below(HEARTBEAT_REPLAY_MS), () =>
          this.deliverDuplicate(address, request),
        );
    }
    this.recordedHeartbeats.clear();
  }

  /** The cut between two hosts, if there is any; of several the one that lets least through. */
  partitionBetween(a: Host, b: Host): Partition | null {
    const order: PartitionMode[] = ['refuse', 'hold', 'reset', 'drop'];
    let worst: Partition | null = null;
    for (const cut of this.partitions) {
      if (!cut.between(a, b) && !cut.between(b, a)) continue;
      if (!worst || order.indexOf(cut.mode) > order.indexOf(worst.mode)) worst = cut;
    }
    return worst;
  }

  private delay(a: Host, b: Host): number {
    const base = a.zone !== null && a.zone === b.zone ? SAME_ZONE_MS : CROSS_ZONE_MS;
    const unit = this.random.below(1 << 20) / (1 << 20);
    const lost = this.random.below(1 << 20) / (1 << 20) < PACKET_LOSS ? RESEND_MS : 0;
    return base * (1 + PACKET_JITTER * (2 * unit - 1)) + lost;
  }

  /** Sends on an open connection: `arrive` is carried out in order with what was sent before, or never. */
  private send(a: Host, b: Host, channel: string, arrive: () => void): void {
    const cut = this.partitionBetween(a, b);
    if (cut?.mode === 'drop' || cut?.mode === 'reset') return;
    if (cut?.mode === 'hold') {
      cut.queued.push(() => this.send(a, b, channel, arrive));
      if (cut.queued.length > PARTITION_QUEUE_MAX) cut.queued.shift();
      return;
    }
    for (const lost of this.oneWayLosses) if (lost(a, b)) return;
    const held =
      b.kind === 'worker' && this.drawChance(this.delayedCommandShare) ? this.between(COMMAND_DELAY_MS) : 0;
    const at = Math.max(this.time.now + held + this.delay(a, b), this.lastDelivery.get(channel) ?? 0);
    if (channel !== '') this.lastDelivery.set(channel, at);
    this.time.at(at, () => {
      if (b.status === 'up') b.clock.whenAwake(arrive);
    });
  }

  /** An HTTP client of the host. The deadline is of its own clock; without an answer the outcome is unknown. */
  client(from: Host): HttpClient {
    return async (call): Promise<HttpResponse> => {
      const { status, body } = await this.exchange(from, call);
      return { status, text: body };
    };
  }

  /** One call with all of its answer. Throws `NoAnswer` where none comes in time. */
  exchange(from: Host, call: HttpCall): Promise<Reply> {
    return new Promise((resolve, reject) => {
      if (from.status !== 'up') return; // nobody is there to wait for it
      const target = this.hosts.get(call.address);
      let settled = false;
      const settle = (then: () => void): void => {
        if (settled) return;
        settled = true;
        timer.cancel();
        call.signal?.removeEventListener('abort', onAbort);
        then();
      };
      const fail = (why: string): void =>
        settle(() => {
          // What gives a call up closes its connection: the next call needs another, which a cut does not let through.
          if (target) this.lastUsedByConnection.delete(`${from.name}>${target.host.name}`);
          reject(new NoAnswer(`${call.method} ${call.path}: ${why}`));
        });
      const onAbort = (): void => fail('cancelled');
      const timer = from.clock.after(call.deadlineMs, () => fail('no answer in time'));
      if (call.signal?.aborted) return fail('cancelled');
      call.signal?.addEventListener('abort', onAbort);
      if (!target) return; // no such host: silence
      const { host, serve } = target;
      for (const mute of this.hangingCalls) if (mute(from, host)) return; // the attempt hangs
      const soon = (why: string): void => {
        this.time.after(this.delay(from, host), () => from.clock.whenAwake(() => fail(why)));
      };
      const cut = this.partitionBetween(from, host);
      if (cut?.mode === 'reset') {
        this.lastUsedByConnection.delete(`${from.name}>${host.name}`);
        return soon('connection reset');
      }
      const key = `${from.name}>${host.name}`;
      const connected =
        (this.lastUsedByConnection.get(key) ?? -Infinity) > this.time.now - IDLE_CONNECTION_MS;
      if (!connected) {
        if (cut?.mode === 'refuse') return soon('connection refused');
        if (cut) return; // the attempt hangs, and once given up it is not completed
        if (host.status === 'ended') return soon('connection refused');
      }
      if (host.status === 'dead') return;
      if (host.status === 'ended') return soon('connection reset');
      this.lastUsedByConnection.set(key, this.time.now);
      const answer = (reply: Reply | undefined): void => {
        if (!reply || host.status !== 'up') return;
        this.send(host, from, '', () => settle(() => resolve(reply)));
      };
      const deliver = (): void => {
        this.calls[host.kind]++;
        const request = { method: call.method, path: call.path, body: call.body ?? '', from };
        const reply = serve(request);
        if (call.path === '/checkin' && this.drawChance(this.lateHeartbeats.share)) {
          const late = this.between([LATE_HEARTBEAT_MS, this.lateHeartbeats.withinMs]);
          this.time.after(late, () => this.deliverDuplicate(call.address, request));
        }
        if (call.path === '/checkin' && this.drawChance(this.recordedHeartbeatShare))
          this.recordedHeartbeats.set(from.name, request);
        if (host.kind !== 'worker') this.maybeDuplicate(() => this.deliverDuplicate(call.address, request));
        if (reply instanceof Promise) void reply.then((late) => host.clock.whenAwake(() => answer(late)));
        else answer(reply);
      };
      // A new connection costs a round trip first.
      const held = call.path === '/commands' ? this.commandDelayMs(host, call.body ?? '') : 0;
      if (held > 0) this.time.after(held, () => this.send(from, host, '', deliver));
      else if (connected) this.send(from, host, '', deliver);
      else {
        const setUp = this.delay(from, host) + this.delay(host, from);
        this.time.after(setUp, () => {
          if (!settled || this.partitionBetween(from, host) === null) this.send(from, host, '', deliver);
        });
      }
    });
  }

  private drawChance(share: number): boolean {
    return share > 0 && this.random.below(1000) < share * 1000;
  }

  private between([from, to]: [number, number]): number {
    return from + this.random.below(Math.max(1, to - from));
  }

  /** Lets something that was delivered come once more, later, where messages are repeated at all. */
  maybeDuplicate(deliver: () => void): void {
    if (!this.drawChance(this.duplicateShare)) return;
    this.time.after(this.random.below(DUPLICATE_DELAY_MS), deliver);
  }

  /** A late copy of a request: nobody waits for its answer. */
  private deliverDuplicate(address: string, request: Request): void {
    const target = this.hosts.get(address);
    if (target?.host.status !== 'up' || this.partitionBetween(request.from, target.host)) return;
    target.host.clock.whenAwake(() => void target.serve(request));
  }

  /** What a new connection to the address meets now. */
  connectionOutcome(from: Host, address: string): 'accepted' | 'refused' | 'silent' {
    const host = this.hosts.get(address)?.host;
    const cut = host ? this.partitionBetween(from, host) : null;
    if (cut?.mode === 'refuse' || cut?.mode === 'reset' || host?.status === 'ended') return 'refused';
    if (!host || cut || host.status === 'dead' || host.clock.frozenUntil > this.time.now) return 'silent';
    return 'accepted';
  }

  /** Whether a connection between two controllers stands: a cut that lasts too long, or breaks them, ends it. */
  arePeersConnected(a: Host, b: Host): boolean {
    if (a.status !== 'up' || b.status !== 'up') return false;
    const cut = this.partitionBetween(a, b);
    if (!cut) return true;
    if (cut.mode === 'reset' || cut.mode === 'refuse') return false;
    return this.time.now - cut.since < CONNECTION_LIFE_MS;
  }

  /** Sends a message between controllers, in order; false if they are not connected. */
  sendToPeer(a: Host, b: Host, arrive: () => void): boolean {
    if (!this.arePeersConnected(a, b)) return false;
    this.send(a, b, `${a.name}>${b.name}`, arrive);
    return true;
  }
}
