/**
 * How many pending tasks of a job may migrate to another shard under the job's zone constraints. Why the
 * constraints hold while tasks migrate: docs/design.md, "Migration of pending tasks".
 *
 * A task that is settled in the records never runs again; any other task may be on a machine. So a
 * single-zone job migrates to another zone with all of its unsettled tasks, or not at all. Tasks of a spread
 * job migrate to another zone only if at most half of the job's tasks, rounded up, are unsettled there
 * afterwards.
 */
import type { OpenJobRecord } from '../../storage/records.ts';
import type { JobSpec } from '../../protocol/users.ts';
import { maxInZone } from './placement-constraints.ts';

/** An open job as the watch cache has it. */
export interface KnownJob {
  /** The job's record. */
  readonly record: OpenJobRecord;
  /** How many tasks of each of its slices are not settled in the records. */
  readonly unsettled: readonly number[];
}

/** The pending tasks of a slice that may migrate: those at the slice's end. */
export interface MigratableTasks {
  /** The job. */
  readonly spec: JobSpec;
  /** Number of these tasks. It is expensive to compute in a backlog, so it is read only where needed. */
  readonly migratable: number;
}

/** How many of the tasks may migrate from one shard to another; 0 if the job's record is unknown. */
export function maxToShard(migration: {
  readonly tasks: MigratableTasks;
  /** The current shard of the tasks. */
  readonly from: string;
  /** The shard to which the tasks would migrate. */
  readonly to: string;
  readonly zoneOf: (shard: string) => string;
  readonly findJob: (job: string) => KnownJob | null;
}): number {
  const { tasks, from, to, zoneOf, findJob } = migration;
  const { spec } = tasks;
  if (!spec.oneZone && !spec.spread) return Infinity;
  const known = findJob(spec.id);
  if (!known) return 0;
  const homeZone = zoneOf(from);
  const targetZone = zoneOf(to);
  if (homeZone !== targetZone) return maxToZone(known, targetZone, zoneOf, tasks.migratable);
  // If more than half of a spread job is in this zone, one shard has all of the job, and its leader starts
  // only half of the tasks. These tasks must not be divided between two leaders, because each counts only the
  // tasks in its own shard.
  return unsettledIn(known, (shard) => zoneOf(shard) === homeZone) > maxInZone(spec) ? 0 : Infinity;
}

/** How many of a slice's `migratable` pending tasks may migrate to another zone. */
export function maxToZone(
  known: KnownJob,
  zone: string,
  zoneOf: (shard: string) => string,
  migratable: number,
): number {
  const { spec } = known.record;
  if (spec.oneZone && migratable < unsettledIn(known, () => true)) return 0;
  if (!spec.spread) return spec.oneZone ? migratable : Infinity;
  const remaining = Math.max(0, maxInZone(spec) - unsettledIn(known, (shard) => zoneOf(shard) === zone));
  return spec.oneZone && migratable > remaining ? 0 : remaining;
}

/** How many of the job's tasks in the included shards are not settled in the records. */
function unsettledIn(
  { record: { slices }, unsettled }: KnownJob,
  isIncluded: (shard: string) => boolean,
): number {
  return slices.reduce(
    (sum, { shard, count }, index) => sum + (isIncluded(shard) ? (unsettled[index] ?? count) : 0),
    0,
  );
}
