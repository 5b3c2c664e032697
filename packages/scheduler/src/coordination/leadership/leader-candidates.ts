/**
 * Which node should lead a shard. Every node computes the same ranking from the same records, so that the
 * best candidate acts first and the others only when it does not.
 */
import type { Membership, NodeIdentity } from './membership.ts';
import { hash, type ShardMap } from './shard-map.ts';

/** A node of the deployment, whether it is up or not. */
type ConfiguredNode = Pick<NodeIdentity, 'name' | 'zone'>;

/** Ranks the deployment's nodes as leaders of a shard. */
export class LeaderCandidates {
  private readonly nodes: readonly ConfiguredNode[];

  constructor(
    private readonly self: NodeIdentity,
    peers: readonly ConfiguredNode[],
    private readonly shardMap: ShardMap,
    private readonly membership: Membership,
  ) {
    this.nodes = [self, ...peers];
  }

  /**
   * The names of the nodes that may lead the shard, best first: its home node, then the nodes that reach the
   * most shards and lead the fewest. Nodes that cannot reach the shard are left out unless no node can. With
   * `isFirstLeader`, nodes that are not up are ranked too: at the first start of a deployment they are about
   * to come up, and the other candidates' delay by rank gives them time.
   */
  ranked(shard: string, isFirstLeader: boolean): string[] {
    const { membership } = this;
    const eligible = isFirstLeader ? this.nodes : this.nodes.filter((node) => membership.liveNode(node.name));
    const reaching = eligible.filter((node) => membership.canReach(node.name, shard));
    return (reaching.length > 0 ? reaching : eligible)
      .map(({ name }) => ({ name, score: this.score(name, shard) }))
      .sort((a, b) => compareScores(a.score, b.score))
      .map(({ name }) => name);
  }

  /** The node that leads the shard when all are up: one of the shard's zone, or any if the zone has none. */
  homeOf(shard: string): string {
    const { shardMap } = this;
    const zone = shardMap.zoneOf(shard);
    const sorted = [...this.nodes].sort((a, b) => (a.name < b.name ? -1 : 1));
    const local = sorted.filter((node) => node.zone === zone);
    if (local.length === 0) return sorted[hash(shard) % sorted.length]?.name ?? this.self.name;
    const shardsOfZone = shardMap.names.filter((other) => shardMap.zoneOf(other) === zone);
    return local[shardsOfZone.indexOf(shard) % local.length]?.name ?? this.self.name;
  }

  /** Lower is better; compared item by item. */
  private score(node: string, shard: string): number[] {
    return [
      this.homeOf(shard) === node ? 0 : 1,
      // A node that cannot reach some shard is probably partitioned. It leads few shards only because it has
      // handed its own over.
      this.membership.liveNode(node)?.unreachable.length ?? 0,
      this.membership.ledShardCount(node),
      hash(`${shard}:${node}`),
    ];
  }
}

function compareScores(a: readonly number[], b: readonly number[]): number {
  const index = a.findIndex((value, i) => value !== b[i]);
  return (a[index] ?? 0) - (b[index] ?? 0);
}
