import {
  HANDBACK_AFTER_MS,
  NODE_EXTEND_MS,
  NODE_LEASE_MS,
  OWNERSHIP_TICK_MS,
  TAKEOVER_STEP_MS,
} from '../constants.ts';
import { nodeKey, type NodeRecord, partKey, type PartRecord } from '../bookkeeping/records.ts';
import type { Replica, Store } from '../bookkeeping/store.ts';
import type { Int } from '../protocol/json.ts';
import type { Condition } from '../protocol/state.ts';
import type { NodeAddress } from '../settings.ts';
import type { Clock } from '../transport/clock.ts';
import { type Log, routine } from '../transport/routine.ts';
import { hash, type PartMap } from './parts.ts';

export interface MembershipContext {
  self: { name: string; zone: string; incarnation: string };
  siblings: NodeAddress[];
  clock: Clock;
  log: Log;
  store: Store;
  replica: Replica;
  parts: PartMap;
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
  private loaded = false;

  constructor(private readonly context: MembershipContext) {}

  onNode(name: string, record: NodeRecord | null): void {
    if (!record) this.nodes.delete(name);
    else if (this.nodes.get(name)?.incarnation !== record.incarnation) {
      this.nodes.set(name, { ...record, since: this.context.clock.now() });
    }
  }

  onPart(part: string, record: PartRecord | null): void {
    if (record) this.owners.set(part, record);
    else this.owners.delete(part);
  }

  onCaughtUp(): void {
    this.loaded = true;
  }

  owner(part: string): PartRecord | null {
    return this.owners.get(part) ?? null;
  }

  isSelf(record: PartRecord): boolean {
    const { self } = this.context;
    return record.owner === self.name && record.incarnation === self.incarnation;
  }

  /** Nodes that are up, this one among them. */
  up(): string[] {
    return [...this.nodes.keys()];
  }

  run(signal: AbortSignal): Promise<unknown> {
    const deps = { clock: this.context.clock, log: this.context.log, signal };
    return Promise.all([
      routine('lease', NODE_EXTEND_MS, deps, () => this.holdLease()),
      routine('ownership', OWNERSHIP_TICK_MS, deps, () => this.watchParts()),
    ]);
  }

  private async holdLease(): Promise<void> {
    const { store, self, log } = this.context;
    try {
      if (this.lease !== null && !(await store.extend(this.lease))) {
        log.info({}, 'node lease ran out');
        this.lease = null;
      }
      if (this.lease !== null) return;
      const lease = await store.grant(NODE_LEASE_MS);
      const put = {
        op: 'put' as const,
        key: nodeKey(self.name),
        value: { incarnation: self.incarnation },
        lease,
      };
      const result = await store.txn([], [put], 'ownership');
      if (result.kind === 'committed') this.lease = lease;
    } catch (error) {
      log.debug({ err: String(error) }, 'node lease not extended');
    }
  }

  private alive(record: PartRecord): boolean {
    return this.nodes.get(record.owner)?.incarnation === record.incarnation;
  }

  private async watchParts(): Promise<void> {
    if (!this.loaded || this.lease === null) return;
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
      const rank = this.candidates(part, record === null).indexOf(this.context.self.name);
      if (rank >= 0 && now - since >= rank * TAKEOVER_STEP_MS) await this.takeOver(part, record);
    }
  }

  /** Who should take the part, best first: its zone's node, then whoever owns least. */
  private candidates(part: string, first: boolean): string[] {
    const { self, siblings } = this.context;
    const all = [self, ...siblings];
    // At the very first start the others are about to come up: they are waited for by rank.
    const among = first ? all : all.filter((node) => this.nodes.has(node.name));
    const owned = (name: string): number =>
      [...this.owners.values()].filter((record) => record.owner === name && this.alive(record)).length;
    const score = (node: { name: string; zone: string }): [number, number, number] => [
      this.home(part) === node.name ? 0 : 1,
      owned(node.name),
      hash(`${part}:${node.name}`),
    ];
    return among
      .map((node) => ({ name: node.name, score: score(node) }))
      .sort((a, b) => a.score[0] - b.score[0] || a.score[1] - b.score[1] || a.score[2] - b.score[2])
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

  /** A zone's own node reaches its machines through fewer failures, and owners share the work evenly. */
  private async handBack(part: string, record: PartRecord, now: number): Promise<void> {
    const { replica, self } = this.context;
    const home = this.home(part);
    const node = this.nodes.get(home);
    if (home === self.name || !node || now - node.since < HANDBACK_AFTER_MS) return;
    const conditions = [
      { key: partKey(part), version: replica.version(partKey(part)) },
      { key: nodeKey(home), version: replica.version(nodeKey(home)) },
    ];
    await this.write(part, record, { owner: home, incarnation: node.incarnation }, conditions, 'handed back');
  }

  private async write(
    part: string,
    before: PartRecord | null,
    to: { owner: string; incarnation: string },
    conditions: Condition[],
    why: string,
  ): Promise<void> {
    const value: PartRecord = { ...to, token: (before?.token ?? 0) + 1 };
    try {
      const result = await this.context.store.txn(
        conditions,
        [{ op: 'put', key: partKey(part), value }],
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
