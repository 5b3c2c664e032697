/**
 * Chooses what to request from the cloud: which machine type, ordinary or spot, and how many cores. Pure
 * functions.
 */
import { DEMAND_HEADROOM } from '../../constants.ts';
import type { MachineType } from '../../protocol/cloud.ts';
import type { JobSpec } from '../../protocol/users.ts';
import { fits } from '../../storage/resources.ts';
import type { MachineKind } from './booting-machines.ts';
import type { Capacity, Workload } from './capacity.ts';

/** A machine kind to request, and how many cores of it are missing. */
export interface ScaleOutChoice extends MachineKind {
  /** Cores by which the demand exceeds the supply. */
  readonly cores: number;
}

/** The input of the choice. */
export interface ScaleOutInput {
  /** The tasks of the shard's slices for which machines are needed. */
  readonly workloads: readonly Workload[];
  /** The cloud's machine types that exist in the shard's zone. */
  readonly types: readonly MachineType[];
  /** The capacity to keep, with headroom. */
  readonly demand: Readonly<Capacity>;
  /** The capacity that is available now or soon. */
  readonly supply: Readonly<Capacity>;
  /**
   * The machines that count for a workload that only some types can run: those in use, and those that may
   * come up in time.
   */
  readonly machines: readonly MachineKind[];
  /** Whether the cloud may have machines of this kind. False for a while after it had none. */
  readonly isAvailable: (type: MachineType, spot: boolean) => boolean;
}

/** A demand that only some of the zone's machine types can meet. */
interface RestrictedDemand {
  readonly spec: JobSpec;
  cores: number;
}

/**
 * Chooses what to request next. Returns null if the supply is sufficient or the cloud has no suitable
 * machines. Workloads that only some types can run come first, then the demand for ordinary machines, then
 * the remaining demand. For that, spot machines are requested if available, and ordinary ones if not.
 */
export function chooseScaleOut(input: ScaleOutInput): ScaleOutChoice | null {
  const { demand, supply } = input;
  const restricted = chooseForRestrictedDemand(input);
  if (restricted) return restricted;
  if (supply.ordinary < demand.ordinary) {
    const type = preferredType(input, false);
    if (type) return { type, spot: false, cores: demand.ordinary - supply.ordinary };
  }
  if (supply.all >= demand.all) return null;
  for (const spot of [true, false]) {
    const type = preferredType(input, spot);
    if (type) return { type, spot, cores: demand.all - supply.all };
  }
  return null;
}

/** Whether a task of the job may run on the type and fits an empty machine of it. */
function canRunOn(spec: JobSpec, type: MachineType): boolean {
  return (spec.types === null || spec.types.includes(type.name)) && fits(spec, type);
}

/** The most preferred available type that some workload can use. */
function preferredType(input: ScaleOutInput, spot: boolean): MachineType | undefined {
  const specs = input.workloads.map(({ spec }) => spec).filter((spec) => spec.spot || !spot);
  return availableTypesByPreference(input, spot).find((type) => specs.some((spec) => canRunOn(spec, type)));
}

/**
 * The available types, most preferred first: the shortest boot time, then the most cores (fewer calls to the
 * cloud), then the lowest price per core. The price comes last because late work weighs more than the price.
 */
function availableTypesByPreference({ types, isAvailable }: ScaleOutInput, spot: boolean): MachineType[] {
  const pricePerCore = (type: MachineType): number => (spot ? type.spotPrice : type.price) / type.cores;
  return types
    .filter((type) => isAvailable(type, spot))
    .sort((a, b) => a.bootS - b.bootS || b.cores - a.cores || pricePerCore(a) - pricePerCore(b));
}

function chooseForRestrictedDemand(input: ScaleOutInput): ScaleOutChoice | null {
  for (const { spec, cores } of restrictedDemands(input)) {
    const requiredCores = DEMAND_HEADROOM * cores;
    const suppliedCores = coresFor(spec, input.machines);
    if (suppliedCores >= requiredCores) continue;
    for (const spot of spec.spot ? [true, false] : [false]) {
      const type = availableTypesByPreference(input, spot).find((candidate) => canRunOn(spec, candidate));
      if (type) return { type, spot, cores: requiredCores - suppliedCores };
    }
  }
  return null;
}

/**
 * The demand of workloads that only some of the zone's types can run, grouped by the set of these types. The
 * total cores of the shard's machines may suffice for such a workload although none of the machines can run
 * it. Without this rule, its tasks would stay pending forever.
 */
function restrictedDemands({ workloads, types }: ScaleOutInput): Iterable<RestrictedDemand> {
  const demands = new Map<string, RestrictedDemand>();
  for (const { spec, tasks } of workloads) {
    const suitable = types.filter((type) => canRunOn(spec, type));
    if (suitable.length === types.length) continue;
    const key = `${suitable.map((type) => type.name).join('/')} ${String(spec.spot)}`;
    const demand = demands.get(key) ?? { spec, cores: 0 };
    demand.cores += tasks * spec.cores;
    demands.set(key, demand);
  }
  return demands.values();
}

/** Cores of the machines that can run tasks of the job. */
function coresFor(spec: JobSpec, machines: readonly MachineKind[]): number {
  let cores = 0;
  for (const { type, spot } of machines) {
    if (canRunOn(spec, type) && (spec.spot || !spot)) cores += type.cores;
  }
  return cores;
}
