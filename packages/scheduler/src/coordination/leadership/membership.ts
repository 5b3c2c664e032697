import {
  FAILOVER_BACKOFF_MS,
  HANDBACK_DELAY_MS,
  NODE_LEASE_RENEWAL_MS,
  NODE_LEASE_MS,
  LEADERSHIP_TICK_MS,
  REACHABILITY_SETTLED_MS,
  STARTUP_SETTLE_MS,
  FAILOVER_STEP_MS,
} from '../../constants.ts';
import { encodeNode, encodeLeadership } from '../../storage/record-codec.ts';
import {
  nodeKey,
  type NodeRecord,
  leadershipKey,
  type LeaderIdentity,
  type LeadershipRecord,
} from '../../storage/records.ts';
import type { KeyValueStore } from '../../storage/key-value-store.ts';
import type { WatchCache } from '../../storage/watch-cache.ts';
import type { Int } from '../../protocol/json.ts';
import type { Precondition } from '../../protocol/key-value.ts';
import type { PeerSettings } from '../../settings.ts';
import type { Clock } from '../../transport/clock.ts';
import { type Log, runPeriodically } from '../../transport/background-task.ts';
import { hash, type ShardMap } from './shard-map.ts';

export interface MembershipContext {
  self: { name: string; zone: string; incarnation: string };
  peers: PeerSettings[];
  clock: Clock;
  log: Log;
  store: KeyValueStore;
  watchCache: WatchCache;
  shardMap: ShardMap;
  /** Whether many machines of parts just taken over are still to be asked to accept this node. */
  isReconciling: () => boolean;
}

/**
 * Who is up, and who owns which part. Being up is a node record on a short lease; owning is a part record
 * without one, taken over only when the state service shows its owner gone or started anew.
 */
export class Membership {
  private readonly nodes = new Map<string, NodeRecord & { since: number }>();
  private readonly leaders = new Map<string, LeadershipRecord>();
  private readonly leaderlessSince = new Map<string, number>();
  private lease: Int | null = null;
  /** The node record as last written; null while it is to be written. */
  private written: { lease: Int; value: NodeRecord; version: Int } | null = null;
  private writing = false;
  /** Parts that this node cannot reach, and since when. */
  private readonly unreachable = new Map<string, number>();
  /** Parts that their owners cannot reach, and a machine of which has answered this node. */
  private readonly reachable = new Set<string>();
  private loaded = false;
  private loadedAt = Infinity;
  /** Whether the records speak of parts that this node does not have: it can serve nobody by them. */
  hasForeignShardMap = false;

  constructor(private readonly context: MembershipContext) {}

  onNode(name: string, record: NodeRecord | null): void {
    if (name === this.context.self.name && record?.incarnation !== this.context.self.incarnation) {
      // The process before this one had it, or something undid it: nobody takes this node for up until it is told again.
      this.written = null;
      void this.writeNodeRecord();
    }
    if (!record) return void this.nodes.delete(name);
    const known = this.nodes.get(name);
    const since = known?.incarnation === record.incarnation ? known.since : this.context.clock.now();
    this.nodes.set(name, { ...record, since });
  }

  onLeadership(shard: string, record: LeadershipRecord | null): void {
    if (record) this.leaders.set(shard, record);
    else this.leaders.delete(shard);
  }

  onCaughtUp(): void {
    if (this.loaded) return;
    this.loadedAt = this.context.clock.now();
    this.loaded = true;
    void this.writeNodeRecord();
  }

  leaderOf(shard: string): LeadershipRecord | null {
    return this.leaders.get(shard) ?? null;
  }

  isSelf(record: LeadershipRecord): boolean {
    const { self } = this.context;
    // Of another layout it is nobody's here, whoever handed it over: its machines are not those that this node knows.
    const alike = record.shardMapVersion === this.context.shardMap.version;
    return alike && record.leader === self.name && record.incarnation === self.incarnation;
  }

  /** Nodes that are up, this one among them. */
  liveNodes(): string[] {
    return [...this.nodes.keys()];
  }

  /** Notes whether this node reaches the part's machines; an owner that does not hands the part on. True if that is news. */
  setReachability(shard: string, reached: boolean): boolean {
    if (this.unreachable.has(shard) === !reached) return false;
    if (reached) this.unreachable.delete(shard);
    else this.unreachable.set(shard, this.context.clock.now());
    this.reachable.delete(shard);
    this.context.log.info({ shard, reached }, 'reach of a part changed');
    void this.writeNodeRecord();
    return true;
  }

  /** Notes that a machine of a part has answered this node, which its owner cannot reach. */
  markReachable(shard: string): void {
    if (this.reachable.has(shard) || !this.unreachedByLeader.includes(shard)) return;
    this.reachable.add(shard);
    this.context.log.info({ shard }, 'part found that its owner cannot reach');
    void this.writeNodeRecord();
  }

  /** Parts that this node found it cannot reach. */
  get unreachableShards(): string[] {
    return [...this.unreachable.keys()];
  }

