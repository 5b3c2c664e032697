/**
 * The teams' quotas, split over the shards. A shard's share changes only when this controller's watch cache
 * shows a committed transfer, so the shares never add up to more than the quota.
 */
import type { QuotaAmounts, QuotaRecord } from '../../storage/records.ts';
import type { Team } from '../../settings.ts';

/** The quotas and guarantees from the settings, and the recorded split of the quotas. */
export class Quotas {
  private readonly records = new Map<string, QuotaRecord>();
  private readonly evenSplits = new Map<string, QuotaRecord>();

  constructor(
    private readonly teams: ReadonlyMap<string, Team>,
    private readonly shards: readonly string[],
  ) {}

  /** Stores the team's recorded split; null if there is no record any more. */
  set(team: string, record: QuotaRecord | null): void {
    if (record) this.records.set(team, record);
    else this.records.delete(team);
  }

  /** Whether the team has a quota of any resource. */
  hasQuota(team: string): boolean {
    const limits = this.teams.get(team);
    return limits !== undefined && (limits.maxCores !== Infinity || limits.maxAccelerators !== Infinity);
  }

  /**
   * The team's quota by shard; an even split until a first transfer is recorded. A resource without a quota
   * counts as 0.
   */
  split(team: string): QuotaRecord {
    const known = this.records.get(team) ?? this.evenSplits.get(team);
    if (known) return known;
    const limits = this.teams.get(team);
    const evenShare = (limit: number): number => (limit === Infinity ? 0 : limit / this.shards.length);
    const shares: Record<string, QuotaAmounts> = {};
    for (const shard of this.shards) {
      shares[shard] = {
        cores: evenShare(limits?.maxCores ?? 0),
        accelerators: evenShare(limits?.maxAccelerators ?? 0),
      };
    }
    this.evenSplits.set(team, { shares });
    return { shares };
  }

  /** What the team may use in the shard; infinite for a resource without a quota. */
  share(team: string, shard: string): QuotaAmounts {
    const limits = this.teams.get(team);
    const recorded = this.split(team).shares[shard] ?? { cores: 0, accelerators: 0 };
    return {
      cores: limits?.maxCores === Infinity ? Infinity : recorded.cores,
      accelerators: limits?.maxAccelerators === Infinity ? Infinity : recorded.accelerators,
    };
  }

  /**
   * The team's guarantee: jobs within it are served before other jobs of the same priority. 0 without a
   * guarantee.
   */
  guarantee(team: string): QuotaAmounts {
    const settings = this.teams.get(team);
    return { cores: settings?.cores ?? 0, accelerators: settings?.accelerators ?? 0 };
  }
}
