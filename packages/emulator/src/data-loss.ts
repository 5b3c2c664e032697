import type { Random } from '@onyxkeel/scheduler';
import { SNAPSHOTS_MAX, SNAPSHOT_INTERVAL_MS, REVISION_JUMP } from './constants.ts';

/** What the state service has under a key. */
export interface StoredValue {
  text: string;
  version: number;
  lease: number | null;
}

/** What is lost of the state service's data. */
export type LossOf =
  | { of: 'all' }
  /** It comes back as it was so long ago. */
  | { of: 'copy'; ageS: number }
  | { of: 'prefix'; prefix: string }
  /** So many keys, drawn. */
  | { of: 'keys'; count: number };

/**
 * How its revisions go on: as the data's own would (from 1, or from the copy's), as if nothing had been lost, or far
 * beyond those that were told before.
 */
export type Revisions = 'back' | 'on' | 'beyond';

export type Loss = LossOf & {
  revisions: Revisions;
  /** Whether leases, and with them the keys attached to them, go too. What was kept for those who follow always goes. */
  leases: boolean;
};

interface Snapshot {
  at: number;
  revision: number;
  data: Map<string, StoredValue>;
}

/** Copies of the data as it was, for losses that go back to one. */
export class Snapshots {
  private readonly copies: Snapshot[] = [];

  /** Notes the data as it is, if the last copy is old enough. */
  take(at: number, revision: number, data: Map<string, StoredValue>): void {
    const last = this.copies.at(-1);
    if (last && at - last.at < SNAPSHOT_INTERVAL_MS) return;
    this.copies.push({ at, revision, data: new Map(data) });
    if (this.copies.length > SNAPSHOTS_MAX) this.copies.shift();
  }

  /** The newest copy that is so old, else the oldest there is. */
  asOf(at: number): Snapshot {
    const found = this.copies.filter((copy) => copy.at <= at).at(-1);
    return found ?? this.copies[0] ?? { at: 0, revision: 1, data: new Map() };
  }
}

/** The data and the revision after a loss. */
export function applyLoss(
  loss: Loss,
  now: number,
  before: { data: Map<string, StoredValue>; revision: number },
  copies: Snapshots,
  random: Random,
): { data: Map<string, StoredValue>; revision: number } {
  const kept = remaining(loss, now, before.data, copies, random);
  const revision = {
    back: kept.revision ?? before.revision,
    on: before.revision,
    beyond: before.revision + REVISION_JUMP,
  }[loss.revisions];
  return { data: kept.data, revision };
}

function remaining(
  loss: LossOf,
  now: number,
  data: Map<string, StoredValue>,
  copies: Snapshots,
  random: Random,
): { data: Map<string, StoredValue>; revision: number | null } {
  switch (loss.of) {
    case 'all':
      return { data: new Map(), revision: 1 };
    case 'copy': {
      const copy = copies.asOf(now - loss.ageS * 1000);
      return { data: new Map(copy.data), revision: copy.revision };
    }
    case 'prefix':
      return { data: new Map([...data].filter(([key]) => !key.startsWith(loss.prefix))), revision: null };
    case 'keys': {
      const left = new Map(data);
      const keys = [...data.keys()].sort();
      for (let n = 0; n < loss.count && keys.length > 0; n++)
        left.delete(keys[random.below(keys.length)] ?? '');
      return { data: left, revision: null };
    }
  }
}
