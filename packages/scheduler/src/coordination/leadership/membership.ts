/**
 * Cluster membership as this node's watch cache shows it: which nodes are up, and which node leads which
 * shard. A node's record is bound to a short lease, and the node is up while the record exists. A leadership
 * record has no lease and outlives its leader. See docs/design.md, "Records" and "Leadership".
 */
import type { NodeRecord, LeadershipRecord } from '../../storage/records.ts';
import type { Clock } from '../../transport/clock.ts';

/** One process of the service. */
export interface NodeIdentity {
  readonly name: string;
  readonly zone: string;
  /** New at every start of the process. */
  readonly incarnation: string;
}

/** A node that is up. */
export interface LiveNode extends NodeRecord {
  /** When this process first saw the node's present incarnation, in milliseconds of the clock. */
  readonly since: number;
}

/** The nodes that are up and the shards' leaders, kept current record by record. */
export class Membership {
  private readonly nodes = new Map<string, LiveNode>();
  private readonly leaders = new Map<string, LeadershipRecord>();
  private firstLoadedAt: number | null = null;

  constructor(
    private readonly self: NodeIdentity,
    private readonly shardMapVersion: string,
    private readonly clock: Clock,
  ) {}

  /** Applies a change of a node's record; null when it has been deleted. */
  onNode(name: string, record: NodeRecord | null): void {
    if (!record) return void this.nodes.delete(name);
    const known = this.nodes.get(name);
    const since = known?.incarnation === record.incarnation ? known.since : this.clock.now();
    this.nodes.set(name, { ...record, since });
  }

  /** Applies a change of a shard's leadership record; null when it has been deleted. */
  onLeadership(shard: string, record: LeadershipRecord | null): void {
    if (record) this.leaders.set(shard, record);
    else this.leaders.delete(shard);
  }

  /** Notes that the watch cache is complete. */
  onCaughtUp(): void {
    this.firstLoadedAt ??= this.clock.now();
  }

  /** When the watch cache was first complete, in milliseconds of the clock; null before. */
  get loadedAt(): number | null {
    return this.firstLoadedAt;
  }

  /** The shard's leadership record; null if no node has led it yet. */
  leaderOf(shard: string): LeadershipRecord | null {
    return this.leaders.get(shard) ?? null;
  }

  /** Every shard that has a leadership record, with that record. */
  get leadershipRecords(): [shard: string, record: LeadershipRecord][] {
    return [...this.leaders];
  }

  /**
   * Whether the record names this process. A record of another shard map version never does, whichever node
   * wrote it: the shard then contains other machines than those that this node knows.
   */
  isSelf(record: LeadershipRecord): boolean {
    const isSameShardMap = record.shardMapVersion === this.shardMapVersion;
    return isSameShardMap && record.leader === this.self.name && record.incarnation === this.self.incarnation;
  }

  /** Whether the process that the record names is up: the same incarnation of the node. */
  isLeaderAlive(record: LeadershipRecord): boolean {
    return this.nodes.get(record.leader)?.incarnation === record.incarnation;
  }

  /** How many shards the node leads according to the records. */
  ledShardCount(node: string): number {
    return [...this.leaders.values()].filter((record) => record.leader === node && this.isLeaderAlive(record))
      .length;
  }

  /** The names of the nodes that are up, this one among them. */
  liveNodes(): string[] {
    return [...this.nodes.keys()];
  }

  /** The node, if it is up. */
  liveNode(name: string): LiveNode | undefined {
    return this.nodes.get(name);
  }

  /** False if the node's record shows that it cannot reach the shard's machines. */
  canReach(node: string, shard: string): boolean {
    return !(this.nodes.get(node)?.unreachable.includes(shard) ?? false);
  }

  /** Shards that a peer leads but cannot reach: any node that can reach them may lead them. */
  get unreachedByLeader(): string[] {
    return [...this.leaders].flatMap(([shard, record]) => {
      const leader = this.nodes.get(record.leader);
      return this.isLeaderAlive(record) && !this.isSelf(record) && leader?.unreachable.includes(shard)
        ? [shard]
        : [];
    });
  }

  /**
   * Peers that are up and have received an answer from a machine of the shard while the shard's leader could
   * not reach it.
   */
  peersReaching(shard: string): string[] {
    return [...this.nodes].flatMap(([name, node]) =>
      name !== this.self.name && node.reachable.includes(shard) && !node.unreachable.includes(shard)
        ? [name]
        : [],
    );
  }
}
