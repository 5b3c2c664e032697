/**
 * The network between the hosts of a deployment (DEPLOY "Network", PROTOCOL "Delayed messages"): delays, losses,
 * connections, partitions, and copies of messages that come late. Every time is virtual, in milliseconds.
 */
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
  RETRANSMIT_MS,
  SAME_ZONE_MS,
} from './constants.ts';
import type { HostClock, VirtualTime } from './time.ts';

/** What takes part in the network: a controller, a worker, an outside service, or all users together. */
export interface Host {
  /** Unique at any time; a controller keeps it over its restarts, each of which is another host. */
  readonly name: string;
  /** Null for a regional host (PROTOCOL, table of components). */
  readonly zone: string | null;
  /** `node` is a controller, `state` the key-value store. */
  readonly kind: 'node' | 'worker' | 'state' | 'cloud' | 'users';
  /** Its steady clock; while that is frozen, what arrives at the host waits. */
  readonly clock: HostClock;
  /** `dead`: without power, it stays silent. `ended`: its process is gone, connections are refused. */
  status: 'up' | 'ended' | 'dead';
}

/** A request as its server gets it. */
export interface Request {
  method: string;
  /** With its query, if it has one. */
  path: string;
  /** Empty where the call has none. */
  body: string;
  from: Host;
}

/** A server's answer to a request. */
export interface Reply {
  status: number;
  body: string;
  /** Seconds of a Retry-After header. */
  retryAfterS?: number;
}

/** Serves a request; undefined: no answer will come. */
export type Server = (request: Request) => Promise<Reply | undefined> | Reply | undefined;

/**
 * What a partition does (DEPLOY "Network", PROTOCOL "Delayed messages"): `drop` loses packets in silence, `hold` queues
 * them and delivers them in order when it ends, `reset` breaks connections, `refuse` only refuses new ones.
 */
export type PartitionMode = 'drop' | 'hold' | 'reset' | 'refuse';

/** A partition that goes on. */
interface Partition {
  readonly mode: PartitionMode;
  /** Asked with the two hosts in either order. */
  readonly between: (a: Host, b: Host) => boolean;
  /** When it began. */
  readonly since: number;
  /** Deliveries to be made when a `hold` ends, in the order of sending; the oldest are dropped beyond a limit. */
  readonly queued: (() => void)[];
}

/** A host that serves at an address. */
interface Target {
  readonly host: Host;
  readonly serve: Server;
}

/** A call whose caller may still be waiting. */
interface PendingCall {
  readonly from: Host;
  readonly call: HttpCall;
  /** It was answered, has failed or was aborted; `resolve` and `fail` do nothing from then on. */
  isSettled: boolean;
  resolve: (reply: Reply) => void;
  /** Rejects with `NoAnswer`. */
  fail: (why: string) => void;
}

/** Names a connection by its ends: each end keeps connections of its own to the other. */
function connectionKey(from: Host, to: Host): string {
  return `${from.name}>${to.name}`;
}

/**
 * Carries calls and peers' messages between hosts. Messages between two controllers arrive in the order in which they
 * were sent; calls may overtake one another. The order of random draws decides every delay.
 */
export class Network {
  /** By address, who serves there. */
  private readonly hosts = new Map<string, Target>();
  private readonly partitions = new Set<Partition>();
  /** Open connections by the names of both ends, with the time they were last used. */
  private readonly lastUsedByConnection = new Map<string, number>();
  /** By ordered channel, when the last message sent on it arrives: none sent later may arrive before. */
  private readonly lastDelivery = new Map<string, number>();
  private readonly partitionListeners: (() => void)[] = [];
  /**
   * Share of messages that were delivered of which a copy comes once more, to whoever is at the address by then. Not of
   * commands to workers: PROTOCOL, "Workers", says which of those may be repeated, and the network delivers them once.
   */
  duplicateShare = 0;
  /** Share of heartbeats of which a copy comes again, and at most how many milliseconds later. */
  lateHeartbeats = { share: 0, withinMs: 0 };
  /** Share of heartbeats of which a copy is recorded until a shard has a new leader. */
  recordedHeartbeatShare = 0;
  /** The newest recorded copy of each machine, by the machine's name. */
  private readonly recordedHeartbeats = new Map<string, Request>();
  /** Share of commands and answers to workers that are delayed by seconds, each independently of the others. */
  delayedCommandShare = 0;
  /** Milliseconds by which a command sent directly to a worker is delayed, for tests about a single command. */
  commandDelayMs: (to: Host, body: string) => number = () => 0;
  /** One-way partitions; each is asked with sender and receiver. */
  private readonly oneWayLosses = new Set<(a: Host, b: Host) => boolean>();
  /** What makes calls hang; each is asked with caller and called. */
  private readonly hangingCalls = new Set<(a: Host, b: Host) => boolean>();
  /** Calls that reached their host, by its kind. */
  readonly calls = { node: 0, worker: 0, state: 0, cloud: 0, users: 0 };

