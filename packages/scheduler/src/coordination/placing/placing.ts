import {
  LOW_HOLD_GAP_MS,
  LOW_HOLD_MS,
  LOW_PRIORITY,
  PLACE_GAP_MS,
  PREEMPT_SLACK_MS,
  ROOMY_TOLD,
  SHORT_RUN_S,
  SILENT_REPORTS,
} from '../../constants.ts';
import { type Machine, machineKind, type Need, room } from '../../bookkeeping/machines.ts';
import type { Amounts } from '../../bookkeeping/records.ts';
import type { Slice } from '../../bookkeeping/slices.ts';
import type { KindOfMachines } from '../../protocol/mesh.ts';
import type { JobSpec } from '../../protocol/users.ts';
import type { PartContext } from '../part-context.ts';
import { Chooser, Evictor, mostInZone, Refusals } from './placement.ts';
import type { TeamUsage } from '../limits/team-usage.ts';
import { latestStart } from './waiting.ts';

/** When a part's waiting tasks are given machines, and in which order. */
export class Placing {
  /** The design's idle list: empty machines, the one appended last at the end. */
  private idle: Machine[] = [];
  /** The slices as last put in order, and by what. */
  private ordered: { by: Map<string, number> | null; slices: Slice[] } = { by: null, slices: [] };
  /** Whether a round is about to be made. */
  private scheduled = false;
  private placedAt = -Infinity;
  /** When work of low priority was last held back for other work. */
  private lowHeldAt = -Infinity;
  /** Work of lower priority is looked for once a tick, and not at every report. */
  private mayPreempt = false;

  constructor(
    private readonly context: PartContext,
    private readonly part: {
      machines: Map<string, Machine>;
      slices: Map<string, Slice>;
      usage: TeamUsage;
      mayAct: () => boolean;
      start: (machine: Machine, slice: Slice, position: number, now: number) => void;
      command: (machine: Machine) => void;
    },
    private readonly signal: AbortSignal,
  ) {}

  private get active(): boolean {
    return !this.signal.aborted;
  }

  /** Slices have come or gone. */
  slicesChanged(): void {
    this.ordered.by = null;
    this.schedule();
  }

  /** A tick: what waits is looked at again, and work of lower priority may be stopped for it. */
  tick(): void {
    this.mayPreempt = true;
    if ([...this.part.slices.values()].some((slice) => slice.waiting.length > 0)) this.schedule();
  }

  /** Places before a report is answered where that is allowed: what the machine gets then needs no call of its own. */
  beforeAnswer(machine: Machine): void {
    if (!this.scheduled) this.placeOn(machine);
    else if (this.context.clock.now() - this.placedAt >= PLACE_GAP_MS) this.place(machine);
  }

  /** Places on a machine just heard, unless a round is about to be made. False in that case. */
  afterCommand(machine: Machine): boolean {
    if (this.scheduled) return false;
    this.placeOn(machine);
    return true;
  }

  /** The design's event: an empty machine's report appends it to the idle list. */
  noteIdle(machine: Machine, now: number): void {
    if (machine.attempts.size > 0) {
      machine.emptySince = Infinity;
      return this.dropIdle(machine);
    }
    if (machine.emptySince === Infinity) machine.emptySince = now;
    if (!this.idle.includes(machine)) this.idle.push(machine);
  }

  /** The machine takes tasks no more, or has one: it is not idle. */
  dropIdle(machine: Machine): void {
    const at = this.idle.indexOf(machine);
    if (at >= 0) this.idle.splice(at, 1);
  }

  get idleCount(): number {
    const usable = new Set(this.open(this.context.clock.now()));
    return this.idle.filter((m) => usable.has(m)).length;
  }

  /** Placing is done once for all that happens together, and not again within a short gap. */
  schedule(): void {
    if (this.scheduled || !this.active) return;
    this.scheduled = true;
    const run = (): void => {
      this.scheduled = false;
      if (this.active) this.place();
    };
    const gap = this.placedAt + PLACE_GAP_MS - this.context.clock.now();
    if (gap <= 0) this.context.clock.soon(run);
    else void this.context.clock.sleep(gap, this.signal).then(run);
  }

