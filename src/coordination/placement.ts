import { type Attempt, type Machine, type Need, fits, room } from '../bookkeeping/machines.ts';
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

export interface Eviction {
  machine: Machine;
  victims: Attempt[];
}

/**
 * Finds a machine on which stopping work of lower priority makes room for one task of the job, and what to
 * stop there: the fewest tasks, those started last, so that the least work is lost. `claimed` is room that
 * tasks being stopped will leave, and that earlier calls have counted on.
 */
export function evict(spec: JobSpec, machines: Machine[], claimed: Map<Machine, Need>): Eviction | null {
  let best: (Eviction & { lastStart: number }) | null = null;
  for (const machine of machines) {
    if (!allows(spec, machine)) continue;
    const left = room(machine);
    if (!left) continue;
    const taken = claimed.get(machine);
    if (taken) add(left, taken, -1);
    const lower: Attempt[] = [];
    for (const attempt of machine.attempts.values()) {
      if (attempt.halting) {
        if (attempt.slice) add(left, attempt.slice.spec, 1);
      } else if (attempt.phase === 'seen' && attempt.slice && attempt.slice.spec.priority > spec.priority)
        lower.push(attempt);
    }
    lower.sort((a, b) => b.startedAt - a.startedAt);
    const victims: Attempt[] = [];
    while (!fits(spec, left) && victims.length < lower.length) {
      const victim = lower[victims.length];
      if (!victim?.slice) break;
      victims.push(victim);
      add(left, victim.slice.spec, 1);
    }
    if (!fits(spec, left)) continue;
    const lastStart = victims.length === 0 ? Infinity : Math.min(...victims.map((v) => v.startedAt));
    const better =
      !best ||
      victims.length < best.victims.length ||
      (victims.length === best.victims.length && lastStart > best.lastStart);
    if (better) best = { machine, victims, lastStart };
  }
  if (!best) return null;
  const sum = claimed.get(best.machine) ?? { cores: 0, accelerators: 0, ramGb: 0 };
  add(sum, spec, 1);
  claimed.set(best.machine, sum);
  return best;
}

function add(to: Need, what: Need, times: number): void {
  to.cores += what.cores * times;
  to.accelerators += what.accelerators * times;
  to.ramGb += what.ramGb * times;
}
