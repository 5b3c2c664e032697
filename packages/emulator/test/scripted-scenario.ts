import type { Violation } from '../src/invariant-checker.ts';
import type { TestCluster } from './test-cluster.ts';

/** A story of two troubles that meet; it returns the rules broken. What it must have seen to count, it asserts itself. */
export type ScriptedScenario = () => Promise<Violation[]>;

/** Fails a story in which what it is about has not come about. */
export function requirePrecondition(what: string, holds: boolean): void {
  if (!holds) throw new Error(`the scenario has not come about: ${what}`);
}

/** Once nothing more happens, every job that was accepted is done, or cancelled by its user. */
export function violationsAfterCompletion(cluster: TestCluster): Violation[] {
  for (const id of cluster.workload.keys())
    if (cluster.checker.isAccepted(id) && cluster.checker.finalState(id) === null)
      cluster.checker.reportViolation('stuck', [id], id);
  return cluster.checker.violations;
}
