import {
  BOOT_LATE,
  BOOT_LOST,
  CUT_OFF_MS,
  FENCE_TRIES,
  IDLE_RETURN_MS,
  LOST_REPORTS,
  MUTE_MS,
  NEED_HEADROOM,
  NEED_WINDOW_MS,
  NO_CAPACITY_MS,
  PROBE_BATCH,
  RENT_BATCH,
  RETURN_BATCH,
  SILENT_FEW,
  SILENT_REPORTS,
  SILENT_SHARE,
  UNLISTED_MS,
} from '../../constants.ts';
import { fits, type Machine } from '../../bookkeeping/machines.ts';
import type { ListedMachine, MachineType } from '../../protocol/cloud.ts';
import type { JobSpec } from '../../protocol/users.ts';
import type { Settings } from '../../settings.ts';
import type { Clock } from '../../transport/clock.ts';
import type { Log } from '../../transport/routine.ts';
import type { Slice } from '../../bookkeeping/slices.ts';
import type { FailingJobs } from '../jobs/failing-jobs.ts';
import type { CloudCalls } from './cloud-calls.ts';
import type { Part } from '../part.ts';

interface Booting {
  type: MachineType;
  spot: boolean;
  since: number;
  seenAt: number;
}

interface Need {
  at: number;
  ordinary: number;
  all: number;
}

/** Whether a task of the job may run on, and fits, a machine of the type. */
function suits(spec: JobSpec, type: MachineType): boolean {
  return (spec.types === null || spec.types.includes(type.name)) && fits(spec, type);
}

/** Keeps one part supplied with machines: rents ahead of need, replaces lost ones, returns unneeded ones. */
export class Renting {
  private readonly booting = new Map<string, Booting>();
  private readonly runningSince = new Map<string, number>();
  private readonly noneUntil = new Map<string, number>();
  private needs: Need[] = [];
  private renting = false;
  private returning = new Set<string>();
  /** When the part was last found to be reached again. */
  private reachedAt = -Infinity;

  constructor(
    private readonly part: Part,
    private readonly zone: string,
    private readonly deps: {
      settings: Settings;
      clock: Clock;
      log: Log;
      cloud: CloudCalls;
      failing: FailingJobs;
      catalog: () => MachineType[] | null;
      /** This node cannot reach the part's machines. */
      onUnreachable: () => void;
      reachedByNone: () => boolean;
      /** Whether a machine rented for the part's zone is the part's. */
      belongs: (id: string) => boolean;
    },
  ) {}

  tick(): void {
    if (this.part.outdated) return;
    const now = this.deps.clock.now();
    this.watchSilent(now);
    for (const id of this.booting.keys()) if (this.part.machines.has(id)) this.booting.delete(id);
    const drained = [...this.part.machines.values()].filter(
      (m) => m.draining && !m.noticed && m.attempts.size === 0 && m.ended.size === 0,
    );
    for (const machine of drained) this.giveBack(machine, 'drained');
    const catalog = this.deps.catalog();
    if (!catalog) return;
    const want = this.want(now);
    this.returnIdle(now, want);
    if (!this.renting) void this.rent(now, catalog, want);
  }

  /** What a read of the machine list shows of this part's machines. */
  onList(listed: ListedMachine[], readAt: number): void {
    const now = this.deps.clock.now();
    const catalog = this.deps.catalog() ?? [];
    const present = new Set<string>();
    for (const m of listed) {
      present.add(m.id);
      const known = this.part.machines.get(m.id);
      if (m.state === 'failed') {
        if (known) this.giveBack(known, 'failed');
        else this.giveBackName(m.id, 'failed');
        continue;
      }
      if (known) {
        known.listedAt ??= now;
        this.runningSince.delete(m.id);
        continue;
      }
      const type = catalog.find((t) => t.name === m.type);
      if (!type) continue;
      const booting = this.booting.get(m.id);
      if (booting) booting.seenAt = now;
      else this.booting.set(m.id, { type, spot: m.spot, since: readAt - m.ageS * 1000, seenAt: now });
      if (m.state === 'running') {
        const since = this.runningSince.get(m.id) ?? now;
        this.runningSince.set(m.id, since);
        if (now - since > MUTE_MS) this.giveBackName(m.id, 'never reported');
      } else if (m.ageS > type.bootS * BOOT_LOST) this.giveBackName(m.id, 'never came up');
    }
    const lag = this.deps.settings.listLagMs * 2 + UNLISTED_MS;
    // Once listed, a machine stays so until it is gone, but a list may be older than the one before.
    for (const m of this.part.machines.values()) {
      const wasListed = m.listedAt !== null && now - m.listedAt > lag;
      if (wasListed && !present.has(m.id) && this.isSilent(m, now)) this.giveBack(m, 'unlisted');
    }
    for (const [id, b] of this.booting) {
      if (!present.has(id) && now - Math.max(b.seenAt, b.since) > lag) this.booting.delete(id);
    }
    for (const id of this.runningSince.keys()) if (!present.has(id)) this.runningSince.delete(id);
  }

