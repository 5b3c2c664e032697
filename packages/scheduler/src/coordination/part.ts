import {
  CLOCK_DRIFT,
  COMMAND_DEADLINE_MS,
  FENCE_AFTER_MS,
  FENCE_RETRY_MAX_MS,
  FENCE_RETRY_MS,
  GONE_MOST,
  HANDOVER_BYTES,
  LEASE_MARGIN_MS,
} from '../constants.ts';
import { booked, type Machine, newMachine } from '../bookkeeping/machines.ts';
import { type MachinesRecord, type ProgressRecord } from '../bookkeeping/records.ts';
import { type GivenSlice, Slice } from '../bookkeeping/slices.ts';
import { type Int } from '../protocol/json.ts';
import type { Handover, KindOfMachines } from '../protocol/mesh.ts';
import { type Order, type Report } from '../protocol/workers.ts';
import { MachineOrders } from './machines/machine-orders.ts';
import type { PartContext } from './part-context.ts';
import { longestRunMs, running, summary } from './part-told.ts';
import { PartRecords } from './recovery/part-records.ts';
import { PartTasks } from './part-tasks.ts';
import { Placing } from './placing/placing.ts';
import { Suspects } from './recovery/suspects.ts';
import { TeamUsage } from './limits/team-usage.ts';

/**
 * A part as its owner keeps it: the machines, the slices, and who runs what. It lives from the moment the
 * replica shows this node as the owner until it shows another.
 */
export class Part {
  readonly machines = new Map<string, Machine>();
  readonly slices = new Map<string, Slice>();
  readonly records: PartRecords;
  readonly usage: TeamUsage;
  private readonly tasks: PartTasks;
  private readonly placing: Placing;
  private readonly orders: MachineOrders;
  private readonly suspects: Suspects;
  private toldOfNewer = false;
  /** Machines that the cloud confirmed gone, the last ones. */
  private readonly gone = new Set<string>();

  constructor(
    readonly name: string,
    readonly token: number,
    private readonly context: PartContext,
    private readonly signal: AbortSignal,
    before: {
      machines: [string, MachinesRecord, Int][];
      progress: [string, ProgressRecord, Int][];
      slices: GivenSlice[];
    },
  ) {
    const now = context.clock.now();
    const { machines, slices } = this;
    const mayAct = (): boolean => this.mayAct();
    for (const given of before.slices) {
      if (given.count > 0) slices.set(given.name, new Slice(given, true));
    }
    const afterS = (): number => Math.round((context.clock.now() - now) / 100) / 10;
    this.suspects = new Suspects(
      slices,
      () => this.schedulePlacing(),
      () => context.log.info({ part: name, afterS: afterS() }, 'nothing is held any more'),
    );
    for (const [, record] of before.machines) {
      for (const [id, each] of Object.entries(record.machines)) {
        const machine = newMachine(id, each, now);
        machine.recorded = true;
        machine.nextFenceAt = now + FENCE_AFTER_MS;
        machine.type = context.typeOf(each.type);
        // The owner before may have answered reports for as long as it could believe in its ownership.
        machine.answeredAt = now + context.proofMs;
        machine.beforeAt = machine.answeredAt;
        machines.set(id, machine);
        this.suspects.add(machine);
      }
    }
    this.records = new PartRecords(
      name,
      {
        ...context,
        valueKb: context.settings.valueKb,
        machines,
        slices,
        onMachinesRecorded: () => this.schedulePlacing(),
      },
      signal,
      before,
    );
    this.usage = new TeamUsage(
      name,
      [...context.settings.teams.keys()].filter((team) => context.limits.limited(team)),
      machines,
      context.limits,
      (key) => context.replica.version(key),
    );
    const { usage } = this;
    this.tasks = new PartTasks(context, {
      name,
      token,
      slices,
      usage,
      onSettled: (slice) => this.records.noteSettled(slice),
      onFirstStart: () => context.log.info({ part: name, afterS: afterS() }, 'first task started'),
      onFreed: () => this.schedulePlacing(),
    });
    this.orders = new MachineOrders(
      context,
      {
        token,
        machines,
        mayAct,
        onCommandReport: (machine, report) => this.onCommandReport(machine, report),
      },
      signal,
    );
    this.placing = new Placing(
      context,
      {
        machines,
        slices,
        usage,
        mayAct,
        start: (...task) => this.tasks.start(...task),
        command: (machine) => this.orders.command(machine),
      },
      signal,
    );
    // Of some slices nothing can be on any machine: none is recorded, or none that they are allowed on.
    this.suspects.release();
  }

  get active(): boolean {
    return !this.signal.aborted;
  }

  /** Whether a machine knows a newer owner: this one only answers reports until the records show it. */
  get outdated(): boolean {
    return this.toldOfNewer;
  }

