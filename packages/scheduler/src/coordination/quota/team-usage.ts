import { quotaKey, type QuotaAmounts } from '../../storage/records.ts';
import type { Attempt } from '../../storage/attempt.ts';
import { type Machine, freeCapacity } from '../../storage/machine.ts';
import type { Slice } from '../../storage/slice.ts';
import type { Int } from '../../protocol/json.ts';
import type { Quotas } from './quotas.ts';

/** What each team uses of its limit in one part, and how much more of its share there it may use. */
export class TeamUsage {
  /** What each team lacks of its limit here, for the siblings. */
  readonly quotaDemand = new Map<string, QuotaAmounts>();
  /** What each team's known tasks take of the machines: kept, as every report would else count them all. */
  private readonly placed = new Map<string, QuotaAmounts>();
  private readonly pendingTransfers = new Map<string, { amounts: QuotaAmounts; version: Int }>();

  constructor(
    private readonly shard: string,
    private readonly teams: Iterable<string>,
    private readonly machines: Map<string, Machine>,
    private readonly quotas: Quotas,
    private readonly versionOf: (key: string) => Int,
  ) {}

  /** Notes that an attempt has come to a machine (1), or has gone from it (-1). */
  count(attempt: Attempt, times: number): void {
    if (!attempt.slice) return;
    const { team, cores, accelerators } = attempt.slice.spec;
    const sum = this.placed.get(team) ?? { cores: 0, accelerators: 0 };
    this.placed.set(team, sum);
    sum.cores += times * cores;
    sum.accelerators += times * accelerators;
  }

  /** What the team's tasks may use here at most: all that could be on a machine counts. */
  of(team: string): QuotaAmounts {
    return this.usages().get(team) ?? { cores: 0, accelerators: 0 };
  }

  /** The same for every team that has a limit. */
  usages(): Map<string, QuotaAmounts> {
    const unknown = { cores: 0, accelerators: 0 };
    for (const machine of this.machines.values()) {
      const left = freeCapacity(machine);
      if (left && !machine.unreconciled) continue;
      // A machine not fenced since the takeover, or one with a task of a job that is over, may be full of any team's tasks.
      const whole = left ?? machine.type;
      unknown.cores += Math.max(0, whole?.cores ?? Infinity);
      unknown.accelerators += Math.max(0, whole?.accelerators ?? Infinity);
    }
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

  /** Share being given up, until the state service has decided: until then it belongs to nobody. */
  reserveTransfer(team: string, amounts: QuotaAmounts | null): void {
    if (amounts) this.pendingTransfers.set(team, { amounts, version: this.versionOf(quotaKey(team)) });
    else this.pendingTransfers.delete(team);
  }

  hasPendingTransfer(team: string): boolean {
    const giving = this.pendingTransfers.get(team);
    // The version it was conditioned on has passed: carried out and in the share now, or never to be.
    if (giving && giving.version !== this.versionOf(quotaKey(team))) this.pendingTransfers.delete(team);
    return this.pendingTransfers.has(team);
  }

  private shareOf(team: string): QuotaAmounts {
    const share = this.quotas.share(team, this.shard);
    const giving = this.hasPendingTransfer(team) ? this.pendingTransfers.get(team)?.amounts : undefined;
    if (!giving) return share;
    return { cores: share.cores - giving.cores, accelerators: share.accelerators - giving.accelerators };
  }

  /** How many more of the slice's tasks the team's share here allows. */
  limitLeft(slice: Slice, used: Map<string, QuotaAmounts>): number {
    const { team, cores, accelerators } = slice.spec;
    const sum = used.get(team);
    if (!sum) return Infinity; // a team without a limit
    const share = this.shareOf(team);
    const times = (left: number, each: number): number => (each <= 0 ? Infinity : Math.floor(left / each));
    return Math.max(
      0,
      Math.min(
        times(share.cores - sum.cores, cores),
        times(share.accelerators - sum.accelerators, accelerators),
      ),
    );
  }

  withinLimit(slice: Slice, used: Map<string, QuotaAmounts>): boolean {
    const { team, cores, accelerators } = slice.spec;
    if (!this.quotas.hasLimit(team)) return true;
    const sum = used.get(team) ?? { cores: 0, accelerators: 0 };
    const share = this.shareOf(team);
    if (
      sum.cores + cores <= share.cores + 1e-6 &&
      sum.accelerators + accelerators <= share.accelerators + 1e-6
    ) {
      return true;
    }
    return false;
  }

  /** Notes that so many of the slice's tasks wait for want of share. */
  addDemand(slice: Slice, tasks: number): void {
    const { team, cores, accelerators } = slice.spec;
    const demand = this.quotaDemand.get(team) ?? { cores: 0, accelerators: 0 };
    demand.cores += cores * tasks;
    demand.accelerators += accelerators * tasks;
    this.quotaDemand.set(team, demand);
  }
}
