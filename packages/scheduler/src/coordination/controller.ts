import { setMaxListeners } from 'node:events';
import {
  CATALOG_MS,
  CLOUD_DEADLINE_MS,
  CLOCK_DRIFT,
  COMMAND_DEADLINE_MS,
  FENCES_PER_CPU_S,
  FEW_UNFENCED,
  IN_TIME_MS,
  FORWARD_DEADLINE_MS,
  LEASE_MARGIN_MS,
  LIST_MS,
  ORDER_MS,
  MESH_BEAT_MS,
  AVERAGE_STEP,
  OWNERSHIP_TICK_MS,
  QUOTA_SHIFT_MS,
  REACH_MS,
  REACH_TRIES,
  RENT_TICK_MS,
  REPORT_HOLD_MS,
  RETRY_MS,
  STATE_DEADLINE_MS,
} from '../constants.ts';
import { type LiveRecord, type MachinesRecord, type ProgressRecord } from '../bookkeeping/records.ts';
import { OpenJobs } from '../bookkeeping/open-jobs.ts';
import { Replica, Store } from '../bookkeeping/store.ts';
import { cloudClient, type MachineType } from '../protocol/cloud.ts';
import type { ApiHandlers, ReportAnswer } from '../protocol/http-api.ts';
import { type Int, parseJson, stringifyJson } from '../protocol/json.ts';
import { decodeMesh, type Handover, type MeshMessage, type PartMessage } from '../protocol/mesh.ts';
import { stateApi } from '../protocol/state.ts';
import type { JobSpec, UserAnswer } from '../protocol/users.ts';
import { type Report, workerPaths } from '../protocol/workers.ts';
import type { Settings } from '../settings.ts';
import type { Clock } from '../transport/clock.ts';
import { Lateness } from '../transport/lateness.ts';
import type { HttpClient } from '../transport/http-client.ts';
import type { Random } from '../transport/random.ts';
import { type Log, routine } from '../transport/routine.ts';
import { Averages } from './averages.ts';
import { CloudCalls } from './cloud-calls.ts';
import { Jobs, type UserOp } from './jobs.ts';
import { JobEnds } from './job-ends.ts';
import { Limits } from './limits.ts';
import { LimitShifts } from './limit-shifts.ts';
import { Membership } from './membership.ts';
import { Part } from './part.ts';
import { partMap, type PartMap } from './parts.ts';
import { Renting } from './renting.ts';
import { type Planned, servingOrder } from './waiting.ts';

export interface ControllerDeps {
  settings: Settings;
  /** New at every start of the process. */
  incarnation: string;
  clock: Clock;
  wallClock: () => number;
  random: Random;
  log: Log;
  http: HttpClient;
  sendToSibling: (peer: string, message: MeshMessage) => boolean;
  connectedSiblings: () => string[];
  signal: AbortSignal;
}

interface Owned {
  part: Part;
  renting: Renting;
  abort: AbortController;
  told: { idle: boolean; average: number; at: number };
}

/** The pages of one kind that a part's owner keeps, by key. */
type KnownPages<T> = Map<string, { record: T; version: Int }>;

/** One controller node: wires the replica, the membership, the owned parts and the users' requests together. */
export class Controller implements ApiHandlers {
  private readonly parts: PartMap;
  private readonly store: Store;
  private readonly replica: Replica;
  private readonly membership: Membership;
  private readonly limits: Limits;
  private readonly averages: Averages;
  private readonly jobs: Jobs;
  private readonly cloud: CloudCalls;
  private readonly jobEnds: JobEnds;
  private readonly limitShifts: LimitShifts;
  private readonly owned = new Map<string, Owned>();
  private readonly openJobs = new OpenJobs();
  private readonly machines = new Map<string, KnownPages<MachinesRecord>>();
  private readonly progressPages = new Map<string, KnownPages<ProgressRecord>>();
  private readonly asked = new Map<number, (answer: UserAnswer | null) => void>();
  /** What the last owner before told of each part. */
  private readonly handovers = new Map<string, Handover>();
  private readonly proofMs: number;
  private readonly lateness: Lateness;
  /** Aborted, and replaced, whenever who owns what or who is up changes. */
  private owners = endless();
  /** Calls to machines not fenced yet that may still be made in this tick, by all parts together. */
  private fences = 0;
  private asks = 0;
  private types: MachineType[] | null = null;
  private order: { at: number; jobs: Map<string, number> } = { at: -Infinity, jobs: new Map() };
  private loaded = false;

