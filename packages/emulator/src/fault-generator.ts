/**
 * fast-check arbitraries of faults. The order and the weights of the kinds, and the order of a kind's fields,
 * decide what a seed generates: any change of them gives different scenarios, and so different digests.
 */
import fc from 'fast-check';
import type { Loss } from './data-loss.ts';
import type { PartitionMode } from './network.ts';
import type { Fault, PartitionFrom } from './scenario.ts';
import type { ScenarioSize } from './scenario-sizes.ts';

type Fields = Record<string, fc.Arbitrary<unknown>>;
type Kind = Fault['kind'];

interface WeightedKind {
  readonly weight: number;
  readonly name: Kind;
  readonly fields: Fields;
}

/**
 * Kinds that a size includes only if its `only` lists them: PROTOCOL excludes some, and others were added
 * after the sizes.
 */
const optInKinds: ReadonlySet<Kind> = new Set<Kind>([
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
  'repeated orders',
  'kept orders',
]);

/** Faults of the kinds that the size includes. */
export function faults(size: ScenarioSize): fc.Arbitrary<Fault> {
  const isIncluded = ({ name }: WeightedKind): boolean => size.only?.includes(name) ?? !optInKinds.has(name);
  const when = { atS: integer(5, size.spanS), forS: durations() };
  return fc.oneof(
    ...allKinds(size)
      .filter(isIncluded)
      .map(({ weight, name, fields }) => ({
        weight,
        // The type `WeightedKind` can't express that the fields belong to the kind.
        arbitrary: fc.record({
          ...when,
          kind: fc.constant(name),
          ...fields,
        }) as unknown as fc.Arbitrary<Fault>,
      })),
  );
}

function integer(min: number, max: number): fc.Arbitrary<number> {
  return fc.integer({ min, max });
}

/** Seconds that a fault lasts: some last longer than a worker lease and a cancellation together. */
function durations(): fc.Arbitrary<number> {
  return fc.oneof({ weight: 3, arbitrary: integer(1, 40) }, { weight: 1, arbitrary: integer(40, 110) });
}

function kind(weight: number, name: Kind, fields: Fields): WeightedKind {
  return { weight, name, fields };
}

function allKinds(size: ScenarioSize): WeightedKind[] {
  const node = integer(0, size.nodes[1] - 1);
  return [
    ...processKinds(node),
    ...storeAndCloudKinds(node),
    ...partitionKinds(node, size),
    ...machineKinds(),
    ...dataLossAndRestartKinds(node, size.backMs),
    ...messageKinds(),
    ...userKinds(),
    kind(3, 'slow state', { mostMs: fc.constantFrom(800, 3000, 6000) }),
  ];
}

function processKinds(node: fc.Arbitrary<number>): WeightedKind[] {
  return [
    kind(4, 'end', { node }),
    kind(3, 'end all', {}),
    kind(2, 'rolling', { gapS: integer(3, 12) }),
    kind(4, 'freeze', { node }),
  ];
}

function storeAndCloudKinds(node: fc.Arbitrary<number>): WeightedKind[] {
  return [
    kind(4, 'outage', {}),
    kind(4, 'refused', { node }),
    kind(2, 'late transactions', { share: fc.constantFrom(0.05, 0.3) }),
    kind(3, 'cloud outage', {}),
    kind(1, 'late cloud', { share: fc.constantFrom(0.1, 0.5) }),
  ];
}

function partitionKinds(node: fc.Arbitrary<number>, size: ScenarioSize): WeightedKind[] {
  const zone = integer(0, 2);
  const mode = fc.constantFrom<PartitionMode[]>('drop', 'hold', 'reset', 'refuse');
  const from = fc.constantFrom<PartitionFrom[]>(
    'all',
    'state',
    'workers',
    'siblings',
    'cloud',
    'users',
    // Only here, as a seed must generate the same scenarios of the other sizes: their digests are recorded.
    ...(size.combinedFaults ? (['state and siblings', 'state and siblings'] as const) : []),
  );
  return [
    kind(6, 'cut', { node, from, mode }),
    kind(4, 'zone cut', { zone, mode }),
    kind(3, 'zones apart', { zone, other: zone, mode }),
  ];
}