  /** The part, which was not reached, is reached again. */
  onReached(): void {
    this.reachedAt = this.deps.clock.now();
  }

  // --- need ---

  private want(now: number): Need {
    const need: Need = { at: now, ordinary: 0, all: 0 };
    for (const slice of this.part.slices.values()) {
      const tasks = this.toRun(slice);
      need.all += tasks * slice.spec.cores;
      if (!slice.spec.spot) need.ordinary += tasks * slice.spec.cores;
    }
    // One entry a highest value: an entry that a later and higher one covers says nothing more.
    this.needs = this.needs.filter(
      (n) => now - n.at < NEED_WINDOW_MS && (n.ordinary > need.ordinary || n.all > need.all),
    );
    this.needs.push(need);
    return {
      at: now,
      ordinary: NEED_HEADROOM * Math.max(...this.needs.map((n) => n.ordinary)),
      all: NEED_HEADROOM * Math.max(...this.needs.map((n) => n.all)),
    };
  }

  /** How many of the slice's tasks machines are wanted for: of one that fails everywhere, the one that is tried. */
  private toRun(slice: Slice): number {
    const tasks = slice.count - slice.settled.size;
    return this.deps.failing.isFailing(slice.spec.id) ? Math.min(1, tasks) : tasks;
  }

  private supply(now: number): Need {
    const supply: Need = { at: now, ordinary: 0, all: 0 };
    const add = (cores: number, spot: boolean): void => {
      supply.all += cores;
      if (!spot) supply.ordinary += cores;
    };
    for (const m of this.part.machines.values())
      if (!m.draining && !m.returning && !this.isMute(m, now)) add(m.type?.cores ?? 0, m.spot);
    for (const b of this.booting.values()) if (this.isComing(b, now)) add(b.type.cores, b.spot);
    return supply;
  }

  private isComing(booting: Booting, now: number): boolean {
    return now - booting.since < booting.type.bootS * 1000 * BOOT_LATE;
  }

  /** CPUs of the machines that are coming up. */
  coming(now: number): number {
    let cores = 0;
    for (const b of this.booting.values()) if (this.isComing(b, now)) cores += b.type.cores;
    return cores;
  }

  private async rent(now: number, catalog: MachineType[], want: Need): Promise<void> {
    const supply = this.supply(now);
    const choice = this.choose(now, catalog, want, supply);
    if (!choice) return;
    this.renting = true;
    const { type, spot, cores } = choice;
    const count = Math.min(RENT_BATCH, Math.max(1, Math.ceil(cores / type.cores)));
    try {
      const result = await this.deps.cloud.rent({ type: type.name, zone: this.zone, spot, count });
      const at = this.deps.clock.now();
      const got = result.kind === 'rented' ? result.machines : [];
      // Where a zone has several parts, a machine's name decides whose it is: the others' owners find theirs
      // in the list. Counted here, they would stand for machines that never come.
      for (const id of got) {
        if (!this.deps.belongs(id) || this.booting.has(id)) continue;
        this.booting.set(id, { type, spot, since: at, seenAt: at });
      }
      if (got.length < count) this.noneUntil.set(`${type.name}/${String(spot)}`, at + NO_CAPACITY_MS);
      if (got.length > 0) {
        this.deps.log.info(
          { part: this.part.name, type: type.name, spot, machines: got.length },
          'machines rented',
        );
      }
    } catch (error) {
      this.deps.log.debug({ err: String(error) }, 'renting failed');
    }
    this.renting = false;
  }