  constructor(
    /** The time of the deployment. */
    readonly time: VirtualTime,
    private readonly random: Random,
  ) {}

  /** Has the host serve at the address; whoever served there before no longer does. */
  serve(address: string, host: Host, serve: Server): void {
    this.hosts.set(address, { host, serve });
  }

  /** Nobody serves at the address any more. */
  remove(address: string): void {
    this.hosts.delete(address);
  }

  /** Closes all connections of a process that ended, or of a machine that was removed. */
  closeConnections(host: Host): void {
    for (const key of this.lastUsedByConnection.keys()) {
      const [a, b] = key.split('>');
      if (a === host.name || b === host.name) this.lastUsedByConnection.delete(key);
    }
  }

  /** Calls `run` after every begin and end of a partition. */
  onPartitionChange(run: () => void): void {
    this.partitionListeners.push(run);
  }

  /** Begins a partition between the hosts that match, in either order. Returns what ends it and delivers what it queued. */
  startPartition(mode: PartitionMode, between: (a: Host, b: Host) => boolean): () => void {
    const partition: Partition = { mode, between, since: this.time.now, queued: [] };
    this.partitions.add(partition);
    for (const run of this.partitionListeners) run();
    return () => {
      if (!this.partitions.delete(partition)) return;
      for (const deliver of partition.queued.splice(0)) deliver();
      for (const run of this.partitionListeners) run();
    };
  }

  /** One-way partition: what goes from the first host to the second is lost. Returns what ends it. */
  dropOneWay(between: (a: Host, b: Host) => boolean): () => void {
    this.oneWayLosses.add(between);
    return () => void this.oneWayLosses.delete(between);
  }

  /** Calls that the first host makes hang; the second still reaches the first. Returns what ends it. */
  hangCalls(between: (a: Host, b: Host) => boolean): () => void {
    this.hangingCalls.add(between);
    return () => void this.hangingCalls.delete(between);
  }

  /** Delivers the recorded heartbeats to all these addresses, at once or within seconds, and drops the record. */
  replayHeartbeats(addresses: string[]): void {
    for (const request of this.recordedHeartbeats.values()) {
      for (const address of addresses)
        this.time.after(this.random.below(HEARTBEAT_REPLAY_MS), () =>
          this.deliverDuplicate(address, request),
        );
    }
    this.recordedHeartbeats.clear();
  }

  /** The partition between two hosts, or null; of several the one that lets least through. */
  partitionBetween(a: Host, b: Host): Partition | null {
    const order: PartitionMode[] = ['refuse', 'hold', 'reset', 'drop'];
    let worst: Partition | null = null;
    for (const partition of this.partitions) {
      if (!partition.between(a, b) && !partition.between(b, a)) continue;
      if (!worst || order.indexOf(partition.mode) > order.indexOf(worst.mode)) worst = partition;
    }
    return worst;
  }

  /** Draws for how long a packet travels, with its resending if the first one is lost. */
  private delay(from: Host, to: Host): number {
    const base = from.zone !== null && from.zone === to.zone ? SAME_ZONE_MS : CROSS_ZONE_MS;
    const unit = this.random.below(1 << 20) / (1 << 20);
    const resendMs = this.random.below(1 << 20) / (1 << 20) < PACKET_LOSS ? RETRANSMIT_MS : 0;
    return base * (1 + PACKET_JITTER * (2 * unit - 1)) + resendMs;
  }

