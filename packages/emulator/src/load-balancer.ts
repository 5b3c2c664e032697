/**
 * A model of the load balancer in front of the controllers (PROTOCOL "Users -> controller nodes"): readiness
 * probes, ejection of nodes that fail them, and the choice of a node for a connection. Times are virtual
 * milliseconds.
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

/** The load balancer's record of one controller. */
export interface Backend {
  readonly address: string;
  /** Open connections of users. */
  openConnections: number;
  /** Whether it may receive connections. */
  healthy: boolean;
  /** Whether it has ever been healthy. Until then one successful probe makes it healthy. */
  everHealthy: boolean;
  /** Results of the last probes, at most six, newest last. True means success. */
  probes: boolean[];
  /** When it was last ejected. */
  ejectedAt: number;
  /** The least duration of that ejection. */
  ejectionMs: number;
  /** Failed connections since it was last skipped. A successful connection does not reset the count. */
  connectionFailures: number;
  /** It receives no connections until this time, because of failed ones. */
  skippedUntil: number;
}

/** The load balancer. It starts to probe on construction. */
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

  /** Probes the node, now and every `PROBE_MS`. */
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

  /**
   * Ejects a healthy node if its last two probes failed, or three of its last six. Restores an ejected node
   * once its ejection time is over and its last two probes were successful.
   */
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

  /**
   * Chooses among the nodes that are healthy, untried and not skipped: a random one of those with the fewest
   * open connections. Null if there is none.
   */
  choose(tried: Set<string>): Backend | null {
    const available = this.backends.filter(
      (n) => n.healthy && !tried.has(n.address) && n.skippedUntil <= this.time.now,
    );
    const fewest = Math.min(...available.map((n) => n.openConnections));
    const candidates = available.filter((n) => n.openConnections === fewest);
    return candidates[this.random.below(Math.max(1, candidates.length))] ?? null;
  }

  /** Counts a failed connection. After the third the node is skipped for `EJECTION_MS`. */
  onConnectionFailed(node: Backend): void {
    if (++node.connectionFailures < 3) return;
    node.connectionFailures = 0;
    node.skippedUntil = this.time.now + EJECTION_MS;
  }
}
