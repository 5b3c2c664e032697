/** An in-memory deployment for scenario tests. */
import { setMaxListeners } from 'node:events';
import { MAX_BODY_BYTES } from '../../src/constants.ts';
import { Controller } from '../../src/coordination/controller.ts';
import { httpApi } from '../../src/protocol/http-api.ts';
import { parseJson } from '../../src/protocol/json.ts';
import type { PeerWireMessage } from '../../src/protocol/peer-message-codec.ts';
import { readSettings } from '../../src/settings.ts';
import type { HttpReply } from '../../src/transport/http-server.ts';
import { seededRandom } from '../../src/transport/random.ts';
import {
  FakeClock,
  FakeCloud,
  FakeNetwork,
  FakeKeyValueStore,
  FakeWorker,
  drainEventLoop,
  silentLog,
} from './fakes.ts';

const KEY_VALUE_STORE_ADDRESS = 'state:1';
const CLOUD_ADDRESS = 'cloud:1';
export const HEARTBEAT_INTERVAL_MS = 2000;
export const WORKER_LEASE_MS = 16_000;
export const CANCELLATION_LIMIT_MS = 40_000;

interface Node {
  name: string;
  controller: Controller;
  app: ReturnType<typeof httpApi>;
  abort: AbortController;
  up: boolean;
}

export interface Answer {
  status: number;
  body: Record<string, unknown>;
}

/** Controllers, workers, cloud and key-value store of a deployment, all in memory with one fake clock. */
export class Cluster {
  readonly clock = new FakeClock();
  readonly keyValueStore = new FakeKeyValueStore(this.clock);
  readonly network = new FakeNetwork(this.clock);
  readonly cloud: FakeCloud;
  readonly workers = new Map<string, FakeWorker>();
  private readonly nodes = new Map<string, Node>();
  /** Workers whose heartbeats reach no node. */
  readonly mutedWorkers = new Set<string>();
  private startCount = 0;
  private nodeWithoutHeartbeats: string | null = null;
  private readonly isolatedNodes = new Set<string>();

  constructor(
    readonly zones: string[],
    private readonly maxCores = 0,
    /** One id for each controller: the name of its zone, followed by a number if the zone has several. */
    private readonly nodeIds = zones,
  ) {
    this.cloud = new FakeCloud(zones);
    this.cloud.onReturn = (id) => this.workers.delete(id);
    this.network.serve(KEY_VALUE_STORE_ADDRESS, this.keyValueStore.server);
    this.network.serve(CLOUD_ADDRESS, this.cloud.server);
  }

  static readonly nodeNameOf = (nodeId: string): string => `node-${nodeId}`;

  start(nodeId: string): void {
    const name = Cluster.nodeNameOf(nodeId);
    const zoneOf = (id: string): string => id.replace(/\d+$/, '');
    const abort = new AbortController();
    setMaxListeners(0, abort.signal);
    const address = (n: string): string => `127.0.0.1:${String(9000 + this.nodeIds.indexOf(n))}`;
    const settings = readSettings({
      node_name: name,
      zone: zoneOf(nodeId),
      listen: address(nodeId),
      mesh_addr: address(nodeId),
      siblings: this.nodeIds
        .filter((id) => id !== nodeId)
        .map((id) => ({ node_name: Cluster.nodeNameOf(id), zone: zoneOf(id), peer_addr: address(id) })),
      endpoints: { cloud: '127.0.0.1:1', state: '127.0.0.1:2' },
      deployment: {
        zones: this.zones,
        teams: [{ name: 'red', cpus_max: this.maxCores }],
        workers: {
          report_s: HEARTBEAT_INTERVAL_MS / 1000,
          lease_s: WORKER_LEASE_MS / 1000,
          cancel_s: CANCELLATION_LIMIT_MS / 1000,
        },
        state: { rps: 1000, write_rps: 1000, value_kb: 8, txn_ops: 12 },
        cloud: { rps: 100 },
      },
    });
    const controller = new Controller({
      settings: { ...settings, keyValueStore: KEY_VALUE_STORE_ADDRESS, cloud: CLOUD_ADDRESS },
      incarnation: `i${String(++this.startCount)}`,
      clock: this.clock,
      wallClock: () => this.clock.now(),
      random: seededRandom(7),
      log: silentLog,
      http: this.network.client(name),
      sendToPeer: (peer, message) => this.sendToPeer(name, peer, message),
      connectedPeers: () =>
        [...this.nodes.keys()].filter((n) => n !== name && this.arePeersConnected(name, n)),
      signal: abort.signal,
    });
    const node: Node = { name, controller, app: httpApi(controller), abort, up: true };
    this.nodes.set(name, node);
    void controller.run();
  }

  /** Terminates the node without a shutdown signal, as the platform does. `start` restarts the node. */
  crash(nodeId: string): void {
    const node = this.node(nodeId);
    node.up = false;
    node.abort.abort();
  }

  isolateFromPeers(nodeId: string): void {
    this.isolatedNodes.add(Cluster.nodeNameOf(nodeId));
  }

  /** Blocks the heartbeats to this node, and to no other; null blocks none. */
  blockHeartbeatsTo(nodeId: string | null): void {
    this.nodeWithoutHeartbeats = nodeId === null ? null : Cluster.nodeNameOf(nodeId);
  }

  private arePeersConnected(a: string, b: string): boolean {
    const up = (n: string): boolean => this.nodes.get(n)?.up ?? false;
    return up(a) && up(b) && !this.isolatedNodes.has(a) && !this.isolatedNodes.has(b);
  }

