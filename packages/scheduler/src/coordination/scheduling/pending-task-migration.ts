import {
  STORE_CONTACT_STALE_MS,
  MIGRATE_TO_IDLE_AFTER_MS,
  MIGRATE_TO_SHARED_AFTER_MS,
  MAX_SLICES,
} from '../../constants.ts';
import { machinePoolKey } from '../../storage/machine.ts';
import { fits, type Resources } from '../../storage/resources.ts';
import { encodeOpenJob } from '../../storage/record-codec.ts';
import { type OpenJobRecord, openJobKey, sliceName, type SliceRange } from '../../storage/records.ts';
import type { Slice } from '../../storage/slice.ts';
import type { KeyValueStore } from '../../storage/key-value-store.ts';
import type { WatchCache } from '../../storage/watch-cache.ts';
import type { MachineType } from '../../protocol/cloud.ts';
import type { ShardStatus } from '../../protocol/peer-messages.ts';
import { type Precondition, RequestRejected } from '../../protocol/key-value.ts';
import type { JobSpec } from '../../protocol/users.ts';
import type { Clock } from '../../transport/clock.ts';
import type { Random } from '../../transport/random.ts';
import type { Log } from '../../transport/background-task.ts';
import type { ShardLoads } from './shard-loads.ts';
import type { ShardLeader } from '../shard-leader.ts';
import type { ShardMap } from '../leadership/shard-map.ts';
import { allows, maxInZone } from './placement-policy.ts';

/** A job's record, and how many tasks of each of its slices are not settled in the records. */
export interface KnownJob {
  record: OpenJobRecord;
  unsettled: number[];
}

interface SentMigration {
  shard: ShardLeader;
  slice: Slice;
  conditions: Precondition[];
  value: OpenJobRecord;
}

/**
 * Gives waiting tasks that find no room to a part that has some: the design's choice once more, for what was given to
 * a part that turned out to have no place for it. Why nothing runs twice by it: docs/design.md, "Moves".
 */
export class PendingTaskMigration {
  /** Moves whose answer was lost, one at the most for each slice. */
  private readonly unknown = new Map<Slice, SentMigration>();
  /** When tasks were last given to a part from here: its next message takes them into account. */
  private readonly givenAt = new Map<string, number>();

  constructor(
    private readonly context: {
      clock: Clock;
      random: Random;
      log: Log;
      store: KeyValueStore;
      watchCache: WatchCache;
      shardLoads: ShardLoads;
      shards: ShardMap;
      catalog: () => MachineType[] | null;
      /** The job's record as the replica has it, and how many tasks of each slice are not settled in the records. */
      known: (job: string) => KnownJob | null;
      /** Whether the job fails wherever it runs: nothing is gained by moving it. */
      isFailing: (job: string) => boolean;
      /** The parts that this node owns. */
      led: () => ShardLeader[];
    },
  ) {}

  /** Makes the move that has been waited for longest, if any is due. */
  async migrateOne(): Promise<void> {
    await this.repeatUnknown();
    if (this.context.clock.now() - this.context.watchCache.confirmedAt > STORE_CONTACT_STALE_MS) return;
    const crowded = this.context.led().flatMap((shard) =>
      [...shard.slices.values()]
        .filter((slice) => slice.pending.length > 0 && slice.migrating === 0)
        .filter((slice) => !this.context.isFailing(slice.spec.id))
        .filter((slice) => this.context.clock.now() - slice.unplaceableSince >= MIGRATE_TO_IDLE_AFTER_MS)
        .map((slice) => ({ shard, slice })),
    );
    crowded.sort((a, b) => a.slice.unplaceableSince - b.slice.unplaceableSince);
    for (const { shard, slice } of crowded) {
      const target = this.choose(shard, slice);
      if (target) return this.migrate(shard, slice, target.shard, target.tasks);
    }
  }

