import {
  STORE_CONTACT_STALE_MS,
  FINISHED_JOBS_CACHED,
  POLL_CONFIRM_MS,
  SHARDING_GROUPS,
  CANCEL_ATTEMPTS,
} from '../../constants.ts';
import { fits } from '../../storage/resources.ts';
import { encodeJob, encodeOpenJob, decodeJob, decodeOpenJob } from '../../storage/record-codec.ts';
import {
  jobKey,
  type JobRecord,
  openJobKey,
  type OpenJobRecord,
  sliceCapacity,
  type SliceRange,
} from '../../storage/records.ts';
import type { KeyValueStore } from '../../storage/key-value-store.ts';
import type { WatchCache } from '../../storage/watch-cache.ts';
import type { MachineType } from '../../protocol/cloud.ts';
import { type Precondition, RequestRejected } from '../../protocol/key-value.ts';
import type { UserOperation } from '../../protocol/peer-messages.ts';
import {
  userAnswers,
  encodeState,
  encodeView,
  type JobSpec,
  type JobView,
  type UserAnswer,
} from '../../protocol/users.ts';
import type { Settings } from '../../settings.ts';
import type { Clock } from '../../transport/clock.ts';
import { firstNonNull } from '../../transport/first-non-null.ts';
import { NoAnswer } from '../../transport/http-client.ts';
import type { Random } from '../../transport/random.ts';
import type { ShardLoads } from '../scheduling/shard-loads.ts';
import { maxInZone } from '../scheduling/placement-constraints.ts';
import type { ShardMap } from '../leadership/shard-map.ts';

/** What the state service has of a job: its open record, with its version, or its end. */
type Found =
  | { status: 'open'; tasks: number; condition: Precondition }
  | { status: 'done' | 'cancelled'; tasks: number };

export interface JobRequestsContext {
  settings: Settings;
  clock: Clock;
  /** Time of day, milliseconds. */
  wallClock: () => number;
  random: Random;
  store: KeyValueStore;
  watchCache: WatchCache;
  shardLoads: ShardLoads;
  shardMap: ShardMap;
  catalog: () => MachineType[] | null;
  /** What the replica has of a job that is not over. */
  openSpec: (job: string) => JobSpec | null;
  /** Tasks left of the job and tasks on machines, as far as known here. */
  progress: (job: string) => { left: number; running: number };
  /** Whether all nodes vouch for the job as open; asked of all of them from now on. */
  isOpenByAll: (job: string) => Promise<boolean>;
  /** This node has committed the job's withdrawal, or found it committed when a user asked for it. */
  onCancelled: (job: string) => void;
  /** Asks a sibling that may reach the state service; null if none answered. */
  forward: (op: UserOperation, body: JobSpec | string) => Promise<UserAnswer | null>;
}

/**
 * What users ask. That a job is not over is only said from a read made for the request, or from the replica
 * once a follow sent after the request has answered.
 */
export class JobRequests {
  private readonly finished = new Map<string, 'done' | 'cancelled'>();

  constructor(private readonly context: JobRequestsContext) {}

  submit(spec: JobSpec): Promise<UserAnswer> {
    return this.forwardIfCutOff('submit', spec, () => this.submitHere(spec));
  }

  status(id: string): Promise<UserAnswer> {
    return this.forwardIfCutOff('status', id, () => this.statusHere(id));
  }

  cancel(id: string): Promise<UserAnswer> {
    return this.forwardIfCutOff('cancel', id, () => this.cancelHere(id));
  }

  /** Carries a request out with this node's own contact; null where the state service does not answer. */
  async handleLocally(op: UserOperation, body: JobSpec | string): Promise<UserAnswer | null> {
    try {
      if (typeof body !== 'string') return await this.submitHere(body);
      return op === 'cancel' ? await this.cancelHere(body) : await this.statusHere(body);
    } catch (error) {
      if (error instanceof RequestRejected || error instanceof NoAnswer) return null;
      throw error;
    }
  }

  /** A node that alone has lost the state service passes requests on; if no one has it, the user is told at once. */
  private async forwardIfCutOff(
    op: UserOperation,
    body: JobSpec | string,
    here: () => Promise<UserAnswer>,
  ): Promise<UserAnswer> {
    const id = typeof body === 'string' ? body : body.id;
    const over = this.finished.get(id);
    if (over) return this.final(op, id, over);
    const stale = this.context.clock.now() - this.context.watchCache.confirmedAt > STORE_CONTACT_STALE_MS;
    if (stale) {
      // Side by side: a sibling that hangs must not hold up what another can answer at once.
      const told = op === 'cancel' ? [] : [this.viewConfirmedByAll(id)];
      const passed = await firstNonNull([this.context.forward(op, body), ...told]);
      if (passed) return passed;
    }
    try {
      return await here();
    } catch (error) {
      if (!(error instanceof RequestRejected) && !(error instanceof NoAnswer)) throw error;
      const passed = stale ? null : await this.context.forward(op, body);
      return passed ?? userAnswers.undecided;
    }
  }

