import {
  BOOT_LATE_FACTOR,
  BOOT_LOST_FACTOR,
  PARTITION_KEEP_MS,
  FENCING_ATTEMPTS,
  SCALE_IN_IDLE_MS,
  LOST_HEARTBEATS,
  NEVER_REPORTED_MS,
  DEMAND_HEADROOM,
  DEMAND_WINDOW_MS,
  NO_CAPACITY_MS,
  PROBE_BATCH,
  SCALE_OUT_BATCH,
  TERMINATE_BATCH,
  SILENT_TOLERATED,
  SILENT_HEARTBEATS,
  SILENT_SHARE_OF_SHARD,
  UNLISTED_MS,
} from '../../constants.ts';
import type { Machine } from '../../storage/machine.ts';
import { recordListed, startDraining, startTerminating } from '../../storage/machine-lifecycle.ts';
import { fits } from '../../storage/resources.ts';
import type { ListedMachine, MachineType } from '../../protocol/cloud.ts';
import type { JobSpec } from '../../protocol/users.ts';
import type { Settings } from '../../settings.ts';
import type { Clock } from '../../transport/clock.ts';
import type { Log } from '../../transport/background-task.ts';
import type { Slice } from '../../storage/slice.ts';
import type { FailingJobs } from '../jobs/failing-jobs.ts';
import type { CloudRequests } from './cloud-requests.ts';
import type { ShardLeader } from '../shard-leader.ts';

interface Booting {
  type: MachineType;
  spot: boolean;
  since: number;
  seenAt: number;
}

interface CapacityDemand {
  at: number;
  ordinary: number;
  all: number;
}

/** Whether a task of the job may run on, and fits, a machine of the type. */
function suits(spec: JobSpec, type: MachineType): boolean {
  return (spec.types === null || spec.types.includes(type.name)) && fits(spec, type);
}

/** Keeps one part supplied with machines: rents ahead of need, replaces lost ones, returns unneeded ones. */
export class Autoscaler {
  private readonly booting = new Map<string, Booting>();
  private readonly runningSince = new Map<string, number>();
  private readonly noCapacityUntil = new Map<string, number>();
  private demands: CapacityDemand[] = [];
  private scalingOut = false;
  private terminating = new Set<string>();
  /** When the part was last found to be reached again. */
  private reachableAgainAt = -Infinity;

  constructor(
    private readonly shard: ShardLeader,
    private readonly zone: string,
    private readonly deps: {
      settings: Settings;
      clock: Clock;
      log: Log;
      cloud: CloudRequests;
      failingJobs: FailingJobs;
      catalog: () => MachineType[] | null;
      /** This node cannot reach the part's machines. */
      onUnreachable: () => void;
      reachedByNone: () => boolean;
      /** Whether a machine rented for the part's zone is the part's. */
      belongs: (id: string) => boolean;
    },
  ) {}

  tick(): void {
    if (this.shard.isSuperseded) return;
    const now = this.deps.clock.now();
    this.checkSilentMachines(now);
    for (const id of this.booting.keys()) if (this.shard.machines.has(id)) this.booting.delete(id);
    const drained = [...this.shard.machines.values()].filter(
      (m) => m.draining && !m.preemptionNoticed && m.attempts.size === 0 && m.endedAttempts.size === 0,
    );
    for (const machine of drained) this.terminate(machine, 'drained');
    const catalog = this.deps.catalog();
    if (!catalog) return;
    const demand = this.demand(now);
    this.scaleIn(now, demand);
    if (!this.scalingOut) void this.scaleOut(now, catalog, demand);
  }

