/**
 * A whole deployment in virtual time: the real controllers, and models of the key-value store, the cloud, the
 * workers, the users and the network between them. All random draws come from one seed, in the order of
 * construction and events, so that a run can be repeated from its seed and its scenario.
 */
import { setMaxListeners } from 'node:events';
import {
  Controller,
  httpApi,
  type Log,
  type WireMessage,
  type Random,
  seededRandom,
} from '@onyxkeel/scheduler';
import { Cloud, type CloudMachine } from './cloud.ts';
import { EPOCH_MS, START_MS } from './constants.ts';
import { InvariantChecker } from './invariant-checker.ts';
import type { EventField } from './invariant-rules.ts';
import type { Loss } from './data-loss.ts';
import { controllerAddress, controllerName, controllerSettings, type Deployment } from './deployment.ts';
import { LoadBalancer } from './load-balancer.ts';
import { type Host, Network } from './network.ts';
import { KeyValueStoreServer } from './key-value-store-server.ts';
import { HostClock, VirtualTime } from './time.ts';
import { Users } from './users.ts';
import { Worker } from './worker.ts';
import type { Workload } from './workload.ts';

/** Addresses of the two outside services in the simulated network. */
const STORE_ADDRESS = 'state:1';
const CLOUD_ADDRESS = 'cloud:1';

/** The running process of a controller. */
interface Process {
  /** When it starts to serve. The process has no record of data that was lost before that time. */
  servesFrom: number;
  host: Host;
  controller: Controller;
}

/** Parameters of a run besides the deployment. */
export interface ClusterOptions {
  /** The log of each controller. By default logs are dropped. */
  log?: (node: string) => Log;
  /** Seed of all random draws of the run. */
  seed: number;
}

/** A log that drops all messages. */
export const silentLog: Log = { debug: () => {}, info: () => {}, warn: () => {}, error: () => {} };

/** The name of an error's class, taken from the error's text (`TypeError: ...`). */
function errorName(text: string): string | null {
  return /^\w+/.exec(text)?.[0] ?? null;
}

/** Fields of a logged error that are text for people. */
const errorTextFields: ReadonlySet<string> = new Set(['err', 'stack']);

/** The ids and numbers in the fields of a logged error, with the error's class name in place of its text. */
function crashSubject(fields: object): EventField[] {
  const { err } = fields as { err?: unknown };
  const ids = Object.entries(fields).filter(([name]) => !errorTextFields.has(name));
  return [typeof err === 'string' ? errorName(err) : null, JSON.stringify(Object.fromEntries(ids))];
}

/**
 * The deployment of a run. Controllers are identified by their index in `Deployment.nodes`. None runs until
 * `startController` starts it.
 */
export class Cluster {
  readonly time = new VirtualTime();
  /** Source of the seeds of all components. An additional draw from it changes the rest of the run. */
  readonly random: Random;
  readonly network: Network;
  readonly store: KeyValueStoreServer;
  readonly cloud: Cloud;
  /** The jobs that users submit, by id. Shared by users, workers and the invariant checker. */
  readonly workload: Workload = new Map();
  readonly checker: InvariantChecker;
  readonly users: Users;
  /** The host from which users send their requests. */
  readonly usersHost: Host;
  /** Workers of the machines that are up, by the machine's id. */
  readonly workers = new Map<string, Worker>();
  readonly balancer: LoadBalancer;
  /** Running processes, by the controller's index. */
  private readonly processes = new Map<number, Process>();
  /** Number of processes started so far, from which incarnations are numbered. */
  private startCount = 0;
  /**
   * When the key-value store last lost data. Null if it lost none, or once every controller that served
   * before the loss has been killed.
   */
  private dataLostAt: number | null = null;
  /** Sum of `Worker.lostEpochs` over the workers of machines that crashed or were removed. */
  private lostEpochsOfRemovedWorkers = 0;

