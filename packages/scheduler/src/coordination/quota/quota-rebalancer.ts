/**
 * Transfers of quota between shards: the leader of a shard gives up share of a team's quota to a shard that
 * lacks it, by one compare-and-swap on the record of the team's split. Why the shares never exceed the quota:
 * docs/design.md, "Quotas".
 */
import { encodeQuota } from '../../storage/record-codec.ts';
import { quotaKey, type QuotaAmounts, type QuotaRecord } from '../../storage/records.ts';
import type { KeyValueStore } from '../../storage/key-value-store.ts';
import type { WatchCache } from '../../storage/watch-cache.ts';
import type { CompareAndSwapResult, Precondition } from '../../protocol/key-value.ts';
import type { Log } from '../../transport/background-task.ts';
import type { LedShards } from '../leadership/led-shards.ts';
import type { ShardMap } from '../leadership/shard-map.ts';
import type { ShardLoads } from '../scheduling/shard-loads.ts';
import type { ShardLeader } from '../shard-leader.ts';
import { hasPrecedence } from './quota-precedence.ts';
import type { Quotas } from './quotas.ts';

/** What another shard lacks of a team's quota. */
interface QuotaRequest {
  readonly team: string;
  readonly shard: string;
  readonly demand: QuotaAmounts;
}

/** A transfer as its transaction has it: sent again, it is the same. */
interface QuotaTransfer {
  readonly shard: ShardLeader;
  readonly team: string;
  /** What the shard gives up. */
  readonly give: QuotaAmounts;
  readonly preconditions: Precondition[];
  /** The split after the transfer. */
  readonly record: QuotaRecord;
}

/**
 * Gives up share of the shards that this controller leads: taken out of use first, and used elsewhere after
 * the commit.
 */
export class QuotaRebalancer {
  /** Transfers whose answer was lost, one at the most for each shard and team. */
  private readonly unresolved = new Map<string, QuotaTransfer>();

  constructor(
    private readonly context: {
      readonly log: Log;
      readonly store: KeyValueStore;
      readonly watchCache: WatchCache;
      readonly quotas: Quotas;
      readonly shardLoads: ShardLoads;
      /** Time of day, milliseconds. */
      readonly wallClock: () => number;
      /** Names all shards in an order that every controller has alike. */
      readonly shardMap: ShardMap;
      readonly ledShards: LedShards;
    },
  ) {}

  /** Sends what has no answer once more, then gives share to the shards that have reported a demand. */
  async rebalance(): Promise<void> {
    await this.retryUnresolved();
    for (const shard of this.context.ledShards.shardLeaders()) {
      for (const status of this.context.shardLoads.all()) {
        if (status.shard === shard.name) continue;
        for (const [team, demand] of Object.entries(status.quotaDemand)) {
          await this.transferTo({ team, shard: status.shard, demand }, shard);
        }
      }
    }
  }

  /** Gives the requesting shard what `shard` can spare of the team's share, if anything. */
  private async transferTo(request: QuotaRequest, shard: ShardLeader): Promise<void> {
    const transfer = this.planTransfer(request, shard);
    if (!transfer) return;
    const { team, give } = transfer;
    shard.usage.reserveTransfer(team, give);
    try {
      const result = await this.send(transfer);
      if (result.kind !== 'committed') {
        shard.usage.reserveTransfer(team, null);
        shard.requestScheduling();
      }
      this.context.log.debug(
        { team, from: shard.name, to: request.shard, ...give, result: result.kind },
        'quota transfer attempted',
      );
    } catch {
      // The outcome is unknown: the share stays reserved until the precondition's version has moved on.
      this.unresolved.set(`${shard.name}/${team}`, transfer);
    }
  }

  private planTransfer(request: QuotaRequest, shard: ShardLeader): QuotaTransfer | null {
    const { team } = request;
    if (!this.context.quotas.hasLimit(team) || !shard.isActive) return null;
    const { shares } = this.context.quotas.split(team);
    const own = shares[shard.name];
    const other = shares[request.shard];
    if (!own || !other || shard.usage.hasPendingTransfer(team)) return null;
    const give = this.spareAmounts(request, shard, own);
    if (give.cores <= 0 && give.accelerators <= 0) return null;
    const remaining = { cores: own.cores - give.cores, accelerators: own.accelerators - give.accelerators };
    const raised = { cores: other.cores + give.cores, accelerators: other.accelerators + give.accelerators };
    const record = { shares: { ...shares, [shard.name]: remaining, [request.shard]: raised } };
    const key = quotaKey(team);
    const preconditions = [
      shard.records.leadershipPrecondition(),
      { key, version: this.context.watchCache.version(key) },
    ];
    return { shard, team, give, preconditions, record };
  }

  /**
   * What the shard has of its share beyond its usage, and beyond what it lacks itself, up to the demand.
   *
   * What a shard that lacks share has left is too little for any of its own pending tasks: shards that all
   * lack some would keep it for ever. So it is given to the shard that has precedence, which never gives its
   * own.
   */
  private spareAmounts(request: QuotaRequest, shard: ShardLeader, own: QuotaAmounts): QuotaAmounts {
    const { team, demand } = request;
    const used = shard.usage.of(team);
    const lacking = shard.usage.quotaDemand.get(team);
    const { shardMap, wallClock } = this.context;
    const isYielding =
      lacking !== undefined &&
      hasPrecedence({ shard: request.shard, over: shard.name }, shardMap.names, wallClock());
    const kept = isYielding ? undefined : lacking;
    const spare = (left: number, demanded: number): number => Math.max(0, Math.min(demanded, left));
    return {
      cores: spare(own.cores - used.cores - (kept?.cores ?? 0), demand.cores),
      accelerators: spare(
        own.accelerators - used.accelerators - (kept?.accelerators ?? 0),
        demand.accelerators,
      ),
    };
  }

  private send({ team, preconditions, record }: QuotaTransfer): Promise<CompareAndSwapResult> {
    const put = { op: 'put', key: quotaKey(team), value: encodeQuota(record) } as const;
    return this.context.store.compareAndSwap(preconditions, [put], 'background');
  }

  /**
   * A transfer whose answer was lost may never have arrived: then nothing moves the version on, and its share
   * would belong to no shard for ever. The same transaction again is harmless, as at most one of the two
   * meets its preconditions. Its result proves nothing about the first, so the share is free only when the
   * watch cache shows another version.
   */
  private async retryUnresolved(): Promise<void> {
    for (const [name, transfer] of this.unresolved) {
      const { shard, team } = transfer;
      const isOver = !shard.isActive || !shard.usage.hasPendingTransfer(team);
      if (isOver) {
        this.unresolved.delete(name);
        continue;
      }
      try {
        await this.send(transfer);
        this.unresolved.delete(name);
      } catch {
        // The outcome is still unknown: it is sent again in the next round.
      }
    }
  }
}
