import type { Violation } from '../src/invariant-rules.ts';
import type { TestCluster } from './test-cluster.ts';

/**
 * A scripted scenario of combined faults. Returns the violated invariants and asserts its own preconditions.
 */
export type ScriptedScenario = () => Promise<Violation[]>;

/** Fails a scenario in which the situation that it tests did not occur. */
export function requirePrecondition(what: string, holds: boolean): void {
  if (!holds) throw new Error(`scenario precondition not met: ${what}`);
}

/** The violations so far, with a `stuck` one for every accepted job that is neither done nor cancelled. */
export function violationsAfterCompletion(cluster: TestCluster): Violation[] {
  for (const id of cluster.workload.keys())
    if (cluster.checker.isAccepted(id) && cluster.checker.finalState(id) === null)
      cluster.checker.reportViolation('stuck', [id], id);
  return cluster.checker.violations;
}
