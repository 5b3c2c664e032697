import { CONTACT_STALE_MS, MOVE_AFTER_MS, MOVE_LONE_MS, SLICES_MOST } from '../../constants.ts';
import { fits, machineKind, type Need } from '../../bookkeeping/machines.ts';
import { encodeOpenJob } from '../../bookkeeping/record-codec.ts';
import { type OpenJobRecord, openJobKey, sliceName, type SliceRange } from '../../bookkeeping/records.ts';
import type { Slice } from '../../bookkeeping/slices.ts';
import type { Replica, Store } from '../../bookkeeping/store.ts';
import type { MachineType } from '../../protocol/cloud.ts';
import type { PartMessage } from '../../protocol/mesh.ts';
import { type Condition, StateRefused } from '../../protocol/state.ts';
import type { JobSpec } from '../../protocol/users.ts';
import type { Clock } from '../../transport/clock.ts';
import type { Random } from '../../transport/random.ts';
import type { Log } from '../../transport/routine.ts';
import type { Averages } from './averages.ts';
import type { Part } from '../part.ts';
import type { PartMap } from '../ownership/parts.ts';
import { allows, mostInZone } from './placement.ts';

/** A job's record, and how many tasks of each of its slices are not settled in the records. */
export interface Known {
  record: OpenJobRecord;
  left: number[];
}

interface Sent {
  part: Part;
  slice: Slice;
  conditions: Condition[];
  value: OpenJobRecord;
}

/**
 * Gives waiting tasks that find no room to a part that has some: the design's choice once more, for what was given to
 * a part that turned out to have no place for it. Why nothing runs twice by it: docs/design.md, "Moves".
 */
export class Moves {
  /** Moves whose answer was lost, one at the most for each slice. */
  private readonly unknown = new Map<Slice, Sent>();
  /** When tasks were last given to a part from here: its next message takes them into account. */
  private readonly givenAt = new Map<string, number>();

  constructor(
    private readonly context: {
      clock: Clock;
      random: Random;
      log: Log;
      store: Store;
      replica: Replica;
      averages: Averages;
      parts: PartMap;
      catalog: () => MachineType[] | null;
      /** The job's record as the replica has it, and how many tasks of each slice are not settled in the records. */
      known: (job: string) => Known | null;
      /** Whether the job fails wherever it runs: nothing is gained by moving it. */
      isFailing: (job: string) => boolean;
      /** The parts that this node owns. */
      owned: () => Part[];
    },
  ) {}

  /** Makes the move that has been waited for longest, if any is due. */
  async moveOne(): Promise<void> {
    await this.repeatUnknown();
    if (this.context.clock.now() - this.context.replica.provenAt > CONTACT_STALE_MS) return;
    const crowded = this.context.owned().flatMap((part) =>
      [...part.slices.values()]
        .filter((slice) => slice.waiting.length > 0 && slice.moving === 0)
        .filter((slice) => !this.context.isFailing(slice.spec.id))
        .filter((slice) => this.context.clock.now() - slice.crowdedSince >= MOVE_AFTER_MS)
        .map((slice) => ({ part, slice })),
    );
    crowded.sort((a, b) => a.slice.crowdedSince - b.slice.crowdedSince);
    for (const { part, slice } of crowded) {
      const target = this.choose(part, slice);
      if (target) return this.move(part, slice, target.part, target.tasks);
    }
  }

  /**
   * A part with idle machines for the tasks; after a while also one with room for some beside others, or any with machines
   * for them if this one has none at all.
   */
  private choose(part: Part, slice: Slice): { part: string; tasks: number } | null {
    const { averages, clock, random } = this.context;
    const others = this.candidates(part).filter((o) => this.most(part, slice, o.part) > 0);
    const idle = new Map(others.map((o) => [o.part, this.taken(slice.spec, o, 'idle')]));
    const withIdle = others.filter((o) => (idle.get(o.part) ?? 0) > 0).map((o) => o.part);
    if (withIdle.length > 0) {
      const to = averages.choose(withIdle, random);
      return this.upTo(part, slice, to, idle.get(to) ?? 0);
    }
    if (clock.now() - slice.crowdedSince < MOVE_LONE_MS) return null;
    const beside = new Map(others.map((o) => [o.part, this.taken(slice.spec, o, 'left')]));
    const withRoom = others.filter((o) => (beside.get(o.part) ?? 0) > 0).map((o) => o.part);
    if (withRoom.length > 0) {
      const to = averages.choose(withRoom, random);
      return this.upTo(part, slice, to, beside.get(to) ?? 0);
    }
    const own = averages.fresh(part.name)?.message;
    if (!own || this.taken(slice.spec, own, 'open') > 0) return null;
    const able = others.filter((o) => this.taken(slice.spec, o, 'open') > 0).map((o) => o.part);
    if (able.length === 0) return null;
    // By halves: what the next message of that part shows decides about the rest.
    return this.upTo(part, slice, averages.choose(able, random), Math.ceil(slice.movable / 2));
  }

  /** The part with as many tasks as the job's rules let move there, up to so many; null where that is none. */
  private upTo(part: Part, slice: Slice, to: string, tasks: number): { part: string; tasks: number } | null {
    // Looked at last: a backlog has a hundred thousand waits, and mostly nothing that is idle.
    const { movable, spec } = slice;
    if (movable === 0) return null;
    // All of a job in one zone goes together, or none of it does.
    const whole = spec.oneZone && this.context.parts.zoneOf(part.name) !== this.context.parts.zoneOf(to);
    return { part: to, tasks: whole ? movable : Math.min(movable, tasks, this.most(part, slice, to)) };
  }

