/**
 * Resolves the numbers and shares in a fault to hosts of the cluster. A scenario does not name hosts, so that
 * it stays valid when `shrinkScenario` makes it smaller.
 */
import type { Random } from '@onyxkeel/scheduler';
import type { Cluster } from './cluster.ts';
import { controllerName } from './deployment.ts';
import type { Host } from './network.ts';
import type { PartitionFrom } from './scenario.ts';
import type { Worker } from './worker.ts';

/** The kinds of hosts that a partition separates from a controller; null: every host. */
const remoteKinds: Readonly<Record<PartitionFrom, readonly Host['kind'][] | null>> = {
  all: null,
  state: ['state'],
  workers: ['worker'],
  siblings: ['node'],
  cloud: ['cloud'],
  users: ['users'],
  'state and siblings': ['state', 'node'],
};

/**
 * Selects the hosts that a fault affects. A sample of machines draws one random number for each, in order.
 */
export class FaultTargets {
  constructor(
    private readonly cluster: Cluster,
    private readonly random: Random,
  ) {}

  /** The numbers of all controllers. */
  get allNodes(): number[] {
    return this.cluster.deployment.nodes.map((_, node) => node);
  }

  /** The controller that a number in a fault stands for. */
  node(drawn: number): number {
    return drawn % this.cluster.deployment.nodes.length;
  }

  /** The zone that a number in a fault stands for. */
  zone(drawn: number): string {
    const { zones } = this.cluster.deployment;
    return zones[drawn % zones.length] ?? '';
  }

  /** A sample of the machines that are up, each with the probability `share`. */
  workers(share: number): Worker[] {
    return this.sample([...this.cluster.workers.values()], share);
  }

  /** A sample of the spot machines that are up, each with the probability `share`. */
  spotWorkers(share: number): Worker[] {
    return this.sample(
      [...this.cluster.workers.values()].filter((worker) => worker.machine.spot),
      share,
    );
  }

  /** The hosts of a sample of the machines that are up, in all zones (null) or in one. */
  workerHosts(share: number, zone: number | null): Set<Host> {
    const workers = this.workers(share).filter(
      (worker) => zone === null || worker.machine.zone === this.zone(zone),
    );
    return new Set(workers.map((worker) => worker.host));
  }

  /** Matches the links between the controller and the hosts that the partition separates it from. */
  linksOfNode(drawn: number, from: PartitionFrom): (local: Host, remote: Host) => boolean {
    const name = controllerName(this.node(drawn));
    const kinds = remoteKinds[from];
    return (local, remote) =>
      local.name === name && remote.name !== name && (kinds?.includes(remote.kind) ?? true);
  }

  private sample(workers: Worker[], share: number): Worker[] {
    return workers.filter(() => this.random.below(1000) < share * 1000);
  }
}
