/**
 * Chooses where pending tasks that find no machine migrate, and how many of them: docs/design.md, "Migration
 * of pending tasks".
 */
import { MIGRATE_TO_SHARED_AFTER_MS } from '../../constants.ts';
import { machinePoolKey } from '../../storage/machine.ts';
import { fits, type Resources } from '../../storage/resources.ts';
import type { Slice } from '../../storage/slice.ts';
import type { MachineType } from '../../protocol/cloud.ts';
import type { MachinePool, ShardStatus } from '../../protocol/peer-messages.ts';
import type { JobSpec } from '../../protocol/users.ts';
import type { Clock } from '../../transport/clock.ts';
import type { Random } from '../../transport/random.ts';
import type { ShardMap } from '../leadership/shard-map.ts';
import { type KnownJob, maxToShard } from './migration-constraints.ts';
import { allowsMachine } from './placement-constraints.ts';
import type { ShardLoads } from './shard-loads.ts';

/** A shard, and the number of tasks to give it. */
export interface MigrationTarget {
  /** The shard's name. */
  readonly shard: string;
  /** How many of the slice's pending tasks migrate, taken from the slice's end. */
  readonly tasks: number;
}

/**
 * Which capacity of a shard counts. `idle`: its idle machines. `free`: the free capacity of machines that run
 * other tasks. `schedulable`: all of its schedulable machines, regardless of the tasks on them.
 */
type CapacityKind = 'idle' | 'free' | 'schedulable';

/** What the choice of a migration's target needs of its node. */
export interface MigrationTargetContext {
  /** Monotonic time, milliseconds. */
  readonly clock: Clock;
  /** Draws the shards among which the target is chosen. */
  readonly random: Random;
  /** The last status of each shard. */
  readonly shardLoads: ShardLoads;
  /** The names and zones of the shards. */
  readonly shardMap: ShardMap;
  /** The cloud's machine types; null until they are known. */
  readonly catalog: () => readonly MachineType[] | null;
  /** The job as the watch cache has it; null if it is not open. */
  readonly findJob: (job: string) => KnownJob | null;
}

/**
 * Chooses the shard to which pending tasks migrate, from the last status of each shard and by the same policy
 * as for new tasks (`ShardLoads.choose`).
 */
export class MigrationTargets {
  /**
   * When this controller last migrated tasks, by target shard. Only a later status accounts for those tasks.
   */
  private readonly lastMigrationAt = new Map<string, number>();

  constructor(private readonly context: MigrationTargetContext) {}

  /** Records that tasks migrate to the shard. The shard is not a target again until its next status. */
  recordMigration(shard: string): void {
    this.lastMigrationAt.set(shard, this.context.clock.now());
  }

  /**
   * Chooses a shard with idle machines for the slice's tasks. After `MIGRATE_TO_SHARED_AFTER_MS`, a shard
   * with free capacity on machines that run other tasks also qualifies. If a fresh status shows that the
   * shard `from` has no schedulable machines of a type that the tasks fit, any shard with such machines then
   * qualifies too. Null if no shard qualifies.
   */
  choose(from: string, slice: Slice): MigrationTarget | null {
    const candidates = this.candidates(from).filter(({ shard }) => this.maxToShard(from, slice, shard) > 0);
    const withIdle = this.chooseWithCapacity(candidates, slice.spec, 'idle');
    if (withIdle) return this.limitByConstraints(from, slice, withIdle);
    if (this.context.clock.now() - slice.unplaceableSince < MIGRATE_TO_SHARED_AFTER_MS) return null;
    const withFreeCapacity = this.chooseWithCapacity(candidates, slice.spec, 'free');
    if (withFreeCapacity) return this.limitByConstraints(from, slice, withFreeCapacity);
    const own = this.context.shardLoads.freshStatus(from)?.status;
    if (!own || this.capacityFor(slice.spec, own, 'schedulable') > 0) return null;
    const withMachines = this.chooseWithCapacity(candidates, slice.spec, 'schedulable');
    if (!withMachines) return null;
    // Only half of the tasks migrate now; the target's next status decides about the rest.
    const half = Math.ceil(slice.migratable / 2);
    return this.limitByConstraints(from, slice, { shard: withMachines.shard, tasks: half });
  }

