import type { Violation } from '../src/invariant-checker.ts';
import type { World } from './world.ts';

/** A story of two troubles that meet; it returns the rules broken. What it must have seen to count, it asserts itself. */
export type Story = () => Promise<Violation[]>;

/** Fails a story in which what it is about has not come about. */
export function expect(what: string, holds: boolean): void {
  if (!holds) throw new Error(`the story has not come about: ${what}`);
}

/** Once nothing more happens, every job that was accepted is done, or cancelled by its user. */
export function allDone(world: World): Violation[] {
  for (const id of world.workload.keys())
    if (world.checker.isAccepted(id) && world.checker.finalState(id) === null)
      world.checker.reportViolation('stuck', [id], id);
  return world.checker.violations;
}