  constructor(private readonly deps: ControllerDeps) {
    const { settings, clock, log, http, signal, random } = deps;
    const nodes = settings.siblings.length + 1;
    this.parts = partMap(settings.zones, nodes);
    this.averages = new Averages(clock);
    this.lateness = new Lateness(clock);
    const api = stateApi(http, settings.state, STATE_DEADLINE_MS, signal);
    this.store = new Store(api, clock, { rps: settings.stateRps, writeRps: settings.stateWriteRps, nodes });
    this.replica = new Replica(
      this.store,
      clock,
      log,
      // While all is read anew, ownership is judged only when the records are complete: a part taken over on
      // half of them would not know every machine and slice of the owner before.
      () => (this.loaded = false),
      (change, version) => this.onChange(change, version),
      () => this.onCaughtUp(),
    );
    this.membership = new Membership({
      self: { name: settings.node, zone: settings.zone, incarnation: deps.incarnation },
      siblings: settings.siblings,
      clock,
      log,
      store: this.store,
      replica: this.replica,
      parts: this.parts,
      busy: () => [...this.owned.values()].some(({ part }) => part.unfenced > FEW_UNFENCED),
    });
    this.limits = new Limits(settings.teams, this.parts.names);
    this.cloud = new CloudCalls(
      cloudClient(http, settings.cloud, CLOUD_DEADLINE_MS, signal),
      clock,
      log,
      signal,
      `${settings.node}-${deps.incarnation}`,
      { rps: settings.cloudRps, nodes },
    );
    this.jobs = new Jobs({
      settings,
      clock,
      wallClock: deps.wallClock,
      random,
      store: this.store,
      replica: this.replica,
      averages: this.averages,
      parts: this.parts,
      catalog: () => this.types,
      openSpec: (job) => this.openJobs.jobs.get(job)?.record.spec ?? null,
      progress: (job) => this.progress(job),
      passOn: (op, body) => this.passOn(op, body),
    });
    const { store, replica, limits, averages, openJobs } = this;
    const { wallClock } = deps;
    this.jobEnds = new JobEnds({
      clock,
      wallClock,
      log,
      store,
      openJobs,
      owns: (part) => this.owned.has(part),
    });
    const parts = (): Part[] => [...this.owned.values()].map((owned) => owned.part);
    const partNames = this.parts.names;
    this.limitShifts = new LimitShifts({
      log,
      wallClock,
      store,
      replica,
      limits,
      averages,
      partNames,
      parts,
    });
    // From its last proof, an owner may answer reports for so long that the lease it renews last, and
    // with it every task of a job cancelled since, is over within the time a cancellation has.
    this.proofMs = Math.max(
      0,
      settings.cancelMs / (1 + CLOCK_DRIFT) - settings.leaseMs * (1 + CLOCK_DRIFT) - 2 * LEASE_MARGIN_MS,
    );
  }

  /** Runs until the signal is aborted. */
  async run(): Promise<void> {
    const { clock, log, signal } = this.deps;
    const duty = { clock, log, signal };
    await Promise.all([
      this.lateness.run(signal),
      this.replica.run(signal),
      this.membership.run(signal),
      routine('parts', OWNERSHIP_TICK_MS, duty, () => this.tickParts()),
      routine('renting', RENT_TICK_MS, duty, () => this.owned.forEach((o) => o.renting.tick())),
      routine('machine list', LIST_MS, duty, () => this.readMachines()),
      routine('reach', REACH_MS, duty, () => this.tryReach()),
      this.keepCatalog(),
      routine('limits', QUOTA_SHIFT_MS, duty, () => this.limitShifts.shiftAll()),
    ]);
  }

  // --- the replica ---

  private onChange(change: LiveRecord, version: Int): void {
    switch (change.kind) {
      case 'node':
        this.membership.onNode(change.name, change.record);
        return this.wakeReports();
      case 'part':
        this.membership.onPart(change.part, change.record);
        // While loading, the part's machines and slices are still to come.
        if (this.loaded) this.checkOwned(change.part);
        return;
      case 'machines':
        return keep(this.machines, change.part, change.key, change.record, version);
      case 'progress':
        keep(this.progressPages, change.part, change.key, change.record, version);
        this.openJobs.setProgress(change.key, change.record, this.deps.clock.now());
        if (this.loaded) void this.jobEnds.endAll();
        return;
      case 'job': {
        const { id, record } = change;
        if (record) {
          const job = this.openJobs.set(id, record, version, this.deps.clock.now());
          for (const [name, { part }] of this.owned) {
            for (const given of this.openJobs.given(job, name)) part.addSlice(given);
          }
          return;
        }
        const job = this.openJobs.remove(id);
        if (!job) return;
        for (const [name, { part }] of this.owned) {
          for (const given of this.openJobs.given(job, name)) part.dropSlice(given.name);
        }
        return;
      }
      case 'quota':
        this.limits.set(change.team, change.record);
        this.owned.forEach((o) => o.part.schedulePlacing());
    }
  }