  /** What a read of the machine list shows of this part's machines. */
  onList(listed: ListedMachine[], readAt: number): void {
    const now = this.deps.clock.now();
    const catalog = this.deps.catalog() ?? [];
    const present = new Set<string>();
    for (const m of listed) {
      present.add(m.id);
      const known = this.shard.machines.get(m.id);
      if (m.state === 'failed') {
        if (known) this.terminate(known, 'failed');
        else this.terminateById(m.id, 'failed');
        continue;
      }
      if (known) {
        recordListed(known, now);
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
        if (now - since > NEVER_REPORTED_MS) this.terminateById(m.id, 'never reported');
      } else if (m.ageS > type.bootS * BOOT_LOST_FACTOR) this.terminateById(m.id, 'never came up');
    }
    const lag = this.deps.settings.listLagMs * 2 + UNLISTED_MS;
    // Once listed, a machine stays so until it is gone, but a list may be older than the one before.
    for (const m of this.shard.machines.values()) {
      const wasListed = m.listedAt !== null && now - m.listedAt > lag;
      if (wasListed && !present.has(m.id) && this.isSilent(m, now)) this.terminate(m, 'unlisted');
    }
    for (const [id, b] of this.booting) {
      if (!present.has(id) && now - Math.max(b.seenAt, b.since) > lag) this.booting.delete(id);
    }
    for (const id of this.runningSince.keys()) if (!present.has(id)) this.runningSince.delete(id);
  }

  /** The part, which was not reached, is reached again. */
  onReached(): void {
    this.reachableAgainAt = this.deps.clock.now();
  }

  // --- need ---

  private demand(now: number): CapacityDemand {
    const need: CapacityDemand = { at: now, ordinary: 0, all: 0 };
    for (const slice of this.shard.slices.values()) {
      const tasks = this.toRun(slice);
      need.all += tasks * slice.spec.cores;
      if (!slice.spec.spot) need.ordinary += tasks * slice.spec.cores;
    }
    // One entry a highest value: an entry that a later and higher one covers says nothing more.
    this.demands = this.demands.filter(
      (n) => now - n.at < DEMAND_WINDOW_MS && (n.ordinary > need.ordinary || n.all > need.all),
    );
    this.demands.push(need);
    return {
      at: now,
      ordinary: DEMAND_HEADROOM * Math.max(...this.demands.map((n) => n.ordinary)),
      all: DEMAND_HEADROOM * Math.max(...this.demands.map((n) => n.all)),
    };
  }

  /** How many of the slice's tasks machines are wanted for: of one that fails everywhere, the one that is tried. */
  private toRun(slice: Slice): number {
    const tasks = slice.count - slice.settled.size;
    return this.deps.failingJobs.isFailing(slice.spec.id) ? Math.min(1, tasks) : tasks;
  }

  private supply(now: number): CapacityDemand {
    const supply: CapacityDemand = { at: now, ordinary: 0, all: 0 };
    const add = (cores: number, spot: boolean): void => {
      supply.all += cores;
      if (!spot) supply.ordinary += cores;
    };
    for (const m of this.shard.machines.values())
      if (!m.draining && !m.terminating && !this.hasStoppedReporting(m, now)) add(m.type?.cores ?? 0, m.spot);
    for (const b of this.booting.values()) if (this.isComing(b, now)) add(b.type.cores, b.spot);
    return supply;
  }

  private isComing(booting: Booting, now: number): boolean {
    return now - booting.since < booting.type.bootS * 1000 * BOOT_LATE_FACTOR;
  }

  /** CPUs of the machines that are coming up. */
  bootingCores(now: number): number {
    let cores = 0;
    for (const b of this.booting.values()) if (this.isComing(b, now)) cores += b.type.cores;
    return cores;
  }