  constructor(
    readonly deployment: Deployment,
    private readonly options: ClusterOptions,
  ) {
    const { time } = this;
    this.random = seededRandom(options.seed);
    const fork = (): Random => seededRandom(this.random.below(1 << 30));
    this.network = new Network(time, fork());
    const host = (name: string, kind: Host['kind']): Host => ({
      name,
      kind,
      zone: null,
      status: 'up',
      clock: new HostClock(time, 0),
    });
    this.store = new KeyValueStoreServer(time, fork(), deployment.store);
    this.cloud = new Cloud(
      time,
      fork(),
      {
        types: deployment.types,
        zones: deployment.zones,
        capacity: deployment.capacity,
        rps: deployment.cloud.rps,
        listLagMs: deployment.cloud.listLagS * 1000,
      },
      { onUp: (machine) => this.addWorker(machine), onGone: (machine) => this.removeWorker(machine) },
    );
    this.network.serve(STORE_ADDRESS, host('state', 'state'), this.store.serve);
    this.network.serve(CLOUD_ADDRESS, host('cloud', 'cloud'), this.cloud.serve);
    const teamCores = new Map(deployment.teams.map((team) => [team.name, team.maxCores]));
    this.checker = new InvariantChecker(time, this.workload, {
      teamCores,
      cancelMs: deployment.cancelS * 1000,
    });
    const users = host('users', 'users');
    this.usersHost = users;
    const addresses = deployment.nodes.map((_, i) => controllerAddress(i));
    this.balancer = new LoadBalancer(time, fork(), this.network, users, addresses);
    this.users = new Users(time, fork(), this.network, users, this.balancer, this.checker, this.workload);
    this.checker.onStateLearned = (id): void => this.users.queryAllNodes(id);
    // A shard has a new leader, which has fenced no machine yet: recorded heartbeats and commands are replayed.
    this.store.onPut = (key): void => {
      if (!key.startsWith('live/part/')) return;
      this.network.copies.replayHeartbeats(addresses);
      this.network.copies.replayCommands();
    };
    this.network.onPartitionChange(() => time.after(1, () => this.notifyConnectedControllers()));
    this.network.onPartitionChange(() => this.updateUsersCutOff());
    for (const { type, zone, spot, count } of deployment.initial) {
      const spec = deployment.types.find((t) => t.name === type);
      for (let i = 0; spec && i < count; i++) this.cloud.add(spec, zone, spot, 0);
    }
  }

  // --- controllers ---

  /** The controller's host; null if its process does not run. */
  controllerHost(node: number): Host | null {
    return this.processes.get(node)?.host ?? null;
  }

  /** Names of the shards that the controller leads; empty if its process does not run. */
  ledShards(node: number): string[] {
    return this.processes.get(node)?.controller.ledShards ?? [];
  }

  /** Starts the controller's process, unless it runs already. It serves `startMs` later. */
  startController(node: number, startMs = START_MS): void {
    if (this.processes.has(node)) return;
    const zone = this.deployment.nodes[node] ?? '';
    const host: Host = {
      name: controllerName(node),
      zone,
      kind: 'node',
      status: 'up',
      clock: new HostClock(this.time, this.drawDrift()),
    };
    const settings = controllerSettings(this.deployment, node);
    const { wallClockErrorMs } = this.deployment;
    const wallClockOffsetMs = this.random.below(2 * wallClockErrorMs + 1) - wallClockErrorMs;
    // The signal is never aborted: a killed process just gets no more timers and messages.
    const neverAborted = new AbortController();
    setMaxListeners(0, neverAborted.signal); // every background task and open call adds a listener
    const peers = this.deployment.nodes.map((_, i) => i).filter((i) => i !== node);
    const controller = new Controller({
      settings: { ...settings, keyValueStore: STORE_ADDRESS, cloud: CLOUD_ADDRESS },
      incarnation: `i${String(++this.startCount)}`,
      clock: host.clock,
      wallClock: () => EPOCH_MS + this.time.now + wallClockOffsetMs,
      random: seededRandom(this.random.below(1 << 30)),
      log: this.logOf(host.name),
      http: this.network.client(host),
      sendToPeer: (peer, message) => this.sendToPeer(host, peer, message),
      connectedPeers: () =>
        peers
          .filter((i) => this.processes.get(i) && this.isConnectedToPeer(host, i))
          .map((i) => controllerName(i)),
      signal: neverAborted.signal,
    });
    this.processes.set(node, { host, controller, servesFrom: this.time.now + startMs });
    this.updateUsersCutOff();
    this.time.after(startMs, () => {
      if (host.status !== 'up') return;
      const serve = httpApi(controller);
      this.network.serve(controllerAddress(node), host, async ({ method, path, body }) =>
        serve({ method, path: path.split('?')[0] ?? path, body }),
      );
      controller
        .run()
        .catch((error: unknown) =>
          this.checker.reportViolation(
            'crashed',
            [host.name, errorName(String(error))],
            `${host.name}: ${String(error)}`,
          ),
        );
      this.notifyConnectedControllers();
      this.network.copies.replayCommands();
    });
  }

  /**
   * A controller's log. Controllers use the level `error` only for unexpected failures, so each such record
   * violates the rule `crashed`.
   */
  private logOf(node: string): Log {
    const log = this.options.log?.(node) ?? silentLog;
    const error: Log['error'] = (fields, message) => {
      this.checker.reportViolation(
        'crashed',
        [node, ...crashSubject(fields)],
        `${node}: ${message} ${JSON.stringify(fields)}`,
      );
      log.error(fields, message);
    };
    return { ...log, error };
  }

  /** Kills the controller's process without notice, as the platform does. */
  killController(node: number): void {
    const process = this.processes.get(node);
    if (!process) return;
    this.checker.record('controller_end', process.host.name);
    process.host.status = 'ended';
    process.host.clock.ended = true;
    this.network.closeConnections(process.host);
    this.processes.delete(node);
    this.updateUsersCutOff();
    this.excuseFactsLostEverywhere();
  }

