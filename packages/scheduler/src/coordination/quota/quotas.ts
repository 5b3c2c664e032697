import type { QuotaAmounts, QuotaRecord } from '../../storage/records.ts';
import type { Team } from '../../settings.ts';

/**
 * Teams' limits, split over the parts. A part's share changes only by what this node's replica shows as
 * committed, so the shares never add up to more than the limit.
 */
export class Quotas {
  private readonly records = new Map<string, QuotaRecord>();
  private readonly evenSplits = new Map<string, QuotaRecord>();

  constructor(
    private readonly teams: Map<string, Team>,
    private readonly shards: string[],
  ) {}

  set(team: string, record: QuotaRecord | null): void {
    if (record) this.records.set(team, record);
    else this.records.delete(team);
  }

  hasLimit(team: string): boolean {
    const t = this.teams.get(team);
    return t !== undefined && (t.maxCores !== Infinity || t.maxAccelerators !== Infinity);
  }

  /** The split as it stands; an even one until a first shift is recorded. */
  split(team: string): QuotaRecord {
    const known = this.records.get(team) ?? this.evenSplits.get(team);
    if (known) return known;
    const t = this.teams.get(team);
    // A limit that is not set is recorded as 0 and never looked at.
    const even = (most: number): number => (most === Infinity ? 0 : most / this.shards.length);
    const shares: Record<string, QuotaAmounts> = {};
    for (const shard of this.shards) {
      shares[shard] = { cores: even(t?.maxCores ?? 0), accelerators: even(t?.maxAccelerators ?? 0) };
    }
    this.evenSplits.set(team, { shares });
    return { shares };
  }

  share(team: string, shard: string): QuotaAmounts {
    const t = this.teams.get(team);
    const own = this.split(team).shares[shard] ?? { cores: 0, accelerators: 0 };
    return {
      cores: t?.maxCores === Infinity ? Infinity : own.cores,
      accelerators: t?.maxAccelerators === Infinity ? Infinity : own.accelerators,
    };
  }

  /** Whether the team has a guarantee at all, and how much. */
  guarantee(team: string): QuotaAmounts {
    const t = this.teams.get(team);
    return { cores: t?.cores ?? 0, accelerators: t?.accelerators ?? 0 };
  }
}
