/**
 * The network between the hosts of a deployment (DEPLOY "Network", PROTOCOL "Delayed messages"): delays,
 * packet loss, connections and partitions; `message-copies.ts` has late copies of messages. All times are virtual, in
 * milliseconds.
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
  PACKET_LOSS,
  RETRANSMIT_MS,
  SAME_ZONE_MS,
} from './constants.ts';
import { drawBetween, drawChance } from './draws.ts';
import { MessageCopies } from './message-copies.ts';
import type { HostClock, VirtualTime } from './time.ts';

/** A participant in the network: a controller, a worker, an outside service, or all users together. */
export interface Host {
  /** Unique among the hosts that exist at a time. A restarted controller is a new host with the same name. */
  readonly name: string;
  /** Null for a regional host (PROTOCOL, table of components). */
  readonly zone: string | null;
  /** `node` is a controller, `state` the key-value store. */
  readonly kind: 'node' | 'worker' | 'state' | 'cloud' | 'users';
  /** The host's steady clock. While the host is frozen, messages that arrive at it wait. */
  readonly clock: HostClock;
  /**
   * `dead`: the machine has no power, and calls to it hang. `ended`: the process was terminated. New
   * connections to it are refused, and open ones are reset.
   */
  status: 'up' | 'ended' | 'dead';
}

/** A request as its server receives it. */
export interface Request {
  method: string;
  /** Includes the query, if there is one. */
  path: string;
  /** Empty if the call has no body. */
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

/** Serves a request. Undefined means that the caller gets no answer. */
export type RequestHandler = (request: Request) => Promise<Reply | undefined> | Reply | undefined;

/**
 * What a partition does (DEPLOY "Network", PROTOCOL "Delayed messages"): `drop` loses packets silently,
 * `hold` queues them and delivers them in order when the partition ends, `reset` breaks open connections and
 * refuses new ones, `refuse` only refuses new ones. Both disconnect controllers at once.
 */
export type PartitionMode = 'drop' | 'hold' | 'reset' | 'refuse';

/** An active partition. */
interface Partition {
  readonly mode: PartitionMode;
  /** Whether the partition separates two hosts. Evaluated with the hosts in both orders. */
  readonly between: (a: Host, b: Host) => boolean;
  /** Start time. */
  readonly since: number;
  /**
   * Deliveries to make when a `hold` ends, in the order of sending. Beyond `PARTITION_QUEUE_MAX` the oldest
   * are dropped.
   */
  readonly queued: (() => void)[];
}

/** A host and its request handler at an address. */
interface Endpoint {
  readonly host: Host;
  readonly serve: RequestHandler;
}

/** A call whose caller may still be waiting. */
interface PendingCall {
  readonly from: Host;
  readonly call: HttpCall;
  /** The call was answered, failed or was aborted. From then on `resolve` and `fail` do nothing. */
  isSettled: boolean;
  resolve: (reply: Reply) => void;
  /** Rejects with `NoAnswer`. */
  fail: (why: string) => void;
}

/** Key of a connection. Connections are directional: each host opens its own to the other. */
function connectionKey(from: Host, to: Host): string {
  return `${from.name}>${to.name}`;
}

/**
 * Delivers calls and messages between hosts. Messages from one controller to another arrive in the order in
 * which they were sent; calls may overtake one another. All delays are drawn from one random source, so an
 * additional draw changes every later delay.
 */
export class Network {
  /** Serving hosts, by address. */
  private readonly endpoints = new Map<string, Endpoint>();
  private readonly partitions = new Set<Partition>();
  /** The time each open connection was last used, by `connectionKey`. */
  private readonly lastUsedByConnection = new Map<string, number>();
  /** Arrival time of the last message sent on each ordered channel. No later message may arrive before it. */
  private readonly lastDeliveryByChannel = new Map<string, number>();
  private readonly partitionListeners: (() => void)[] = [];
  /** Copies of delivered messages that arrive later. */
  readonly copies: MessageCopies;
  /**
   * Share of commands and answers to workers that are delayed by `COMMAND_DELAY_MS`, each independently of
   * the others.
   */
  delayedCommandShare = 0;
  /**
   * Milliseconds by which commands that are not in an answer to a heartbeat are delayed, for tests of a
   * single command.
   */
  commandDelayMs: (to: Host, body: string) => number = () => 0;
  /** One-way partitions. Each is evaluated with sender and receiver. */
  private readonly oneWayLosses = new Set<(a: Host, b: Host) => boolean>();
  /** Faults that make calls hang. Each is evaluated with the caller and the called host. */
  private readonly hangingCalls = new Set<(a: Host, b: Host) => boolean>();
  /** Number of calls delivered, by the kind of the called host. */
  readonly callCounts = { node: 0, worker: 0, state: 0, cloud: 0, users: 0 };

