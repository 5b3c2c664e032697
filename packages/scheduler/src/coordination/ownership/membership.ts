import {
  BUSY_MS,
  HANDBACK_AFTER_MS,
  NODE_EXTEND_MS,
  NODE_LEASE_MS,
  OWNERSHIP_TICK_MS,
  REACH_TRIED_MS,
  SETTLE_MS,
  TAKEOVER_STEP_MS,
} from '../../constants.ts';
import { encodeNode, encodePart } from '../../bookkeeping/record-codec.ts';
import { nodeKey, type NodeRecord, partKey, type PartRecord } from '../../bookkeeping/records.ts';
import type { Replica, Store } from '../../bookkeeping/store.ts';
import type { Int } from '../../protocol/json.ts';
import type { Condition } from '../../protocol/state.ts';
import type { NodeAddress } from '../../settings.ts';
import type { Clock } from '../../transport/clock.ts';
import { type Log, routine } from '../../transport/routine.ts';
import { hash, type PartMap } from './parts.ts';

export interface MembershipContext {
  self: { name: string; zone: string; incarnation: string };
  siblings: NodeAddress[];
  clock: Clock;
  log: Log;
  store: Store;
  replica: Replica;
  parts: PartMap;
  /** Whether many machines of parts just taken over are still to be asked to accept this node. */
  busy: () => boolean;
}

/**
 * Who is up, and who owns which part. Being up is a node record on a short lease; owning is a part record
 * without one, taken over only when the state service shows its owner gone or started anew.
 */
export class Membership {
  private readonly nodes = new Map<string, NodeRecord & { since: number }>();
  private readonly owners = new Map<string, PartRecord>();
  private readonly ownerlessSince = new Map<string, number>();
  private lease: Int | null = null;
  /** The node record as last written; null while it is to be written. */
  private written: { lease: Int; value: NodeRecord; version: Int } | null = null;
  private writing = false;
  /** Parts that this node cannot reach, and since when. */
  private readonly unreachable = new Map<string, number>();
  /** Parts that their owners cannot reach, and a machine of which has answered this node. */
  private readonly found = new Set<string>();
  private loaded = false;
  private loadedAt = Infinity;
  /** Whether the records speak of parts that this node does not have: it can serve nobody by them. */
  foreign = false;

  constructor(private readonly context: MembershipContext) {}

  onNode(name: string, record: NodeRecord | null): void {
    if (name === this.context.self.name && record?.incarnation !== this.context.self.incarnation) {
      // The process before this one had it, or something undid it: nobody takes this node for up until it is told again.
      this.written = null;
      void this.putNode();
    }
    if (!record) return void this.nodes.delete(name);
    const known = this.nodes.get(name);
    const since = known?.incarnation === record.incarnation ? known.since : this.context.clock.now();
    this.nodes.set(name, { ...record, since });
  }

  onPart(part: string, record: PartRecord | null): void {
    if (record) this.owners.set(part, record);
    else this.owners.delete(part);
  }

  onCaughtUp(): void {
    if (this.loaded) return;
    this.loadedAt = this.context.clock.now();
    this.loaded = true;
    void this.putNode();
  }

  owner(part: string): PartRecord | null {
    return this.owners.get(part) ?? null;
  }

  isSelf(record: PartRecord): boolean {
    const { self } = this.context;
    // Of another layout it is nobody's here, whoever handed it over: its machines are not those that this node knows.
    const alike = record.layout === this.context.parts.layout;
    return alike && record.owner === self.name && record.incarnation === self.incarnation;
  }

  /** Nodes that are up, this one among them. */
  up(): string[] {
    return [...this.nodes.keys()];
  }

  /** Notes whether this node reaches the part's machines; an owner that does not hands the part on. True if that is news. */
  setReach(part: string, reached: boolean): boolean {
    if (this.unreachable.has(part) === !reached) return false;
    if (reached) this.unreachable.delete(part);
    else this.unreachable.set(part, this.context.clock.now());
    this.found.delete(part);
    this.context.log.info({ part, reached }, 'reach of a part changed');
    void this.putNode();
    return true;
  }

  /** Notes that a machine of a part has answered this node, which its owner cannot reach. */
  setFound(part: string): void {
    if (this.found.has(part) || !this.sought.includes(part)) return;
    this.found.add(part);
    this.context.log.info({ part }, 'part found that its owner cannot reach');
    void this.putNode();
  }

  /** Parts that this node found it cannot reach. */
  get unreached(): string[] {
    return [...this.unreachable.keys()];
  }

