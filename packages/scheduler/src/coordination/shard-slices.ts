/** The slices of a shard, as the jobs' open records and the handover of the former leader show them. */
import { HANDOVER_BYTES } from '../constants.ts';
import { Slice, type SliceAssignment } from '../storage/slice.ts';
import type { ShardState } from './shard-context.ts';

/** Called when a change of the slices has consequences elsewhere in the shard. */
export interface SliceListener {
  /** Tasks may have become pending. */
  onPending(): void;
  /** Tasks of the slice have been settled. */
  onSettled(slice: Slice): void;
  /** A slice has been added. */
  onAdded(): void;
  /** A slice has been dropped: its job is over, or all its tasks have migrated to other shards. */
  onDropped(slice: Slice): void;
}

/** Keeps a shard's slices consistent with the records. */
export class ShardSlices {
  constructor(
    private readonly shard: ShardState,
    private readonly listener: SliceListener,
  ) {}

  /**
   * Applies the current record of a job's slice. A new slice was accepted, or migrated here, since this
   * leadership began: no earlier leader can have started any of its tasks.
   */
  set(assignment: SliceAssignment): void {
    const { slices } = this.shard;
    const slice = slices.get(assignment.name);
    if (assignment.count === 0) return this.drop(assignment.name); // all its tasks have migrated
    if (slice) {
      // Only this leader shortens the slice. If another writer changed the record, a migration that was
      // conditioned on the old version has failed, and its tasks are pending again.
      return this.endMigration(slice, assignment.count);
    }
    slices.set(assignment.name, new Slice(assignment, false));
    this.listener.onAdded();
  }

  /** The outcome of the slice's migration, if any, is known: it has `count` tasks now. */
  endMigration(slice: Slice, count: number): void {
    if (slice.cancelled) return;
    if (slice.endMigration(count)) this.listener.onSettled(slice);
    this.listener.onPending();
  }

  /** Removes a slice; the listener stops its running tasks. */
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

  /** Makes the tasks whose backoff is over pending again. */
  endBackoffs(now: number): void {
    for (const slice of this.shard.slices.values()) {
      if (slice.backingOff.length === 0) continue;
      slice.endBackoffs(now);
      this.listener.onPending();
    }
  }

  /** The tasks that certainly run nowhere, by slice: the handover of a leader that no longer starts tasks. */
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

  /** Makes the tasks pending that the former leader knew to run nowhere: they need no reconciliation. */
  releaseNotRunning(notRunning: Record<string, string>): void {
    for (const [name, encoded] of Object.entries(notRunning))
      this.shard.slices.get(name)?.releaseNotRunning(encoded);
    this.listener.onPending();
  }
}