  private onCaughtUp(): void {
    if (this.loaded) return;
    this.loaded = true;
    this.membership.onCaughtUp();
    for (const part of this.parts.names) this.checkOwned(part);
    this.deps.log.info({ jobs: this.openJobs.jobs.size }, 'records read');
  }

  /** Starts or ends this node's ownership of the part, as the replica shows it at this very revision. */
  private checkOwned(name: string): void {
    const record = this.membership.owner(name);
    const mine = record !== null && this.membership.isSelf(record);
    const current = this.owned.get(name);
    if (current && (!mine || current.part.token !== record.token)) {
      current.abort.abort();
      this.owned.delete(name);
      // Told only now that nothing more is started here; a later owner than the next could not rely on it.
      if (record && !mine && record.token === current.part.token + 1) {
        const free = current.part.freeTasks();
        this.deps.sendToSibling(record.owner, { kind: 'handover', part: name, token: record.token, free });
      }
      this.cloud.setShare(this.owned.size / this.parts.names.length);
      this.deps.log.info({ part: name, to: record?.owner ?? null }, 'part given up');
    }
    this.wakeReports();
    if (!mine || this.owned.has(name)) return;
    const { settings, clock, random, log, http } = this.deps;
    const abort = endless();
    const ends = AbortSignal.any([this.deps.signal, abort.signal]);
    setMaxListeners(0, ends); // every open call of the part listens
    const slices = [...this.openJobs.jobs.values()].flatMap((job) => this.openJobs.given(job, name));
    const pages = <T>(of: Map<string, KnownPages<T>>): [string, T, Int][] =>
      [...(of.get(name) ?? [])].map(([key, { record, version }]) => [key, record, version]);
    const part = new Part(
      name,
      record.token,
      {
        settings,
        clock,
        wallClock: this.deps.wallClock,
        random,
        log,
        http,
        store: this.store,
        replica: this.replica,
        limits: this.limits,
        typeOf: (type) => this.types?.find((t) => t.name === type) ?? null,
        servingOrder: () => this.servingOrder(),
        mayAct: () => this.mayAct(),
        lateSince: (at) => this.lateness.since(at),
        takeFence: () => this.fences-- > 0,
        proofMs: this.proofMs,
        onOutdated: (outdated) => log.info({ part: outdated }, 'a machine knows a newer owner'),
      },
      ends,
      {
        machines: pages(this.machines),
        progress: pages(this.progressPages),
        slices,
      },
    );
    const renting = new Renting(part, this.parts.zoneOf(name), {
      settings,
      clock,
      log,
      cloud: this.cloud,
      catalog: () => this.types,
      onUnreachable: () => this.membership.setReach(name, false),
      reachedByNone: () => this.membership.reachedByNone(name),
      belongs: (id) => this.parts.partOf({ id, zone: this.parts.zoneOf(name) }) === name,
    });
    this.owned.set(name, { part, renting, abort, told: { idle: false, average: -1, at: -Infinity } });
    log.info(
      { part: name, token: record.token, machines: part.machines.size, slices: slices.length },
      'part owned',
    );
    const handover = this.handovers.get(name);
    if (handover) part.takeOver(handover);
    part.tick();
    this.cloud.setShare(this.owned.size / this.parts.names.length);
  }

  private wakeReports(): void {
    // After this turn: a part that begins now is there by then.
    const { owners } = this;
    this.owners = endless();
    this.deps.clock.soon(() => owners.abort());
  }

  private mayAct(): boolean {
    return this.deps.clock.now() - this.replica.provenAt < this.proofMs;
  }

  // --- users ---

  submit(spec: JobSpec): Promise<UserAnswer> {
    return this.jobs.submit(spec);
  }
  status(id: string): Promise<UserAnswer> {
    return this.jobs.status(id);
  }
  withdraw(id: string): Promise<UserAnswer> {
    return this.jobs.withdraw(id);
  }

  ready(): boolean {
    return this.loaded && this.types !== null;
  }

