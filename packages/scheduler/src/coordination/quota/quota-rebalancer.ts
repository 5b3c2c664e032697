/**
 * Transfers of quota between shards: the leader of a shard gives part of its share of a team's quota to a
 * shard that lacks quota, by one compare-and-swap on the record of the team's split. Why the shares never
 * exceed the quota: docs/design.md, "Quotas".
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

/** The amounts of a team's quota that another shard lacks. */
interface QuotaRequest {
  readonly team: string;
  readonly shard: string;
  readonly demand: QuotaAmounts;
}

/** A transfer with the contents of its transaction, which a retry sends unchanged. */
interface QuotaTransfer {
  readonly shard: ShardLeader;
  readonly team: string;
  /** The amounts that the shard gives up. */
  readonly amounts: QuotaAmounts;
  readonly preconditions: Precondition[];
  /** The split after the transfer. */
  readonly record: QuotaRecord;
}

/**
 * Transfers quota from the shards that this controller leads. The giving shard stops using the amounts before
 * the transaction is sent; the receiving shard uses them after the commit.
 */
export class QuotaRebalancer {
  /** Transfers whose answer was lost; at most one for each shard and team. */
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
      /** Its `names` are those of all shards, in the same order on every controller. */
      readonly shardMap: ShardMap;
      readonly ledShards: LedShards;
    },
  ) {}

  /**
   * Retries the transfers without an answer, then transfers quota to the shards that have reported a demand.
   */
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

  /** Transfers to the requesting shard what `shard` can spare of the team's share, if anything. */
  private async transferTo(request: QuotaRequest, shard: ShardLeader): Promise<void> {
    const transfer = this.planTransfer(request, shard);
    if (!transfer) return;
    const { team, amounts } = transfer;
    shard.usage.reserveTransfer(team, amounts);
    try {
      const result = await this.send(transfer);
      if (result.kind !== 'committed') {
        shard.usage.reserveTransfer(team, null);
        shard.requestScheduling();
      }
      this.context.log.debug(
        { team, from: shard.name, to: request.shard, ...amounts, result: result.kind },
        'quota transfer attempted',
      );
    } catch {
      // The outcome is unknown. The amounts stay reserved until the watch cache shows another version of the
      // split.
      this.unresolved.set(`${shard.name}/${team}`, transfer);
    }
  }

  private planTransfer(request: QuotaRequest, shard: ShardLeader): QuotaTransfer | null {
    const { team } = request;
    if (!this.context.quotas.hasQuota(team) || !shard.isActive) return null;
    const { shares } = this.context.quotas.split(team);
    const own = shares[shard.name];
    const other = shares[request.shard];
    if (!own || !other || shard.usage.hasPendingTransfer(team)) return null;
    const amounts = this.spareAmounts(request, shard, own);
    if (amounts.cores <= 0 && amounts.accelerators <= 0) return null;
    const remaining = {
      cores: own.cores - amounts.cores,
      accelerators: own.accelerators - amounts.accelerators,
    };
    const raised = {
      cores: other.cores + amounts.cores,
      accelerators: other.accelerators + amounts.accelerators,
    };
    const record = { shares: { ...shares, [shard.name]: remaining, [request.shard]: raised } };
    const key = quotaKey(team);
    const preconditions = [
      shard.records.leadershipPrecondition(),
      { key, version: this.context.watchCache.version(key) },
    ];
    return { shard, team, amounts, preconditions, record };
  }

  /**
   * What the shard has of its share beyond its usage and beyond its own demand, up to the requested demand.
   *
   * If a shard lacks quota itself, its remaining share is too small for any of its own pending tasks. Shards
   * that all lack quota would keep such remainders forever. So a shard gives its remainder to a shard that
   * has precedence over it, and never to one over which it has precedence itself.
   */
  private spareAmounts(request: QuotaRequest, shard: ShardLeader, own: QuotaAmounts): QuotaAmounts {
    const { team, demand } = request;
    const used = shard.usage.ofTeam(team);
    const ownDemand = shard.usage.quotaDemand.get(team);
    const { shardMap, wallClock } = this.context;
    const isYielding =
      ownDemand !== undefined &&
      hasPrecedence({ shard: request.shard, other: shard.name }, shardMap.names, wallClock());
    const retained = isYielding ? undefined : ownDemand;
    const spare = (left: number, demanded: number): number => Math.max(0, Math.min(demanded, left));
    return {
      cores: spare(own.cores - used.cores - (retained?.cores ?? 0), demand.cores),
      accelerators: spare(
        own.accelerators - used.accelerators - (retained?.accelerators ?? 0),
        demand.accelerators,
      ),
    };
  }

  private send({ team, preconditions, record }: QuotaTransfer): Promise<CompareAndSwapResult> {
    const put = { op: 'put', key: quotaKey(team), value: encodeQuota(record) } as const;
    return this.context.store.compareAndSwap(preconditions, [put], 'background');
  }

  /**
   * Resends the transfers whose answer was lost. Such a transfer may never have arrived; then the version
   * does not change, and the amounts would belong to no shard forever. Sending the same transaction again is
   * harmless, because at most one copy meets its preconditions. The result of a retry proves nothing about
   * the first attempt, so the reservation ends only when the watch cache shows another version.
   */
  private async retryUnresolved(): Promise<void> {
    for (const [name, transfer] of this.unresolved) {
      const { shard, team } = transfer;
      const isObsolete = !shard.isActive || !shard.usage.hasPendingTransfer(team);
      if (isObsolete) {
        this.unresolved.delete(name);
        continue;
      }
      try {
        await this.send(transfer);
        this.unresolved.delete(name);
      } catch {
        // The outcome is still unknown; the transfer is retried in the next round.
      }
    }
  }
}