  /** Parts of others that their owners cannot reach: whoever does may have them. */
  get sought(): string[] {
    return [...this.owners].flatMap(([part, record]) => {
      const owner = this.nodes.get(record.owner);
      return this.alive(record) && !this.isSelf(record) && owner?.unreachable.includes(part) ? [part] : [];
    });
  }

  /** What others seek no more need not be told. */
  dropFound(): void {
    const sought = this.sought;
    const dropped = [...this.found].filter((part) => !sought.includes(part));
    for (const part of dropped) this.found.delete(part);
    if (dropped.length > 0) void this.putNode();
  }

  /**
   * Whether no node that is up reaches the part, though all have had the time to try: then its silent machines are
   * gone, and not its owner.
   */
  reachedByNone(part: string): boolean {
    const since = this.unreachable.get(part) ?? Infinity;
    return this.context.clock.now() - since > REACH_TRIED_MS && this.finders(part).length === 0;
  }

  /** Nodes that are up and that a machine of the part, which its owner does not reach, has answered. */
  private finders(part: string): string[] {
    const { self } = this.context;
    return [...this.nodes].flatMap(([name, node]) =>
      name !== self.name && node.reaches.includes(part) && !node.unreachable.includes(part) ? [name] : [],
    );
  }

  run(signal: AbortSignal): Promise<unknown> {
    const deps = { clock: this.context.clock, log: this.context.log, signal };
    return Promise.all([
      routine('lease', NODE_EXTEND_MS, deps, () => this.holdLease()),
      routine('ownership', OWNERSHIP_TICK_MS, deps, () => this.watchParts()),
    ]);
  }

  private async holdLease(): Promise<void> {
    const { store, log } = this.context;
    // Let run out: nobody may take this node for one that parts can be given to.
    if (this.foreign) return void (this.lease = null);
    try {
      if (this.lease !== null && !(await store.extend(this.lease))) {
        log.info({}, 'node lease ran out');
        this.lease = null;
      }
      this.lease ??= await store.grant(NODE_LEASE_MS);
      await this.putNode();
    } catch (error) {
      log.debug({ err: String(error) }, 'node lease not extended');
    }
  }

  /**
   * Writes the node record if it is not as it should be. Each write names the version that it replaces: one of a process
   * before this one that is carried out late would else undo it.
   */
  private async putNode(): Promise<void> {
    const { store, self, log, replica } = this.context;
    const lease = this.lease;
    if (lease === null || !this.loaded || this.writing) return;
    const value: NodeRecord = {
      incarnation: self.incarnation,
      unreachable: this.unreached,
      reaches: [...this.found],
    };
    if (this.written?.lease === lease && JSON.stringify(this.written.value) === JSON.stringify(value)) return;
    const key = nodeKey(self.name);
    const condition = { key, version: this.written?.version ?? replica.version(key) };
    this.writing = true;
    this.written = null;
    try {
      const result = await store.txn(
        [condition],
        [{ op: 'put', key, value: encodeNode(value), lease }],
        'ownership',
      );
      if (result.kind === 'committed') this.written = { lease, value, version: result.revision };
      else if (result.kind === 'no_lease') this.lease = null;
      // Another version: the replica is behind, and shows it soon.
    } catch (error) {
      log.debug({ err: String(error) }, 'node record not written'); // or perhaps: it is written again
    }
    this.writing = false;
    if (this.written) await this.putNode(); // what has changed meanwhile
  }

  private alive(record: PartRecord): boolean {
    return this.nodes.get(record.owner)?.incarnation === record.incarnation;
  }

  private async watchParts(): Promise<void> {
    if (!this.loaded || this.isForeign() || this.lease === null) return;
    const { self } = this.context;
    const now = this.context.clock.now();
    for (const part of this.context.parts.names) {
      const record = this.owners.get(part) ?? null;
      if (record && this.alive(record)) {
        this.ownerlessSince.delete(part);
        if (this.isSelf(record)) await this.handBack(part, record, now);
        continue;
      }
      const since = this.ownerlessSince.get(part) ?? now;
      this.ownerlessSince.set(part, since);
      if (record !== null && this.home(part) !== self.name && now - this.loadedAt < SETTLE_MS) continue;
      const rank = this.candidates(part, record === null).indexOf(self.name);
      const wait =
        rank * TAKEOVER_STEP_MS + (this.context.busy() && this.home(part) !== self.name ? BUSY_MS : 0);
      if (rank >= 0 && now - since >= wait) await this.takeOver(part, record);
    }
  }

