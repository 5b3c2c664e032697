import { QUOTA_ROUND_MS, QUOTA_TURN_MS } from '../../constants.ts';
import { encodeQuota } from '../../bookkeeping/record-codec.ts';
import { quotaKey, type QuotaRecord } from '../../bookkeeping/records.ts';
import type { Replica, Store } from '../../bookkeeping/store.ts';
import type { Condition } from '../../protocol/state.ts';
import type { Log } from '../../transport/routine.ts';
import type { Averages } from '../placing/averages.ts';
import type { Limits } from './limits.ts';
import type { Part } from '../part.ts';

/** Shifts share of the teams' limits between parts, each by the owner that gives it up. */
export class LimitShifts {
  /** Shifts whose answer was lost, one at the most for each part of this node and team. */
  private readonly unknown = new Map<
    string,
    { part: Part; team: string; conditions: Condition[]; key: string; value: QuotaRecord }
  >();

  constructor(
    private readonly context: {
      log: Log;
      store: Store;
      replica: Replica;
      limits: Limits;
      averages: Averages;
      /** Time of day, milliseconds. */
      wallClock: () => number;
      /** All parts, in an order that every node has alike. */
      partNames: string[];
      /** The parts that this node owns. */
      parts: () => Part[];
    },
  ) {}

  /** Gives share of teams' limits up to parts that lack it: given up first, taken after the commit. */
  async shiftAll(): Promise<void> {
    await this.repeatUnknown();
    for (const part of this.context.parts()) {
      for (const message of this.context.averages.all()) {
        if (message.part === part.name) continue;
        for (const [team, want] of Object.entries(message.wants)) {
          await this.shift(part, message.part, team, want.cores, want.accelerators);
        }
      }
    }
  }

  /** Whose turn it is goes round with the time of day, so that no part waits for ever; clocks agree well enough. */
  private goesBefore(one: string, other: string): boolean {
    const { partNames, wallClock } = this.context;
    // The part that goes before may do so in all turns of a round but one.
    const turnMs = Math.min(QUOTA_TURN_MS, QUOTA_ROUND_MS / Math.max(1, partNames.length - 1));
    const turn = Math.floor(wallClock() / turnMs);
    const place = (part: string): number => (partNames.indexOf(part) + turn) % partNames.length;
    return place(one) < place(other);
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
    const yields = lacks !== undefined && this.goesBefore(to, part.name);
    // What a part that lacks share has left is too little for any of its own waits: parts that all lack some would
    // hold on to it for ever. So it is lent to the part whose turn it is, which never lends its own.
    const spare = (share: number, use: number, lack: number, want: number): number =>
      Math.max(0, Math.min(want, share - use - (yields ? 0 : lack)));
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
      const result = await this.context.store.txn(
        conditions,
        [{ op: 'put', key, value: encodeQuota(value) }],
        'work',
      );
      if (result.kind !== 'committed') {
        part.usage.holdBack(team, null);
        part.schedulePlacing();
      }
      this.context.log.debug({ team, from: part.name, to, ...give, result: result.kind }, 'limit shifted');
    } catch {
      // Unknown: the share stays held back until the condition's version has moved on.
      this.unknown.set(`${part.name}/${team}`, { part, team, conditions, key, value });
    }
  }

  /**
   * A shift whose answer was lost may never have arrived: then nothing moves the version on, and its share would be
   * nobody's for ever. The same transaction again is harmless, as at most one of the two meets its condition. What it
   * answers proves nothing about the first, so the share is free only when the replica shows another version.
   */
  private async repeatUnknown(): Promise<void> {
    for (const [name, { part, team, conditions, key, value }] of this.unknown) {
      if (!part.active || !part.usage.holdsBack(team)) this.unknown.delete(name);
      else {
        try {
          await this.context.store.txn(conditions, [{ op: 'put', key, value: encodeQuota(value) }], 'work');
          this.unknown.delete(name);
        } catch {
          // Still unknown: once more at the next turn.
        }
      }
    }
  }
}
