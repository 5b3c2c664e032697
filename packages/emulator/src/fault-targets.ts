/**
 * Resolves what a fault names by number or by share to the hosts of the cluster at hand. A scenario is drawn without
 * knowing the deployment, so that a smaller one (`shrinkScenario`) still means something.
 */
import type { Random } from '@onyxkeel/scheduler';
import type { Cluster } from './cluster.ts';
import type { Host } from './network.ts';
import type { PartitionFrom } from './scenario.ts';
import type { Worker } from './worker.ts';

/** The kinds of hosts on the other side of a controller's partition; null: every host. */
const remoteKinds: Readonly<Record<PartitionFrom, readonly Host['kind'][] | null>> = {
  all: null,
  state: ['state'],
  workers: ['worker'],
  siblings: ['node'],
  cloud: ['cloud'],
  users: ['users'],
  'state and siblings': ['state', 'node'],
};

/** The hosts that a fault concerns. Draws from the run's random numbers once for each machine, in their order. */
export class FaultTargets {
  constructor(
    private readonly cluster: Cluster,
    private readonly random: Random,
  ) {}

  /** The numbers of all controllers. */
  get allNodes(): number[] {
    return this.cluster.deployment.nodes.map((_, node) => node);
  }

  /** The controller that a drawn number means. */
  node(drawn: number): number {
    return drawn % this.cluster.deployment.nodes.length;
  }

  /** The zone that a drawn number means. */
  zone(drawn: number): string {
    const { zones } = this.cluster.deployment;
    return zones[drawn % zones.length] ?? '';
  }

  /** Some of the machines that are up: each with the probability `share`. */
  workers(share: number): Worker[] {
    return this.sample([...this.cluster.workers.values()], share);
  }

  /** Some of the spot machines that are up. */
  spotWorkers(share: number): Worker[] {
    return this.sample(
      [...this.cluster.workers.values()].filter((worker) => worker.machine.spot),
      share,
    );
  }

  /** The hosts of some of the machines that are up, of all zones (null) or of one. */
  workerHosts(share: number, zone: number | null): Set<Host> {
    const workers = this.workers(share).filter(
      (worker) => zone === null || worker.machine.zone === this.zone(zone),
    );
    return new Set(workers.map((worker) => worker.host));
  }

  /** Matches what goes between the controller and the hosts that it is to be cut off from. */
  linksOfNode(drawn: number, from: PartitionFrom): (local: Host, remote: Host) => boolean {
    const name = `node-${String(this.node(drawn))}`;
    const kinds = remoteKinds[from];
    return (local, remote) =>
      local.name === name && remote.name !== name && (kinds?.includes(remote.kind) ?? true);
  }

  private sample(workers: Worker[], share: number): Worker[] {
    return workers.filter(() => this.random.below(1000) < share * 1000);
  }
}
