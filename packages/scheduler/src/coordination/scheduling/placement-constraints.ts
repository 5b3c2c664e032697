/** What a job itself demands of the machines and zones of its tasks, whatever capacity they have left. */
import type { JobSpec } from '../../protocol/users.ts';

/** How many tasks of a job may be in one zone at a time: half of them where it wants to be spread. */
export function maxInZone(spec: JobSpec): number {
  return spec.spread ? Math.ceil(spec.tasks / 2) : spec.tasks;
}

/**
 * Whether the job's rules about machine type, zone and spot machines allow the machine, whatever is on it.
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
