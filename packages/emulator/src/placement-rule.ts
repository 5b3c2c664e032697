/** The rule `wrong_place`: where a job allows its tasks to run. The decision is pure. */
import type { JobSpec } from '@onyxkeel/scheduler';
import type { Worker } from './worker.ts';

/** The placement rule that a task violates; a code in recorded events. */
type PlacementCause = 'type' | 'zone' | 'spot' | 'one_zone' | 'spread';

/** Why a task may not be where it is. */
interface PlacementError {
  readonly cause: PlacementCause;
  /** The type or zone that is not allowed; null where the cause says all. */
  readonly value: string | null;
  /** Text for people. */
  readonly explanation: string;
}

/**
 * What the job does not allow about a task on the machine. `zones`: of the job's tasks, one for each machine that
 * a task is on; needed for jobs with `oneZone` or `spread` only.
 */
export function placementErrors(
  spec: JobSpec,
  { type, zone, spot }: Worker['machine'],
  zones: readonly string[],
): PlacementError[] {
  const errors: PlacementError[] = [];
  const add = (cause: PlacementCause, value: string | null, explanation: string): void => {
    errors.push({ cause, value, explanation });
  };
  if (spec.types !== null && !spec.types.includes(type.name)) add('type', type.name, `type ${type.name}`);
  if (spec.zone !== null && spec.zone !== zone) add('zone', zone, `zone ${zone}`);
  if (spot && !spec.spot) add('spot', null, 'a spot machine');
  if (spec.oneZone && new Set(zones).size > 1)
    add('one_zone', null, 'other tasks of the job are in another zone');
  const inZone = zones.filter((each) => each === zone).length;
  if (spec.spread && inZone > Math.ceil(spec.tasks / 2))
    add('spread', zone, 'too many tasks of the job are in one zone');
  return errors;
}
