/** A job's constraints on the machines and zones of its tasks, regardless of free capacity. */
import type { JobSpec } from '../../protocol/users.ts';

/** How many tasks of a job may be in one zone at a time: half of them, rounded up, if the job is spread. */
export function maxInZone(spec: JobSpec): number {
  return spec.spread ? Math.ceil(spec.tasks / 2) : spec.tasks;
}

/**
 * Whether the job's constraints on machine type, zone and spot machines allow the machine, regardless of the
 * tasks on it.
 */
export function allowsMachine(
  spec: JobSpec,
  machine: { readonly typeName: string; readonly zone: string; readonly spot: boolean },
): boolean {
  return (
    (spec.types === null || spec.types.includes(machine.typeName)) &&
    (spec.zone === null || spec.zone === machine.zone) &&
    (spec.spot || !machine.spot)
  );
}