  private choose(
    now: number,
    catalog: MachineType[],
    want: Need,
    supply: Need,
  ): { type: MachineType; spot: boolean; cores: number } | null {
    const specs = [...this.part.slices.values()].map((slice) => slice.spec);
    const perCore = (t: MachineType, spot: boolean): number => (spot ? t.spotPrice : t.price) / t.cores;
    const useful = (t: MachineType, spot: boolean): boolean =>
      specs.some((s) => (s.spot || !spot) && suits(s, t));
    // What is up soonest, and in the fewest calls: late work weighs more than the price.
    const rentable = (spot: boolean): MachineType[] =>
      catalog
        .filter((t) => t.zones.includes(this.zone))
        .filter((t) => (this.noneUntil.get(`${t.name}/${String(spot)}`) ?? 0) <= now)
        .sort((a, b) => a.bootS - b.bootS || b.cores - a.cores || perCore(a, spot) - perCore(b, spot));
    const find = (spot: boolean): MachineType | null => rentable(spot).find((t) => useful(t, spot)) ?? null;
    for (const { spec, cores: needed } of this.restricted(catalog)) {
      const on = (t: MachineType, spot: boolean): boolean => suits(spec, t) && (spec.spot || !spot);
      const there = this.coresOf(now, on);
      if (there >= NEED_HEADROOM * needed) continue;
      for (const spot of spec.spot ? [true, false] : [false]) {
        const [type] = rentable(spot).filter((t) => suits(spec, t));
        if (type) return { type, spot, cores: NEED_HEADROOM * needed - there };
      }
    }
    if (supply.ordinary < want.ordinary) {
      const type = find(false);
      if (type) return { type, spot: false, cores: want.ordinary - supply.ordinary };
    }
    if (supply.all < want.all) {
      const spot = find(true);
      if (spot) return { type: spot, spot: true, cores: want.all - supply.all };
      const type = find(false);
      if (type) return { type, spot: false, cores: want.all - supply.all };
    }
    return null;
  }

  /**
   * What the part has to run on some types of its zone only, by such types: its machines' CPUs in all may do for it
   * and yet not one of them take it, so that without this it would wait for ever.
   */
  private restricted(catalog: MachineType[]): { spec: JobSpec; cores: number }[] {
    const local = catalog.filter((t) => t.zones.includes(this.zone));
    const groups = new Map<string, { spec: JobSpec; cores: number }>();
    for (const slice of this.part.slices.values()) {
      const { spec } = slice;
      const able = local.filter((t) => suits(spec, t));
      if (able.length === local.length) continue;
      const key = `${able.map((t) => t.name).join('/')} ${String(spec.spot)}`;
      const group = groups.get(key) ?? { spec, cores: 0 };
      group.cores += this.toRun(slice) * spec.cores;
      groups.set(key, group);
    }
    return [...groups.values()];
  }

  /** CPUs of the machines, up and coming, of the kinds asked for. */
  private coresOf(now: number, of: (type: MachineType, spot: boolean) => boolean): number {
    let cores = 0;
    for (const m of this.part.machines.values()) {
      if (m.type && !m.draining && !m.returning && of(m.type, m.spot)) cores += m.type.cores;
    }
    for (const b of this.booting.values())
      if (this.isComing(b, now) && of(b.type, b.spot)) cores += b.type.cores;
    return cores;
  }

  // --- returning ---

  private returnIdle(now: number, want: Need): void {
    const supply = this.supply(now);
    for (const m of this.part.machines.values()) {
      const cores = m.type?.cores ?? 0;
      if (m.draining || m.returning || !m.fenced || now - m.emptySince < IDLE_RETURN_MS) continue;
      if (supply.all - cores < want.all || (!m.spot && supply.ordinary - cores < want.ordinary)) continue;
      m.draining = true;
      supply.all -= cores;
      if (!m.spot) supply.ordinary -= cores;
    }
  }