  /** Users are cut off while all controllers run, and a partition separates the users from each of them. */
  private updateUsersCutOff(): void {
    const { checker, network, processes, usersHost } = this;
    const isCutOff =
      processes.size === this.deployment.nodes.length &&
      [...processes.values()].every(({ host }) => network.partitionBetween(usersHost, host) !== null);
    checker.polls.setUsersCutOff(isCutOff, this.time.now);
  }

  /** Makes the key-value store lose data. */
  loseData(loss: Loss): void {
    this.store.loseData(loss);
    this.dataLostAt = this.time.now;
    this.excuseFactsLostEverywhere();
  }

  /**
   * Once the last controller that served before a data loss has been killed, facts that the key-value store
   * does not have either are lost everywhere. Only these facts are excused, and they are counted.
   */
  private excuseFactsLostEverywhere(): void {
    const { dataLostAt: lostAt } = this;
    if (lostAt === null) return;
    if ([...this.processes.values()].some((process) => process.servesFrom < lostAt)) return;
    this.dataLostAt = null;
    const isStored = (key: string): boolean => this.store.read(key) !== undefined;
    this.checker.markUnrecoverable(
      (job) => isStored(`job/${job}`) || isStored(`live/job/${job}`),
      (job) => isStored(`live/job/${job}`),
    );
  }

  /** Freezes the controller's process for `ms` milliseconds; its clocks go on. */
  freezeController(node: number, ms: number): void {
    const process = this.processes.get(node);
    if (process) process.host.clock.frozenUntil = this.time.now + ms;
  }

  /**
   * Draws a clock's drift. Half of the clocks have the greatest drift, to test margins between two clocks.
   */
  private drawDrift(): number {
    const extreme = this.random.below(4);
    return extreme < 2 ? 2 * extreme - 1 : this.random.below(2001) / 1000 - 1;
  }

  private isConnectedToPeer(from: Host, to: number): boolean {
    const peer = this.processes.get(to);
    return peer !== undefined && this.network.arePeersConnected(from, peer.host);
  }

  /** Called with every message sent between controllers. Named scenarios override it. */
  protected onPeerMessage: (from: string, to: string, message: WireMessage) => void = () => {};

  private sendToPeer(from: Host, peer: string, message: WireMessage): boolean {
    const index = this.deployment.nodes.findIndex((_, i) => controllerName(i) === peer);
    const to = this.processes.get(index);
    if (!to) return false;
    // Cloned at the time of sending: later changes by the sender must not change the message.
    const sent = structuredClone(message);
    this.onPeerMessage(from.name, peer, sent);
    return this.network.sendToPeer(from, to.host, () => {
      to.controller.onMessage(from.name, sent);
      this.network.copies.maybeDuplicate(() => this.deliverDuplicate(from, index, sent));
    });
  }

  /** Delivers a late duplicate of a message between controllers to the receiver's present process. */
  deliverDuplicate(from: Host, to: number, message: WireMessage): void {
    const receiver = this.processes.get(to);
    if (!receiver || from.status !== 'up' || !this.network.arePeersConnected(from, receiver.host)) return;
    receiver.host.clock.runWhenUnfrozen(() =>
      receiver.controller.onMessage(from.name, structuredClone(message)),
    );
  }

  /**
   * Notifies every controller that is connected to a peer, as after a new connection, so that it sends its
   * state again.
   */
  private notifyConnectedControllers(): void {
    for (const [i, { host, controller }] of this.processes) {
      const isConnected = [...this.processes.keys()].some((j) => j !== i && this.isConnectedToPeer(host, j));
      if (isConnected) host.clock.runWhenUnfrozen(() => controller.onConnect());
    }
  }

  // --- machines ---

  /** Starts the worker of a machine that is up. */
  private addWorker(machine: CloudMachine): void {
    const { deployment, time, network, workload, checker } = this;
    const host: Host = {
      name: machine.id,
      zone: machine.zone,
      kind: 'worker',
      status: 'up',
      clock: new HostClock(time, this.drawDrift()),
    };
    const worker = new Worker(machine, host, {
      time,
      network,
      random: seededRandom(this.random.below(1 << 30)),
      workload,
      observer: checker,
      heartbeatMs: deployment.heartbeatS * 1000,
      leaseMs: deployment.leaseS * 1000,
      nodes: deployment.nodes.map((zone, i) => ({
        name: controllerName(i),
        address: controllerAddress(i),
        zone,
      })),
    });
    this.workers.set(machine.id, worker);
  }

  /** Terminates the worker of a machine that crashed or was removed by the cloud. */
  private removeWorker(machine: CloudMachine): void {
    const worker = this.workers.get(machine.id);
    if (!worker) return;
    this.lostEpochsOfRemovedWorkers += worker.lostEpochs;
    worker.terminate();
    this.workers.delete(machine.id);
  }

  /**
   * Number of agent epochs, over all workers, that ended because the worker lease had expired while the
   * machine had tasks.
   */
  get lostEpochs(): number {
    return [...this.workers.values()].reduce((sum, w) => sum + w.lostEpochs, this.lostEpochsOfRemovedWorkers);
  }
}
