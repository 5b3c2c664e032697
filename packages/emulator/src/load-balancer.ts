import { NoAnswer, type Random } from '@onyxkeel/scheduler';
import {
  EJECTION_MAX_MS,
  EJECTION_MS,
  EJECTION_WINDOW_MS,
  PROBE_DEADLINE_MS,
  PROBE_MS,
} from './constants.ts';
import type { Host, Network } from './network.ts';
import type { VirtualTime } from './time.ts';

export interface Backend {
  readonly address: string;
  connections: number;
  healthy: boolean;
  everHealthy: boolean;
  /** The last probes, the newest last. */
  probes: boolean[];
  ejectedAt: number;
  ejectionMs: number;
  /** Connections in a row that failed, and until when it is passed over for them. */
  failures: number;
  skippedUntil: number;
}

/** The load balancer in front of the controllers, by PROTOCOL "Users -> controller nodes". */
export class LoadBalancer {
  readonly nodes: Backend[];

  constructor(
    private readonly time: VirtualTime,
    private readonly random: Random,
    private readonly network: Network,
    private readonly host: Host,
    addresses: string[],
  ) {
    this.nodes = addresses.map((address) => ({
      address,
      connections: 0,
      healthy: false,
      everHealthy: false,
      probes: [],
      ejectedAt: -Infinity,
      ejectionMs: EJECTION_MS,
      failures: 0,
      skippedUntil: -Infinity,
    }));
    this.nodes.forEach((node, i) =>
      this.time.after((i * PROBE_MS) / this.nodes.length, () => this.probe(node)),
    );
  }

  private probe(node: Backend): void {
    this.time.after(PROBE_MS, () => this.probe(node));
    const call = {
      address: node.address,
      method: 'GET' as const,
      path: '/ready',
      deadlineMs: PROBE_DEADLINE_MS,
    };
    void this.network.exchange(this.host, call).then(
      (reply) => this.onProbeResult(node, reply.status === 200),
      (error: unknown) => {
        if (!(error instanceof NoAnswer)) throw error;
        this.onProbeResult(node, false);
      },
    );
  }

  private onProbeResult(node: Backend, well: boolean): void {
    const { now } = this.time;
    node.probes = [...node.probes.slice(-5), well];
    const lastTwo = node.probes.slice(-2);
    if (node.healthy) {
      const bad = node.probes.filter((p) => !p).length;
      if (bad < 3 && !(lastTwo.length === 2 && lastTwo.every((p) => !p))) return;
      node.healthy = false;
      const again = now - node.ejectedAt < EJECTION_WINDOW_MS;
      node.ejectionMs = again ? Math.min(EJECTION_MAX_MS, node.ejectionMs * 2) : EJECTION_MS;
      node.ejectedAt = now;
      return;
    }
    const twice = lastTwo.length === 2 && lastTwo.every((p) => p);
    if (!well || (node.everHealthy && (!twice || now - node.ejectedAt < node.ejectionMs))) return;
    node.healthy = true;
    node.everHealthy = true;
    node.probes = [];
  }

  /** A healthy node with fewest open connections among those not yet tried; null if there is none. */
  choose(tried: Set<string>): Backend | null {
    const able = this.nodes.filter(
      (n) => n.healthy && !tried.has(n.address) && n.skippedUntil <= this.time.now,
    );
    const fewest = Math.min(...able.map((n) => n.connections));
    const among = able.filter((n) => n.connections === fewest);
    return among[this.random.below(Math.max(1, among.length))] ?? null;
  }

  /** A connection was not accepted. */
  onConnectionFailed(node: Backend): void {
    if (++node.failures < 3) return;
    node.failures = 0;
    node.skippedUntil = this.time.now + EJECTION_MS;
  }
}
