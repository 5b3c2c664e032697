/** Amounts of the resources that tasks book on machines. */
import type { MachineType } from '../protocol/cloud.ts';

/** What a task books, a machine has, or a machine has left. */
export interface Resources {
  cores: number;
  accelerators: number;
  ramGb: number;
}

/** Sums of decimal amounts may miss the exact value by this much. */
const ROUNDING_TOLERANCE = 1e-6;

/** Whether `need` can be booked where `left` is free. */
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
