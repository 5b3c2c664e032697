import fc from 'fast-check';
import type { Scenario, Fault, ScenarioJob } from './scenario.ts';
import type { Loss } from './data-loss.ts';
import type { PartitionMode } from './network.ts';
import type { ScenarioSize } from './scenario-sizes.ts';

const modes: PartitionMode[] = ['drop', 'hold', 'reset', 'refuse'];

function losses(): fc.Arbitrary<Loss> {
  const of = fc.oneof(
    { weight: 3, arbitrary: fc.constant({ of: 'all' as const }) },
    {
      weight: 4,
      arbitrary: fc.record({ of: fc.constant('copy' as const), ageS: fc.integer({ min: 0, max: 60 }) }),
    },
    {
      weight: 2,
      arbitrary: fc.record({
        of: fc.constant('prefix' as const),
        prefix: fc.constantFrom(
          'job/',
          'live/',
          'live/job/',
          'live/machines/',
          'live/progress/',
          'live/part/',
          'live/quota/',
        ),
      }),
    },
    {
      weight: 1,
      arbitrary: fc.record({ of: fc.constant('keys' as const), count: fc.integer({ min: 1, max: 4 }) }),
    },
  );
  const how = fc.record({
    revisions: fc.constantFrom('back' as const, 'back' as const, 'on' as const, 'beyond' as const),
    leases: fc.boolean(),
  });
  return fc.tuple(of, how).map(([what, rest]) => ({ ...what, ...rest }));
}

/** Days of a size, with every kind of fault and any overlap of them. */
export function scenarios(size: ScenarioSize): fc.Arbitrary<Scenario> {
  const int = (min: number, max: number): fc.Arbitrary<number> => fc.integer({ min, max });
  const node = int(0, size.nodes[1] - 1);
  const zone = int(0, 2);
  const mode = fc.constantFrom(...modes);
  const share = fc.constantFrom(0.1, 0.3, 0.6, 1);
  // Some last longer than a lease and a cancellation together.
  const forS = fc.oneof({ weight: 3, arbitrary: int(1, 40) }, { weight: 1, arbitrary: int(40, 110) });
  const when = { atS: int(5, size.spanS), forS };
  type Fields = Record<string, fc.Arbitrary<unknown>>;
  const kind = (
    weight: number,
    name: Fault['kind'],
    fields: Fields,
  ): { weight: number; name: Fault['kind']; fields: Fields } => ({ weight, name, fields });
  const kinds = [
    kind(4, 'end', { node }),
    kind(3, 'end all', {}),
    kind(2, 'rolling', { gapS: int(3, 12) }),
    kind(4, 'freeze', { node }),
    kind(4, 'outage', {}),
    kind(4, 'refused', { node }),
    kind(2, 'late transactions', { share: fc.constantFrom(0.05, 0.3) }),
    kind(3, 'cloud outage', {}),
    kind(1, 'late cloud', { share: fc.constantFrom(0.1, 0.5) }),
    kind(6, 'cut', {
      node,
      from: fc.constantFrom(
        'all' as const,
        'state' as const,
        'workers' as const,
        'siblings' as const,
        'cloud' as const,
        'users' as const,
        // The days of the other sizes stay as they were drawn.
        ...(size.meetings ? ['state and siblings' as const, 'state and siblings' as const] : []),
      ),
      mode,
    }),
    kind(4, 'zone cut', { zone, mode }),
    kind(3, 'zones apart', { zone, other: zone, mode }),
    kind(3, 'hang', { share }),
    kind(2, 'die', { share: fc.constantFrom(0.1, 0.3) }),
    kind(2, 'sick', { share: fc.constantFrom(0.1, 0.3) }),
    kind(2, 'taken', { share, noticeS: fc.constantFrom(0, 10, 25) }),
    kind(1, 'slow boots', { factor: fc.constantFrom(2, 4) }),
    kind(1, 'no capacity', {}),
    // The protocol promises a store that loses nothing: only the size that is about losses has them.
    kind(14, 'lose', { loss: losses() }),
    kind(14, 'back', {
      node: fc.option(node, { freq: 3 }),
      times: int(1, 4),
      backMs: fc.oneof(int(50, 900), int(900, 10_000)),
    }),
    kind(14, 'repeats', { share: fc.constantFrom(0.02, 0.1, 0.3) }),
    kind(4, 'late writes', { share: fc.constantFrom(0.1, 0.4, 0.8) }),
    kind(3, 'late reports', { share: fc.constantFrom(0.1, 0.5) }),
    kind(4, 'deaf', { share: fc.constantFrom(0.3, 0.6, 1), zone: fc.option(zone) }),
    kind(2, 'held orders', { share: fc.constantFrom(0.1, 0.4) }),
    kind(4, 'mute', { share: fc.constantFrom(0.3, 0.6, 1), zone: fc.option(zone) }),
    kind(4, 'lost answers', { share: fc.constantFrom(0.1, 0.4, 0.8) }),
    kind(3, 'kept reports', { share: fc.constantFrom(0.1, 0.5) }),
    kind(4, 'cancel now', { count: int(1, 6), hangS: fc.constantFrom(0, 8, 30, 60) }),
    kind(2, 'cancel at end', { share: fc.constantFrom(0.3, 1) }),
    kind(4, 'close looks', {}),
    kind(2, 'odd requests', {}),
    kind(3, 'slow state', { mostMs: fc.constantFrom(800, 3000, 6000) }),
  ];
  const special: Fault['kind'][] = [
    'lose',
    'back',
    'repeats',
    'late writes',
    'late reports',
    'deaf',
    'held orders',
    'slow state',
    'mute',
    'lost answers',
    'kept reports',
    'cancel now',
    'cancel at end',
    'close looks',
    'odd requests',
  ];
  const wanted = kinds.filter(({ name }) => size.only?.includes(name) ?? !special.includes(name));
  const fault = fc.oneof(
    ...wanted.map(({ weight, name, fields }) => ({
      weight,
      arbitrary: fc.record({ ...when, kind: fc.constant(name), ...fields }) as unknown as fc.Arbitrary<Fault>,
    })),
  );
  const job: fc.Arbitrary<ScenarioJob> = fc.record({
    atS: int(0, size.spanS),
    team: int(0, 2),
    tasks: int(1, size.tasks),
    cores: fc.constantFrom(1, 2, 2, 4, 8),
    runS: size.runS
      ? int(...size.runS)
      : fc.oneof({ weight: 4, arbitrary: int(2, 25) }, { weight: 1, arbitrary: int(30, 90) }),
    priority: int(0, 3),
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
    cancelAfterS: fc.option(int(1, 50), { freq: 3 }),
    againAfterS: fc.option(int(1, 120), { freq: 4 }),
  });
  const plain = fc.record({
    seed: int(0, 2 ** 30),
    zones: int(...size.zones),
    nodes: int(...size.nodes),
    machines: int(...size.machines),
    capacity: int(1, 3),
    pace: fc.constantFrom(0 as const, 1 as const),
    teamLimits: fc.tuple(fc.constantFrom(0, 16, 40, 400), fc.constantFrom(0, 24, 4000), fc.constant(0)),
    jobs: fc.array(job, { minLength: size.jobs[0], maxLength: size.jobs[1], size: 'max' }),
    faults: fc.array(fault, { minLength: size.faults[0], maxLength: size.faults[1], size: 'max' }),
  });
  return size.meetings ? meeting(plain, fault, size.meetings) : plain;
}

