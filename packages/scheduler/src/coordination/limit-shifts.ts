import { quotaKey, type QuotaRecord } from '../bookkeeping/records.ts';
import type { Replica, Store } from '../bookkeeping/store.ts';
import type { Log } from '../transport/routine.ts';
import type { Averages } from './averages.ts';
import type { Limits } from './limits.ts';
import type { Part } from './part.ts';

/** Shifts share of the teams' limits between parts, each by the owner that gives it up. */
export class LimitShifts {
  constructor(
    private readonly context: {
      log: Log;
      store: Store;
      replica: Replica;
      limits: Limits;
      averages: Averages;
      /** The parts that this node owns. */
      parts: () => Part[];
    },
  ) {}

  /** Gives share of teams' limits up to parts that lack it: given up first, taken after the commit. */
  async shiftAll(): Promise<void> {
    for (const part of this.context.parts()) {
      for (const message of this.context.averages.all()) {
        if (message.part === part.name) continue;
        for (const [team, want] of Object.entries(message.wants)) {
          await this.shift(part, message.part, team, want.cores, want.accelerators);
        }
      }
    }
  }

  private async shift(
    part: Part,
    to: string,
    team: string,
    cores: number,
    accelerators: number,
  ): Promise<void> {
    if (!this.context.limits.limited(team) || !part.active) return;
    const key = quotaKey(team);
    const split = this.context.limits.split(team);
    const own = split.shares[part.name];
    const other = split.shares[to];
    if (!own || !other || part.usage.holdsBack(team)) return;
    const used = part.usage.of(team);
    const lacks = part.usage.wants.get(team);
    const spare = (share: number, use: number, lack: number, want: number): number =>
      Math.max(0, Math.min(want, share - use - lack));
    const give = {
      cores: spare(own.cores, used.cores, lacks?.cores ?? 0, cores),
      accelerators: spare(own.accelerators, used.accelerators, lacks?.accelerators ?? 0, accelerators),
    };
    if (give.cores <= 0 && give.accelerators <= 0) return;
    const value: QuotaRecord = {
      shares: {
        ...split.shares,
        [part.name]: { cores: own.cores - give.cores, accelerators: own.accelerators - give.accelerators },
        [to]: { cores: other.cores + give.cores, accelerators: other.accelerators + give.accelerators },
      },
    };
    const conditions = [part.records.ownership(), { key, version: this.context.replica.version(key) }];
    part.usage.holdBack(team, give);
    try {
      const result = await this.context.store.txn(conditions, [{ op: 'put', key, value }], 'work');
      if (result.kind !== 'committed') {
        part.usage.holdBack(team, null);
        part.schedulePlacing();
      }
      this.context.log.debug({ team, from: part.name, to, ...give, result: result.kind }, 'limit shifted');
    } catch {
      // Unknown: the share stays held back until the condition's version has moved on.
    }
  }
}
