/** Losses of the key-value store's data (docs/state-loss.md): what is lost, and which revisions follow. */
import type { Random } from '@onyxkeel/scheduler';
import { SNAPSHOTS_MAX, SNAPSHOT_INTERVAL_MS, REVISION_JUMP } from './constants.ts';

/** The key-value store's value of a key. */
export interface StoredValue {
  /** The value as JSON. */
  text: string;
  /** Revision of the transaction that wrote it. */
  version: number;
  /** The lease to which the key is attached. */
  lease: number | null;
}

/** Which part of the key-value store's data is lost. */
export type LossOf =
  | { of: 'all' }
  /** All changes of the last `ageS` seconds. */
  | { of: 'copy'; ageS: number }
  /** All keys with the prefix. */
  | { of: 'prefix'; prefix: string }
  /** The keys of `count` random draws. A key may be drawn twice, so fewer than `count` may be lost. */
  | { of: 'keys'; count: number };

/**
 * Which revisions follow a loss. `back`: they continue from 1 if all data are lost, from the snapshot's
 * revision after the loss of a period, and otherwise like `on`. `on`: they continue as if nothing had been
 * lost. `beyond`: they continue far above all revisions used before.
 */
export type Revisions = 'back' | 'on' | 'beyond';

/** One loss of data. */
export type Loss = LossOf & {
  revisions: Revisions;
  /** Whether leases and the keys attached to them are lost too. The history for watches is always lost. */
  leases: boolean;
};

/** The data at a time. */
interface Snapshot {
  readonly at: number;
  readonly revision: number;
  readonly data: Map<string, StoredValue>;
}

/** The newest `SNAPSHOTS_MAX` snapshots of the data, for losses that go back to one. */
export class Snapshots {
  /** Oldest first. */
  private readonly snapshots: Snapshot[] = [];

  /** Takes a snapshot, unless the last one is less than `SNAPSHOT_INTERVAL_MS` old. */
  take(at: number, revision: number, data: Map<string, StoredValue>): void {
    const last = this.snapshots.at(-1);
    if (last && at - last.at < SNAPSHOT_INTERVAL_MS) return;
    this.snapshots.push({ at, revision, data: new Map(data) });
    if (this.snapshots.length > SNAPSHOTS_MAX) this.snapshots.shift();
  }

  /** The newest snapshot not taken after `at`, else the oldest one. Without any snapshot, empty data. */
  asOf(at: number): Snapshot {
    const found = this.snapshots.filter((snapshot) => snapshot.at <= at).at(-1);
    return found ?? this.snapshots[0] ?? { at: 0, revision: 1, data: new Map() };
  }
}

/** The data and the revision after a loss. */
export function applyLoss(
  loss: Loss,
  now: number,
  before: { data: Map<string, StoredValue>; revision: number },
  snapshots: Snapshots,
  random: Random,
): { data: Map<string, StoredValue>; revision: number } {
  const remaining = remainingData(loss, now, before.data, snapshots, random);
  const revision = {
    back: remaining.revision ?? before.revision,
    on: before.revision,
    beyond: before.revision + REVISION_JUMP,
  }[loss.revisions];
  return { data: remaining.data, revision };
}

/** The data that remains after a loss. The revision is null unless the data are from an earlier state. */
function remainingData(
  loss: LossOf,
  now: number,
  data: Map<string, StoredValue>,
  snapshots: Snapshots,
  random: Random,
): { data: Map<string, StoredValue>; revision: number | null } {
  switch (loss.of) {
    case 'all':
      return { data: new Map(), revision: 1 };
    case 'copy': {
      const snapshot = snapshots.asOf(now - loss.ageS * 1000);
      return { data: new Map(snapshot.data), revision: snapshot.revision };
    }
    case 'prefix':
      return { data: new Map([...data].filter(([key]) => !key.startsWith(loss.prefix))), revision: null };
    case 'keys': {
      const remaining = new Map(data);
      const keys = [...data.keys()].sort();
      for (let n = 0; n < loss.count && keys.length > 0; n++)
        remaining.delete(keys[random.below(keys.length)] ?? '');
      return { data: remaining, revision: null };
    }
  }
}