  /** Whether this node has read or committed the job's end. */
  isOver(id: string): boolean {
    return this.finished.has(id);
  }

  /** The job as open, where all nodes vouch for it. */
  private async viewConfirmedByAll(id: string): Promise<UserAnswer | null> {
    if (!(await this.context.isOpenByAll(id))) return null;
    const tasks = this.context.openSpec(id)?.tasks ?? 0;
    return { status: 200, body: encodeView(this.view(id, { status: 'open', tasks })) };
  }

  private final(op: UserOperation, id: string, status: 'done' | 'cancelled'): UserAnswer {
    if (op !== 'status') return { status: 200, body: encodeState(id, status) };
    return { status: 200, body: encodeView({ id, status, done: 0, running: 0 }) };
  }

  /** The job is over: read, or committed by this node. */
  remember(id: string, status: 'done' | 'cancelled'): void {
    this.finished.set(id, status);
    if (this.finished.size <= FINISHED_JOBS_CACHED) return;
    for (const oldest of this.finished.keys()) {
      this.finished.delete(oldest);
      break;
    }
  }

  /**
   * What the state service has of the job; null: it was not accepted when this began. The open record is read first, as
   * its end removes it and writes the other at once: what is in neither of them, in this order, was never accepted.
   */
  private async read(id: string): Promise<Found | null> {
    const open = await this.context.store.get(openJobKey(id), 'user');
    if (!open) return this.readEnd(id);
    const { spec } = decodeOpenJob(open.value);
    return { status: 'open', tasks: spec.tasks, condition: { key: open.key, version: open.version } };
  }

  private async readEnd(id: string): Promise<Found | null> {
    const entry = await this.context.store.get(jobKey(id), 'user');
    if (!entry) return null;
    const job = decodeJob(entry.value);
    this.remember(id, job.status);
    return job;
  }

  private view(id: string, job: { status: Found['status']; tasks: number }): JobView {
    if (job.status !== 'open') {
      return { id, status: job.status, done: job.status === 'done' ? job.tasks : 0, running: 0 };
    }
    const { left, running } = this.context.progress(id);
    const done = Math.max(0, job.tasks - Math.max(left, running));
    return { id, status: running > 0 ? 'running' : 'queued', done, running };
  }

  private async statusHere(id: string): Promise<UserAnswer> {
    const { watchCache, openSpec } = this.context;
    // A poll for a job that is open, as most are, needs no read of its own; any other one read, not two.
    const proven = await watchCache.confirmWithin(POLL_CONFIRM_MS);
    const spec = proven ? openSpec(id) : null;
    if (spec) return { status: 200, body: encodeView(this.view(id, { status: 'open', tasks: spec.tasks })) };
    const found = await (proven ? this.readEnd(id) : this.read(id));
    return found ? { status: 200, body: encodeView(this.view(id, found)) } : userAnswers.notFound;
  }

  private async submitHere(spec: JobSpec): Promise<UserAnswer> {
    const catalog = this.context.catalog();
    const never = catalog ? this.rejectionReason(spec, catalog) : null;
    if (!catalog || never !== null) {
      const known = await this.read(spec.id);
      if (known) return { status: 200, body: encodeView(this.view(spec.id, known)) };
      return never === null ? userAnswers.undecided : { status: 422, body: { error: never } };
    }
    const key = openJobKey(spec.id);
    const value: OpenJobRecord = {
      spec,
      at: this.context.wallClock(),
      slices: this.assignToShards(spec, catalog),
    };
    // Neither open nor over: a repetition that comes late finds one of the two.
    const conditions = [key, jobKey(spec.id)].map((each) => ({ key: each, version: 0 }));
    try {
      const result = await this.context.store.compareAndSwap(
        conditions,
        [{ op: 'put', key, value: encodeOpenJob(value) }],
        'user',
      );
      if (result.kind === 'committed') return { status: 201, body: encodeState(spec.id, 'queued') };
    } catch (error) {
      // Unknown whether it was applied: only what is read back may be told.
      if (!(error instanceof NoAnswer)) throw error;
    }
    const known = await this.read(spec.id);
    return known ? { status: 200, body: encodeView(this.view(spec.id, known)) } : userAnswers.undecided;
  }

