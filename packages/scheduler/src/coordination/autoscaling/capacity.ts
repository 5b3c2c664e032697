/**
 * The demand of one shard for machines, and the supply that meets it, in cores. Pure functions, except for
 * the window of past demand.
 */
import { DEMAND_HEADROOM, DEMAND_WINDOW_MS } from '../../constants.ts';
import type { JobSpec } from '../../protocol/users.ts';
import type { Settings } from '../../settings.ts';
import type { Machine } from '../../storage/machine.ts';
import type { Slice } from '../../storage/slice.ts';
import { hasStoppedReporting } from '../workers/machine-health.ts';
import type { MachineKind } from './booting-machines.ts';

/** Cores that are needed or available. */
export interface Capacity {
  /** Cores of ordinary machines. As a demand: cores for the jobs that may not run on spot machines. */
  ordinary: number;
  /** Cores of all machines, spot machines included. */
  all: number;
}

/** The tasks of one slice for which machines are needed. */
export interface Workload {
  /** The specification of the slice's job. */
  readonly spec: JobSpec;
  /** The number of tasks. */
  readonly tasks: number;
}

/**
 * The tasks of the slices for which machines are needed. A failing job counts with one task only, the one
 * that is retried.
 */
export function workloadsOf(slices: Iterable<Slice>, isFailing: (jobId: string) => boolean): Workload[] {
  const workloads: Workload[] = [];
  for (const { spec, count, settled } of slices) {
    const unsettled = count - settled.size;
    workloads.push({ spec, tasks: isFailing(spec.id) ? Math.min(1, unsettled) : unsettled });
  }
  return workloads;
}

/** The cores that the workloads occupy when all their tasks run at once. */
export function demandOf(workloads: Iterable<Workload>): Capacity {
  const demand: Capacity = { ordinary: 0, all: 0 };
  for (const { spec, tasks } of workloads) addCores(demand, tasks * spec.cores, spec.spot);
  return demand;
}

/** The highest demand within `DEMAND_WINDOW_MS`. It is kept because bursts of work recur. */
export class DemandWindow {
  private peaks: (Readonly<Capacity> & { readonly at: number })[] = [];

  /** Records the current demand. Returns the capacity to keep, with headroom for larger bursts. */
  record(current: Capacity, now: number): Capacity {
    // A past demand that has expired, or is no higher than the current one, no longer determines the maximum.
    this.peaks = this.peaks.filter(
      (peak) =>
        now - peak.at < DEMAND_WINDOW_MS && (peak.ordinary > current.ordinary || peak.all > current.all),
    );
    this.peaks.push({ at: now, ...current });
    return {
      ordinary: DEMAND_HEADROOM * Math.max(...this.peaks.map((peak) => peak.ordinary)),
      all: DEMAND_HEADROOM * Math.max(...this.peaks.map((peak) => peak.all)),
    };
  }
}

/** The cores of the shard's machines that accept tasks, and of the given booting machines. */
export function supplyOf(
  machines: Iterable<Machine>,
  booting: Iterable<MachineKind>,
  now: number,
  settings: Settings,
): Capacity {
  const supply: Capacity = { ordinary: 0, all: 0 };
  for (const machine of machines) {
    if (machine.draining || machine.terminating || hasStoppedReporting(machine, now, settings)) continue;
    addCores(supply, machine.type?.cores ?? 0, machine.spot);
  }
  for (const { type, spot } of booting) addCores(supply, type.cores, spot);
  return supply;
}

/** Adds cores of one kind; a negative amount subtracts them. */
export function addCores(capacity: Capacity, cores: number, spot: boolean): void {
  capacity.all += cores;
  if (!spot) capacity.ordinary += cores;
}
