/** Validation of submitted jobs: whether a job can ever run in this deployment. Pure functions. */
import type { MachineType } from '../../protocol/cloud.ts';
import type { JobSpec } from '../../protocol/users.ts';
import type { Settings } from '../../settings.ts';
import { fits } from '../../storage/resources.ts';
import { maxInZone } from '../scheduling/placement-constraints.ts';

/** The deployment's zones that offer a machine type which the job allows and which fits one of its tasks. */
export function allowedZones(
  spec: JobSpec,
  catalog: readonly MachineType[],
  deploymentZones: readonly string[],
): Set<string> {
  const types = catalog.filter(
    (type) => (spec.types === null || spec.types.includes(type.name)) && fits(spec, type),
  );
  const zones = types.flatMap((type) => type.zones);
  return new Set(
    zones.filter((zone) => deploymentZones.includes(zone) && (spec.zone === null || spec.zone === zone)),
  );
}

/** Whether all of the job's tasks must run in one zone. */
export function isConfinedToOneZone(spec: JobSpec, zones: ReadonlySet<string>): boolean {
  return spec.oneZone || zones.size === 1;
}

/**
 * Why the job can never run, as the error text of the answer to its user (PROTOCOL, error texts). Null if it
 * can run.
 */
export function rejectionReason(
  spec: JobSpec,
  zones: ReadonlySet<string>,
  teams: Settings['teams'],
): string | null {
  const team = teams.get(spec.team);
  if (!team) return 'unknown team';
  if (zones.size === 0) return 'a task fits no allowed machine type';
  const tasksAtOnce = spec.kind === 'batch' ? 1 : spec.tasks;
  if (spec.cores * tasksAtOnce > team.maxCores || spec.accelerators * tasksAtOnce > team.maxAccelerators) {
    return "needs more than the team's limit";
  }
  if (spec.kind !== 'batch' && spec.tasks > maxInZone(spec) && isConfinedToOneZone(spec, zones)) {
    return 'more than half of its tasks would be in one zone';
  }
  return null;
}
