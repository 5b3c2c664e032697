import {
  ATTEMPTS_PER_TOKEN,
  CLOCK_DRIFT,
  COMMAND_DEADLINE_MS,
  FAULT_PAUSE_MS,
  FAULTS_TO_DRAIN,
  FENCE_AFTER_MS,
  FENCE_RETRY_MAX_MS,
  FENCE_RETRY_MS,
  FIRST_SESSION,
  FORGET_MOST,
  HANDOVER_BYTES,
  FORGET_MS,
  LEASE_MARGIN_MS,
  NO_MACHINES,
  PLACE_GAP_MS,
  PREEMPT_SLACK_MS,
  SILENT_REPORTS,
  TASK_RETRY_MAX_MS,
  TASK_RETRY_MS,
} from '../constants.ts';
import {
  attach,
  type Attempt,
  booked,
  detach,
  fits,
  type Machine,
  type Need,
  newMachine,
  room,
  useImage,
} from '../bookkeeping/machines.ts';
import { type Amounts, type MachinesRecord, type ProgressRecord } from '../bookkeeping/records.ts';
import { type GivenSlice, Slice } from '../bookkeeping/slices.ts';
import type { Replica, Store } from '../bookkeeping/store.ts';
import type { MachineType } from '../protocol/cloud.ts';
import { type Int, parseJson, stringifyJson } from '../protocol/json.ts';
import type { Handover } from '../protocol/mesh.ts';
import {
  decodeReport,
  encodeCommands,
  type EndReason,
  type Order,
  parseTaskName,
  type Report,
  taskName,
  workerPaths,
} from '../protocol/workers.ts';
import type { Settings } from '../settings.ts';
import type { Clock } from '../transport/clock.ts';
import { type HttpClient, NoAnswer } from '../transport/http-client.ts';
import type { Random } from '../transport/random.ts';
import type { Log } from '../transport/routine.ts';
import type { Limits } from './limits.ts';
import { PartRecords } from './part-records.ts';
import { TeamUsage } from './team-usage.ts';
import { allows, Chooser, Evictor, Refusals } from './placement.ts';
import { latestStart } from './waiting.ts';

export interface PartContext {
  settings: Settings;
  clock: Clock;
  /** Time of day, milliseconds. */
  wallClock: () => number;
  random: Random;
  log: Log;
  http: HttpClient;
  store: Store;
  replica: Replica;
  limits: Limits;
  typeOf: (name: string) => MachineType | null;
  /** Jobs by the place in which their waits are served. */
  servingOrder: () => Map<string, number>;
  /** Whether contact with the state service is fresh enough to act as an owner. */
  mayAct: () => boolean;
  /** Whether this process had too little processor time at some time since then. */
  lateSince: (at: number) => boolean;
  /** Takes one of the calls that this node may make now to machines that have not accepted it yet. */
  takeFence: () => boolean;
  /** How long after its last proof of contact an owner may still answer reports. */
  proofMs: number;
  /** A machine carries a higher token than this part's: someone else owns it. */
  onOutdated: (part: string) => void;
}

const attemptKey = (task: string, number: Int): string => `${task}#${String(number)}`;

/**
 * A part as its owner keeps it: the machines, the slices, and who runs what. It lives from the moment the
 * replica shows this node as the owner until it shows another.
 */