  /**
   * The fresh status of every other shard that has reported since this controller last migrated tasks to it.
   */
  private candidates(from: string): ShardStatus[] {
    const { shardLoads, shardMap } = this.context;
    return shardMap.names.flatMap((name) => {
      if (name === from) return [];
      const fresh = shardLoads.freshStatus(name);
      return fresh && fresh.receivedAt > (this.lastMigrationAt.get(name) ?? -Infinity) ? [fresh.status] : [];
    });
  }

  /**
   * Chooses one of the shards with capacity of the kind for the job; the target has the number of tasks that
   * fit.
   */
  private chooseWithCapacity(
    candidates: readonly ShardStatus[],
    spec: JobSpec,
    kind: CapacityKind,
  ): MigrationTarget | null {
    const capacities = new Map<string, number>();
    for (const status of candidates) {
      const tasks = this.capacityFor(spec, status, kind);
      if (tasks > 0) capacities.set(status.shard, tasks);
    }
    if (capacities.size === 0) return null;
    const shard = this.context.shardLoads.choose([...capacities.keys()], this.context.random);
    return { shard, tasks: capacities.get(shard) ?? 0 };
  }

  /**
   * Limits the target's tasks to those that may migrate under the job's constraints; null if there are none.
   */
  private limitByConstraints(from: string, slice: Slice, target: MigrationTarget): MigrationTarget | null {
    // Computing `migratable` is expensive in a backlog of a hundred thousand pending tasks. A backlog usually
    // has no target, so `migratable` is read only after a target is found.
    const { migratable, spec } = slice;
    if (migratable === 0) return null;
    const { shard } = target;
    const { shardMap } = this.context;
    // A single-zone job migrates to another zone as a whole or not at all.
    if (spec.oneZone && shardMap.zoneOf(from) !== shardMap.zoneOf(shard)) return { shard, tasks: migratable };
    return { shard, tasks: Math.min(migratable, target.tasks, this.maxToShard(from, slice, shard)) };
  }

  private maxToShard(from: string, slice: Slice, to: string): number {
    const { shardMap, findJob } = this.context;
    return maxToShard({ tasks: slice, from, to, zoneOf: (shard) => shardMap.zoneOf(shard), findJob });
  }

  /** How many of the job's tasks fit on the shard's machines, counting capacity of the kind. */
  private capacityFor(spec: JobSpec, status: ShardStatus, kind: CapacityKind): number {
    const zone = this.context.shardMap.zoneOf(status.shard);
    let tasks = 0;
    for (const type of this.context.catalog() ?? []) {
      if (!fits(spec, type)) continue;
      for (const spot of [false, true]) {
        const pool = status.pools[machinePoolKey(type.name, spot)];
        if (pool && allowsMachine(spec, { typeName: type.name, zone, spot }))
          tasks += poolCapacity(spec, pool, type, kind);
      }
    }
    return tasks;
  }
}

/** How many of the job's tasks fit on a pool's machines of the type. */
function poolCapacity(spec: JobSpec, pool: MachinePool, type: MachineType, kind: CapacityKind): number {
  if (kind === 'free')
    return (pool.freeCapacity ?? []).reduce((sum, free) => sum + tasksWithin(spec, free), 0);
  return (kind === 'idle' ? pool.idle : pool.schedulable) * tasksWithin(spec, type);
}

/** How many of the job's tasks fit into the capacity, with a little tolerance for rounding. */
function tasksWithin(spec: JobSpec, capacity: Resources): number {
  const tasksPerResource = (whole: number, each: number): number =>
    each <= 0 ? Infinity : Math.floor(whole / each + 1e-6);
  return Math.min(
    tasksPerResource(capacity.cores, spec.cores),
    tasksPerResource(capacity.accelerators, spec.accelerators),
    tasksPerResource(capacity.ramGb, spec.ramGb),
  );
}
