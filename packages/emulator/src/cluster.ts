/**
 * A whole deployment in virtual time: the real controllers, and models of the key-value store, the cloud, the workers,
 * the users and the network between them. Every random draw comes from one seed, in the order of construction and of
 * events, so that a run can be repeated from its seed and its scenario.
 */
import { setMaxListeners } from 'node:events';
import {
  Controller,
  httpApi,
  type Log,
  type WireMessage,
  type Random,
  readSettings,
  seededRandom,
} from '@onyxkeel/scheduler';
import { Cloud, type Capacity, type CloudMachine } from './cloud.ts';
import { EPOCH_MS, START_MS } from './constants.ts';
import { type EventField, InvariantChecker } from './invariant-checker.ts';
import type { Loss } from './data-loss.ts';
import { LoadBalancer } from './load-balancer.ts';
import { type Host, Network } from './network.ts';
import type { MachineTypeSpec } from './protocol/wire.ts';
import { KeyValueStoreServer } from './key-value-store-server.ts';
import { HostClock, VirtualTime } from './time.ts';
import { Users } from './users.ts';
import { Worker } from './worker.ts';
import type { Workload } from './workload.ts';

/** Addresses of the two outside services in the simulated network. */
const STORE_ADDRESS = 'state:1';
const CLOUD_ADDRESS = 'cloud:1';

/** What a deployment sets; units as in the platform's settings (DEPLOY). */
export interface Deployment {
  zones: string[];
  /** Zones of the controllers, in order. */
  nodes: string[];
  /** Machine types that the cloud offers. */
  types: MachineTypeSpec[];
  /** How many machines the cloud has. */
  capacity: Capacity[];
  /** Machines up at the start. */
  initial: { type: string; zone: string; spot: boolean; count: number }[];
  /** Guarantee and quota of each team, in CPUs. */
  teams: { name: string; cores: number; maxCores: number }[];
  /** By when jobs of a class should be done. */
  objectives: { class: string; withinS: number }[];
  /** Heartbeat interval. */
  heartbeatS: number;
  /** Worker lease. */
  leaseS: number;
  /** For how long after a confirmed cancellation a task of the job may still start or run. */
  cancelS: number;
  /** Limits of the key-value store: requests and writes a second, size of a value, operations of a transaction. */
  store: { rps: number; writeRps: number; valueKb: number; txnOps: number };
  /** The cloud's limit of requests a second, and how far its lists lag behind. */
  cloud: { rps: number; listLagS: number };
  /** How far at most a controller's wall clock is off, either way. */
  wallClockErrorMs: number;
}

/** A controller's process that has not ended. */
interface Process {
  /** When it begins to serve; what was lost before then it never knew. */
  servesFrom: number;
  host: Host;
  controller: Controller;
}

/** What a run sets beside the deployment. */
export interface ClusterOptions {
  /** Takes every controller's log; nothing by default. */
  log?: (node: string) => Log;
  /** Decides every random draw of the run. */
  seed: number;
}

/** A log that drops everything. */
export const silentLog: Log = { debug: () => {}, info: () => {}, warn: () => {}, error: () => {} };

/** The name of the error's class, from the error as text (`TypeError: ...`). */
function errorName(text: string): string | null {
  return /^\w+/.exec(text)?.[0] ?? null;
}

/** Fields of a logged error that are text for people. */
const errorTextFields: ReadonlySet<string> = new Set(['err', 'stack']);

/** The ids and numbers in the fields of a logged error, and its error's name in place of the error's text. */
function crashSubject(fields: object): EventField[] {
  const { err } = fields as { err?: unknown };
  const ids = Object.entries(fields).filter(([name]) => !errorTextFields.has(name));
  return [typeof err === 'string' ? errorName(err) : null, JSON.stringify(Object.fromEntries(ids))];
}

