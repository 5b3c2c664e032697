import type { Violation } from '../src/judge.ts';

/** A story of two troubles that meet; it returns the rules broken. What it must have seen to count, it asserts itself. */
export type Story = () => Promise<Violation[]>;

/** Fails a story in which what it is about has not come about. */
export function expect(what: string, holds: boolean): void {
  if (!holds) throw new Error(`the story has not come about: ${what}`);
}