  private sendToPeer(from: string, to: string, message: PeerWireMessage): boolean {
    if (!this.arePeersConnected(from, to)) return false;
    setImmediate(() => this.nodes.get(to)?.controller.onMessage(from, structuredClone(message)));
    return true;
  }

  private node(nodeId: string): Node {
    const node = this.nodes.get(Cluster.nodeNameOf(nodeId));
    if (!node) throw new Error(`no node ${nodeId}`);
    return node;
  }

  ledShards(nodeId: string): string[] {
    return this.node(nodeId).controller.ledShards;
  }

  addWorker(id: string, zone: string, spot = false): FakeWorker {
    const worker = new FakeWorker(id, zone, this.clock, WORKER_LEASE_MS, spot);
    this.workers.set(id, worker);
    this.network.serve(worker.address, worker.server);
    void this.sendHeartbeats(worker);
    return worker;
  }

  /**
   * Sends the worker's heartbeats to one node at a time, and switches to another node as the protocol
   * requires.
   */
  private async sendHeartbeats(worker: FakeWorker): Promise<void> {
    let nodeName = Cluster.nodeNameOf(worker.zone);
    const nextNodeName = (): string => {
      const names = [...this.nodes.keys()];
      return names[(names.indexOf(nodeName) + 1) % names.length] ?? nodeName;
    };
    while (this.workers.has(worker.id)) {
      await this.clock.sleep(HEARTBEAT_INTERVAL_MS);
      if (this.mutedWorkers.has(worker.id) || !this.workers.has(worker.id)) continue;
      const node = this.nodes.get(nodeName);
      if (!node?.up || this.nodeWithoutHeartbeats === nodeName) {
        nodeName = nextNodeName();
        continue;
      }
      const sentAt = this.clock.now();
      const agentEpoch = worker.agentEpoch;
      const heartbeat = JSON.stringify(worker.heartbeat());
      const response = await node.app({ method: 'POST', path: '/checkin', body: heartbeat });
      const body = JSON.parse(response.body) as Record<string, unknown>;
      if (response.status === 200) worker.onHeartbeatReply(sentAt, agentEpoch, body as never);
      else if (response.status === 421 && typeof body['riferisce_a'] === 'string')
        nodeName = body['riferisce_a'];
      else nodeName = nextNodeName();
    }
  }

  /** Sends a user's request and advances the clock, by at most four seconds, until the node answers. */
  private async call(nodeId: string, path: string, method = 'GET', text = ''): Promise<Answer> {
    // The HTTP server passes null for a body over the limit.
    const body = Buffer.byteLength(text) > MAX_BODY_BYTES ? null : text;
    const promise = (async () => await this.node(nodeId).app({ method, path, body }))();
    let answered = false;
    void promise.then(() => (answered = true));
    await drainEventLoop();
    for (let i = 0; i < 40 && !answered; i++) await this.clock.advance(100);
    return toAnswer(await promise);
  }

  submit(nodeId: string, id: string, tasks: number, more: object = {}): Promise<Answer> {
    return this.post(nodeId, { ...jobSubmission(id, tasks), ...more });
  }

  post(nodeId: string, body: unknown): Promise<Answer> {
    return this.call(nodeId, '/v1/jobs', 'POST', typeof body === 'string' ? body : JSON.stringify(body));
  }

  /** Polls a job without advancing the clock. */
  async pollWithoutWaiting(nodeId: string, id: string): Promise<Answer> {
    return toAnswer(await this.node(nodeId).app({ method: 'GET', path: `/v1/jobs/${id}`, body: '' }));
  }

  poll(nodeId: string, id: string): Promise<Answer> {
    return this.call(nodeId, `/v1/jobs/${id}`);
  }

  cancel(nodeId: string, id: string): Promise<Answer> {
    return this.call(nodeId, `/v1/jobs/${id}/withdraw`, 'POST');
  }

  /** Sets the fault of calls from a node to an address; `state` is the address of the key-value store. */
  setFault(nodeId: string, address: string, fault: Parameters<FakeNetwork['setFault']>[2]): void {
    this.network.setFault(
      Cluster.nodeNameOf(nodeId),
      address === 'state' ? KEY_VALUE_STORE_ADDRESS : address,
      fault,
    );
  }

  /** Names of the tasks that currently run on any machine, sorted. */
  runningTasks(): string[] {
    return [...this.workers.values()].flatMap((w) => w.runningTasks()).sort();
  }

  stop(): void {
    for (const node of this.nodes.values()) node.abort.abort();
    this.workers.clear();
  }
}

function toAnswer(reply: HttpReply): Answer {
  const body = reply.body === '' ? {} : parseJson(reply.body);
  return { status: reply.status, body: body as Record<string, unknown> };
}

/** The body of a valid job submission in the form that users send. */
export function jobSubmission(id: string, tasks: number): Record<string, unknown> {
  return {
    id,
    lot: 'nightly',
    ufficio: 'red',
    genere: 'batch',
    urgenza: 'standard',
    pratiche: tasks,
    cores: 2.0,
    accelerators: 0.0,
    ram_gb: 4.0,
    stampo: 'img',
    size_gb: 1.0,
    modelli: null,
    sede: null,
    same_place: false,
    apart: false,
    prestiti: false,
    stima_s: 10.0,
    salvataggio_s: 0.0,
    scrittura_s: 0.0,
    scadenza_s: null,
  };
}