export class Part {
  readonly machines = new Map<string, Machine>();
  readonly slices = new Map<string, Slice>();
  /** The design's idle list: empty machines, the one appended last at the end. */
  private idle: Machine[] = [];
  readonly records: PartRecords;
  readonly usage: TeamUsage;
  private counter = 0;
  private toldOfNewer = false;
  /** The slices as last put in order, and by what. */
  private ordered: { by: Map<string, number> | null; slices: Slice[] } = { by: null, slices: [] };
  private placing = false;
  private placedAt = -Infinity;
  /** Work of lower priority is looked for once a tick, and not at every report. */
  private mayPreempt = false;
  /** Whether any slice still holds tasks that a machine not fenced yet may run. */
  private holding: boolean;
  /** The suspect machines, by kind: what rules and sizes allow on one of a kind they allow on all of it. */
  private readonly suspects = new Map<string, Set<Machine>>();

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
    for (const [, record] of before.machines) {
      for (const [id, each] of Object.entries(record.machines)) {
        const machine = newMachine(id, each, now);
        machine.recorded = true;
        machine.suspect = true;
        machine.nextFenceAt = now + FENCE_AFTER_MS;
        machine.type = context.typeOf(each.type);
        // The owner before may have answered reports for as long as it could believe in its ownership.
        machine.answeredAt = now + context.proofMs;
        this.machines.set(id, machine);
        const kind = `${each.type}/${String(each.spot)}`;
        const alike = this.suspects.get(kind) ?? new Set();
        this.suspects.set(kind, alike.add(machine));
      }
    }
    for (const given of before.slices) this.slices.set(given.name, new Slice(given, true));
    this.records = new PartRecords(
      name,
      {
        ...context,
        valueKb: context.settings.valueKb,
        machines: this.machines,
        slices: this.slices,
        onMachinesRecorded: () => this.schedulePlacing(),
      },
      signal,
      before,
    );
    this.usage = new TeamUsage(
      name,
      [...context.settings.teams.keys()].filter((team) => context.limits.limited(team)),
      this.machines,
      context.limits,
      (key) => context.replica.version(key),
    );
    this.holding = before.slices.length > 0;
    // Of some slices nothing can be on any machine: none is recorded, or none that they are allowed on.
    this.releaseHeld();
  }

  get active(): boolean {
    return !this.signal.aborted;
  }

  /** Whether a machine knows a newer owner: this one only answers reports until the records show it. */
  get outdated(): boolean {
    return this.toldOfNewer;
  }

  /** Whether this owner may start tasks and ask machines to accept it. */
  private mayAct(): boolean {
    return !this.toldOfNewer && this.context.mayAct();
  }

  // --- what the replica shows ---

  /** A job's slice, accepted since the takeover: no owner before can have launched any of it. */
  addSlice(given: GivenSlice): void {
    if (this.slices.has(given.name)) return;
    this.slices.set(given.name, new Slice(given, false));
    this.ordered.by = null;
    this.schedulePlacing();
  }

  /** The job is over: whatever still runs of it is stopped. */
  dropSlice(name: string): void {
    const slice = this.slices.get(name);
    if (!slice) return;
    this.slices.delete(name);
    this.ordered.by = null;
    this.records.dropSlice(name);
    slice.withdrawn = true;
    slice.waiting.length = 0;
    slice.pausing.length = 0;
    slice.held.clear();
    for (const machine of this.machines.values()) {
      let commanded = false;
      for (const attempt of [...machine.attempts.values()]) {
        if (attempt.slice !== slice) continue;
        attempt.halting = true;
        attempt.graceS = 0;
        if (attempt.phase === 'new') this.detach(machine, attempt);
        else commanded = true;
      }
      if (commanded) this.command(machine);
    }
    this.schedulePlacing();
  }

  // --- reports ---

  /** Takes a worker's report and gives the orders that answer it. */
  onReport(report: Report): Order[] {
    const now = this.context.clock.now();
    let machine = this.machines.get(report.machine);
    if (!machine) {
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
    // Answering renews the lease, so this is noted whatever the report says. Never lowered: the owner
    // before may have answered later than this owner's first answer.
    machine.answeredAt = Math.max(machine.answeredAt, now);
    if (!this.apply(machine, report, true)) return [];
    // Placed before the answer where that is allowed: what the machine gets then needs no call of its own.
    if (!this.placing) this.placeOn(machine);
    else if (now - this.placedAt >= PLACE_GAP_MS) this.place(machine);
    return this.orders(machine, 'report');
  }

  /** False if the report is older than what is known. */
  private apply(machine: Machine, report: Report, checkin: boolean): boolean {
    const now = this.context.clock.now();
    if (report.token > this.token) {
      this.toldOfNewer = true;
      this.context.onOutdated(this.name);
      return false;
    }
    if (report.session < machine.session) return false;
    if (report.session === machine.session && report.seq <= machine.seq) return false;
    if (report.session > machine.session) this.newSession(machine, report.session);
    machine.seq = report.seq;
    machine.heardAt = now;
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
      this.clear(machine);
      this.context.log.debug({ part: this.name, machine: machine.id }, 'machine fenced');
    }
    const listed = new Set<string>();
    for (const reported of report.tasks) {
      const key = attemptKey(reported.task, reported.attempt);
      listed.add(key);
      const attempt =
        machine.attempts.get(key) ??
        this.adopt(machine, key, reported.task, reported.attempt, reported.state, reported.reason);
      if (!attempt) continue;
      attempt.phase = 'seen';
      if (attempt.slice && (reported.state === 'running' || reported.reason === 'done')) {
        const { image, imageGb } = attempt.slice.spec;
        if (attempt.state === 'fetching' || !machine.images.has(image)) useImage(machine, image, imageGb);
      }
      attempt.state = reported.state;
      if (reported.reason !== null) this.end(machine, attempt, reported.reason);
    }
    for (const attempt of [...machine.attempts.values()]) {
      if (listed.has(attempt.key)) continue;
      if (attempt.phase === 'seen') this.lose(machine, attempt);
      // The answer that held the launch was dropped: reports go one at a time, so this one was sent after.
      // A direct command's answer proves nothing of the kind, as it can cross the report's answer.
      else if (attempt.phase === 'sent' && checkin) {
        if (attempt.halting) this.lose(machine, attempt);
        else attempt.phase = 'new';
      }
    }
    for (const key of [...machine.ended.keys()]) if (checkin && !listed.has(key)) machine.ended.delete(key);
    machine.load = booked(machine, (attempt) => attempt.phase === 'seen');
    machine.drift = booked(machine, (attempt) => attempt.phase !== 'seen');
    this.noteIdle(machine, now);
    return true;
  }

  /** The design's event: an empty machine's report appends it to the idle list. */
  private noteIdle(machine: Machine, now: number): void {
    const listed = this.idle.indexOf(machine);
    if (machine.attempts.size > 0) {
      machine.emptySince = Infinity;
      if (listed >= 0) this.idle.splice(listed, 1);
      return;
    }
    if (machine.emptySince === Infinity) machine.emptySince = now;
    if (listed < 0) this.idle.push(machine);
  }

  private newSession(machine: Machine, session: Int): void {
    if (machine.session !== 0 && machine.attempts.size > 0) {
      this.context.log.info(
        { machine: machine.id, tasks: machine.attempts.size },
        'machine lost its session',
      );
    }
    for (const attempt of [...machine.attempts.values()]) this.lose(machine, attempt);
    machine.ended.clear();
    machine.unforgettable.clear();
    machine.session = session;
    machine.seq = 0;
  }

  /** The attempt is certainly gone from its machine without a result. */
  private lose(machine: Machine, attempt: Attempt): void {
    this.detach(machine, attempt);
    attempt.slice?.unplace(attempt.position, attempt.key, null);
    this.schedulePlacing();
  }

  /** A reported attempt that this owner did not start, or gave up: left by an owner before, or late. */
  private adopt(
    machine: Machine,
    key: string,
    task: string,
    number: Int,
    state: Attempt['state'],
    reason: EndReason | null,
  ): Attempt | null {
    if (machine.ended.has(key)) return null;
    const found = this.find(task);
    const slice = found?.slice ?? null;
    const position = found?.position ?? 0;
    const free = slice !== null && !slice.placed.has(position) && !slice.settled.has(position);
    if (reason !== null) {
      // Its result counts wherever it was reached.
      if (slice && reason === 'done') this.settle(slice, position);
      const at = this.context.clock.now();
      machine.ended.set(key, { task, number, reason, slice: reason === 'done' ? slice : null, position, at });
      return null;
    }
    const attempt: Attempt = {
      key,
      task,
      number,
      slice: free ? slice : null,
      position,
      phase: 'seen',
      state,
      halting: !free,
      graceS: 0,
      startedAt: this.context.clock.now(),
    };
    if (free) slice.place(position, key);
    this.attach(machine, attempt);
    return attempt;
  }

  private find(task: string): { slice: Slice; position: number } | null {
    const parsed = parseTaskName(task);
    if (!parsed) return null;
    for (const slice of this.slices.values()) {
      if (slice.spec.id !== parsed.job || !slice.has(parsed.index)) continue;
      const position = slice.position(parsed.index);
      // Settled may mean moved to another slice of this same part.
      if (position !== null) return { slice, position };
    }
    return null;
  }

  private end(machine: Machine, attempt: Attempt, reason: EndReason): void {
    const { slice, position, key } = attempt;
    const now = this.context.clock.now();
    this.detach(machine, attempt);
    machine.ended.set(key, {
      task: attempt.task,
      number: attempt.number,
      reason,
      slice: reason === 'done' ? slice : null,
      position,
      at: now,
    });
    if (!slice || slice.withdrawn) return;
    if (reason === 'done') {
      machine.faults = 0;
      machine.faultJobs.clear();
      slice.failures = 0;
      this.settle(slice, position);
      return;
    }
    if (reason === 'stopped') return slice.unplace(position, key, null);
    slice.failures++;
    const pause = Math.min(TASK_RETRY_MS * 2 ** Math.min(slice.failures, 10), TASK_RETRY_MAX_MS);
    slice.unplace(position, key, now + pause);
    if (reason === 'error') this.fault(machine, slice.spec.id, now);
    this.context.log.info({ machine: machine.id, task: attempt.task, reason }, 'task failed');
  }

  /** A sick machine fails everything: it must not swallow the waiting tasks one by one. */
  private fault(machine: Machine, job: string, now: number): void {
    machine.faults++;
    machine.faultJobs.add(job);
    machine.pausedUntil = now + FAULT_PAUSE_MS * 2 ** Math.min(machine.faults - 1, 5);
    // One job that fails everywhere must not take the machines down with it.
    if (machine.faults >= FAULTS_TO_DRAIN && machine.faultJobs.size >= 2 && !machine.draining) {
      machine.draining = true;
      this.context.log.info(
        { machine: machine.id, faults: machine.faults },
        'machine drained: tasks of several jobs fail on it',
      );
    }
  }

  private settle(slice: Slice, position: number): void {
    if (slice.spec.kind === 'service') return; // a replica that exits is replaced
    slice.settle(position);
    this.records.noteSettled(slice);
  }

  /** What is on the machine is known now, or certainly nothing is: it is no reason any more to hold tasks. */
  private clear(machine: Machine): void {
    machine.suspect = false;
    for (const [kind, alike] of this.suspects) {
      if (!alike.delete(machine) || alike.size > 0) continue;
      this.suspects.delete(kind);
      this.releaseHeld();
    }
  }

  /**
   * What is still unaccounted for runs nowhere once no suspect machine is left on which an owner before could have
   * started it: none starts a task where its job does not allow it or where it does not fit.
   */
  private releaseHeld(): void {
    if (!this.holding) return;
    const kinds = [...this.suspects.values()].flatMap(([one]) => one ?? []);
    let holding = false;
    for (const slice of this.slices.values()) {
      if (slice.held.size === 0) continue;
      if (kinds.some((m) => allows(slice.spec, m) && (m.type === null || fits(slice.spec, m.type))))
        holding = true;
      else {
        slice.release();
        this.schedulePlacing();
      }
    }
    this.holding = holding;
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
    if (handover.token !== this.token || !this.holding) return;
    for (const [name, encoded] of Object.entries(handover.free)) this.slices.get(name)?.releaseFree(encoded);
    this.schedulePlacing();
  }

  // --- orders ---

  /** Orders for the machine by the way they will travel; launches are noted as sent that way. */
  private orders(machine: Machine, way: 'report' | 'direct'): Order[] {
    const orders: Order[] = [];
    const launching = machine.fenced && machine.recorded && this.mayAct();
    for (const attempt of machine.attempts.values()) {
      if (attempt.halting) {
        orders.push({ op: 'halt', task: attempt.task, attempt: attempt.number, graceS: attempt.graceS });
      } else if (launching && typeof attempt.number === 'number') {
        if (attempt.phase === 'new' || (attempt.phase === 'direct' && way === 'report')) {
          orders.push({ op: 'launch', task: attempt.task, attempt: attempt.number });
        }
        if (attempt.phase === 'new') {
          attempt.phase = way === 'direct' ? 'direct' : 'sent';
          if (way === 'direct') machine.unforgettable.add(attempt.key);
        }
      }
    }
    if (way === 'report' || orders.length > 0) orders.push(...this.forgets(machine, orders.length > 0));
    return orders;
  }

  /** Which ended tasks the machine is told to forget: those whose results are recorded, several together. */
  private forgets(machine: Machine, accompanied: boolean): Order[] {
    const longAgo = this.context.clock.now() - FORGET_MS;
    let due = accompanied || machine.draining || machine.ended.size > FORGET_MOST;
    const orders: Order[] = [];
    for (const [key, ended] of machine.ended) {
      if (machine.unforgettable.has(key)) continue;
      const { slice, position } = ended;
      if (slice && !slice.withdrawn && !slice.recorded.has(position)) continue;
      orders.push({ op: 'forget', task: ended.task, attempt: ended.number });
      // A task that ended without a result may soon be started again, on this machine too.
      if (ended.reason !== 'done' || ended.at <= longAgo) due = true;
    }
    return due ? orders : [];
  }

  /** Sends what is due straight to the machine, one call at a time. */
  private command(machine: Machine): void {
    if (machine.commanding || !this.active) return;
    void this.commandNow(machine);
  }

  private async commandNow(machine: Machine): Promise<void> {
    if (!machine.fenced || machine.returning || !this.mayAct()) return;
    const orders = this.orders(machine, 'direct');
    if (orders.length === 0) return;
    machine.commanding = true;
    const launched = orders.flatMap((o) => (o.op === 'launch' ? [attemptKey(o.task, o.attempt)] : []));
    const heard = await this.send(machine, orders);
    machine.commanding = false;
    if (heard !== 'executed' && heard !== 'rejected') return; // the launches may still arrive
    for (const key of launched) {
      machine.unforgettable.delete(key);
      const attempt = machine.attempts.get(key);
      // The answer's report showed what was executed; what it does not show was not, and cannot be later.
      if (attempt?.phase === 'direct') attempt.phase = 'new';
    }
    if ([...machine.attempts.values()].some((a) => a.phase === 'new')) this.command(machine);
  }

  /** `rejected` proves that nothing was executed; `unknown` proves nothing. */
  private async send(machine: Machine, orders: Order[]): Promise<'executed' | 'rejected' | 'unknown'> {
    // Before the first report the session is a guess: most machines never leave their first. A wrong one is
    // refused, with the report that tells the right one.
    const session = machine.session === 0 ? FIRST_SESSION : machine.session;
    const body = stringifyJson(encodeCommands(this.token, session, orders));
    try {
      const answer = await this.context.http({
        address: machine.endpoint,
        method: 'POST',
        path: workerPaths.commands,
        body,
        deadlineMs: COMMAND_DEADLINE_MS,
        signal: this.signal,
      });
      if (answer.status !== 200 && answer.status !== 409) return 'unknown';
      const report = decodeReport(parseJson(answer.text));
      if (!report || report.machine !== machine.id || this.machines.get(machine.id) !== machine)
        return 'unknown';
      if (this.active && this.apply(machine, report, false) && !this.placing) {
        this.placeOn(machine);
        this.command(machine);
      }
      return answer.status === 200 ? 'executed' : 'rejected';
    } catch (error) {
      if (!(error instanceof NoAnswer) && !(error instanceof SyntaxError)) throw error;
      return 'unknown';
    }
  }

  // --- placing ---

  /** Placing is done once for all that happens together, and not again within a short gap. */
  schedulePlacing(): void {
    if (this.placing || !this.active) return;
    this.placing = true;
    const run = (): void => {
      this.placing = false;
      if (this.active) this.place();
    };
    const gap = this.placedAt + PLACE_GAP_MS - this.context.clock.now();
    if (gap <= 0) this.context.clock.soon(run);
    else void this.context.clock.sleep(gap, this.signal).then(run);
  }

  /** Whether the machine may take tasks now. */
  private isOpen(m: Machine, now: number): boolean {
    return (
      m.recorded &&
      m.fenced &&
      !m.draining &&
      !m.returning &&
      m.pausedUntil <= now &&
      now - m.heardAt < this.context.settings.reportMs * SILENT_REPORTS
    );
  }

  private open(now: number): Machine[] {
    return [...this.machines.values()].filter((m) => this.isOpen(m, now));
  }

  /** Slices with waiting tasks, in the order in which they are served. */
  private queue(): Slice[] {
    const order = this.context.servingOrder();
    // Put in order when the order or the slices change, and not at every report.
    if (this.ordered.by !== order) {
      const places = [...this.slices.values()].map((slice) => ({
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
  private placeOn(machine: Machine): void {
    const now = this.context.clock.now();
    if (!this.mayAct() || !this.isOpen(machine, now) || (room(machine)?.cores ?? 0) <= 0) return;
    const queue = this.queue();
    if (queue.length > 0) this.serve(queue, [machine], now, 'one machine');
  }

  /** Gives waiting tasks machines. `answering`: the machine whose report is being answered with its orders. */
  place(answering: Machine | null = null): void {
    this.usage.wants.clear();
    if (!this.mayAct()) return;
    const now = this.context.clock.now();
    this.placedAt = now;
    const queue = this.queue();
    if (queue.length === 0) return;
    const open = this.open(now);
    const touched = this.serve(queue, open, now, this.mayPreempt ? 'preempting' : 'whole part');
    this.mayPreempt = false;
    for (const machine of touched) if (machine !== answering) this.command(machine);
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
    const used = this.usage.usages();
    const touched = new Set<Machine>();
    const refusals = new Refusals();
    for (const slice of queue) {
      if (round === 'one machine' && !roomy.some(hasRoom)) break;
      const { spec } = slice;
      let chooser: Chooser | null = null;
      let unplaced = 0;
      while (slice.waiting.length > 0) {
        if (!this.usage.withinLimit(slice, used)) {
          if (round !== 'one machine') this.usage.noteWant(slice);
          break;
        }
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
        this.start(machine, slice, position, now);
        touched.add(machine);
        const sum = used.get(spec.team);
        if (sum) {
          sum.cores += spec.cores;
          sum.accelerators += spec.accelerators;
        }
      }
      if (unplaced > 0 && round === 'preempting') {
        for (const machine of this.preempt(slice, unplaced, open, claimed, used)) touched.add(machine);
      }
    }
    return touched;
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
    for (let i = Math.min(unplaced, this.usage.limitLeft(slice, used)); i > 0; i--) {
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

  private attach(machine: Machine, attempt: Attempt): void {
    attach(machine, attempt);
    this.usage.count(attempt, 1);
  }

  private detach(machine: Machine, attempt: Attempt): void {
    if (machine.attempts.get(attempt.key) !== attempt) return;
    detach(machine, attempt);
    this.usage.count(attempt, -1);
  }

  private start(machine: Machine, slice: Slice, position: number, now: number): void {
    if (this.counter >= ATTEMPTS_PER_TOKEN - 1) return this.context.onOutdated(this.name);
    const number = this.token * ATTEMPTS_PER_TOKEN + ++this.counter;
    const task = taskName(slice.spec.id, slice.index(position));
    const key = attemptKey(task, number);
    this.attach(machine, {
      key,
      task,
      number,
      slice,
      position,
      phase: 'new',
      state: 'fetching',
      halting: false,
      graceS: 0,
      startedAt: now,
    });
    slice.place(position, key);
    machine.drift = booked(machine, (attempt) => attempt.phase !== 'seen');
    machine.emptySince = Infinity;
    const at = this.idle.indexOf(machine);
    if (at >= 0) this.idle.splice(at, 1);
  }

  // --- duties ---

  /** Fences, finds the end of leases, wakes pausing tasks, records machines and progress. */
  tick(): void {
    const now = this.context.clock.now();
    const mayAct = this.mayAct();
    for (const machine of this.machines.values()) {
      machine.type ??= this.context.typeOf(machine.typeName);
      if (this.leaseOver(machine, now)) this.expire(machine);
      const unfenced = mayAct && !machine.fenced && machine.recorded && now >= machine.nextFenceAt;
      if (unfenced && this.context.takeFence()) {
        const pause = Math.min(FENCE_RETRY_MS * 2 ** Math.min(machine.fenceTries, 10), FENCE_RETRY_MAX_MS);
        machine.nextFenceAt = now + pause + COMMAND_DEADLINE_MS;
        void this.fence(machine);
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
    this.mayPreempt = true;
    if ([...this.slices.values()].some((slice) => slice.waiting.length > 0)) this.schedulePlacing();
  }

  /** Whether every lease the machine could hold is certainly over. */
  private leaseOver(machine: Machine, now: number): boolean {
    const lease = this.context.settings.leaseMs * (1 + CLOCK_DRIFT) + LEASE_MARGIN_MS;
    return now - Math.max(machine.answeredAt, machine.heardAt) > lease;
  }

  private expire(machine: Machine): void {
    if (machine.attempts.size > 0) {
      this.context.log.info(
        { machine: machine.id, tasks: machine.attempts.size },
        'lease over: tasks are free',
      );
    }
    // The worker has killed its tasks and gone to its next session, in which no earlier command counts.
    for (const attempt of [...machine.attempts.values()]) this.lose(machine, attempt);
    machine.ended.clear();
    machine.unforgettable.clear();
    this.clear(machine);
  }

  private async fence(machine: Machine): Promise<void> {
    const began = this.context.clock.now();
    let answer = await this.send(machine, []);
    if (answer === 'rejected' && !machine.fenced && this.active) answer = await this.send(machine, []);
    // A controller without processor time would return healthy machines one after the other.
    if (answer === 'unknown' && !this.context.lateSince(began)) machine.fenceTries++;
  }

  /** Asks a silent machine directly. */
  async probe(machine: Machine): Promise<'answers' | 'deaf' | 'unknown'> {
    const began = this.context.clock.now();
    machine.probing = true;
    const answer = await this.send(machine, []);
    machine.probing = false;
    if (answer !== 'unknown') return 'answers';
    return this.context.lateSince(began) ? 'unknown' : 'deaf';
  }

  /** The cloud confirmed that the machine and all on it are gone. */
  removed(machine: Machine): void {
    this.machines.delete(machine.id);
    const at = this.idle.indexOf(machine);
    if (at >= 0) this.idle.splice(at, 1);
    for (const attempt of [...machine.attempts.values()]) this.lose(machine, attempt);
    this.clear(machine);
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

  get idleCount(): number {
    const usable = new Set(this.open(this.context.clock.now()));
    return this.idle.filter((m) => usable.has(m)).length;
  }

  /** Tasks on machines, by job. */
  running(): Record<string, number> {
    const running: Record<string, number> = {};
    for (const machine of this.machines.values()) {
      for (const attempt of machine.attempts.values()) {
        const job = attempt.slice?.spec.id;
        if (job !== undefined && attempt.phase === 'seen') running[job] = (running[job] ?? 0) + 1;
      }
    }
    return running;
  }

  summary(): { average: number; machines: number; cores: number } {
    const open = this.open(this.context.clock.now());
    const cores = open.reduce((sum, machine) => sum + (machine.type?.cores ?? 0), 0);
    const load = open.reduce((sum, machine) => sum + machine.load + machine.drift, 0);
    let waiting = 0;
    for (const slice of this.slices.values()) {
      waiting += (slice.waiting.length + slice.held.size) * slice.spec.cores;
    }
    // Waits count as load, in machines' worth. A part without machines is the last to be given anything.
    const average = cores > 0 ? load / open.length + waiting / cores : NO_MACHINES;
    return { average, machines: open.length, cores };
  }
}