  /**
   * A part with idle machines for the tasks; after a while also one with room for some beside others, or any with machines
   * for them if this one has none at all.
   */
  private choose(shard: ShardLeader, slice: Slice): { shard: string; tasks: number } | null {
    const { shardLoads, clock, random } = this.context;
    const others = this.candidates(shard).filter((o) => this.maxToShard(shard, slice, o.shard) > 0);
    const idle = new Map(others.map((o) => [o.shard, this.capacityFor(slice.spec, o, 'idle')]));
    const withIdle = others.filter((o) => (idle.get(o.shard) ?? 0) > 0).map((o) => o.shard);
    if (withIdle.length > 0) {
      const to = shardLoads.choose(withIdle, random);
      return this.upTo(shard, slice, to, idle.get(to) ?? 0);
    }
    if (clock.now() - slice.unplaceableSince < MIGRATE_TO_SHARED_AFTER_MS) return null;
    const beside = new Map(others.map((o) => [o.shard, this.capacityFor(slice.spec, o, 'left')]));
    const withRoom = others.filter((o) => (beside.get(o.shard) ?? 0) > 0).map((o) => o.shard);
    if (withRoom.length > 0) {
      const to = shardLoads.choose(withRoom, random);
      return this.upTo(shard, slice, to, beside.get(to) ?? 0);
    }
    const own = shardLoads.fresh(shard.name)?.message;
    if (!own || this.capacityFor(slice.spec, own, 'schedulable') > 0) return null;
    const able = others.filter((o) => this.capacityFor(slice.spec, o, 'schedulable') > 0).map((o) => o.shard);
    if (able.length === 0) return null;
    // By halves: what the next message of that part shows decides about the rest.
    return this.upTo(shard, slice, shardLoads.choose(able, random), Math.ceil(slice.migratable / 2));
  }

  /** The part with as many tasks as the job's rules let move there, up to so many; null where that is none. */
  private upTo(
    shard: ShardLeader,
    slice: Slice,
    to: string,
    tasks: number,
  ): { shard: string; tasks: number } | null {
    // Looked at last: a backlog has a hundred thousand waits, and mostly nothing that is idle.
    const { migratable: migratable, spec } = slice;
    if (migratable === 0) return null;
    // All of a job in one zone goes together, or none of it does.
    const whole = spec.oneZone && this.context.shards.zoneOf(shard.name) !== this.context.shards.zoneOf(to);
    return {
      shard: to,
      tasks: whole ? migratable : Math.min(migratable, tasks, this.maxToShard(shard, slice, to)),
    };
  }

  /** How many of the waiting tasks the job's rules about zones let go to the part. */
  private maxToShard(shard: ShardLeader, { migratable: migratable, spec }: Slice, to: string): number {
    if (!spec.oneZone && !spec.spread) return Infinity;
    const { shards } = this.context;
    const known = this.context.known(spec.id);
    if (!known) return 0;
    const [home, there] = [shards.zoneOf(shard.name), shards.zoneOf(to)];
    if (home !== there) return maxToZone(known, there, (name) => shards.zoneOf(name), migratable);
    // Of a spread job that has more than its half here, one part's owner sees to it that half of it runs.
    return unsettledIn(known, (at) => shards.zoneOf(at) === home) > maxInZone(spec) ? 0 : Infinity;
  }

  /** Parts heard since they were last given tasks from here. */
  private candidates(shard: ShardLeader): ShardStatus[] {
    const { shardLoads, shards } = this.context;
    return shards.names.flatMap((name) => {
      if (name === shard.name) return [];
      const fresh = shardLoads.fresh(name);
      return fresh && fresh.at > (this.givenAt.get(name) ?? -Infinity) ? [fresh.message] : [];
    });
  }

  /** How many of the job's tasks the part's machines take that are idle, that may take any at all, or beside others. */
  private capacityFor(spec: JobSpec, message: ShardStatus, which: 'idle' | 'schedulable' | 'left'): number {
    const zone = this.context.shards.zoneOf(message.shard);
    let tasks = 0;
    for (const type of this.context.catalog() ?? []) {
      for (const spot of [false, true]) {
        const kind = message.pools[machinePoolKey(type.name, spot)];
        if (!kind || !fits(spec, type) || !allows(spec, { typeName: type.name, zone, spot })) continue;
        if (which === 'left') for (const each of kind.freeCapacity ?? []) tasks += tasksOn(spec, each);
        else tasks += (which === 'idle' ? kind.idle : kind.schedulable) * tasksOn(spec, type);
      }
    }
    return tasks;
  }