  /** Parts of others that their owners cannot reach: whoever does may have them. */
  get unreachedByLeader(): string[] {
    return [...this.leaders].flatMap(([shard, record]) => {
      const leader = this.nodes.get(record.leader);
      return this.isLeaderAlive(record) && !this.isSelf(record) && leader?.unreachable.includes(shard)
        ? [shard]
        : [];
    });
  }

  /** What others seek no more need not be told. */
  dropReachable(): void {
    const sought = this.unreachedByLeader;
    const dropped = [...this.reachable].filter((shard) => !sought.includes(shard));
    for (const shard of dropped) this.reachable.delete(shard);
    if (dropped.length > 0) void this.writeNodeRecord();
  }

  /**
   * Whether no node that is up reaches the part, though all have had the time to try: then its silent machines are
   * gone, and not its owner.
   */
  unreachableByAll(shard: string): boolean {
    const since = this.unreachable.get(shard) ?? Infinity;
    return (
      this.context.clock.now() - since > REACHABILITY_SETTLED_MS && this.nodesReaching(shard).length === 0
    );
  }

  /** Nodes that are up and that a machine of the part, which its owner does not reach, has answered. */
  private nodesReaching(shard: string): string[] {
    const { self } = this.context;
    return [...this.nodes].flatMap(([name, node]) =>
      name !== self.name && node.reachable.includes(shard) && !node.unreachable.includes(shard) ? [name] : [],
    );
  }

  run(signal: AbortSignal): Promise<unknown> {
    const deps = { clock: this.context.clock, log: this.context.log, signal };
    return Promise.all([
      runPeriodically('lease', NODE_LEASE_RENEWAL_MS, deps, () => this.keepNodeLease()),
      runPeriodically('leadership', LEADERSHIP_TICK_MS, deps, () => this.checkLeadership()),
    ]);
  }

  private async keepNodeLease(): Promise<void> {
    const { store, log } = this.context;
    // Let run out: nobody may take this node for one that parts can be given to.
    if (this.hasForeignShardMap) return void (this.lease = null);
    try {
      if (this.lease !== null && !(await store.renewLease(this.lease))) {
        log.info({}, 'node lease ran out');
        this.lease = null;
      }
      this.lease ??= await store.grantLease(NODE_LEASE_MS);
      await this.writeNodeRecord();
    } catch (error) {
      log.debug({ err: String(error) }, 'node lease not extended');
    }
  }

  /**
   * Writes the node record if it is not as it should be. Each write names the version that it replaces: one of a process
   * before this one that is carried out late would else undo it.
   */
  private async writeNodeRecord(): Promise<void> {
    const { store, self, log, watchCache } = this.context;
    const lease = this.lease;
    if (lease === null || !this.loaded || this.writing) return;
    const value: NodeRecord = {
      incarnation: self.incarnation,
      unreachable: this.unreachableShards,
      reachable: [...this.reachable],
    };
    if (this.written?.lease === lease && JSON.stringify(this.written.value) === JSON.stringify(value)) return;
    const key = nodeKey(self.name);
    const condition = { key, version: this.written?.version ?? watchCache.version(key) };
    this.writing = true;
    this.written = null;
    try {
      const result = await store.compareAndSwap(
        [condition],
        [{ op: 'put', key, value: encodeNode(value), lease }],
        'leadership',
      );
      if (result.kind === 'committed') this.written = { lease, value, version: result.revision };
      else if (result.kind === 'no_lease') this.lease = null;
      // Another version: the replica is behind, and shows it soon.
    } catch (error) {
      log.debug({ err: String(error) }, 'node record not written'); // or perhaps: it is written again
    }
    this.writing = false;
    if (this.written) await this.writeNodeRecord(); // what has changed meanwhile
  }

  private isLeaderAlive(record: LeadershipRecord): boolean {
    return this.nodes.get(record.leader)?.incarnation === record.incarnation;
  }

  private async checkLeadership(): Promise<void> {
    if (!this.loaded || this.checkForeignShardMap() || this.lease === null) return;
    const { self } = this.context;
    const now = this.context.clock.now();
    for (const shard of this.context.shardMap.names) {
      const record = this.leaders.get(shard) ?? null;
      if (record && this.isLeaderAlive(record)) {
        this.leaderlessSince.delete(shard);
        if (this.isSelf(record)) await this.handOver(shard, record, now);
        continue;
      }
      const since = this.leaderlessSince.get(shard) ?? now;
      this.leaderlessSince.set(shard, since);
      if (record !== null && this.homeOf(shard) !== self.name && now - this.loadedAt < STARTUP_SETTLE_MS)
        continue;
      const rank = this.candidates(shard, record === null).indexOf(self.name);
      const wait =
        rank * FAILOVER_STEP_MS +
        (this.context.isReconciling() && this.homeOf(shard) !== self.name ? FAILOVER_BACKOFF_MS : 0);
      if (rank >= 0 && now - since >= wait) await this.failOver(shard, record);
    }
  }