function machineKinds(): WeightedKind[] {
  const share = fc.constantFrom(0.1, 0.3, 0.6, 1);
  return [
    kind(3, 'hang', { share }),
    kind(2, 'die', { share: fc.constantFrom(0.1, 0.3) }),
    kind(2, 'sick', { share: fc.constantFrom(0.1, 0.3) }),
    kind(2, 'taken', { share, noticeS: fc.constantFrom(0, 10, 25) }),
    kind(1, 'slow boots', { factor: fc.constantFrom(2, 4) }),
    kind(1, 'no capacity', {}),
  ];
}

function dataLossAndRestartKinds(node: fc.Arbitrary<number>, backMs: ScenarioSize['backMs']): WeightedKind[] {
  return [
    // PROTOCOL guarantees that the store loses no data: only the size `losses` includes this kind.
    kind(14, 'lose', { loss: losses() }),
    kind(14, 'back', {
      node: fc.option(node, { freq: 3 }),
      times: integer(1, 4),
      backMs: backMs ? integer(...backMs) : fc.oneof(integer(50, 900), integer(900, 10_000)),
    }),
  ];
}

function messageKinds(): WeightedKind[] {
  const zone = fc.option(integer(0, 2));
  return [
    kind(14, 'repeats', { share: fc.constantFrom(0.02, 0.1, 0.3) }),
    kind(4, 'late writes', { share: fc.constantFrom(0.1, 0.4, 0.8) }),
    kind(3, 'late reports', { share: fc.constantFrom(0.1, 0.5) }),
    kind(4, 'deaf', { share: fc.constantFrom(0.3, 0.6, 1), zone }),
    kind(2, 'held orders', { share: fc.constantFrom(0.1, 0.4) }),
    kind(4, 'mute', { share: fc.constantFrom(0.3, 0.6, 1), zone }),
    kind(4, 'lost answers', { share: fc.constantFrom(0.1, 0.4, 0.8) }),
    kind(3, 'kept reports', { share: fc.constantFrom(0.1, 0.5) }),
    kind(14, 'repeated orders', { share: fc.constantFrom(0.1, 0.5) }),
    kind(14, 'kept orders', { share: fc.constantFrom(0.1, 0.5) }),
  ];
}

function userKinds(): WeightedKind[] {
  return [
    kind(4, 'cancel now', { count: integer(1, 6), hangS: fc.constantFrom(0, 8, 30, 60) }),
    kind(2, 'cancel at end', { share: fc.constantFrom(0.3, 1) }),
    kind(4, 'close looks', {}),
    kind(2, 'odd requests', {}),
  ];
}

/** Losses of the store's data: what is lost, how revisions continue, and whether leases are lost too. */
function losses(): fc.Arbitrary<Loss> {
  const what = fc.oneof(
    { weight: 3, arbitrary: fc.constant({ of: 'all' as const }) },
    { weight: 4, arbitrary: fc.record({ of: fc.constant('copy' as const), ageS: integer(0, 60) }) },
    { weight: 2, arbitrary: fc.record({ of: fc.constant('prefix' as const), prefix: lostPrefixes() }) },
    { weight: 1, arbitrary: fc.record({ of: fc.constant('keys' as const), count: integer(1, 4) }) },
  );
  const how = fc.record({
    revisions: fc.constantFrom('back' as const, 'back' as const, 'on' as const, 'beyond' as const),
    leases: fc.boolean(),
  });
  return fc.tuple(what, how).map(([lost, rest]) => ({ ...lost, ...rest }));
}

function lostPrefixes(): fc.Arbitrary<string> {
  return fc.constantFrom(
    'job/',
    'live/',
    'live/job/',
    'live/machines/',
    'live/progress/',
    'live/part/',
    'live/quota/',
  );
}