  private async scaleOut(now: number, catalog: MachineType[], demand: CapacityDemand): Promise<void> {
    const supply = this.supply(now);
    const choice = this.choose(now, catalog, demand, supply);
    if (!choice) return;
    this.scalingOut = true;
    const { type, spot, cores } = choice;
    const count = Math.min(SCALE_OUT_BATCH, Math.max(1, Math.ceil(cores / type.cores)));
    try {
      const result = await this.deps.cloud.scaleOut({ type: type.name, zone: this.zone, spot, count });
      const at = this.deps.clock.now();
      const got = result.kind === 'created' ? result.machines : [];
      // Where a zone has several parts, a machine's name decides whose it is: the others' owners find theirs
      // in the list. Counted here, they would stand for machines that never come.
      for (const id of got) {
        if (!this.deps.belongs(id) || this.booting.has(id)) continue;
        this.booting.set(id, { type, spot, since: at, seenAt: at });
      }
      if (got.length < count) this.noCapacityUntil.set(`${type.name}/${String(spot)}`, at + NO_CAPACITY_MS);
      if (got.length > 0) {
        this.deps.log.info(
          { shard: this.shard.name, type: type.name, spot, machines: got.length },
          'machines rented',
        );
      }
    } catch (error) {
      this.deps.log.debug({ err: String(error) }, 'renting failed');
    }
    this.scalingOut = false;
  }

  private choose(
    now: number,
    catalog: MachineType[],
    demand: CapacityDemand,
    supply: CapacityDemand,
  ): { type: MachineType; spot: boolean; cores: number } | null {
    const specs = [...this.shard.slices.values()].map((slice) => slice.spec);
    const perCore = (t: MachineType, spot: boolean): number => (spot ? t.spotPrice : t.price) / t.cores;
    const useful = (t: MachineType, spot: boolean): boolean =>
      specs.some((s) => (s.spot || !spot) && suits(s, t));
    // What is up soonest, and in the fewest calls: late work weighs more than the price.
    const rentable = (spot: boolean): MachineType[] =>
      catalog
        .filter((t) => t.zones.includes(this.zone))
        .filter((t) => (this.noCapacityUntil.get(`${t.name}/${String(spot)}`) ?? 0) <= now)
        .sort((a, b) => a.bootS - b.bootS || b.cores - a.cores || perCore(a, spot) - perCore(b, spot));
    const find = (spot: boolean): MachineType | null => rentable(spot).find((t) => useful(t, spot)) ?? null;
    for (const { spec, cores: needed } of this.restrictedDemand(catalog)) {
      const on = (t: MachineType, spot: boolean): boolean => suits(spec, t) && (spec.spot || !spot);
      const there = this.coresOf(now, on);
      if (there >= DEMAND_HEADROOM * needed) continue;
      for (const spot of spec.spot ? [true, false] : [false]) {
        const [type] = rentable(spot).filter((t) => suits(spec, t));
        if (type) return { type, spot, cores: DEMAND_HEADROOM * needed - there };
      }
    }
    if (supply.ordinary < demand.ordinary) {
      const type = find(false);
      if (type) return { type, spot: false, cores: demand.ordinary - supply.ordinary };
    }
    if (supply.all < demand.all) {
      const spot = find(true);
      if (spot) return { type: spot, spot: true, cores: demand.all - supply.all };
      const type = find(false);
      if (type) return { type, spot: false, cores: demand.all - supply.all };
    }
    return null;
  }