  /** A machine or a sibling tells of a newer owner. */
  setOutdated(): void {
    if (!this.toldOfNewer) this.context.onOutdated(this.name);
    this.toldOfNewer = true;
  }

  /** Whether this owner may start tasks and ask machines to accept it. */
  private mayAct(): boolean {
    return !this.toldOfNewer && this.context.mayAct();
  }

  /** Placing is done once for all that happens together, and not again within a short gap. */
  schedulePlacing(): void {
    this.placing.schedule();
  }

  // --- what the replica shows ---

  /**
   * A job's slice as its record now says. A new one was accepted, or moved here, since the takeover: no owner before
   * can have launched any of it.
   */
  setSlice(given: GivenSlice): void {
    const slice = this.slices.get(given.name);
    if (given.count === 0) return this.dropSlice(given.name); // all of it has moved on
    if (slice) {
      // Only this owner shortens it: whatever else changed the record, a move sent against the old one has failed.
      slice.endMove(given.count);
      return this.schedulePlacing();
    }
    this.slices.set(given.name, new Slice(given, false));
    this.placing.slicesChanged();
  }

  /** The job is over: whatever still runs of it is stopped. */
  dropSlice(name: string): void {
    const slice = this.slices.get(name);
    if (!slice) return;
    this.slices.delete(name);
    this.records.dropSlice(name);
    slice.withdrawn = true;
    slice.waiting.length = 0;
    slice.pausing.length = 0;
    slice.held.clear();
    for (const machine of this.machines.values()) {
      if (this.tasks.withdraw(machine, slice)) this.orders.command(machine);
    }
    this.placing.slicesChanged();
  }

  // --- reports ---

  /** Takes a worker's report and gives the orders that answer it; null: the machine's lease must not be renewed. */
  onReport(report: Report): Order[] | null {
    const now = this.context.clock.now();
    let machine = this.machines.get(report.machine);
    if (!machine) {
      // A late copy: names are never used again, and the machine would be given tasks until it is found silent.
      if (this.gone.has(report.machine)) return [];
      machine = newMachine(
        report.machine,
        { endpoint: report.endpoint, type: report.type, zone: report.zone, spot: report.spot },
        now,
      );
      this.machines.set(machine.id, machine);
      this.context.log.info(
        { part: this.name, machine: machine.id, type: report.type, spot: report.spot },
        'machine up',
      );
    }
    const fresh = this.apply(machine, report, true);
    if (this.tasks.mayStartCancelled(machine)) return null;
    // Answering renews the lease, so this is noted whatever the report says. Never lowered: the owner
    // before may have answered later than this owner's first answer.
    machine.answeredAt = Math.max(machine.answeredAt, now);
    // Every answer that renews a lease stops what the report lists of jobs that are over, also where the report itself
    // tells nothing new: the next one may not be answered in time, or never arrive.
    if (!fresh) return this.tasks.haltsOf(report);
    this.placing.beforeAnswer(machine);
    const orders = this.orders.orders(machine, 'report');
    return report.token < this.token ? [...orders, ...this.tasks.haltsOf(report)] : orders;
  }

  private onCommandReport(machine: Machine, report: Report): boolean {
    return this.apply(machine, report, false) && this.placing.afterCommand(machine);
  }

  /** False if the report is older than what is known. */
  private apply(machine: Machine, report: Report, checkin: boolean): boolean {
    const now = this.context.clock.now();
    if (report.token > this.token) {
      this.setOutdated();
      return false;
    }
    if (report.session < machine.session) return false;
    if (report.session === machine.session && report.seq <= machine.seq) return false;
    if (report.session > machine.session) this.tasks.newSession(machine, report.session);
    machine.seq = report.seq;
    machine.heardAt = now;
    if (checkin) machine.reportedAt = now;
    machine.endpoint = report.endpoint;
    machine.spot = report.spot;
    machine.typeName = report.type;
    machine.type ??= this.context.typeOf(report.type);
    if (report.noticeS !== null && !machine.noticed) {
      machine.noticed = true;
      machine.draining = true;
      this.context.log.info({ machine: machine.id, noticeS: report.noticeS }, 'machine will be taken');
    }
    if (report.token === this.token && !machine.fenced) {
      machine.fenced = true;
      this.suspects.clear(machine);
      this.context.log.debug({ part: this.name, machine: machine.id }, 'machine fenced');
    }
    if (report.token < this.token) {
      // Of a time before this owner's, perhaps long before: what it lists may have been lost since and be on a machine
      // not heard yet. So nothing that is held is let go by it; the machine's next report tells.
      this.tasks.onEarlierReport(report);
      // Made after its last answer from here was given up, it shows that the machine took none of them: what an owner
      // before left there goes by that owner's leases alone. Else a machine that is deaf to this one, and still heard,
      // would have its tasks held for ever.
      if (machine.suspect && now - machine.beforeAt > this.leaseMs) this.suspects.clear(machine);
      return true;
    }
    this.tasks.onReport(machine, report, checkin);
    machine.load = booked(machine, (attempt) => attempt.phase === 'seen');
    machine.drift = booked(machine, (attempt) => attempt.phase !== 'seen');
    this.placing.noteIdle(machine, now);
    return true;
  }