  private checkForeignShardMap(): boolean {
    const { shardMap: shards, log } = this.context;
    const other = [...this.leaders].find(([, record]) => record.shardMapVersion !== shards.version);
    if (other && !this.hasForeignShardMap) {
      log.error(
        { shard: other[0], layout: other[1].shardMapVersion, own: shards.version },
        'the records are of other parts: zones or controllers have changed, or the version; nothing is taken over',
      );
    }
    this.hasForeignShardMap = other !== undefined;
    return this.hasForeignShardMap;
  }

  /** Who should take the part, best first: its zone's node, then whoever owns least. */
  private candidates(shard: string, first: boolean): string[] {
    const { self, peers } = this.context;
    const all = [self, ...peers];
    // At the very first start the others are about to come up: they are waited for by rank.
    const up = first ? all : all.filter((node) => this.nodes.has(node.name));
    const reaching = up.filter((node) => this.canReach(node.name, shard));
    const among = reaching.length > 0 ? reaching : up;
    const led = (name: string): number =>
      [...this.leaders.values()].filter((record) => record.leader === name && this.isLeaderAlive(record))
        .length;
    // One that does not reach some part is likely cut off, and owns little because it has given its parts away.
    const score = (node: { name: string; zone: string }): number[] => [
      this.homeOf(shard) === node.name ? 0 : 1,
      this.nodes.get(node.name)?.unreachable.length ?? 0,
      led(node.name),
      hash(`${shard}:${node.name}`),
    ];
    const lower = (a: number[], b: number[]): number => {
      const at = a.findIndex((value, i) => value !== b[i]);
      return (a[at] ?? 0) - (b[at] ?? 0);
    };
    return among
      .map((node) => ({ name: node.name, score: score(node) }))
      .sort((a, b) => lower(a.score, b.score))
      .map((entry) => entry.name);
  }

  /** The node a part belongs to when all are up: of its zone's nodes, or of all if it has none, by hash. */
  homeOf(shard: string): string {
    const { self, peers, shardMap: shards } = this.context;
    const all = [self, ...peers].sort((a, b) => (a.name < b.name ? -1 : 1));
    const local = all.filter((node) => node.zone === shards.zoneOf(shard));
    const among = local.length > 0 ? local : all;
    const sameZone = shards.names.filter((other) => shards.zoneOf(other) === shards.zoneOf(shard));
    const at = local.length > 0 ? sameZone.indexOf(shard) : hash(shard);
    return among[at % among.length]?.name ?? self.name;
  }

  private async failOver(shard: string, record: LeadershipRecord | null): Promise<void> {
    const { watchCache, self } = this.context;
    const conditions: Precondition[] = [
      { key: leadershipKey(shard), version: watchCache.version(leadershipKey(shard)) },
    ];
    // The owner must still be gone, or still be another incarnation, when this is carried out.
    if (record)
      conditions.push({ key: nodeKey(record.leader), version: watchCache.version(nodeKey(record.leader)) });
    await this.writeLeadership(
      shard,
      record,
      { leader: self.name, incarnation: self.incarnation },
      conditions,
      'takeover',
    );
  }

  private canReach(node: string, shard: string): boolean {
    return !(this.nodes.get(node)?.unreachable.includes(shard) ?? false);
  }

  /**
   * A zone's own node reaches its machines through fewer failures, and owners share the work evenly. An owner that
   * cannot reach the machines gives the part to one that has reached one since: where nobody does, to move it would
   * only begin its takeover anew, with every owner.
   */
  private async handOver(shard: string, record: LeadershipRecord, now: number): Promise<void> {
    const { watchCache } = this.context;
    const cut = this.unreachable.has(shard);
    const finders = this.nodesReaching(shard);
    const home = cut
      ? this.candidates(shard, false).find((name) => finders.includes(name))
      : this.homeOf(shard);
    const node = home === undefined ? undefined : this.nodes.get(home);
    if (home === undefined || home === this.context.self.name || !node || !this.canReach(home, shard)) return;
    if (!cut && now - node.since < HANDBACK_DELAY_MS) return;
    const conditions = [
      { key: leadershipKey(shard), version: watchCache.version(leadershipKey(shard)) },
      { key: nodeKey(home), version: watchCache.version(nodeKey(home)) },
    ];
    await this.writeLeadership(
      shard,
      record,
      { leader: home, incarnation: node.incarnation },
      conditions,
      cut ? 'handed on' : 'handed back',
    );
  }

  private async writeLeadership(
    shard: string,
    before: LeadershipRecord | null,
    to: LeaderIdentity,
    conditions: Precondition[],
    why: string,
  ): Promise<void> {
    const { version: layout } = this.context.shardMap;
    const value: LeadershipRecord = {
      ...to,
      fencingToken: (before?.fencingToken ?? 0) + 1,
      shardMapVersion: layout,
    };
    try {
      const result = await this.context.store.compareAndSwap(
        conditions,
        [{ op: 'put', key: leadershipKey(shard), value: encodeLeadership(value) }],
        'leadership',
      );
      this.context.log.info(
        { shard, from: before?.leader ?? null, ...to, fencingToken: value.fencingToken, result: result.kind },
        why,
      );
    } catch (error) {
      // Carried out or not: the replica will show it.
      this.context.log.info({ shard, err: String(error) }, `${why}: outcome unknown`);
    }
  }
}
