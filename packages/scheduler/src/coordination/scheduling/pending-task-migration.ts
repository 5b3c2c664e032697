/**
 * Migration of pending tasks: moves tasks that find no machine in their shard to a shard that has capacity,
 * by one compare-and-swap on the job's record. The target is chosen by the same policy as the shard of a new
 * task. Why no task runs twice because of a migration: docs/design.md, "Migration of pending tasks".
 */
import { MAX_SLICES, MIGRATE_TO_IDLE_AFTER_MS, STORE_CONTACT_STALE_MS } from '../../constants.ts';
import { encodeOpenJob } from '../../storage/record-codec.ts';
import { type OpenJobRecord, openJobKey, sliceName, type SliceRange } from '../../storage/records.ts';
import type { Slice } from '../../storage/slice.ts';
import type { KeyValueStore } from '../../storage/key-value-store.ts';
import type { WatchCache } from '../../storage/watch-cache.ts';
import { type Precondition, RequestRejected } from '../../protocol/key-value.ts';
import type { Log } from '../../transport/background-task.ts';
import type { ShardLeader } from '../shard-leader.ts';
import { type MigrationTarget, type MigrationTargetContext, MigrationTargets } from './migration-targets.ts';

/** A migration with the contents of its transaction, which a retry sends unchanged. */
interface Migration {
  readonly shard: ShardLeader;
  readonly slice: Slice;
  readonly preconditions: Precondition[];
  /** The job's record with the tasks in their new shard. */
  readonly record: OpenJobRecord;
}

/** The outcome of a migration's transaction; `unknown` if its answer was lost. */
type MigrationResult = 'committed' | 'refused' | 'unknown';

/** What {@link PendingTaskMigration} needs of its node. */
interface PendingTaskMigrationContext extends MigrationTargetContext {
  readonly log: Log;
  readonly store: KeyValueStore;
  readonly watchCache: WatchCache;
  /** Whether the job fails wherever it runs; migrating such a job gains nothing. */
  readonly isFailing: (job: string) => boolean;
  /** The shards that this controller leads. */
  readonly ledShards: () => ShardLeader[];
}

/** Migrates pending tasks of the shards that this controller leads, one slice at a time. */
export class PendingTaskMigration {
  /** Migrations whose answer was lost; at most one for each slice. */
  private readonly unresolved = new Map<Slice, Migration>();
  private readonly targets: MigrationTargets;

  constructor(private readonly context: PendingTaskMigrationContext) {
    this.targets = new MigrationTargets(context);
  }

  /**
   * Retries the migrations without an answer. Then migrates tasks of one slice: of the due slices that have a
   * target, the one that has been due the longest.
   */
  async migrateOne(): Promise<void> {
    await this.retryUnresolved();
    const { clock, watchCache } = this.context;
    if (clock.now() - watchCache.confirmedAt > STORE_CONTACT_STALE_MS) return;
    for (const { shard, slice } of this.dueSlices()) {
      const target = this.targets.choose(shard.name, slice);
      if (target) return this.migrate(shard, slice, target);
    }
  }

  /** The slices whose tasks have found no machine for `MIGRATE_TO_IDLE_AFTER_MS`, the longest wait first. */
  private dueSlices(): { shard: ShardLeader; slice: Slice }[] {
    const now = this.context.clock.now();
    const due = this.context.ledShards().flatMap((shard) =>
      [...shard.slices.values()]
        .filter((slice) => slice.pending.length > 0 && slice.migrating === 0)
        .filter((slice) => !this.context.isFailing(slice.spec.id))
        .filter((slice) => now - slice.unplaceableSince >= MIGRATE_TO_IDLE_AFTER_MS)
        .map((slice) => ({ shard, slice })),
    );
    return due.sort((a, b) => a.slice.unplaceableSince - b.slice.unplaceableSince);
  }

  /**
   * Migrates as many of the slice's pending tasks as the target takes. Removes them from the pending tasks
   * before the transaction is sent, so that no scheduling round starts them in the meantime.
   */
  private async migrate(shard: ShardLeader, slice: Slice, target: MigrationTarget): Promise<void> {
    const job = slice.spec.id;
    const known = this.context.findJob(job)?.record;
    const key = openJobKey(job);
    const version = this.context.watchCache.version(key);
    if (!known || known.slices.length >= MAX_SLICES) return;
    const record = { ...known, slices: slicesAfter(known, slice, target) };
    const preconditions = [shard.records.leadershipPrecondition(), { key, version }];
    slice.beginMigration(target.tasks);
    this.targets.recordMigration(target.shard);
    const result = await this.send({ shard, slice, preconditions, record }, 'first');
    this.context.log.info(
      { job, from: shard.name, to: target.shard, tasks: target.tasks, result },
      'pending task migration attempted',
    );
  }

  /**
   * Sends the transaction. A committed migration takes effect when the watch cache shows the job's new
   * record.
   */
  private async send(migration: Migration, attempt: 'first' | 'retry'): Promise<MigrationResult> {
    const { shard, slice, preconditions, record } = migration;
    try {
      const result = await this.context.store.compareAndSwap(
        preconditions,
        [{ op: 'put', key: openJobKey(slice.spec.id), value: encodeOpenJob(record) }],
        'background',
      );
      this.unresolved.delete(slice);
      if (result.kind === 'committed') return 'committed';
    } catch (error) {
      if (attempt === 'retry' || !(error instanceof RequestRejected)) {
        this.unresolved.set(slice, migration);
        return 'unknown';
      }
    }
    // A refused first attempt has had no effect and never will. A refused retry proves nothing, because the
    // first attempt may have changed the version.
    if (attempt === 'first') shard.onMigrationRefused(slice);
    return 'refused';
  }

  /**
   * Resends each unanswered transaction until one copy is answered; at most one copy meets its preconditions.
   * Without retries, the tasks would never run if the transaction never reached the key-value store.
   */
  private async retryUnresolved(): Promise<void> {
    for (const [slice, migration] of this.unresolved) {
      const isObsolete = !migration.shard.isActive || slice.cancelled || slice.migrating === 0;
      if (isObsolete) this.unresolved.delete(slice);
      else await this.send(migration, 'retry');
    }
  }
}

/**
 * The job's slices after the migration: the slice's last tasks are in a new slice of the target shard. Slices
 * are never removed.
 */
function slicesAfter(record: OpenJobRecord, slice: Slice, target: MigrationTarget): SliceRange[] {
  const remaining = slice.count - target.tasks;
  const shortened = record.slices.findIndex(
    ({ shard }, index) => sliceName(shard, slice.spec.id, index) === slice.name,
  );
  const slices = record.slices.map((range, index) =>
    index === shortened ? { ...range, count: remaining } : range,
  );
  slices.push({ shard: target.shard, from: slice.index(remaining), count: target.tasks });
  return slices;
}
