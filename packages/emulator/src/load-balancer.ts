/**
 * A model of the load balancer in front of the controllers (PROTOCOL "Users -> controller nodes"): probes of readiness,
 * ejection of nodes that fail them, and the choice of a node for a connection. Times are virtual milliseconds.
 */
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

/** A controller as the load balancer knows it. */
export interface Backend {
  readonly address: string;
  /** Open connections of users. */
  openConnections: number;
  /** It may get connections. */
  healthy: boolean;
  /** It has been healthy; until then one good probe is enough. */
  everHealthy: boolean;
  /** Results of the last probes, six at most, the newest last. */
  probes: boolean[];
  /** When it was last found unhealthy. */
  ejectedAt: number;
  /** For how long it then stays out at least. */
  ejectionMs: number;
  /** Connections that were not accepted since it was last skipped; one that is accepted does not reset it. */
  connectionFailures: number;
  /** Until when it gets no connections because of them. */
  skippedUntil: number;
}

/** The load balancer; it probes from its construction on. */
export class LoadBalancer {
  /** The controllers, in the order of their addresses. */
  readonly backends: Backend[];

  constructor(
    private readonly time: VirtualTime,
    private readonly random: Random,
    private readonly network: Network,
    private readonly host: Host,
    addresses: string[],
  ) {
    this.backends = addresses.map((address) => ({
      address,
      openConnections: 0,
      healthy: false,
      everHealthy: false,
      probes: [],
      ejectedAt: -Infinity,
      ejectionMs: EJECTION_MS,
      connectionFailures: 0,
      skippedUntil: -Infinity,
    }));
    this.backends.forEach((node, i) =>
      this.time.after((i * PROBE_MS) / this.backends.length, () => this.probe(node)),
    );
  }

  /** Probes the node now and then at intervals. */
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

  /** Two bad probes in a row or three of six eject a node; two good ones, once its time is over, bring it back. */
  private onProbeResult(node: Backend, isGood: boolean): void {
    const { now } = this.time;
    node.probes = [...node.probes.slice(-5), isGood];
    const lastTwo = node.probes.slice(-2);
    if (node.healthy) {
      const badCount = node.probes.filter((p) => !p).length;
      if (badCount < 3 && !(lastTwo.length === 2 && lastTwo.every((p) => !p))) return;
      node.healthy = false;
      const isRepeated = now - node.ejectedAt < EJECTION_WINDOW_MS;
      node.ejectionMs = isRepeated ? Math.min(EJECTION_MAX_MS, node.ejectionMs * 2) : EJECTION_MS;
      node.ejectedAt = now;
      return;
    }
    const areLastTwoGood = lastTwo.length === 2 && lastTwo.every((p) => p);
    if (!isGood || (node.everHealthy && (!areLastTwoGood || now - node.ejectedAt < node.ejectionMs))) return;
    node.healthy = true;
    node.everHealthy = true;
    node.probes = [];
  }

  /** A healthy node with fewest open connections among those not yet tried; null if there is none. */
  choose(tried: Set<string>): Backend | null {
    const available = this.backends.filter(
      (n) => n.healthy && !tried.has(n.address) && n.skippedUntil <= this.time.now,
    );
    const fewest = Math.min(...available.map((n) => n.openConnections));
    const candidates = available.filter((n) => n.openConnections === fewest);
    return candidates[this.random.below(Math.max(1, candidates.length))] ?? null;
  }

  /** A connection was not accepted: after the third the node is skipped for a while. */
  onConnectionFailed(node: Backend): void {
    if (++node.connectionFailures < 3) return;
    node.connectionFailures = 0;
    node.skippedUntil = this.time.now + EJECTION_MS;
  }
}