  /**
   * A machine silent for a few reports that does not answer either is returned, if others were heard while it was asked
   * in vain: that frees its tasks at once. Where almost all are silent the fault is likelier here, and returning them
   * would throw the part away: it is handed on instead. Where no node reaches them, the whole part is likely cut off.
   * Its tasks are free when the leases are over, and its machines are kept.
   */
  private watchSilent(now: number): void {
    const { reportMs } = this.deps.settings;
    const machines = [...this.part.machines.values()];
    const silent = machines.filter((m) => this.isSilent(m, now));
    const deaf = silent.filter((m) => now - m.heardAt > reportMs * LOST_REPORTS && now >= m.deafSince);
    const cut = silent.length > Math.max(SILENT_FEW, machines.length * SILENT_SHARE);
    // Just reached again, it is silent still: its machines have had no time to report.
    const again = now - this.reachedAt < reportMs * LOST_REPORTS;
    if (cut && !again && deaf.length * 2 > silent.length) this.deps.onUnreachable();
    // While a machine may hold any task, all that is unaccounted for waits for it: after a takeover one that
    // does not answer when the others do is not given the time that a silent machine has otherwise.
    const fenced = machines.filter((m) => m.fenced).length;
    const unfenced =
      fenced * 2 > machines.length
        ? machines.filter((m) => m.suspect && !m.fenced && m.fenceTries >= FENCE_TRIES)
        : [];
    // In a part of one or two no others could be heard.
    const few = machines.length <= SILENT_FEW;
    const alone = this.deps.reachedByNone();
    for (const m of deaf) {
      const long = now - m.heardAt > CUT_OFF_MS;
      if (cut ? long && alone : few || m.missed > 0) this.lose(m, m.noticed ? 'taken' : 'silent', now);
    }
    for (const m of unfenced) if (m.missed > 0) this.lose(m, 'not fenced', now);
    // Those that are heard and did not answer are asked too: it is their answer that has them take tasks again.
    const isDeaf = (m: Machine): boolean => m.fenced && m.deafSince !== Infinity;
    const asked = machines
      .filter((m) => (isDeaf(m) || this.isSilent(m, now)) && !m.probing && !m.returning)
      .sort((a, b) => a.probedAt - b.probedAt);
    for (const m of asked.slice(0, PROBE_BATCH)) void this.probe(m);
  }

  /** Returns a machine that is lost, and states what proves it. */
  private lose(machine: Machine, why: 'taken' | 'silent' | 'not fenced', now: number): void {
    if (machine.returning) return;
    const seconds = (at: number): number => Math.round((now - at) / 100) / 10;
    const deafS = machine.deafSince === Infinity ? 0 : seconds(machine.deafSince);
    const { missed } = machine;
    this.deps.log.info(
      { machine: machine.id, why, silentS: seconds(machine.heardAt), deafS, missed },
      'machine lost',
    );
    this.giveBack(machine, why);
  }

  /** Whether it answers calls and has not reported for so long that its lease is over: it is there, and of no use. */
  private isMute(machine: Machine, now: number): boolean {
    return !this.isSilent(machine, now) && now - machine.reportedAt > this.deps.settings.leaseMs;
  }

  private isSilent(machine: Machine, now: number): boolean {
    return now - machine.heardAt > this.deps.settings.reportMs * SILENT_REPORTS;
  }

  private async probe(machine: Machine): Promise<void> {
    machine.probedAt = this.deps.clock.now();
    await this.part.probe(machine);
  }

  private giveBack(machine: Machine, why: string): void {
    machine.draining = true;
    machine.returning = true;
    this.giveBackName(machine.id, why);
  }

  private giveBackName(id: string, why: string): void {
    if (this.returning.has(id) || this.returning.size >= RETURN_BATCH) return;
    this.returning.add(id);
    this.deps.log.info({ part: this.part.name, machine: id, why }, 'returning machine');
    void this.deps.cloud.giveBack(id).then((gone) => {
      this.returning.delete(id);
      this.booting.delete(id);
      if (!gone || !this.part.active) return;
      const machine = this.part.machines.get(id);
      if (machine) this.part.removed(machine);
    });
  }
}