  /** Whether the machine may take tasks now. */
  isOpen(m: Machine, now: number): boolean {
    return (
      m.recorded &&
      m.fenced &&
      !m.draining &&
      !m.returning &&
      m.pausedUntil <= now &&
      // One that is heard and hears nothing is always idle, and would swallow the waits.
      m.deafSince === Infinity &&
      // Its own reports alone renew its lease: one that only answers calls kills what it is given.
      now - m.reportedAt < this.context.settings.reportMs * SILENT_REPORTS
    );
  }

  open(now: number): Machine[] {
    return [...this.part.machines.values()].filter((m) => this.isOpen(m, now));
  }

  /** The machines that may take tasks now, the idle ones among them, and what is left on the others, by kind. */
  kinds(): Record<string, KindOfMachines> {
    const kinds: Record<string, KindOfMachines> = {};
    const idle = new Set(this.idle);
    const open = this.open(this.context.clock.now());
    for (const machine of open) {
      const kind = (kinds[machineKind(machine.typeName, machine.spot)] ??= { open: 0, idle: 0 });
      kind.open++;
      if (idle.has(machine)) kind.idle++;
    }
    // What is left where tasks wait for room is theirs; and an idle machine goes before a used one.
    const crowded = [...this.part.slices.values()].some((slice) => slice.crowdedSince !== Infinity);
    if (crowded || Object.values(kinds).every((kind) => kind.idle > 0)) return kinds;
    for (const machine of open) {
      const left = room(machine);
      const kind = kinds[machineKind(machine.typeName, machine.spot)];
      if (kind?.idle === 0 && left && left.cores > 0) (kind.left ??= []).push({ ...left });
    }
    for (const { left } of Object.values(kinds)) {
      left?.sort((a, b) => b.cores - a.cores);
      if (left) left.length = Math.min(left.length, ROOMY_TOLD);
    }
    return kinds;
  }

  /** Slices with waiting tasks, in the order in which they are served. */
  private queue(): Slice[] {
    const order = this.context.servingOrder();
    // Put in order when the order or the slices change, and not at every report.
    if (this.ordered.by !== order) {
      const places = [...this.part.slices.values()].map((slice) => ({
        slice,
        place: order.get(slice.spec.id) ?? order.size,
      }));
      places.sort((a, b) => a.place - b.place || a.slice.at - b.slice.at);
      this.ordered = { by: order, slices: places.map((entry) => entry.slice) };
    }
    return this.ordered.slices.filter((slice) => slice.waiting.length > 0);
  }

  /**
   * Gives the machine just heard of what waits. All that waits found no room elsewhere in the last round, and
   * nothing but this machine has changed since: so the design's wait ends with the report that shows room.
   */
  placeOn(machine: Machine): void {
    const now = this.context.clock.now();
    if (!this.part.mayAct() || !this.isOpen(machine, now) || (room(machine)?.cores ?? 0) <= 0) return;
    const queue = this.queue();
    if (queue.length > 0) this.serve(queue, [machine], now, 'one machine');
  }

  /** Gives waiting tasks machines. `answering`: the machine whose report is being answered with its orders. */
  place(answering: Machine | null = null): void {
    this.part.usage.wants.clear();
    if (!this.part.mayAct()) return;
    const now = this.context.clock.now();
    this.placedAt = now;
    const queue = this.queue();
    if (queue.length === 0) return;
    const open = this.open(now);
    const touched = this.serve(queue, open, now, this.mayPreempt ? 'preempting' : 'whole part');
    this.mayPreempt = false;
    for (const machine of touched) if (machine !== answering) this.part.command(machine);
  }

