import { QUOTA_ROTATION_MS, QUOTA_PRECEDENCE_MS } from '../../constants.ts';
import { encodeQuota } from '../../storage/record-codec.ts';
import { quotaKey, type QuotaRecord } from '../../storage/records.ts';
import type { KeyValueStore } from '../../storage/key-value-store.ts';
import type { WatchCache } from '../../storage/watch-cache.ts';
import type { Precondition } from '../../protocol/key-value.ts';
import type { Log } from '../../transport/background-task.ts';
import type { ShardLoads } from '../scheduling/shard-loads.ts';
import type { Quotas } from './quotas.ts';
import type { ShardLeader } from '../shard-leader.ts';

/** Shifts share of the teams' limits between parts, each by the owner that gives it up. */
export class QuotaRebalancer {
  /** Shifts whose answer was lost, one at the most for each part of this node and team. */
  private readonly unknown = new Map<
    string,
    { shard: ShardLeader; team: string; conditions: Precondition[]; key: string; value: QuotaRecord }
  >();

  constructor(
    private readonly context: {
      log: Log;
      store: KeyValueStore;
      watchCache: WatchCache;
      quotas: Quotas;
      shardLoads: ShardLoads;
      /** Time of day, milliseconds. */
      wallClock: () => number;
      /** All parts, in an order that every node has alike. */
      shardNames: string[];
      /** The parts that this node owns. */
      shards: () => ShardLeader[];
    },
  ) {}

  /** Gives share of teams' limits up to parts that lack it: given up first, taken after the commit. */
  async rebalance(): Promise<void> {
    await this.repeatUnknown();
    for (const shard of this.context.shards()) {
      for (const message of this.context.shardLoads.all()) {
        if (message.shard === shard.name) continue;
        for (const [team, demand] of Object.entries(message.quotaDemand)) {
          await this.transfer(shard, message.shard, team, demand.cores, demand.accelerators);
        }
      }
    }
  }

  /** Whose turn it is goes round with the time of day, so that no part waits for ever; clocks agree well enough. */
  private hasPrecedence(one: string, other: string): boolean {
    const { shardNames, wallClock } = this.context;
    // The part that goes before may do so in all turns of a round but one.
    const turnMs = Math.min(QUOTA_PRECEDENCE_MS, QUOTA_ROTATION_MS / Math.max(1, shardNames.length - 1));
    const turn = Math.floor(wallClock() / turnMs);
    const place = (shard: string): number => (shardNames.indexOf(shard) + turn) % shardNames.length;
    return place(one) < place(other);
  }

  private async transfer(
    shard: ShardLeader,
    to: string,
    team: string,
    cores: number,
    accelerators: number,
  ): Promise<void> {
    if (!this.context.quotas.hasLimit(team) || !shard.active) return;
    const key = quotaKey(team);
    const split = this.context.quotas.split(team);
    const own = split.shares[shard.name];
    const other = split.shares[to];
    if (!own || !other || shard.usage.hasPendingTransfer(team)) return;
    const used = shard.usage.of(team);
    const lacks = shard.usage.quotaDemand.get(team);
    const yields = lacks !== undefined && this.hasPrecedence(to, shard.name);
    // What a part that lacks share has left is too little for any of its own waits: parts that all lack some would
    // hold on to it for ever. So it is lent to the part whose turn it is, which never lends its own.
    const spare = (share: number, use: number, lack: number, demand: number): number =>
      Math.max(0, Math.min(demand, share - use - (yields ? 0 : lack)));
    const give = {
      cores: spare(own.cores, used.cores, lacks?.cores ?? 0, cores),
      accelerators: spare(own.accelerators, used.accelerators, lacks?.accelerators ?? 0, accelerators),
    };
    if (give.cores <= 0 && give.accelerators <= 0) return;
    const value: QuotaRecord = {
      shares: {
        ...split.shares,
        [shard.name]: { cores: own.cores - give.cores, accelerators: own.accelerators - give.accelerators },
        [to]: { cores: other.cores + give.cores, accelerators: other.accelerators + give.accelerators },
      },
    };
    const conditions = [
      shard.records.leadershipPrecondition(),
      { key, version: this.context.watchCache.version(key) },
    ];
    shard.usage.reserveTransfer(team, give);
    try {
      const result = await this.context.store.compareAndSwap(
        conditions,
        [{ op: 'put', key, value: encodeQuota(value) }],
        'background',
      );
      if (result.kind !== 'committed') {
        shard.usage.reserveTransfer(team, null);
        shard.requestScheduling();
      }
      this.context.log.debug({ team, from: shard.name, to, ...give, result: result.kind }, 'limit shifted');
    } catch {
      // Unknown: the share stays held back until the condition's version has moved on.
      this.unknown.set(`${shard.name}/${team}`, { shard, team, conditions, key, value });
    }
  }

  /**
   * A shift whose answer was lost may never have arrived: then nothing moves the version on, and its share would be
   * nobody's for ever. The same transaction again is harmless, as at most one of the two meets its condition. What it
   * answers proves nothing about the first, so the share is free only when the replica shows another version.
   */
  private async repeatUnknown(): Promise<void> {
    for (const [name, { shard, team, conditions, key, value }] of this.unknown) {
      if (!shard.active || !shard.usage.hasPendingTransfer(team)) this.unknown.delete(name);
      else {
        try {
          await this.context.store.compareAndSwap(
            conditions,
            [{ op: 'put', key, value: encodeQuota(value) }],
            'background',
          );
          this.unknown.delete(name);
        } catch {
          // Still unknown: once more at the next turn.
        }
      }
    }
  }
}
