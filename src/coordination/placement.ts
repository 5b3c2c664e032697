import { type Machine, type Need, fits, room } from '../bookkeeping/machines.ts';
import type { JobSpec } from '../protocol/users.ts';
import type { Random } from '../transport/random.ts';

/** Whether the job allows the machine at all, whatever is on it. */
export function allows(spec: JobSpec, machine: { typeName: string; zone: string; spot: boolean }): boolean {
  return (
    (spec.types === null || spec.types.includes(machine.typeName)) &&
    (spec.zone === null || spec.zone === machine.zone) &&
    (spec.spot || !machine.spot)
  );
}

export interface Candidates {
  /** Machines that may take tasks now. */
  open: Machine[];
  /** Empty machines, the one appended last at the end. */
  idle: Machine[];
}

/**
 * The design's choice within a part: the idle machine appended last that fits, else the lower in load
 * plus drift of two drawn at random among those with room; null where none has room.
 *
 * Exception (ours): a job that may use spot machines looks among those first, since other jobs cannot.
 */
export function pick(spec: JobSpec, from: Candidates, random: Random): Machine | null {
  if (spec.spot) {
    const onSpot = pickAmong(spec, from, (machine) => machine.spot, random);
    if (onSpot) return onSpot;
    return pickAmong(spec, from, (machine) => !machine.spot, random);
  }
  return pickAmong(spec, from, () => true, random);
}

function pickAmong(
  spec: JobSpec,
  from: Candidates,
  kind: (machine: Machine) => boolean,
  random: Random,
): Machine | null {
  const takes = (machine: Machine): boolean =>
    kind(machine) && allows(spec, machine) && hasRoom(machine, spec);
  const idle = from.idle.findLast(takes);
  if (idle) return idle;
  const roomy = from.open.filter(takes);
  const first = draw(roomy, random);
  const second = draw(roomy, random);
  if (!first || !second) return first ?? second ?? null;
  return first.load + first.drift <= second.load + second.drift ? first : second;
}

/** Draws one and takes it out of the list. */
function draw(list: Machine[], random: Random): Machine | undefined {
  return list.length === 0 ? undefined : list.splice(random.below(list.length), 1)[0];
}

function hasRoom(machine: Machine, need: Need): boolean {
  const left = room(machine);
  return left !== null && fits(need, left);
}
