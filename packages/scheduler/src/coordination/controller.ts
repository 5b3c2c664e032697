import {
  ALONE_MS,
  CLOUD_DEADLINE_MS,
  LIST_MS,
  MESH_BEAT_MS,
  MOVE_MS,
  OWNERSHIP_TICK_MS,
  QUOTA_SHIFT_MS,
  REACH_MS,
  RENT_TICK_MS,
  STATE_DEADLINE_MS,
} from '../constants.ts';
import { KnownPages } from '../bookkeeping/known-pages.ts';
import { OpenJobs } from '../bookkeeping/open-jobs.ts';
import type { MachinesRecord, ProgressRecord } from '../bookkeeping/records.ts';
import { Replica, Store } from '../bookkeeping/store.ts';
import { cloudClient, type MachineType } from '../protocol/cloud.ts';
import type { ApiHandlers, ReportAnswer } from '../protocol/http-api.ts';
import { decodeMesh, encodeMesh, type MeshMessage, type WireMessage } from '../protocol/mesh.ts';
import { stateApi } from '../protocol/state.ts';
import { answers, type JobSpec, type UserAnswer } from '../protocol/users.ts';
import type { Report } from '../protocol/workers.ts';
import type { Settings } from '../settings.ts';
import type { Clock } from '../transport/clock.ts';
import { Lateness } from '../transport/lateness.ts';
import type { HttpClient } from '../transport/http-client.ts';
import type { Random } from '../transport/random.ts';
import { type Log, routine } from '../transport/routine.ts';
import { Averages } from './placing/averages.ts';
import { Catalog } from './machines/catalog.ts';
import { CloudCalls } from './machines/cloud-calls.ts';
import { WorkerReports } from './machines/worker-reports.ts';
import { FailingJobs } from './jobs/failing-jobs.ts';
import { Jobs } from './jobs/jobs.ts';
import { JobEnds } from './jobs/job-ends.ts';
import { JobOrder } from './placing/job-order.ts';
import { Limits } from './limits/limits.ts';
import { LimitShifts } from './limits/limit-shifts.ts';
import { Membership } from './ownership/membership.ts';
import { Moves } from './placing/moves.ts';
import { OwnedParts } from './ownership/owned-parts.ts';
import { partMap, type PartMap } from './ownership/parts.ts';
import { proofMs } from '../proof.ts';
import { Reach } from './ownership/reach.ts';
import { RecordChanges } from './record-changes.ts';
import { SiblingCalls } from './ownership/sibling-calls.ts';
import { Vouching, type Word } from './ownership/vouching.ts';