  /** How many of the waiting tasks the job's rules about zones let go to the part. */
  private most(part: Part, { movable, spec }: Slice, to: string): number {
    if (!spec.oneZone && !spec.spread) return Infinity;
    const { parts } = this.context;
    const known = this.context.known(spec.id);
    if (!known) return 0;
    const [home, there] = [parts.zoneOf(part.name), parts.zoneOf(to)];
    if (home !== there) return mostToZone(known, there, (name) => parts.zoneOf(name), movable);
    // Of a spread job that has more than its half here, one part's owner sees to it that half of it runs.
    return leftIn(known, (at) => parts.zoneOf(at) === home) > mostInZone(spec) ? 0 : Infinity;
  }

  /** Parts heard since they were last given tasks from here. */
  private candidates(part: Part): PartMessage[] {
    const { averages, parts } = this.context;
    return parts.names.flatMap((name) => {
      if (name === part.name) return [];
      const fresh = averages.fresh(name);
      return fresh && fresh.at > (this.givenAt.get(name) ?? -Infinity) ? [fresh.message] : [];
    });
  }

  /** How many of the job's tasks the part's machines take that are idle, that may take any at all, or beside others. */
  private taken(spec: JobSpec, message: PartMessage, which: 'idle' | 'open' | 'left'): number {
    const zone = this.context.parts.zoneOf(message.part);
    let tasks = 0;
    for (const type of this.context.catalog() ?? []) {
      for (const spot of [false, true]) {
        const kind = message.kinds[machineKind(type.name, spot)];
        if (!kind || !fits(spec, type) || !allows(spec, { typeName: type.name, zone, spot })) continue;
        if (which === 'left') for (const each of kind.left ?? []) tasks += tasksOn(spec, each);
        else tasks += kind[which] * tasksOn(spec, type);
      }
    }
    return tasks;
  }

  private async move(part: Part, slice: Slice, to: string, tasks: number): Promise<void> {
    const job = slice.spec.id;
    const record = this.context.known(job)?.record;
    const key = openJobKey(job);
    const version = this.context.replica.version(key);
    if (!record || record.slices.length >= SLICES_MOST) return;
    const own = record.slices.findIndex((s, index) => sliceName(s.part, job, index) === slice.name);
    const slices: SliceRange[] = record.slices.map((s, index) =>
      index === own ? { ...s, count: slice.count - tasks } : s,
    );
    slices.push({ part: to, from: slice.index(slice.count - tasks), count: tasks });
    const conditions = [part.records.ownership(), { key, version }];
    slice.beginMove(tasks);
    this.givenAt.set(to, this.context.clock.now());
    const result = await this.send({ part, slice, conditions, value: { ...record, slices } }, 'first');
    this.context.log.info({ job, from: part.name, to, tasks, result }, 'waiting tasks moved');
  }

  /** Sends the move, once more where an answer was lost. What became of it the replica tells, except for a refusal. */
  private async send(sent: Sent, time: 'first' | 'again'): Promise<'committed' | 'refused' | 'unknown'> {
    const { part, slice, conditions, value } = sent;
    try {
      const key = openJobKey(slice.spec.id);
      const result = await this.context.store.txn(
        conditions,
        [{ op: 'put', key, value: encodeOpenJob(value) }],
        'work',
      );
      this.unknown.delete(slice);
      if (result.kind === 'committed') return 'committed';
    } catch (error) {
      if (time === 'again' || !(error instanceof StateRefused)) {
        this.unknown.set(slice, sent);
        return 'unknown';
      }
    }
    // The first one was refused: nothing was carried out and nothing will be. Of a later one that proves nothing, as
    // the one before may be what it ran into.
    if (time === 'first') {
      slice.endMove(slice.count);
      part.schedulePlacing();
    }
    return 'refused';
  }

  /** A move that never arrived would keep its tasks from everybody: it is sent again until one of them is answered. */
  private async repeatUnknown(): Promise<void> {
    for (const [slice, sent] of this.unknown) {
      if (!sent.part.active || slice.withdrawn || slice.moving === 0) this.unknown.delete(slice);
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
export function mostToZone(
  known: Known,
  zone: string,
  zoneOf: (part: string) => string,
  movable: number,
): number {
  const { spec } = known.record;
  if (spec.oneZone && movable < leftIn(known, () => true)) return 0;
  if (!spec.spread) return spec.oneZone ? movable : Infinity;
  const most = Math.max(0, mostInZone(spec) - leftIn(known, (part) => zoneOf(part) === zone));
  return spec.oneZone && movable > most ? 0 : most;
}

/** How many of the job's tasks in such parts are not settled in the records. */
function leftIn({ record: { slices }, left }: Known, isThere: (part: string) => boolean): number {
  return slices.reduce(
    (sum, { part, count }, index) => sum + (isThere(part) ? (left[index] ?? count) : 0),
    0,
  );
}

/** How many tasks a machine with so much left takes. */
function tasksOn(spec: JobSpec, type: Need): number {
  const times = (whole: number, each: number): number =>
    each <= 0 ? Infinity : Math.floor(whole / each + 1e-6);
  return Math.min(
    times(type.cores, spec.cores),
    times(type.accelerators, spec.accelerators),
    times(type.ramGb, spec.ramGb),
  );
}