  /** Gives the waiting tasks room on the machines. Returns the machines that have something to be told. */
  private serve(
    queue: Slice[],
    open: Machine[],
    now: number,
    round: 'one machine' | 'whole part' | 'preempting',
  ): Set<Machine> {
    const claimed = new Map<Machine, Need>();
    const hasRoom = (machine: Machine): boolean => (room(machine)?.cores ?? 0) > 0;
    const roomy = open.filter(hasRoom);
    const among = new Set(roomy);
    const used = this.part.usage.usages();
    const touched = new Set<Machine>();
    const refusals = new Refusals();
    const holdsLow = now - this.lowHeldAt < LOW_HOLD_MS;
    for (const slice of queue) {
      if (round === 'one machine' && !roomy.some(hasRoom)) break;
      const { spec } = slice;
      // One that fails wherever it runs is tried on, a task at a time.
      const failing = this.context.failing.isFailing(spec.id);
      if (failing && !this.context.failing.mayTry(spec.id, now)) continue;
      let chooser: Chooser | null = null;
      let unplaced = 0;
      let mayStart = spec.spread ? mostInZone(spec) - this.mayBeOn(spec.id) : Infinity;
      while (slice.waiting.length > 0) {
        if (!this.part.usage.withinLimit(slice, used)) {
          if (round !== 'one machine') this.part.usage.noteWant(slice, failing ? 1 : slice.waiting.length);
          break;
        }
        // Only where all of a spread job has to be in one zone has a part more of it than may run at once.
        if (mayStart <= 0) break;
        // What is low gives way at the controllers too.
        const low = spec.priority >= LOW_PRIORITY;
        const paced = low && spec.estimateS <= SHORT_RUN_S;
        if ((low && holdsLow) || (paced && this.context.lowStarts.left <= 0)) break;
        if (chooser === null && refusals.cover(spec)) {
          unplaced = slice.waiting.length;
          break;
        }
        chooser ??= new Chooser(spec, { open: roomy, idle: this.idle.filter((m) => among.has(m)) });
        const machine = chooser.next(this.context.random);
        const position = machine ? slice.waiting.pop() : undefined;
        if (!machine || position === undefined) {
          refusals.add(spec);
          unplaced = slice.waiting.length;
          break;
        }
        this.part.start(machine, slice, position, now);
        mayStart--;
        if (paced) this.context.lowStarts.left--;
        this.dropIdle(machine);
        touched.add(machine);
        if (failing) this.context.failing.tried(spec.id, now);
        const sum = used.get(spec.team);
        if (sum) {
          sum.cores += spec.cores;
          sum.accelerators += spec.accelerators;
        }
        if (failing) break;
      }
      if (slice.waiting.length === 0 || (round !== 'one machine' && unplaced === 0))
        slice.crowdedSince = Infinity;
      else if (round !== 'one machine') {
        if (slice.crowdedSince === Infinity && !failing) this.holdLow(spec, now);
        slice.crowdedSince = Math.min(slice.crowdedSince, now);
      }
      if (unplaced > 0 && round === 'preempting' && !failing) {
        for (const machine of this.preempt(slice, unplaced, open, claimed, used)) touched.add(machine);
      }
    }
    return touched;
  }

  /** How many of the job's tasks may be on machines of the part. */
  private mayBeOn(job: string): number {
    let tasks = 0;
    for (const { spec, placed, held } of this.part.slices.values())
      if (spec.id === job) tasks += placed.size + held.size;
    return tasks;
  }

  /** Work begins to find no room: what is low gives way for a while, and then has its time again. */
  private holdLow(spec: JobSpec, now: number): void {
    if (spec.priority < LOW_PRIORITY && now - this.lowHeldAt >= LOW_HOLD_GAP_MS) this.lowHeldAt = now;
  }

  /**
   * Stops work of lower priority where that makes room; the room is taken when its end is reported. Most waits
   * end by themselves in time, so this is done only for a job that would else miss its aim.
   */
  private preempt(
    slice: Slice,
    unplaced: number,
    open: Machine[],
    claimed: Map<Machine, Need>,
    used: Map<string, Amounts>,
  ): Machine[] {
    const wall = this.context.wallClock();
    const start = latestStart(slice, wall, this.context.settings);
    if (start === Infinity || start - wall > PREEMPT_SLACK_MS) return [];
    const on: Machine[] = [];
    const evictor = new Evictor(slice.spec, open, claimed);
    for (let i = Math.min(unplaced, this.part.usage.limitLeft(slice, used)); i > 0; i--) {
      const found = evictor.next();
      if (!found) break;
      if (found.victims.length === 0) continue; // room that is being made already
      this.context.log.debug(
        { machine: found.machine.id, tasks: found.victims.map((v) => v.task), by: slice.spec.id },
        'preempted',
      );
      on.push(found.machine);
    }
    return on;
  }
}
