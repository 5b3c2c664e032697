/**
 * How many pending tasks of a job its rules about zones let go to another shard. Why the rules stay kept
 * while tasks migrate: docs/design.md, "Migration of pending tasks".
 *
 * What is settled in the records is on no machine ever again; of all else some may be on one. So a job all in
 * one zone goes with all that is not settled of it, or not at all; and no zone ever has more than half of a
 * spread one that is not settled.
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
  /** Their number; costly in a backlog, so it is read only where it matters. */
  readonly migratable: number;
}

/** How many of the tasks may go from one shard to another; 0 where the job's record is not known. */
export function maxToShard(migration: {
  readonly tasks: MigratableTasks;
  /** The shard of the tasks. */
  readonly from: string;
  /** The other shard. */
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
  // Of a spread job that has more than its half in this zone, the leader of one shard has all, and starts
  // only half of it.
  return unsettledIn(known, (shard) => zoneOf(shard) === homeZone) > maxInZone(spec) ? 0 : Infinity;
}

/** How many of a slice's `migratable` pending tasks may go to a zone that they are not in. */
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

/** How many of the job's tasks in the shards included are not settled in the records. */
function unsettledIn(
  { record: { slices }, unsettled }: KnownJob,
  isIncluded: (shard: string) => boolean,
): number {
  return slices.reduce(
    (sum, { shard, count }, index) => sum + (isIncluded(shard) ? (unsettled[index] ?? count) : 0),
    0,
  );
}
