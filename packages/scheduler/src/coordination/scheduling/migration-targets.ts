/**
 * Where pending tasks that find no machine migrate, and how many of them: docs/design.md, "Migration of
 * pending tasks".
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
  /** How many of the slice's pending tasks, from its end. */
  readonly tasks: number;
}

/**
 * What of a shard's capacity counts: its idle machines, what its machines have free beside other tasks, or
 * all of its schedulable machines whatever is on them.
 */
type CapacityKind = 'idle' | 'free' | 'schedulable';

/**
 * Chooses the shard to which pending tasks migrate, by the last status of each and by the design's choice
 * between shards (`ShardLoads.choose`).
 */
export class MigrationTargets {
  /** When tasks last migrated from here, by target shard: only a later status takes them into account. */
  private readonly lastMigrationAt = new Map<string, number>();

  constructor(
    private readonly context: {
      readonly clock: Clock;
      readonly random: Random;
      readonly shardLoads: ShardLoads;
      readonly shardMap: ShardMap;
      /** The cloud's machine types; null until they are known. */
      readonly catalog: () => readonly MachineType[] | null;
      /** The job as the watch cache has it; null where it is not open. */
      readonly findJob: (job: string) => KnownJob | null;
    },
  ) {}

  /** Records that tasks migrate to the shard: it is no target until its next status. */
  recordMigration(shard: string): void {
    this.lastMigrationAt.set(shard, this.context.clock.now());
  }

  /**
   * A shard with idle machines for the slice's tasks; after a while also one with capacity beside other
   * tasks, or any with machines for them if the shard `from` has none at all. Null where there is none.
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
    // By halves: what the next status of that shard shows decides about the rest.
    const half = Math.ceil(slice.migratable / 2);
    return this.limitByConstraints(from, slice, { shard: withMachines.shard, tasks: half });
  }

  /** The last status of the other shards that have reported since tasks last migrated to them from here. */
  private candidates(from: string): ShardStatus[] {
    const { shardLoads, shardMap } = this.context;
    return shardMap.names.flatMap((name) => {
      if (name === from) return [];
      const fresh = shardLoads.freshStatus(name);
      return fresh && fresh.receivedAt > (this.lastMigrationAt.get(name) ?? -Infinity) ? [fresh.status] : [];
    });
  }

  /**
   * One of the shards with such capacity for the job, by the design's choice, with the number of tasks that
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

  /** The target with as many of the tasks as the job's rules let go there; null where that is none. */
  private limitByConstraints(from: string, slice: Slice, target: MigrationTarget): MigrationTarget | null {
    // Counted last: a backlog has a hundred thousand pending tasks, and mostly no target.
    const { migratable, spec } = slice;
    if (migratable === 0) return null;
    const { shard } = target;
    const { shardMap } = this.context;
    // All of a job in one zone goes to another zone together, or none of it does.
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
