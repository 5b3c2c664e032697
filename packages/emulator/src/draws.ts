/** Random draws that faults have in common. */
import type { Random } from '@onyxkeel/scheduler';

/** True with the probability `share`; draws nothing for a share of 0. */
export function drawChance(random: Random, share: number): boolean {
  return share > 0 && random.below(1000) < share * 1000;
}

/** Draws whole milliseconds in [from, to). */
export function drawBetween(random: Random, [from, to]: readonly [number, number]): number {
  return from + random.below(Math.max(1, to - from));
}