/** The deployment of a run. Controllers are named by their index in `Deployment.nodes`; `start` starts them. */
export class Cluster {
  readonly time = new VirtualTime();
  /** Source of the seeds of all components; a draw from it changes everything that comes after. */
  readonly random: Random;
  readonly network: Network;
  readonly store: KeyValueStoreServer;
  readonly cloud: Cloud;
  /** The jobs that users submit, by id; shared by users, workers and checker. */
  readonly workload: Workload = new Map();
  readonly checker: InvariantChecker;
  readonly users: Users;
  /** Where users' requests come from. */
  readonly usersHost: Host;
  /** Workers of the machines that are up, by the machine's id. */
  readonly workers = new Map<string, Worker>();
  readonly balancer: LoadBalancer;
  /** Processes that have not ended, by the controller's index. */
  private readonly processes = new Map<number, Process>();
  /** Processes started so far; numbers their incarnations. */
  private starts = 0;
  /** When the store last lost data, while a controller that served by then is still up and may know it. */
  private lostAt: number | null = null;
  /** Agent epochs of removed machines' workers that ended with tasks because their lease had expired. */
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
      { up: (machine) => this.addWorker(machine), gone: (machine) => this.endWorker(machine) },
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
    const addresses = deployment.nodes.map((_, i) => this.address(i));
    this.balancer = new LoadBalancer(time, fork(), this.network, users, addresses);
    this.users = new Users(time, fork(), this.network, users, this.balancer, this.checker, this.workload);
    this.checker.onStateLearned = (id): void => this.users.queryAllNodes(id);
    // A shard has a new leader: the heartbeats recorded for it are delivered.
    this.store.onPut = (key): void => {
      if (key.startsWith('live/part/')) this.network.replayHeartbeats(addresses);
    };
    this.network.onPartitionChange(() => time.after(1, () => this.connectPeers()));
    for (const { type, zone, spot, count } of deployment.initial) {
      const spec = deployment.types.find((t) => t.name === type);
      for (let i = 0; spec && i < count; i++) this.cloud.add(spec, zone, spot, 0);
    }
  }

  // --- controllers ---

  private name(node: number): string {
    return `node-${String(node)}`;
  }

  private address(node: number): string {
    return `127.0.0.1:${String(9000 + node)}`;
  }

  /** The controller's host, if its process is there. */
  host(node: number): Host | null {
    return this.processes.get(node)?.host ?? null;
  }

  /** Names of the shards that the controller leads; none if its process has ended. */
  ledShards(node: number): string[] {
    return this.processes.get(node)?.controller.ledShards ?? [];
  }

  /** Starts the controller's process; it serves `startMs` later. */
  start(node: number, startMs = START_MS): void {
    if (this.processes.has(node)) return;
    const zone = this.deployment.nodes[node] ?? '';
    const host: Host = {
      name: this.name(node),
      zone,
      kind: 'node',
      status: 'up',
      clock: new HostClock(this.time, this.drawDrift()),
    };
    const settings = this.settings(node);
    const { wallClockErrorMs } = this.deployment;
    const wallClockOffsetMs = this.random.below(2 * wallClockErrorMs + 1) - wallClockErrorMs;
    // The signal is never aborted: a process that ends is cut off from time and network, as a killed one is.
    const never = new AbortController();
    setMaxListeners(0, never.signal); // every background task and open call listens
    const peers = this.deployment.nodes.map((_, i) => i).filter((i) => i !== node);
    const controller = new Controller({
      settings: { ...settings, keyValueStore: STORE_ADDRESS, cloud: CLOUD_ADDRESS },
      incarnation: `i${String(++this.starts)}`,
      clock: host.clock,
      wallClock: () => EPOCH_MS + this.time.now + wallClockOffsetMs,
      random: seededRandom(this.random.below(1 << 30)),
      log: this.logOf(host.name),
      http: this.network.client(host),
      sendToPeer: (peer, message) => this.sendToPeer(host, peer, message),
      connectedPeers: () =>
        peers
          .filter((i) => this.processes.get(i) && this.isConnectedToPeer(host, i))
          .map((i) => this.name(i)),
      signal: never.signal,
    });
    this.processes.set(node, { host, controller, servesFrom: this.time.now + startMs });
    this.time.after(startMs, () => {
      if (host.status !== 'up') return;
      const serve = httpApi(controller);
      this.network.serve(this.address(node), host, async ({ method, path, body }) =>
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
      this.connectPeers();
    });
  }

  /** A controller logs at the level of errors only what its code did not expect: the rule `crashed`. */
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

  /** Ends the process without a signal, as the platform does. */
  end(node: number): void {
    const process = this.processes.get(node);
    if (!process) return;
    this.checker.record('controller_end', process.host.name);
    process.host.status = 'ended';
    process.host.clock.ended = true;
    this.network.closeConnections(process.host);
    this.processes.delete(node);
    this.excuseFactsWithoutSurvivor();
  }

  /** The key-value store loses data. */
  loseData(loss: Loss): void {
    this.store.loseData(loss);
    this.lostAt = this.time.now;
    this.excuseFactsWithoutSurvivor();
  }

  /**
   * Once the last controller that served when data was lost has ended, what the key-value store does not have either is
   * known to nobody: only that is excused, and counted.
   */
  private excuseFactsWithoutSurvivor(): void {
    const { lostAt } = this;
    if (lostAt === null) return;
    if ([...this.processes.values()].some((process) => process.servesFrom < lostAt)) return;
    this.lostAt = null;
    const has = (key: string): boolean => this.store.read(key) !== undefined;
    this.checker.markUnrecoverable(
      (job) => has(`job/${job}`) || has(`live/job/${job}`),
      (job) => has(`live/job/${job}`),
    );
  }

  /** Stops the process for `ms` milliseconds while its clocks run on. */
  freeze(node: number, ms: number): void {
    const process = this.processes.get(node);
    if (process) process.host.clock.frozenUntil = this.time.now + ms;
  }

  /** The settings as the platform would give them to the controller. */
  private settings(node: number): ReturnType<typeof readSettings> {
    const d = this.deployment;
    return readSettings({
      node_name: this.name(node),
      zone: d.nodes[node],
      listen: this.address(node),
      mesh_addr: this.address(node),
      siblings: d.nodes
        .map((zone, i) => ({ node_name: this.name(i), zone, peer_addr: this.address(i) }))
        .filter((_, i) => i !== node),
      endpoints: { cloud: '127.0.0.1:1', state: '127.0.0.1:2' },
      deployment: {
        zones: d.zones,
        teams: d.teams.map((t) => ({ name: t.name, cpus: t.cores, cpus_max: t.maxCores })),
        objectives: d.objectives.map((o) => ({ kind: 'finished', class: o.class, within_s: o.withinS })),
        workers: { report_s: d.heartbeatS, lease_s: d.leaseS, cancel_s: d.cancelS },
        state: {
          rps: d.store.rps,
          write_rps: d.store.writeRps,
          value_kb: d.store.valueKb,
          txn_ops: d.store.txnOps,
        },
        cloud: { rps: d.cloud.rps, list_lag_s: d.cloud.listLagS },
      },
    });
  }

  /** Draws a clock's drift. Half of the clocks drift as far as they may, so that margins computed from two are tested. */
  private drawDrift(): number {
    const extreme = this.random.below(4);
    return extreme < 2 ? 2 * extreme - 1 : this.random.below(2001) / 1000 - 1;
  }

  private isConnectedToPeer(from: Host, to: number): boolean {
    const peer = this.processes.get(to);
    return peer !== undefined && this.network.arePeersConnected(from, peer.host);
  }

  /** Called with every message sent between controllers; for the named scenarios, which override it. */
  protected onPeerMessage: (from: string, to: string, message: WireMessage) => void = () => {};

  private sendToPeer(from: Host, peer: string, message: WireMessage): boolean {
    const at = this.deployment.nodes.findIndex((_, i) => this.name(i) === peer);
    const to = this.processes.get(at);
    if (!to) return false;
    // Cloned when it is sent: what its sender changes later must not change the message.
    const sent = structuredClone(message);
    this.onPeerMessage(from.name, peer, sent);
    return this.network.sendToPeer(from, to.host, () => {
      to.controller.onMessage(from.name, sent);
      this.network.maybeDuplicate(() => this.deliverDuplicate(from, at, sent));
    });
  }

  /** A late copy of a message between controllers, to the process that is there by now. */
  deliverDuplicate(from: Host, to: number, message: WireMessage): void {
    const then = this.processes.get(to);
    if (!then || from.status !== 'up' || !this.network.arePeersConnected(from, then.host)) return;
    then.host.clock.whenAwake(() => then.controller.onMessage(from.name, structuredClone(message)));
  }

  /** Has every controller that is connected to a peer send its state anew, as after a connection is made. */
  private connectPeers(): void {
    for (const [i, { host, controller }] of this.processes) {
      const open = [...this.processes.keys()].some((j) => j !== i && this.isConnectedToPeer(host, j));
      if (open) host.clock.whenAwake(() => controller.onConnect());
    }
  }

  // --- machines ---

  /** A machine is up: its worker starts. */
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
      nodes: deployment.nodes.map((zone, i) => ({ name: this.name(i), address: this.address(i), zone })),
    });
    this.workers.set(machine.id, worker);
  }

  /** A machine is gone from the cloud, with its worker. */
  private endWorker(machine: CloudMachine): void {
    const worker = this.workers.get(machine.id);
    if (!worker) return;
    this.lostEpochsOfRemovedWorkers += worker.lostEpochs;
    worker.end();
    this.workers.delete(machine.id);
  }

  /** Agent epochs of all workers that ended with tasks because no answer had renewed the worker lease. */
  get lostEpochs(): number {
    return [...this.workers.values()].reduce((sum, w) => sum + w.lostEpochs, this.lostEpochsOfRemovedWorkers);
  }
}