/** Leases, cancellations and what follows from them, in seconds, by a day's pace (`deploymentOf`). */
const paceS = [
  { lease: 16, cancel: 36 },
  { lease: 31, cancel: 61 },
] as const;

/**
 * Seconds from a trouble's begin to the steps of what it sets off: at once, a node's lease at its end, the takeover and
 * the first machines asked, the end of the first leases, the end of a proof of contact, and of the leases renewed last.
 */
function stepsS(pace: 0 | 1, forS: number): number[] {
  const { lease, cancel } = paceS[pace];
  const proof = cancel - lease - 3;
  const from = [0, 0.3, 1, 3, 3.7, 4.1, 4.6, 5.2, 6.5, 9];
  return [...from, proof - 1, proof + 0.5, lease, proof + lease - 1, forS - 0.5, forS + 0.5, forS + 4.2];
}

/** Days on which troubles meet: each later one of a group begins at a step of what the first sets off. */
function meeting(
  plain: fc.Arbitrary<Scenario>,
  fault: fc.Arbitrary<Fault>,
  [least, most]: [number, number],
): fc.Arbitrary<Scenario> {
  const index = fc.integer({ min: 0, max: 16 });
  const later = fc.record({ fault, step: index });
  const groups = fc.array(
    fc.record({ first: fault, then: fc.array(later, { minLength: 1, maxLength: 2, size: 'max' }) }),
    { minLength: least, maxLength: most, size: 'max' },
  );
  // Users cancel just before troubles, and in them.
  const cancels = fc.array(
    fc.record({ job: index, fault: index, offsetS: fc.integer({ min: -2, max: 10 }) }),
    { maxLength: 8, size: 'max' },
  );
  return fc.tuple(plain, groups, cancels).map(([scenario, drawn, around]) => {
    const met = drawn.flatMap(({ first, then }) => [
      first,
      ...then.map((each) => {
        const steps = stepsS(scenario.pace, first.forS);
        return { ...each.fault, atS: Math.max(1, first.atS + (steps[each.step % steps.length] ?? 0)) };
      }),
    ]);
    const faults = [...scenario.faults, ...met];
    const jobs = scenario.jobs.map((job, n) => {
      const cancel = around.find((c) => c.job % scenario.jobs.length === n);
      const at = faults[(cancel?.fault ?? 0) % faults.length]?.atS ?? 0;
      if (!cancel || at + cancel.offsetS <= job.atS) return job;
      return { ...job, cancelAfterS: at + cancel.offsetS - job.atS };
    });
    return { ...scenario, jobs, faults };
  });
}
