/** Probes of machines in shards that this node does not lead, or cannot reach as their leader. */
import { COMMAND_DEADLINE_MS, REACHABILITY_SAMPLE } from '../../constants.ts';
import type { CachedPages } from '../../storage/cached-pages.ts';
import type { MachinesRecord } from '../../storage/records.ts';
import { workerPaths } from '../../protocol/workers.ts';
import { firstNonNull } from '../../transport/first-non-null.ts';
import type { HttpClient } from '../../transport/http-client.ts';
import type { Random } from '../../transport/random.ts';
import type { LedShards } from './led-shards.ts';
import type { Membership } from './membership.ts';
import type { Reachability } from './reachability.ts';

/** What {@link ReachabilityProber} needs of its node. */
export interface ReachabilityProberContext {
  readonly http: HttpClient;
  readonly signal: AbortSignal;
  readonly random: Random;
  readonly membership: Membership;
  readonly reachability: Reachability;
  readonly ledShards: LedShards;
  /** The shards' machine records, as the watch cache has them. */
  readonly machinePages: CachedPages<MachinesRecord>;
}

/** Finds out which shards this node can reach. */
export class ReachabilityProber {
  private isProbing = false;

  constructor(private readonly context: ReachabilityProberContext) {}

  /**
   * Probes the shards that this node could not reach, so that they can be handed back to it. Also probes the
   * shards that a peer leads but cannot reach, so that they are handed only to a node that can. Does nothing
   * while a round of probes is in progress.
   */
  async probeAll(): Promise<void> {
    if (this.isProbing) return;
    this.isProbing = true;
    const { membership, reachability } = this.context;
    reachability.pruneReachable();
    const shards = [...reachability.unreachableShards, ...membership.unreachedByLeader];
    await Promise.all(shards.map((shard) => this.probe(shard)));
    this.isProbing = false;
  }

  private async probe(shard: string): Promise<void> {
    const { ledShards, reachability } = this.context;
    if (!(await this.isReached(shard))) return;
    if (reachability.setReachability(shard, true)) ledShards.get(shard)?.autoscaler.onReachable();
    reachability.markReachable(shard);
  }

  /**
   * Whether one of a few random machines of the shard answers. A shard without machines counts as reached.
   */
  private async isReached(shard: string): Promise<boolean> {
    const { machinePages, random } = this.context;
    const machines = machinePages.pagesOf(shard).flatMap(([, page]) => Object.values(page.machines));
    const probes: Promise<true | null>[] = [];
    while (probes.length < REACHABILITY_SAMPLE && machines.length > 0) {
      const [machine] = machines.splice(random.below(machines.length), 1);
      if (machine) probes.push(this.probeMachine(machine.endpoint));
    }
    if (probes.length === 0) return true;
    // The first answer is enough: the other machines may never answer.
    return (await firstNonNull(probes)) !== null;
  }

  /** True if the machine answers; null if it does not, for any reason. */
  private async probeMachine(endpoint: string): Promise<true | null> {
    const { http, signal } = this.context;
    const call = { address: endpoint, method: 'GET' as const, path: workerPaths.inspect, signal };
    return http({ ...call, deadlineMs: COMMAND_DEADLINE_MS }).then(
      (response) => (response.status === 200 ? true : null),
      () => null,
    );
  }
}
