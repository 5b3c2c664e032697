/** What the teams use of their quotas in one shard, and how much more of their shares they may use there. */
import { quotaKey, type QuotaAmounts } from '../../storage/records.ts';
import type { Attempt } from '../../storage/attempt.ts';
import { type Machine, freeCapacity } from '../../storage/machine.ts';
import type { Slice } from '../../storage/slice.ts';
import type { ExactInteger } from '../../protocol/json.ts';
import type { Quotas } from './quotas.ts';

/** By how much rounding may increase a sum of shares or of amounts of tasks, in CPUs or accelerators. */
const ROUNDING_TOLERANCE = 1e-6;

/**
 * The teams' usage in one shard. Every task that could be on a machine counts, so that no quota is ever
 * exceeded.
 */
export class TeamUsage {
  /** The quota that each team lacks in this shard, as it is reported to peers. */
  readonly quotaDemand = new Map<string, QuotaAmounts>();
  /**
   * What each team's known tasks use on the machines. Updated with each attempt, because otherwise every
   * heartbeat would count all of them.
   */
  private readonly placed = new Map<string, QuotaAmounts>();
  /**
   * Amounts that are being transferred to another shard, by team, with the version of the split that the
   * transfer replaces.
   */
  private readonly pendingTransfers = new Map<
    string,
    { readonly amounts: QuotaAmounts; readonly version: ExactInteger }
  >();

  constructor(
    private readonly shard: string,
    /** The teams that have a quota. */
    private readonly teams: Iterable<string>,
    private readonly machines: ReadonlyMap<string, Machine>,
    private readonly quotas: Quotas,
    private readonly versionOf: (key: string) => ExactInteger,
  ) {}

  /** Counts an attempt that was attached to a machine (`sign` 1) or detached from one (-1). */
  count(attempt: Attempt, sign: 1 | -1): void {
    if (!attempt.slice) return;
    const { team, cores, accelerators } = attempt.slice.spec;
    const sum = this.placed.get(team) ?? { cores: 0, accelerators: 0 };
    this.placed.set(team, sum);
    sum.cores += sign * cores;
    sum.accelerators += sign * accelerators;
  }

  /** The most that the team's tasks may be using in this shard; 0 for a team without a quota. */
  ofTeam(team: string): QuotaAmounts {
    return this.usages().get(team) ?? { cores: 0, accelerators: 0 };
  }

  /** The result of `ofTeam` for every team that has a quota; the caller may change the amounts. */
  usages(): Map<string, QuotaAmounts> {
    const unknown = this.unknownUsage();
    const sums = new Map<string, QuotaAmounts>();
    for (const team of this.teams) {
      const placed = this.placed.get(team);
      sums.set(team, {
        cores: unknown.cores + (placed?.cores ?? 0),
        accelerators: unknown.accelerators + (placed?.accelerators ?? 0),
      });
    }
    return sums;
  }

  /**
   * What unknown tasks of any team may be using: the free capacity of each machine that is unreconciled since
   * the failover, and the whole capacity of each machine with an attempt that belongs to no slice of the
   * shard. Infinite if a machine's type is unknown.
   */
  private unknownUsage(): QuotaAmounts {
    const unknown = { cores: 0, accelerators: 0 };
    for (const machine of this.machines.values()) {
      const left = freeCapacity(machine);
      if (left && !machine.unreconciled) continue;
      const usable = left ?? machine.type;
      unknown.cores += Math.max(0, usable?.cores ?? Infinity);
      unknown.accelerators += Math.max(0, usable?.accelerators ?? Infinity);
    }
    return unknown;
  }

  /**
   * Reserves amounts that are being transferred to another shard: the team cannot use them here until the
   * key-value store has decided. Until then they belong to no shard. Null ends the reservation.
   */
  reserveTransfer(team: string, amounts: QuotaAmounts | null): void {
    if (amounts) this.pendingTransfers.set(team, { amounts, version: this.versionOf(quotaKey(team)) });
    else this.pendingTransfers.delete(team);
  }

  /** Whether a transfer of the team's share is undecided. */
  hasPendingTransfer(team: string): boolean {
    const transfer = this.pendingTransfers.get(team);
    // Once the split has another version, the transfer is decided: it was committed and the share includes it
    // now, or it will never be committed.
    if (transfer && transfer.version !== this.versionOf(quotaKey(team))) this.pendingTransfers.delete(team);
    return this.pendingTransfers.has(team);
  }

  /**
   * How many more of the slice's tasks fit into the team's share in this shard on top of the usage; infinite
   * without a quota.
   */
  tasksWithinShare(slice: Slice, usages: ReadonlyMap<string, QuotaAmounts>): number {
    const { team, cores, accelerators } = slice.spec;
    const usage = usages.get(team);
    if (!usage) return Infinity;
    const share = this.shareOf(team);
    const tasksWithin = (left: number, each: number): number =>
      each <= 0 ? Infinity : Math.floor(left / each);
    const byCores = tasksWithin(share.cores - usage.cores, cores);
    const byAccelerators = tasksWithin(share.accelerators - usage.accelerators, accelerators);
    return Math.max(0, Math.min(byCores, byAccelerators));
  }

  /** Whether one more of the slice's tasks fits into the team's share in this shard on top of the usage. */
  isWithinShare(slice: Slice, usages: ReadonlyMap<string, QuotaAmounts>): boolean {
    const { team, cores, accelerators } = slice.spec;
    if (!this.quotas.hasQuota(team)) return true;
    const usage = usages.get(team) ?? { cores: 0, accelerators: 0 };
    const share = this.shareOf(team);
    return (
      usage.cores + cores <= share.cores + ROUNDING_TOLERANCE &&
      usage.accelerators + accelerators <= share.accelerators + ROUNDING_TOLERANCE
    );
  }

  /**
   * Adds the demand of `tasks` tasks of the slice that are pending because the team's share in this shard
   * does not allow them.
   */
  addDemand(slice: Slice, tasks: number): void {
    const { team, cores, accelerators } = slice.spec;
    const demand = this.quotaDemand.get(team) ?? { cores: 0, accelerators: 0 };
    demand.cores += cores * tasks;
    demand.accelerators += accelerators * tasks;
    this.quotaDemand.set(team, demand);
  }

  private shareOf(team: string): QuotaAmounts {
    const share = this.quotas.share(team, this.shard);
    const transfer = this.hasPendingTransfer(team) ? this.pendingTransfers.get(team) : undefined;
    if (!transfer) return share;
    const { amounts } = transfer;
    return { cores: share.cores - amounts.cores, accelerators: share.accelerators - amounts.accelerators };
  }
}