  /**
   * What the part has to run on some types of its zone only, by such types: its machines' CPUs in all may do for it
   * and yet not one of them take it, so that without this it would wait for ever.
   */
  private restrictedDemand(catalog: MachineType[]): { spec: JobSpec; cores: number }[] {
    const local = catalog.filter((t) => t.zones.includes(this.zone));
    const groups = new Map<string, { spec: JobSpec; cores: number }>();
    for (const slice of this.shard.slices.values()) {
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
    for (const m of this.shard.machines.values()) {
      if (m.type && !m.draining && !m.terminating && of(m.type, m.spot)) cores += m.type.cores;
    }
    for (const b of this.booting.values())
      if (this.isComing(b, now) && of(b.type, b.spot)) cores += b.type.cores;
    return cores;
  }

  // --- returning ---

  private scaleIn(now: number, demand: CapacityDemand): void {
    const supply = this.supply(now);
    for (const m of this.shard.machines.values()) {
      const cores = m.type?.cores ?? 0;
      if (m.draining || m.terminating || !m.fenced || now - m.idleSince < SCALE_IN_IDLE_MS) continue;
      if (supply.all - cores < demand.all || (!m.spot && supply.ordinary - cores < demand.ordinary)) continue;
      startDraining(m);
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
  private checkSilentMachines(now: number): void {
    const { heartbeatIntervalMs: reportMs } = this.deps.settings;
    const machines = [...this.shard.machines.values()];
    const silent = machines.filter((m) => this.isSilent(m, now));
    const deaf = silent.filter(
      (m) => now - m.lastContactAt > reportMs * LOST_HEARTBEATS && now >= m.unreachableSince,
    );
    const cut = silent.length > Math.max(SILENT_TOLERATED, machines.length * SILENT_SHARE_OF_SHARD);
    // Just reached again, it is silent still: its machines have had no time to report.
    const again = now - this.reachableAgainAt < reportMs * LOST_HEARTBEATS;
    if (cut && !again && deaf.length * 2 > silent.length) this.deps.onUnreachable();
    // While a machine may hold any task, all that is unaccounted for waits for it: after a takeover one that
    // does not answer when the others do is not given the time that a silent machine has otherwise.
    const fenced = machines.filter((m) => m.fenced).length;
    const unfenced =
      fenced * 2 > machines.length
        ? machines.filter((m) => m.unreconciled && !m.fenced && m.failedFencingAttempts >= FENCING_ATTEMPTS)
        : [];
    // In a part of one or two no others could be heard.
    const few = machines.length <= SILENT_TOLERATED;
    const alone = this.deps.reachedByNone();
    for (const m of deaf) {
      const long = now - m.lastContactAt > PARTITION_KEEP_MS;
      if (cut ? long && alone : few || m.unansweredProbes > 0)
        this.declareLost(m, m.preemptionNoticed ? 'taken' : 'silent', now);
    }
    for (const m of unfenced) if (m.unansweredProbes > 0) this.declareLost(m, 'not fenced', now);
    // Those that are heard and did not answer are asked too: it is their answer that has them take tasks again.
    const isDeaf = (m: Machine): boolean => m.fenced && m.unreachableSince !== Infinity;
    const asked = machines
      .filter((m) => (isDeaf(m) || this.isSilent(m, now)) && !m.probing && !m.terminating)
      .sort((a, b) => a.probedAt - b.probedAt);
    for (const m of asked.slice(0, PROBE_BATCH)) void this.shard.probe(m);
  }

  /** Returns a machine that is lost, and states what proves it. */
  private declareLost(machine: Machine, why: 'taken' | 'silent' | 'not fenced', now: number): void {
    if (machine.terminating) return;
    const seconds = (at: number): number => Math.round((now - at) / 100) / 10;
    const deafS = machine.unreachableSince === Infinity ? 0 : seconds(machine.unreachableSince);
    const { unansweredProbes: missed } = machine;
    this.deps.log.info(
      { machine: machine.id, why, silentS: seconds(machine.lastContactAt), deafS, missed },
      'machine lost',
    );
    this.terminate(machine, why);
  }

  /** Whether it answers calls and has not reported for so long that its lease is over: it is there, and of no use. */
  private hasStoppedReporting(machine: Machine, now: number): boolean {
    return !this.isSilent(machine, now) && now - machine.lastHeartbeatAt > this.deps.settings.leaseMs;
  }

  private isSilent(machine: Machine, now: number): boolean {
    return now - machine.lastContactAt > this.deps.settings.heartbeatIntervalMs * SILENT_HEARTBEATS;
  }

  private terminate(machine: Machine, why: string): void {
    startTerminating(machine);
    this.terminateById(machine.id, why);
  }

  private terminateById(id: string, why: string): void {
    if (this.terminating.has(id) || this.terminating.size >= TERMINATE_BATCH) return;
    this.terminating.add(id);
    this.deps.log.info({ shard: this.shard.name, machine: id, why }, 'returning machine');
    void this.deps.cloud.terminate(id).then((gone) => {
      this.terminating.delete(id);
      this.booting.delete(id);
      if (!gone || !this.shard.active) return;
      const machine = this.shard.machines.get(id);
      if (machine) this.shard.onTerminated(machine);
    });
  }
}