  /**
   * Sends on an open connection: `arrive` is carried out on arrival, or never. What is sent on one channel arrives in
   * order; the empty channel keeps none.
   */
  private send(from: Host, to: Host, channel: string, arrive: () => void): void {
    const partition = this.partitionBetween(from, to);
    if (partition?.mode === 'drop' || partition?.mode === 'reset') return;
    if (partition?.mode === 'hold') {
      partition.queued.push(() => this.send(from, to, channel, arrive));
      if (partition.queued.length > PARTITION_QUEUE_MAX) partition.queued.shift();
      return;
    }
    for (const isLost of this.oneWayLosses) if (isLost(from, to)) return;
    const extraMs =
      to.kind === 'worker' && this.drawChance(this.delayedCommandShare)
        ? this.drawBetween(COMMAND_DELAY_MS)
        : 0;
    const at = Math.max(this.time.now + extraMs + this.delay(from, to), this.lastDelivery.get(channel) ?? 0);
    if (channel !== '') this.lastDelivery.set(channel, at);
    this.time.at(at, () => {
      if (to.status === 'up') to.clock.whenAwake(arrive);
    });
  }

  /** An HTTP client of the host. The deadline is of its own clock; without an answer the outcome is unknown. */
  client(from: Host): HttpClient {
    return async (call): Promise<HttpResponse> => {
      const { status, body } = await this.exchange(from, call);
      return { status, text: body };
    };
  }

  /** One call with all of its answer. Throws `NoAnswer` where none comes in time, or the call is aborted. */
  exchange(from: Host, call: HttpCall): Promise<Reply> {
    return new Promise((resolve, reject) => {
      if (from.status !== 'up') return; // nobody is there to wait for it
      const target = this.hosts.get(call.address);
      const pending: PendingCall = { from, call, isSettled: false, resolve: () => {}, fail: () => {} };
      const settle = (then: () => void): void => {
        if (pending.isSettled) return;
        pending.isSettled = true;
        timer.cancel();
        call.signal?.removeEventListener('abort', onAbort);
        then();
      };
      pending.resolve = (reply): void => settle(() => resolve(reply));
      pending.fail = (why): void =>
        settle(() => {
          // What gives a call up closes its connection: the next call needs another, which a partition doesn't let through.
          if (target) this.lastUsedByConnection.delete(connectionKey(from, target.host));
          reject(new NoAnswer(`${call.method} ${call.path}: ${why}`));
        });
      const onAbort = (): void => pending.fail('cancelled');
      const timer = from.clock.after(call.deadlineMs, () => pending.fail('no answer in time'));
      if (call.signal?.aborted) return pending.fail('cancelled');
      call.signal?.addEventListener('abort', onAbort);
      if (target) this.connectAndSend(pending, target); // else no such host: silence
    });
  }

  /** Sends the request on an open connection or a new one; without either the call hangs or fails. */
  private connectAndSend(pending: PendingCall, target: Target): void {
    const { from } = pending;
    const { host } = target;
    for (const hangs of this.hangingCalls) if (hangs(from, host)) return; // the attempt hangs
    const connection = this.connectionFor(from, host);
    if (connection === 'hangs') return;
    if (connection === 'reset' || connection === 'refused')
      return this.failSoon(pending, host, `connection ${connection}`);
    this.lastUsedByConnection.set(connectionKey(from, host), this.time.now);
    const deliver = (): void => this.deliver(pending, target);
    const delayMs =
      pending.call.path === '/commands' ? this.commandDelayMs(host, pending.call.body ?? '') : 0;
    if (delayMs > 0) this.time.after(delayMs, () => this.send(from, host, '', deliver));
    else if (connection === 'open') this.send(from, host, '', deliver);
    else this.sendOnNewConnection(pending, host, deliver);
  }

  /** The connection on which a call can be sent now, or why there is none. */
  private connectionFor(from: Host, host: Host): 'open' | 'new' | 'hangs' | 'reset' | 'refused' {
    const key = connectionKey(from, host);
    const partition = this.partitionBetween(from, host);
    if (partition?.mode === 'reset') {
      this.lastUsedByConnection.delete(key);
      return 'reset';
    }
    const lastUsed = this.lastUsedByConnection.get(key) ?? -Infinity;
    const isOpen = lastUsed > this.time.now - IDLE_CONNECTION_MS;
    if (!isOpen) {
      if (partition?.mode === 'refuse') return 'refused';
      if (partition) return 'hangs'; // once given up, the attempt is not completed
      if (host.status === 'ended') return 'refused';
    }
    if (host.status === 'dead') return 'hangs';
    if (host.status === 'ended') return 'reset';
    return isOpen ? 'open' : 'new';
  }

