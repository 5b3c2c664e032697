/** Amounts of resources that tasks book on machines. */
import type { MachineType } from '../protocol/cloud.ts';

/** Resources that a task books, that a machine has, or that are free on it. */
export interface Resources {
  cores: number;
  accelerators: number;
  ramGb: number;
}

/** Maximum rounding error of a sum of decimal amounts. */
const ROUNDING_TOLERANCE = 1e-6;

/** Whether `need` fits into the free capacity `left`. */
export function fits(need: Resources, left: Resources): boolean {
  return (
    need.cores <= left.cores + ROUNDING_TOLERANCE &&
    need.accelerators <= left.accelerators + ROUNDING_TOLERANCE &&
    need.ramGb <= left.ramGb + ROUNDING_TOLERANCE
  );
}

/** The share of its scarcest resource that `need` books on a machine of the type. */
export function dominantShare(need: Resources, type: MachineType): number {
  const share = (booked: number, capacity: number): number =>
    booked <= 0 ? 0 : capacity <= 0 ? 1 : booked / capacity;
  return Math.max(
    share(need.cores, type.cores),
    share(need.accelerators, type.accelerators),
    share(need.ramGb, type.ramGb),
  );
}