  private isForeign(): boolean {
    const { parts, log } = this.context;
    const other = [...this.owners].find(([, record]) => record.layout !== parts.layout);
    if (other && !this.foreign) {
      log.error(
        { part: other[0], layout: other[1].layout, own: parts.layout },
        'the records are of other parts: zones or controllers have changed, or the version; nothing is taken over',
      );
    }
    this.foreign = other !== undefined;
    return this.foreign;
  }

  /** Who should take the part, best first: its zone's node, then whoever owns least. */
  private candidates(part: string, first: boolean): string[] {
    const { self, siblings } = this.context;
    const all = [self, ...siblings];
    // At the very first start the others are about to come up: they are waited for by rank.
    const up = first ? all : all.filter((node) => this.nodes.has(node.name));
    const reaching = up.filter((node) => this.reaches(node.name, part));
    const among = reaching.length > 0 ? reaching : up;
    const owned = (name: string): number =>
      [...this.owners.values()].filter((record) => record.owner === name && this.alive(record)).length;
    // One that does not reach some part is likely cut off, and owns little because it has given its parts away.
    const score = (node: { name: string; zone: string }): number[] => [
      this.home(part) === node.name ? 0 : 1,
      this.nodes.get(node.name)?.unreachable.length ?? 0,
      owned(node.name),
      hash(`${part}:${node.name}`),
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
  home(part: string): string {
    const { self, siblings, parts } = this.context;
    const all = [self, ...siblings].sort((a, b) => (a.name < b.name ? -1 : 1));
    const local = all.filter((node) => node.zone === parts.zoneOf(part));
    const among = local.length > 0 ? local : all;
    const peers = parts.names.filter((other) => parts.zoneOf(other) === parts.zoneOf(part));
    const at = local.length > 0 ? peers.indexOf(part) : hash(part);
    return among[at % among.length]?.name ?? self.name;
  }

  private async takeOver(part: string, record: PartRecord | null): Promise<void> {
    const { replica, self } = this.context;
    const conditions: Condition[] = [{ key: partKey(part), version: replica.version(partKey(part)) }];
    // The owner must still be gone, or still be another incarnation, when this is carried out.
    if (record)
      conditions.push({ key: nodeKey(record.owner), version: replica.version(nodeKey(record.owner)) });
    await this.write(
      part,
      record,
      { owner: self.name, incarnation: self.incarnation },
      conditions,
      'takeover',
    );
  }

  private reaches(node: string, part: string): boolean {
    return !(this.nodes.get(node)?.unreachable.includes(part) ?? false);
  }

  /**
   * A zone's own node reaches its machines through fewer failures, and owners share the work evenly. An owner that
   * cannot reach the machines gives the part to one that has reached one since: where nobody does, to move it would
   * only begin its takeover anew, with every owner.
   */
  private async handBack(part: string, record: PartRecord, now: number): Promise<void> {
    const { replica } = this.context;
    const cut = this.unreachable.has(part);
    const finders = this.finders(part);
    const home = cut ? this.candidates(part, false).find((name) => finders.includes(name)) : this.home(part);
    const node = home === undefined ? undefined : this.nodes.get(home);
    if (home === undefined || home === this.context.self.name || !node || !this.reaches(home, part)) return;
    if (!cut && now - node.since < HANDBACK_AFTER_MS) return;
    const conditions = [
      { key: partKey(part), version: replica.version(partKey(part)) },
      { key: nodeKey(home), version: replica.version(nodeKey(home)) },
    ];
    await this.write(
      part,
      record,
      { owner: home, incarnation: node.incarnation },
      conditions,
      cut ? 'handed on' : 'handed back',
    );
  }

  private async write(
    part: string,
    before: PartRecord | null,
    to: { owner: string; incarnation: string },
    conditions: Condition[],
    why: string,
  ): Promise<void> {
    const { layout } = this.context.parts;
    const value: PartRecord = { ...to, token: (before?.token ?? 0) + 1, layout };
    try {
      const result = await this.context.store.txn(
        conditions,
        [{ op: 'put', key: partKey(part), value: encodePart(value) }],
        'ownership',
      );
      this.context.log.info(
        { part, from: before?.owner ?? null, ...to, token: value.token, result: result.kind },
        why,
      );
    } catch (error) {
      // Carried out or not: the replica will show it.
      this.context.log.info({ part, err: String(error) }, `${why}: outcome unknown`);
    }
  }
}