  private progress(job: string): { left: number; running: number } {
    const left = this.openJobs.jobs.get(job)?.left ?? 0;
    let running = 0;
    for (const message of this.averages.all()) running += message.running[job] ?? 0;
    return { left, running };
  }

  /** Jobs by the place in which their waits are served, reckoned from what every owner follows. */
  private servingOrder(): Map<string, number> {
    const now = this.deps.clock.now();
    if (now - this.order.at < ORDER_MS) return this.order.jobs;
    const jobs = [...this.openJobs.jobs.values()].map((job): Planned => {
      const { spec, at } = job.record;
      return { spec, at, left: job.left / spec.tasks, tasks: job.left, guaranteed: false };
    });
    // A job is guaranteed if it fits into its team's guarantee with the team's earlier unfinished jobs.
    const sums = new Map<string, { cores: number; accelerators: number }>();
    for (const job of [...jobs].sort((a, b) => a.at - b.at)) {
      const { team, cores, accelerators } = job.spec;
      const sum = sums.get(team) ?? { cores: 0, accelerators: 0 };
      sums.set(team, sum);
      sum.cores += job.tasks * cores;
      sum.accelerators += job.tasks * accelerators;
      const guarantee = this.limits.guarantee(team);
      job.guaranteed =
        sum.cores <= guarantee.cores && (accelerators === 0 || sum.accelerators <= guarantee.accelerators);
    }
    // What is coming up counts: the waits reckoned with are served by it too.
    const cores = this.averages.all().reduce((sum, part) => sum + part.cores + part.coming, 0);
    const order = servingOrder(jobs, cores, this.deps.wallClock(), this.deps.settings);
    this.order = { at: now, jobs: order };
    return order;
  }

  // --- workers ---

  async report(report: Report): Promise<ReportAnswer> {
    const name = this.parts.partOf({ id: report.machine, zone: report.zone });
    if (name === null) return { kind: 'unready' };
    const began = this.deps.clock.now();
    for (;;) {
      const owned = this.owned.get(name);
      // A worker that has seen a higher token would drop the answer and let its lease run out here.
      if (owned && report.token <= owned.part.token && this.mayAct()) {
        return { kind: 'orders', token: owned.part.token, orders: owned.part.onReport(report) };
      }
      const record = this.membership.owner(name);
      if (record && record.owner !== this.deps.settings.node && this.membership.up().includes(record.owner)) {
        return { kind: 'elsewhere', node: record.owner };
      }
      // The part is between two owners, or its records are being read: most often over in a moment.
      const left = began + REPORT_HOLD_MS - this.deps.clock.now();
      if (left <= 0) return { kind: 'elsewhere', node: null };
      // Woken by a change of owners: after a crash hundreds of reports are held.
      await this.deps.clock.sleep(left, this.owners.signal);
    }
  }

  // --- siblings ---

  onConnect(): void {
    for (const owned of this.owned.values()) owned.told.at = -Infinity;
  }

  onMessage(from: string, raw: unknown): void {
    const message = decodeMesh(raw);
    switch (message?.kind) {
      case 'part':
        return this.averages.set(message, false);
      case 'handover':
        // It may be here before the record that makes this node the owner.
        this.handovers.set(message.part, message);
        return this.owned.get(message.part)?.part.takeOver(message);
      case 'ask':
        return void this.answerSibling(from, message);
      case 'answer': {
        const status = message.status as UserAnswer['status'];
        const answer = message.status === 0 ? null : { status, body: parseJson(message.body) as object };
        this.asked.get(message.id)?.(answer);
        return;
      }
      case undefined:
        this.deps.log.debug({ from }, 'unknown message');
    }
  }

  private async answerSibling(from: string, ask: Extract<MeshMessage, { kind: 'ask' }>): Promise<void> {
    const answer = await this.jobs
      .here(ask.op, parseJson(ask.body) as JobSpec | string)
      .catch(
        (error: unknown) => (this.deps.log.error({ err: String(error) }, 'passed-on request failed'), null),
      );
    const body = answer ? stringifyJson(answer.body) : '';
    this.deps.sendToSibling(from, { kind: 'answer', id: ask.id, status: answer?.status ?? 0, body });
  }