  /** A new connection costs a round trip first; the request is not sent where it was given up under a partition. */
  private sendOnNewConnection(pending: PendingCall, host: Host, deliver: () => void): void {
    const { from } = pending;
    const setUpMs = this.delay(from, host) + this.delay(host, from);
    this.time.after(setUpMs, () => {
      if (!pending.isSettled || this.partitionBetween(from, host) === null)
        this.send(from, host, '', deliver);
    });
  }

  /** The caller learns after a packet's time, when it is awake, that its connection was reset or refused. */
  private failSoon({ from, fail }: PendingCall, host: Host, why: string): void {
    this.time.after(this.delay(from, host), () => from.clock.whenAwake(() => fail(why)));
  }

  /** The request reaches its host, which serves it; copies of it may be scheduled. */
  private deliver(pending: PendingCall, { host, serve }: Target): void {
    const { from, call } = pending;
    const answer = (reply: Reply | undefined): void => {
      if (!reply || host.status !== 'up') return;
      this.send(host, from, '', () => pending.resolve(reply));
    };
    this.calls[host.kind]++;
    const request = { method: call.method, path: call.path, body: call.body ?? '', from };
    const reply = serve(request);
    if (call.path === '/checkin') this.copyHeartbeat(call.address, request);
    if (host.kind !== 'worker') this.maybeDuplicate(() => this.deliverDuplicate(call.address, request));
    if (reply instanceof Promise) void reply.then((late) => host.clock.whenAwake(() => answer(late)));
    else answer(reply);
  }

  /** Has a copy of the heartbeat come late, or records it for the next leader, where faults ask for that. */
  private copyHeartbeat(address: string, request: Request): void {
    if (this.drawChance(this.lateHeartbeats.share)) {
      const delayMs = this.drawBetween([LATE_HEARTBEAT_MS, this.lateHeartbeats.withinMs]);
      this.time.after(delayMs, () => this.deliverDuplicate(address, request));
    }
    if (this.drawChance(this.recordedHeartbeatShare)) this.recordedHeartbeats.set(request.from.name, request);
  }

  /** True with the probability `share`; draws nothing for a share of 0. */
  private drawChance(share: number): boolean {
    return share > 0 && this.random.below(1000) < share * 1000;
  }

  /** Draws whole milliseconds, `from` at least and below `to`. */
  private drawBetween([from, to]: [number, number]): number {
    return from + this.random.below(Math.max(1, to - from));
  }

  /** Delivers what was delivered once more, later, with the probability `duplicateShare`. */
  maybeDuplicate(deliver: () => void): void {
    if (!this.drawChance(this.duplicateShare)) return;
    this.time.after(this.random.below(DUPLICATE_DELAY_MS), deliver);
  }

  /** Delivers a late copy of a request to whoever serves at the address by now; its answer is dropped. */
  private deliverDuplicate(address: string, request: Request): void {
    const target = this.hosts.get(address);
    if (target?.host.status !== 'up' || this.partitionBetween(request.from, target.host)) return;
    target.host.clock.whenAwake(() => void target.serve(request));
  }

  /** What becomes of a new connection to the address now. */
  connectionOutcome(from: Host, address: string): 'accepted' | 'refused' | 'silent' {
    const host = this.hosts.get(address)?.host;
    const partition = host ? this.partitionBetween(from, host) : null;
    if (partition?.mode === 'refuse' || partition?.mode === 'reset' || host?.status === 'ended')
      return 'refused';
    if (!host || partition || host.status === 'dead' || host.clock.frozenUntil > this.time.now)
      return 'silent';
    return 'accepted';
  }

  /** Whether two controllers are connected: a partition that breaks connections, or lasts too long, ends theirs. */
  arePeersConnected(a: Host, b: Host): boolean {
    if (a.status !== 'up' || b.status !== 'up') return false;
    const partition = this.partitionBetween(a, b);
    if (!partition) return true;
    if (partition.mode === 'reset' || partition.mode === 'refuse') return false;
    return this.time.now - partition.since < CONNECTION_LIFE_MS;
  }

  /** Sends a message between controllers, in order. Returns false if they are not connected. */
  sendToPeer(from: Host, to: Host, arrive: () => void): boolean {
    if (!this.arePeersConnected(from, to)) return false;
    this.send(from, to, `${from.name}>${to.name}`, arrive);
    return true;
  }
}