  /** What is known of the job's failures has changed: so may be which machines are to blame. */
  onFailingChanged(job: string): void {
    for (const machine of this.machines.values()) if (machine.faults.has(job)) this.tasks.blame(machine);
    this.schedulePlacing();
  }

  longestRunMs(job: string): number {
    return longestRunMs(this.machines.values(), job, this.context.clock.now(), this.context.settings);
  }

  // --- handing over ---

  /** For the next owner: what this one, which has stopped starting anything, knows to run nowhere. */
  freeTasks(): Record<string, string> {
    const free: Record<string, string> = {};
    let bytes = 0;
    for (const slice of this.slices.values()) {
      const encoded = slice.free;
      bytes += encoded === '' ? 0 : encoded.length + slice.name.length;
      if (bytes > HANDOVER_BYTES) break; // the rest is held, as after a crash
      if (encoded !== '') free[slice.name] = encoded;
    }
    return free;
  }

  /** What the owner before this one knew to run nowhere need not be held until every machine has answered. */
  takeOver(handover: Handover): void {
    if (handover.token !== this.token || !this.suspects.holding) return;
    for (const [name, encoded] of Object.entries(handover.free)) this.slices.get(name)?.releaseFree(encoded);
    this.schedulePlacing();
  }

  // --- duties ---

  /** Fences, finds the end of leases, wakes pausing tasks, records machines and progress. */
  tick(): void {
    const now = this.context.clock.now();
    const mayAct = this.mayAct();
    for (const machine of this.machines.values()) {
      machine.type ??= this.context.typeOf(machine.typeName);
      if (this.leaseOver(machine, now)) {
        this.tasks.expire(machine);
        this.suspects.clear(machine);
      }
      const unfenced = mayAct && !machine.fenced && machine.recorded && now >= machine.nextFenceAt;
      if (unfenced && this.context.takeFence()) {
        const pause = Math.min(FENCE_RETRY_MS * 2 ** Math.min(machine.fenceTries, 10), FENCE_RETRY_MAX_MS);
        machine.nextFenceAt = now + pause + COMMAND_DEADLINE_MS;
        void this.orders.fence(machine);
      }
      if (machine.pausedUntil > 0 && machine.pausedUntil <= now) this.schedulePlacing();
    }
    for (const slice of this.slices.values()) {
      if (slice.pausing.length === 0) continue;
      slice.wake(now);
      this.schedulePlacing();
    }
    this.records.recordMachines();
    this.records.recordProgress();
    this.placing.tick();
  }

  /** Whether every lease the machine could hold is certainly over. */
  private leaseOver(machine: Machine, now: number): boolean {
    return now - Math.max(machine.answeredAt, machine.heardAt) > this.leaseMs;
  }

  /** The longest time that a worker's lease lasts by this node's clock. */
  private get leaseMs(): number {
    return this.context.settings.leaseMs * (1 + CLOCK_DRIFT) + LEASE_MARGIN_MS;
  }

  /** Asks a silent machine directly. */
  probe(machine: Machine): Promise<'answers' | 'deaf' | 'unknown'> {
    return this.orders.probe(machine);
  }

  /** The cloud confirmed that the machine and all on it are gone. */
  removed(machine: Machine): void {
    this.machines.delete(machine.id);
    this.gone.add(machine.id);
    const [oldest] = this.gone;
    if (this.gone.size > GONE_MOST && oldest !== undefined) this.gone.delete(oldest);
    this.placing.dropIdle(machine);
    for (const attempt of [...machine.attempts.values()]) this.tasks.lose(machine, attempt);
    this.suspects.clear(machine);
    this.schedulePlacing();
    this.records.dropMachine(machine.id);
  }

  // --- what others are told ---

  /** Machines of the owner before that have not accepted this one yet. */
  get unfenced(): number {
    let count = 0;
    for (const machine of this.machines.values()) if (machine.suspect) count++;
    return count;
  }

  /** Its machines that may take tasks, and the room that they have, by kind. */
  kinds(): Record<string, KindOfMachines> {
    return this.placing.kinds();
  }

  get idleCount(): number {
    return this.placing.idleCount;
  }

  running(): Record<string, number> {
    return running(this.machines.values());
  }

  summary(): ReturnType<typeof summary> {
    const open = this.placing.open(this.context.clock.now());
    return summary(open, this.slices.values(), this.context.failing);
  }
}
