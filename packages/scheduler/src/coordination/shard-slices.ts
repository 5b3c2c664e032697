/** The slices of a shard, as the jobs' open records and the handover of the last leader show them. */
import { HANDOVER_BYTES } from '../constants.ts';
import { Slice, type SliceAssignment } from '../storage/slice.ts';
import type { ShardState } from './shard-context.ts';

/** What follows from a change of the slices elsewhere in the shard. */
export interface SliceListener {
  /** Tasks may have become pending. */
  onPending(): void;
  /** A slice has been added. */
  onAdded(): void;
  /** A slice has been dropped as its job is over, or as all of it has migrated to other shards. */
  onDropped(slice: Slice): void;
}

/** Keeps a shard's slices in accordance with the records. */
export class ShardSlices {
  constructor(
    private readonly shard: ShardState,
    private readonly listener: SliceListener,
  ) {}

  /**
   * Takes over a job's slice as its record now has it. A new one was accepted, or migrated here, since this
   * leader began: no earlier leader can have launched any of it.
   */
  set(assignment: SliceAssignment): void {
    const { slices } = this.shard;
    const slice = slices.get(assignment.name);
    if (assignment.count === 0) return this.drop(assignment.name); // all of it has migrated
    if (slice) {
      // Only this leader shortens it. If something else changed the record, a migration that was conditioned
      // on the old version has failed, and its tasks are pending again.
      slice.endMigration(assignment.count);
      return this.listener.onPending();
    }
    slices.set(assignment.name, new Slice(assignment, false));
    this.listener.onAdded();
  }

  /** Removes a slice; whatever still runs of it is to be stopped. */
  drop(name: string): void {
    const slice = this.shard.slices.get(name);
    if (!slice) return;
    this.shard.slices.delete(name);
    slice.cancelled = true;
    slice.pending.length = 0;
    slice.backingOff.length = 0;
    slice.unreconciled.clear();
    this.listener.onDropped(slice);
  }

  /** Makes tasks pending again whose backoff is over. */
  endBackoffs(now: number): void {
    for (const slice of this.shard.slices.values()) {
      if (slice.backingOff.length === 0) continue;
      slice.endBackoffs(now);
      this.listener.onPending();
    }
  }

  /** What certainly runs nowhere, by slice: the handover of a leader that has stopped starting anything. */
  tasksNotRunning(): Record<string, string> {
    const notRunning: Record<string, string> = {};
    let bytes = 0;
    for (const slice of this.shard.slices.values()) {
      const encoded = slice.notRunning;
      bytes += encoded === '' ? 0 : encoded.length + slice.name.length;
      if (bytes > HANDOVER_BYTES) break; // the rest is unreconciled for the next leader, as after a crash
      if (encoded !== '') notRunning[slice.name] = encoded;
    }
    return notRunning;
  }

  /** Makes pending what the last leader knew to run nowhere: no machine need be reconciled for it. */
  releaseNotRunning(notRunning: Record<string, string>): void {
    for (const [name, encoded] of Object.entries(notRunning))
      this.shard.slices.get(name)?.releaseNotRunning(encoded);
    this.listener.onPending();
  }
}
