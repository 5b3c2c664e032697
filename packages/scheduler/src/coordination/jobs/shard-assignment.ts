/**
 * Assignment of a new job's tasks to shards (docs/design.md, Shards). Pure except for the random draws and
 * the updates of the load estimates.
 */
import { SHARDING_GROUPS } from '../../constants.ts';
import type { JobSpec } from '../../protocol/users.ts';
import { sliceCapacity, type SliceRange } from '../../storage/records.ts';
import type { Random } from '../../transport/random.ts';
import type { ShardMap } from '../leadership/shard-map.ts';
import { maxInZone } from '../scheduling/placement-constraints.ts';
import type { ShardLoads } from '../scheduling/shard-loads.ts';
import { isConfinedToOneZone } from './job-validation.ts';

/** No shard is in a zone that the job allows: validation and the shard map disagree. */
export class NoCandidateShard extends Error {
  /** Identifies this error in logs. */
  readonly code = 'NO_CANDIDATE_SHARD';

  constructor(jobId: string) {
    super(`no candidate shard for job ${jobId}`);
  }
}

/** What the assignment depends on. */
export interface ShardAssignmentContext {
  /** The load of every shard. Each choice of a shard raises the shard's load. */
  readonly shardLoads: ShardLoads;
  /** The deployment's shards. */
  readonly shardMap: ShardMap;
  /** Source of random numbers for the choice between shards. */
  readonly random: Random;
  /** The key-value store's limit for a value, in kilobytes. It bounds the tasks of one slice. */
  readonly valueKb: number;
}

/**
 * Assigns every task to a shard, by the shards' loads (`ShardLoads.choose`) and within the job's zone rules.
 * The rules limit how many tasks each shard is assigned, so they hold whatever the shards' leaders do later.
 * `zones`: the zones in which the job may run. If they contain no shard, throws `NoCandidateShard`, or
 * `NoCandidateShards` for a job that must be in one shard.
 */
export function assignToShards(
  spec: JobSpec,
  zones: ReadonlySet<string>,
  context: ShardAssignmentContext,
): SliceRange[] {
  const { shardLoads, shardMap, random } = context;
  const candidates = shardMap.names.filter((shard) => zones.has(shardMap.zoneOf(shard)));
  // A spread job that is confined to one zone may run only half of its tasks at a time. All of its tasks are
  // in one shard, whose leader ensures this.
  const inOneShard = spec.oneZone || (spec.spread && isConfinedToOneZone(spec, zones));
  const chosen = inOneShard ? [shardLoads.choose(candidates, random)] : candidates;
  return toSlices(countTasksByShard(spec, chosen, context), sliceCapacity(context.valueKb));
}

/** How many of the job's tasks each shard is assigned, in the order in which the shards were first chosen. */
function countTasksByShard(
  spec: JobSpec,
  candidates: readonly string[],
  { shardLoads, shardMap, random }: ShardAssignmentContext,
): Map<string, number> {
  const zoneLimit = maxInZone(spec);
  const groupSize = Math.ceil(spec.tasks / SHARDING_GROUPS);
  const tasksByShard = new Map<string, number>();
  const tasksByZone = new Map<string, number>();
  for (let assigned = 0; assigned < spec.tasks;) {
    const shardsWithRoom = candidates.filter(
      (shard) => (tasksByZone.get(shardMap.zoneOf(shard)) ?? 0) < zoneLimit,
    );
    const shard = shardsWithRoom.length > 0 ? shardLoads.choose(shardsWithRoom, random) : candidates[0];
    if (shard === undefined) throw new NoCandidateShard(spec.id);
    const zone = shardMap.zoneOf(shard);
    const inZone = tasksByZone.get(zone) ?? 0;
    const countLimit = shardsWithRoom.length > 0 ? zoneLimit - inZone : spec.tasks;
    const count = Math.min(groupSize, spec.tasks - assigned, countLimit);
    tasksByShard.set(shard, (tasksByShard.get(shard) ?? 0) + count);
    tasksByZone.set(zone, inZone + count);
    assigned += count;
  }
  return tasksByShard;
}

/** Splits the job's tasks into consecutive ranges of at most `capacity` tasks, the limit of a slice. */
function toSlices(tasksByShard: ReadonlyMap<string, number>, capacity: number): SliceRange[] {
  const slices: SliceRange[] = [];
  let from = 0;
  for (const [shard, tasks] of tasksByShard) {
    const end = from + tasks;
    while (from < end) {
      const count = Math.min(capacity, end - from);
      slices.push({ shard, from, count });
      from += count;
    }
  }
  return slices;
}