  private passOn(op: UserOp, body: JobSpec | string): Promise<UserAnswer | null> {
    const peers = this.deps.connectedSiblings();
    if (peers.length === 0) return Promise.resolve(null);
    const id = ++this.asks;
    return new Promise((resolve) => {
      let open = peers.length;
      const settle = (answer: UserAnswer | null): void => {
        if (answer === null && --open > 0) return;
        this.asked.delete(id);
        resolve(answer);
      };
      this.asked.set(id, settle);
      for (const peer of peers) {
        if (!this.deps.sendToSibling(peer, { kind: 'ask', id, op, body: stringifyJson(body) })) settle(null);
      }
      void this.deps.clock.sleep(FORWARD_DEADLINE_MS, this.deps.signal).then(() => {
        open = 0;
        settle(null);
      });
    });
  }

  private tell(name: string, owned: Owned): void {
    const now = this.deps.clock.now();
    const { part, told } = owned;
    const summary = part.summary();
    const idle = part.idleCount;
    const due = now - told.at >= MESH_BEAT_MS;
    // The design's events: the last idle machine comes or goes, or the average moves a set step.
    if (!due && idle > 0 === told.idle && Math.abs(summary.average - told.average) < AVERAGE_STEP) return;
    owned.told = { idle: idle > 0, average: summary.average, at: now };
    const message: PartMessage = {
      kind: 'part',
      part: name,
      token: part.token,
      idle,
      wants: Object.fromEntries(part.usage.wants),
      running: part.running(),
      coming: owned.renting.coming(now),
      ...summary,
    };
    this.averages.set(message, true);
    for (const sibling of this.deps.settings.siblings) this.deps.sendToSibling(sibling.name, message);
  }

  // --- duties ---

  private tickParts(): void {
    if (this.loaded) void this.jobEnds.endAll();
    // A node that is late first serves what reaches it: most machines report by themselves.
    const inTime = !this.lateness.since(this.deps.clock.now() - IN_TIME_MS);
    const perTick = (FENCES_PER_CPU_S * this.deps.settings.cores * OWNERSHIP_TICK_MS) / 1000;
    this.fences = inTime ? Math.ceil(perTick) : 0;
    for (const [name, owned] of this.owned) {
      owned.part.tick();
      this.tell(name, owned);
    }
  }

  private async keepCatalog(): Promise<void> {
    const { clock, log, signal } = this.deps;
    while (!signal.aborted) {
      try {
        this.types = await this.cloud.catalog();
      } catch (error) {
        log.debug({ err: String(error) }, 'no catalogue');
      }
      await clock.sleep(this.types === null ? RETRY_MS : CATALOG_MS, signal);
    }
  }

  /** A part that this node could not reach is tried again, so that it can be given to it. */
  private async tryReach(): Promise<void> {
    for (const part of this.membership.unreached) {
      const pages = [...(this.machines.get(part)?.values() ?? [])];
      const machines = pages.flatMap((page) => Object.values(page.record.machines));
      const tried: Promise<boolean>[] = [];
      while (tried.length < REACH_TRIES && machines.length > 0) {
        const [machine] = machines.splice(this.deps.random.below(machines.length), 1);
        if (machine) tried.push(this.answers(machine.endpoint));
      }
      const answered = await Promise.all(tried);
      if (tried.length === 0 || answered.includes(true)) this.membership.setReach(part, true);
    }
  }

  private async answers(endpoint: string): Promise<boolean> {
    const { http, signal } = this.deps;
    const call = { address: endpoint, method: 'GET' as const, path: workerPaths.inspect, signal };
    return http({ ...call, deadlineMs: COMMAND_DEADLINE_MS }).then(
      (answer) => answer.status === 200,
      () => false,
    );
  }

  private async readMachines(): Promise<void> {
    if (this.owned.size === 0) return;
    const readAt = this.deps.clock.now();
    const machines = await this.cloud.list().catch((error: unknown) => {
      this.deps.log.debug({ err: String(error) }, 'machine list not read');
      return null;
    });
    if (!machines) return;
    for (const [name, owned] of this.owned) {
      owned.renting.onList(
        machines.filter((m) => this.parts.partOf(m) === name),
        readAt,
      );
    }
  }

  /** For tests and logs. */
  get ownedParts(): string[] {
    return [...this.owned.keys()];
  }
}

/** A controller whose signal any number of calls may listen to. */
function endless(): AbortController {
  const abort = new AbortController();
  setMaxListeners(0, abort.signal);
  return abort;
}

function keep<T>(
  pages: Map<string, KnownPages<T>>,
  part: string,
  key: string,
  record: T | null,
  version: Int,
): void {
  const known: KnownPages<T> = pages.get(part) ?? new Map();
  pages.set(part, known);
  if (record) known.set(key, { record, version });
  else known.delete(key);
}