  constructor(
    /** The time of the deployment. */
    readonly time: VirtualTime,
    private readonly random: Random,
  ) {
    const deliver = (address: string, request: Request): void => this.deliverDuplicate(address, request);
    this.copies = new MessageCopies(time, random, deliver);
  }

  /** Registers the host at the address, in place of the host that served there before. */
  serve(address: string, host: Host, serve: RequestHandler): void {
    this.endpoints.set(address, { host, serve });
  }

  /** Unregisters the address: no host serves there any more. */
  remove(address: string): void {
    this.endpoints.delete(address);
  }

  /** Closes all connections of a terminated process or a removed machine. */
  closeConnections(host: Host): void {
    for (const key of this.lastUsedByConnection.keys()) {
      const [a, b] = key.split('>');
      if (a === host.name || b === host.name) this.lastUsedByConnection.delete(key);
    }
  }

  /** Calls `run` whenever a partition starts or ends. */
  onPartitionChange(run: () => void): void {
    this.partitionListeners.push(run);
  }

  /**
   * Starts a partition between any two hosts for which `between` is true in either order. The returned
   * function ends it and delivers its queue.
   */
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

  /**
   * One-way partition: messages from the first host to the second are lost. The returned function ends it.
   */
  dropOneWay(between: (a: Host, b: Host) => boolean): () => void {
    this.oneWayLosses.add(between);
    return () => void this.oneWayLosses.delete(between);
  }

  /**
   * Calls from the first host to the second hang; the second still reaches the first. The returned function
   * ends the fault.
   */
  hangCalls(between: (a: Host, b: Host) => boolean): () => void {
    this.hangingCalls.add(between);
    return () => void this.hangingCalls.delete(between);
  }

  /** The partition between two hosts, or null. If there are several, the most severe one. */
  partitionBetween(a: Host, b: Host): Partition | null {
    const bySeverity: PartitionMode[] = ['refuse', 'hold', 'reset', 'drop'];
    let mostSevere: Partition | null = null;
    for (const partition of this.partitions) {
      if (!partition.between(a, b) && !partition.between(b, a)) continue;
      if (!mostSevere || bySeverity.indexOf(partition.mode) > bySeverity.indexOf(mostSevere.mode))
        mostSevere = partition;
    }
    return mostSevere;
  }

  /** Draws a packet's travel time, including the resend if the first packet is lost. */
  private delay(from: Host, to: Host): number {
    const base = from.zone !== null && from.zone === to.zone ? SAME_ZONE_MS : CROSS_ZONE_MS;
    const unit = this.random.below(1 << 20) / (1 << 20);
    const resendMs = this.random.below(1 << 20) / (1 << 20) < PACKET_LOSS ? RETRANSMIT_MS : 0;
    return base * (1 + PACKET_JITTER * (2 * unit - 1)) + resendMs;
  }

  /**
   * Sends on an open connection: `arrive` is called on arrival, or never. Messages on one channel arrive in
   * order; the empty channel has no order.
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
      to.kind === 'worker' && drawChance(this.random, this.delayedCommandShare)
        ? drawBetween(this.random, COMMAND_DELAY_MS)
        : 0;
    const at = Math.max(
      this.time.now + extraMs + this.delay(from, to),
      this.lastDeliveryByChannel.get(channel) ?? 0,
    );
    if (channel !== '') this.lastDeliveryByChannel.set(channel, at);
    this.time.at(at, () => {
      if (to.status === 'up') to.clock.runWhenUnfrozen(arrive);
    });
  }

  /**
   * An HTTP client of the host. Deadlines run by the host's clock. Without an answer the outcome is unknown.
   */
  client(from: Host): HttpClient {
    return async (call): Promise<HttpResponse> => {
      const { status, body } = await this.exchange(from, call);
      return { status, text: body };
    };
  }

