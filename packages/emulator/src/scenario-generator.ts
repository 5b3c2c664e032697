/**
 * fast-check arbitraries of scenarios of a size: jobs, faults of every kind, and any overlap of them. What a
 * seed generates depends on the order of fields, alternatives and weights here: any change of them gives
 * different scenarios, and so different digests.
 */
import fc from 'fast-check';
import { faults } from './fault-generator.ts';
import type { Fault, Scenario, ScenarioJob } from './scenario.ts';
import type { ScenarioSize } from './scenario-sizes.ts';

/** Scenarios of a size. */
export function scenarios(size: ScenarioSize): fc.Arbitrary<Scenario> {
  const fault = faults(size);
  const base = fc.record({
    seed: integer(0, 2 ** 30),
    zones: integer(...size.zones),
    nodes: integer(...size.nodes),
    machines: integer(...size.machines),
    capacity: integer(1, 3),
    pace: fc.constantFrom(0 as const, 1 as const),
    teamLimits: fc.tuple(fc.constantFrom(0, 16, 40, 400), fc.constantFrom(0, 24, 4000), fc.constant(0)),
    jobs: fc.array(jobs(size), { minLength: size.jobs[0], maxLength: size.jobs[1], size: 'max' }),
    faults: fc.array(fault, { minLength: size.faults[0], maxLength: size.faults[1], size: 'max' }),
  });
  return size.combinedFaults ? withCombinedFaults(base, fault, size.combinedFaults) : base;
}

function integer(min: number, max: number): fc.Arbitrary<number> {
  return fc.integer({ min, max });
}

function jobs(size: ScenarioSize): fc.Arbitrary<ScenarioJob> {
  return fc.record({
    atS: integer(0, size.spanS),
    team: integer(0, 2),
    tasks: integer(1, size.tasks),
    cores: fc.constantFrom(1, 2, 2, 4, 8),
    runS: size.runS
      ? integer(...size.runS)
      : fc.oneof({ weight: 4, arbitrary: integer(2, 25) }, { weight: 1, arbitrary: integer(30, 90) }),
    priority: integer(0, 3),
    rule: fc.constantFrom(
      'any' as const,
      'any' as const,
      'one zone' as const,
      'spread' as const,
      'a zone' as const,
      'a type' as const,
    ),
    spot: fc.boolean(),
    checkpoint: fc.boolean(),
    service: fc.constantFrom(false, false, false, true),
    broken: fc.constantFrom(...Array<boolean>(9).fill(false), true),
    cancelAfterS: fc.option(integer(1, 50), { freq: 3 }),
    againAfterS: fc.option(integer(1, 120), { freq: 4 }),
  });
}

/**
 * By a scenario's pace, in seconds: the worker lease, and how long tasks of a job may still run after its
 * cancellation is confirmed.
 */
const leasesS = [
  { lease: 16, cancel: 36 },
  { lease: 31, cancel: 61 },
] as const;

/**
 * Seconds from the beginning of a fault to the steps that it causes: its immediate effects, the expiry of a
 * controller's lease in the store, the failover and the fencing of the first machines, the expiry of the
 * first worker leases, the expiry of the leader lease, the expiry of the worker leases that were renewed
 * last, and the end of the fault.
 */
function stepsS(pace: 0 | 1, forS: number): number[] {
  const { lease, cancel } = leasesS[pace];
  const leaderLease = cancel - lease - 3;
  const early = [0, 0.3, 1, 3, 3.7, 4.1, 4.6, 5.2, 6.5, 9];
  const byLeases = [leaderLease - 1, leaderLease + 0.5, lease, leaderLease + lease - 1];
  return [...early, ...byLeases, forS - 0.5, forS + 0.5, forS + 4.2];
}

/** A fault, and others that begin at a step that the first fault causes. */
interface CombinedFault {
  readonly first: Fault;
  readonly then: readonly { readonly fault: Fault; readonly step: number }[];
}

/**
 * A user's cancellation of a job, timed to a fault. `job` and `fault` are indexes modulo the number of jobs
 * and faults.
 */
interface TimedCancel {
  readonly job: number;
  readonly fault: number;
  readonly offsetS: number;
}

/** Adds combined faults, and cancellations just before faults and during them. */
function withCombinedFaults(
  base: fc.Arbitrary<Scenario>,
  fault: fc.Arbitrary<Fault>,
  [min, max]: readonly [number, number],
): fc.Arbitrary<Scenario> {
  const index = integer(0, 16);
  const later = fc.record({ fault, step: index });
  const combinations = fc.array(
    fc.record({ first: fault, then: fc.array(later, { minLength: 1, maxLength: 2, size: 'max' }) }),
    { minLength: min, maxLength: max, size: 'max' },
  );
  const cancels = fc.array(fc.record({ job: index, fault: index, offsetS: integer(-2, 10) }), {
    maxLength: 8,
    size: 'max',
  });
  return fc.tuple(base, combinations, cancels).map(([scenario, drawnCombinations, drawnCancels]) => {
    const combined = drawnCombinations.flatMap((combination) => faultsOf(combination, scenario.pace));
    const all = [...scenario.faults, ...combined];
    return { ...scenario, jobs: cancelJobs(scenario.jobs, all, drawnCancels), faults: all };
  });
}

function faultsOf({ first, then }: CombinedFault, pace: 0 | 1): Fault[] {
  const steps = stepsS(pace, first.forS);
  const later = then.map(({ fault, step }) => {
    const afterS = steps[step % steps.length] ?? 0;
    return { ...fault, atS: Math.max(1, first.atS + afterS) };
  });
  return [first, ...later];
}

/** Times cancellations of some jobs to faults. A job that is submitted only later stays unchanged. */
function cancelJobs(
  drawn: readonly ScenarioJob[],
  all: readonly Fault[],
  cancels: readonly TimedCancel[],
): ScenarioJob[] {
  return drawn.map((job, position) => {
    const cancel = cancels.find((each) => each.job % drawn.length === position);
    if (!cancel) return job;
    const faultAtS = all[cancel.fault % all.length]?.atS ?? 0;
    const cancelAtS = faultAtS + cancel.offsetS;
    return cancelAtS <= job.atS ? job : { ...job, cancelAfterS: cancelAtS - job.atS };
  });
}