  private async migrate(shard: ShardLeader, slice: Slice, to: string, tasks: number): Promise<void> {
    const job = slice.spec.id;
    const record = this.context.known(job)?.record;
    const key = openJobKey(job);
    const version = this.context.watchCache.version(key);
    if (!record || record.slices.length >= MAX_SLICES) return;
    const own = record.slices.findIndex((s, index) => sliceName(s.shard, job, index) === slice.name);
    const slices: SliceRange[] = record.slices.map((s, index) =>
      index === own ? { ...s, count: slice.count - tasks } : s,
    );
    slices.push({ shard: to, from: slice.index(slice.count - tasks), count: tasks });
    const conditions = [shard.records.leadershipPrecondition(), { key, version }];
    slice.beginMigration(tasks);
    this.givenAt.set(to, this.context.clock.now());
    const result = await this.send({ shard, slice, conditions, value: { ...record, slices } }, 'first');
    this.context.log.info({ job, from: shard.name, to, tasks, result }, 'waiting tasks moved');
  }

  /** Sends the move, once more where an answer was lost. What became of it the replica tells, except for a refusal. */
  private async send(
    sent: SentMigration,
    time: 'first' | 'again',
  ): Promise<'committed' | 'refused' | 'unknown'> {
    const { shard, slice, conditions, value } = sent;
    try {
      const key = openJobKey(slice.spec.id);
      const result = await this.context.store.compareAndSwap(
        conditions,
        [{ op: 'put', key, value: encodeOpenJob(value) }],
        'background',
      );
      this.unknown.delete(slice);
      if (result.kind === 'committed') return 'committed';
    } catch (error) {
      if (time === 'again' || !(error instanceof RequestRejected)) {
        this.unknown.set(slice, sent);
        return 'unknown';
      }
    }
    // The first one was refused: nothing was carried out and nothing will be. Of a later one that proves nothing, as
    // the one before may be what it ran into.
    if (time === 'first') {
      slice.endMigration(slice.count);
      shard.requestScheduling();
    }
    return 'refused';
  }

  /** A move that never arrived would keep its tasks from everybody: it is sent again until one of them is answered. */
  private async repeatUnknown(): Promise<void> {
    for (const [slice, sent] of this.unknown) {
      if (!sent.shard.active || slice.cancelled || slice.migrating === 0) this.unknown.delete(slice);
      else await this.send(sent, 'again');
    }
  }
}

/**
 * How many of a slice's waiting tasks may go to a zone that they are not in, by the job's rules about the zones of its
 * tasks. What is settled in the records is on no machine ever again; of all else some may be on one. So a job all in one
 * zone goes with all that is not settled of it, or not at all; and no zone ever has more than half of a spread one that is
 * not settled. docs/design.md, "Moves".
 */
export function maxToZone(
  known: KnownJob,
  zone: string,
  zoneOf: (shard: string) => string,
  migratable: number,
): number {
  const { spec } = known.record;
  if (spec.oneZone && migratable < unsettledIn(known, () => true)) return 0;
  if (!spec.spread) return spec.oneZone ? migratable : Infinity;
  const most = Math.max(0, maxInZone(spec) - unsettledIn(known, (shard) => zoneOf(shard) === zone));
  return spec.oneZone && migratable > most ? 0 : most;
}

/** How many of the job's tasks in such parts are not settled in the records. */
function unsettledIn(
  { record: { slices }, unsettled: left }: KnownJob,
  isThere: (shard: string) => boolean,
): number {
  return slices.reduce(
    (sum, { shard, count }, index) => sum + (isThere(shard) ? (left[index] ?? count) : 0),
    0,
  );
}

/** How many tasks a machine with so much left takes. */
function tasksOn(spec: JobSpec, type: Resources): number {
  const times = (whole: number, each: number): number =>
    each <= 0 ? Infinity : Math.floor(whole / each + 1e-6);
  return Math.min(
    times(type.cores, spec.cores),
    times(type.accelerators, spec.accelerators),
    times(type.ramGb, spec.ramGb),
  );
}