  /** Makes one call and returns the whole answer. Throws `NoAnswer` if it times out, fails or is aborted. */
  exchange(from: Host, call: HttpCall): Promise<Reply> {
    return new Promise((resolve, reject) => {
      if (from.status !== 'up') return; // the caller no longer runs
      const target = this.endpoints.get(call.address);
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
          // A failed call closes its connection. The next call needs a new one, which a partition does not
          // let through.
          if (target) this.lastUsedByConnection.delete(connectionKey(from, target.host));
          reject(new NoAnswer(`${call.method} ${call.path}: ${why}`));
        });
      const onAbort = (): void => pending.fail('cancelled');
      const timer = from.clock.after(call.deadlineMs, () => pending.fail('no answer in time'));
      if (call.signal?.aborted) return pending.fail('cancelled');
      call.signal?.addEventListener('abort', onAbort);
      if (target) this.connectAndSend(pending, target); // without a host at the address, the call times out
    });
  }

  /** Sends the request on an open or new connection. If neither is possible, the call hangs or fails. */
  private connectAndSend(pending: PendingCall, target: Endpoint): void {
    const { from } = pending;
    const { host } = target;
    for (const hangs of this.hangingCalls) if (hangs(from, host)) return; // no answer, no error
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

  /** Whether a call can be sent on an open or new connection, or why it cannot. */
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
      // Not even `hold` queues an attempt to connect: one that has timed out is not completed later.
      if (partition) return 'hangs';
      if (host.status === 'ended') return 'refused';
    }
    if (host.status === 'dead') return 'hangs';
    if (host.status === 'ended') return 'reset';
    return isOpen ? 'open' : 'new';
  }

  /**
   * Sends the request after the round trip that a new connection takes. A request whose call has ended
   * meanwhile is still sent, except during a partition.
   */
  private sendOnNewConnection(pending: PendingCall, host: Host, deliver: () => void): void {
    const { from } = pending;
    const setUpMs = this.delay(from, host) + this.delay(host, from);
    this.time.after(setUpMs, () => {
      if (!pending.isSettled || this.partitionBetween(from, host) === null)
        this.send(from, host, '', deliver);
    });
  }

  /**
   * Fails the call because its connection was reset or refused. The caller is notified after one packet's
   * delay, or later if it is frozen then.
   */
  private failSoon({ from, fail }: PendingCall, host: Host, why: string): void {
    this.time.after(this.delay(from, host), () => from.clock.runWhenUnfrozen(() => fail(why)));
  }

  /** The request reaches its host, which serves it. Duplicates of it may be scheduled. */
  private deliver(pending: PendingCall, { host, serve }: Endpoint): void {
    const { from, call } = pending;
    const answer = (reply: Reply | undefined): void => {
      if (!reply || host.status !== 'up') return;
      this.send(host, from, '', () => pending.resolve(reply));
    };
    this.callCounts[host.kind]++;
    const request = { method: call.method, path: call.path, body: call.body ?? '', from };
    const reply = serve(request);
    this.copies.onDelivered(call.address, host.kind, request, reply);
    if (reply instanceof Promise) void reply.then((late) => host.clock.runWhenUnfrozen(() => answer(late)));
    else answer(reply);
  }

  /**
   * Delivers a late duplicate of a request to the host that serves at the address by now. The answer is
   * dropped.
   */
  private deliverDuplicate(address: string, request: Request): void {
    const target = this.endpoints.get(address);
    if (target?.host.status !== 'up' || this.partitionBetween(request.from, target.host)) return;
    target.host.clock.runWhenUnfrozen(() => void target.serve(request));
  }

  /** The result of an attempt to connect to the address now. `silent`: neither accepted nor refused. */
  connectionOutcome(from: Host, address: string): 'accepted' | 'refused' | 'silent' {
    const host = this.endpoints.get(address)?.host;
    const partition = host ? this.partitionBetween(from, host) : null;
    if (partition?.mode === 'refuse' || partition?.mode === 'reset' || host?.status === 'ended')
      return 'refused';
    if (!host || partition || host.status === 'dead' || host.clock.frozenUntil > this.time.now)
      return 'silent';
    return 'accepted';
  }

  /**
   * Whether two controllers are connected. A `reset` or `refuse` partition disconnects them at once, any
   * other once it has lasted `CONNECTION_LIFE_MS`.
   */
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