export interface ControllerDeps {
  settings: Settings;
  /** New at every start of the process. */
  incarnation: string;
  clock: Clock;
  wallClock: () => number;
  random: Random;
  log: Log;
  http: HttpClient;
  sendToSibling: (peer: string, message: WireMessage) => boolean;
  connectedSiblings: () => string[];
  signal: AbortSignal;
}

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
  private readonly catalog: Catalog;
  private readonly jobEnds: JobEnds;
  private readonly limitShifts: LimitShifts;
  private readonly owned: OwnedParts;
  private readonly reach: Reach;
  private readonly siblings: SiblingCalls;
  private readonly moves: Moves;
  private readonly vouching: Vouching;
  private readonly reports: WorkerReports;
  private readonly changes: RecordChanges;
  private readonly failing = new FailingJobs({
    longestRunMs: (job) => Math.max(0, ...this.owned.all().map((part) => part.longestRunMs(job))),
    onChanged: (job) => this.owned.all().forEach((part) => part.onFailingChanged(job)),
  });
  private readonly openJobs = new OpenJobs();
  private readonly machinePages = new KnownPages<MachinesRecord>();
  private readonly progressPages = new KnownPages<ProgressRecord>();
  private readonly proofMs: number;
  private readonly lateness: Lateness;
  private siblingHeardAt = -Infinity;

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
      () => this.changes.onLoading(),
      (change, version) => this.changes.onChange(change, version),
      () => this.changes.onCaughtUp(),
    );
    this.membership = new Membership({
      self: { name: settings.node, zone: settings.zone, incarnation: deps.incarnation },
      siblings: settings.siblings,
      clock,
      log,
      store: this.store,
      replica: this.replica,
      parts: this.parts,
      busy: () => this.owned.busy,
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
    this.catalog = new Catalog({ cloud: this.cloud, clock, log, signal });
    this.jobs = new Jobs({
      settings,
      clock,
      wallClock: deps.wallClock,
      random,
      store: this.store,
      replica: this.replica,
      averages: this.averages,
      parts: this.parts,
      catalog: () => this.catalog.types,
      openSpec: (job) => this.openJobs.jobs.get(job)?.record.spec ?? null,
      progress: (job) => this.progress(job),
      vouched: (job) => this.vouching.isOpen(job),
      passOn: (op, body) => this.siblings.passOn(op, body),
      onCancelled: (job) => {
        this.changes.onWithdrawn(job);
        for (const { name } of settings.siblings) this.send(name, { kind: 'cancelled', jobs: [job] });
      },
    });
    const { store, replica, limits, averages, openJobs } = this;
    const { wallClock } = deps;
    this.jobEnds = new JobEnds({
      clock,
      wallClock,
      log,
      store,
      openJobs,
      owns: (part) => this.owned.get(part) !== undefined,
      onDone: (job) => this.jobs.remember(job, 'done'),
    });
    const partNames = this.parts.names;
    this.limitShifts = new LimitShifts({
      log,
      wallClock,
      store,
      replica,
      limits,
      averages,
      partNames,
      parts: () => this.owned.all(),
    });
    this.proofMs = proofMs(settings);
    const { membership, machinePages, progressPages, failing } = this;
    const order = new JobOrder({ settings, clock, wallClock, openJobs, limits, averages, failing });
    const catalog = (): MachineType[] | null => this.catalog.types;
    this.owned = new OwnedParts({
      settings,
      clock,
      wallClock,
      random,
      log,
      http,
      signal,
      store,
      replica,
      membership,
      parts: this.parts,
      limits,
      averages,
      failing,
      cloud: this.cloud,
      openJobs,
      lateness: this.lateness,
      catalog,
      servingOrder: () => order.places(),
      onAllSettled: (job) => this.jobEnds.onAllSettled(job),
      mayAct: () => this.mayAct(),
      proofMs: this.proofMs,
      machinePages,
      progressPages,
      sendToSibling: (peer, message) => this.send(peer, message),
      onOwnersChanged: () => this.reports.wake(),
    });
    const onReached = (part: string): void => this.owned.get(part)?.renting.onReached();
    this.reach = new Reach({ http, signal, random, membership, machinePages, onReached });
    const { owned, reach, jobs, jobEnds, parts } = this;
    this.reports = new WorkerReports({
      node: settings.node,
      clock,
      parts,
      membership,
      owned,
      mayAct: () => this.mayAct(),
    });
    this.changes = new RecordChanges({
      clock,
      log,
      partNames,
      membership,
      owned,
      reach,
      reports: this.reports,
      machinePages,
      progressPages,
      openJobs,
      jobs,
      jobEnds,
      failing,
      limits,
    });
    this.moves = new Moves({
      clock,
      random,
      log,
      store,
      replica,
      averages,
      parts: this.parts,
      catalog,
      isFailing: (job) => failing.isFailing(job),
      known: (job) => {
        const open = openJobs.jobs.get(job);
        return open ? { record: open.record, left: openJobs.leftBySlice(open) } : null;
      },
      owned: () => this.owned.all(),
    });
    this.vouching = new Vouching({
      clock,
      signal,
      incarnation: deps.incarnation,
      siblings: settings.siblings.map((sibling) => sibling.name),
      connectedSiblings: deps.connectedSiblings,
      sendToSibling: (peer, message) => this.send(peer, message),
      word: (job) => this.word(job),
    });
    this.siblings = new SiblingCalls({
      clock,
      log,
      signal,
      incarnation: deps.incarnation,
      sendToSibling: (peer, message) => this.send(peer, message),
      connectedSiblings: deps.connectedSiblings,
      here: (op, body) => this.jobs.here(op, body),
    });
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
      routine('renting', RENT_TICK_MS, duty, () => this.owned.tickRenting()),
      routine('machine list', LIST_MS, duty, () => this.owned.readMachines()),
      routine('reach', REACH_MS, duty, () => this.reach.tryReach()),
      this.catalog.run(),
      routine('limits', QUOTA_SHIFT_MS, duty, () => this.limitShifts.shiftAll()),
      routine('moves', MOVE_MS, duty, () => this.moves.moveOne()),
      routine('beat', MESH_BEAT_MS, duty, () => this.beat()),
    ]);
  }

  /** Sends a message to a peer that is connected; false if it is not. */
  private send(peer: string, message: MeshMessage): boolean {
    return this.deps.sendToSibling(peer, encodeMesh(message));
  }

  private mayAct(): boolean {
    return this.deps.clock.now() - this.replica.provenAt < this.proofMs;
  }

  // --- users ---

  submit(spec: JobSpec): Promise<UserAnswer> {
    if (this.membership.foreign) return Promise.resolve(answers.undecided);
    return this.jobs.submit(spec);
  }
  status(id: string): Promise<UserAnswer> {
    return this.jobs.status(id);
  }
  withdraw(id: string): Promise<UserAnswer> {
    return this.jobs.withdraw(id);
  }

  ready(): boolean {
    return this.changes.loaded && this.catalog.types !== null && !this.membership.foreign && !this.alone;
  }

  /**
   * Whether this node has lost the state service and hears of no sibling either: its users are better served by others.
   * In an outage for all the siblings are heard, and nobody is sent away.
   */
  private get alone(): boolean {
    const { clock, settings } = this.deps;
    const silent = (since: number): boolean => clock.now() - since > ALONE_MS;
    return settings.siblings.length > 0 && silent(this.replica.provenAt) && silent(this.siblingHeardAt);
  }

  /** What this node says of a job to one that wants to tell that it is open. */
  private word(job: string): Word | null {
    if (!this.changes.loaded) return null; // while the records are read anew, they are not all there
    if (this.jobs.isOver(job) || this.openJobs.isClosed(job)) return { kind: 'over' };
    const open = this.openJobs.jobs.get(job);
    return open ? { kind: 'open', version: open.version } : { kind: 'none', asOf: this.replica.asOf };
  }

  private progress(job: string): { left: number; running: number } {
    const left = this.openJobs.jobs.get(job)?.left ?? 0;
    let running = 0;
    for (const message of this.averages.all()) running += message.running[job] ?? 0;
    return { left, running };
  }

  // --- workers ---

  report(report: Report): Promise<ReportAnswer> {
    return this.reports.report(report);
  }

  // --- siblings ---

  onConnect(): void {
    this.owned.onConnect();
  }

  onMessage(from: string, raw: unknown): void {
    const message = decodeMesh(raw);
    this.siblingHeardAt = this.deps.clock.now();
    switch (message?.kind) {
      case 'beat':
        return;
      case 'part':
        if (!this.averages.set(message, false)) return;
        this.failing.hear(message.part, message.failing);
        return this.owned.onNewer(from, message);
      case 'handover':
        return this.owned.onHandover(message);
      case 'cancelled':
        return message.jobs.forEach((job) => this.changes.onWithdrawn(job));
      case 'vouch':
        return this.vouching.onAsk(from, message);
      case 'vouched':
        return this.vouching.onAnswer(from, message);
      case 'ask':
        return void this.siblings.answer(from, message);
      case 'answer':
        return this.siblings.onAnswer(message);
      case undefined:
        this.deps.log.debug({ from }, 'unknown message');
    }
  }

  // --- duties ---

  private tickParts(): void {
    if (this.changes.loaded) this.jobEnds.endAll();
    this.failing.tick();
    this.owned.tick();
  }

  /** Owners tell of their parts; a node without any tells that it is there. */
  private beat(): void {
    if (this.owned.names.length > 0) return;
    for (const { name } of this.deps.settings.siblings) this.send(name, { kind: 'beat' });
  }

  /** For tests and logs. */
  get ownedParts(): string[] {
    return this.owned.names;
  }
}