  /** Why the job can never run, or null if it can. */
  private rejectionReason(spec: JobSpec, catalog: MachineType[]): string | null {
    const team = this.context.settings.teams.get(spec.team);
    if (!team) return 'unknown team';
    if (!catalog.some((type) => this.zonesFor(spec, type).length > 0))
      return 'a task fits no allowed machine type';
    const atOnce = spec.kind === 'batch' ? 1 : spec.tasks;
    if (spec.cores * atOnce > team.maxCores || spec.accelerators * atOnce > team.maxAccelerators) {
      return "needs more than the team's limit";
    }
    if (spec.kind !== 'batch' && spec.tasks > maxInZone(spec) && this.hasOneZone(spec, catalog))
      return 'more than half of its tasks would be in one zone';
    return null;
  }

  private zonesFor(spec: JobSpec, type: MachineType): string[] {
    if (spec.types !== null && !spec.types.includes(type.name)) return [];
    if (!fits(spec, type)) return [];
    return type.zones.filter(
      (zone) => this.context.settings.zones.includes(zone) && (spec.zone === null || spec.zone === zone),
    );
  }

  /** Whether all of the job's tasks have to be in one zone. */
  private hasOneZone(spec: JobSpec, catalog: MachineType[]): boolean {
    return spec.oneZone || new Set(catalog.flatMap((type) => this.zonesFor(spec, type))).size === 1;
  }

  /**
   * The design's choice for every task, within what the job's zone rules allow. Settling those here, by
   * which tasks a part is given, makes them hold whatever the parts do later.
   */
  private assignToShards(spec: JobSpec, catalog: MachineType[]): SliceRange[] {
    const { shardLoads, shardMap: shards, random, settings } = this.context;
    const zones = new Set(catalog.flatMap((type) => this.zonesFor(spec, type)));
    let candidates = shards.names.filter((shard) => zones.has(shards.zoneOf(shard)));
    const perZone = maxInZone(spec);
    const capacity = sliceCapacity(settings.valueKb);
    // Of a spread job in one zone half may run at once: one part's owner sees to that.
    const together = spec.oneZone || (spec.spread && this.hasOneZone(spec, catalog));
    if (together) candidates = [shardLoads.choose(candidates, random)];
    const counts = new Map<string, number>();
    const inZone = new Map<string, number>();
    const group = Math.ceil(spec.tasks / SHARDING_GROUPS);
    for (let given = 0; given < spec.tasks;) {
      const open = candidates.filter((shard) => (inZone.get(shards.zoneOf(shard)) ?? 0) < perZone);
      const shard = open.length > 0 ? shardLoads.choose(open, random) : candidates[0];
      if (shard === undefined) throw new Error('no part to share out to');
      const zone = shards.zoneOf(shard);
      const left = open.length > 0 ? perZone - (inZone.get(zone) ?? 0) : spec.tasks;
      const count = Math.min(group, spec.tasks - given, left);
      counts.set(shard, (counts.get(shard) ?? 0) + count);
      inZone.set(zone, (inZone.get(zone) ?? 0) + count);
      given += count;
    }
    const slices: SliceRange[] = [];
    let from = 0;
    for (const [shard, total] of counts) {
      for (let done = 0; done < total;) {
        const count = Math.min(capacity, total - done);
        slices.push({ shard, from, count });
        from += count;
        done += count;
      }
    }
    return slices;
  }

  private async cancelHere(id: string): Promise<UserAnswer> {
    for (let tries = 0; tries < CANCEL_ATTEMPTS; tries++) {
      const found = await this.read(id);
      if (!found) return userAnswers.notFound;
      // Cancelled by a transaction that had no answer, mostly: whoever sent it could tell nobody.
      if (found.status === 'cancelled') this.context.onCancelled(id);
      if (found.status !== 'open') return { status: 200, body: encodeState(id, found.status) };
      const { condition, tasks } = found;
      const end: JobRecord = { status: 'cancelled', tasks };
      const result = await this.context.store.compareAndSwap(
        [condition],
        [
          { op: 'put', key: jobKey(id), value: encodeJob(end) },
          { op: 'delete', key: condition.key },
        ],
        'user',
      );
      if (result.kind !== 'committed') continue; // it was done, or cancelled, meanwhile
      this.remember(id, 'cancelled');
      this.context.onCancelled(id);
      return { status: 200, body: encodeState(id, 'cancelled') };
    }
    return userAnswers.undecided;
  }
}
