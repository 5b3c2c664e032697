/**
 * The JSON format of scenarios that `explore` prints and reads with `--day`: a recorded format (see
 * `scenario.ts`).
 */
import * as z from 'zod/mini';
import type { Scenario } from './scenario.ts';

const second = z.number().check(z.minimum(0), z.maximum(100_000));
const share = z.number().check(z.minimum(0), z.maximum(1));
const index = z.int().check(z.minimum(0), z.maximum(100));
const mode = z.enum(['drop', 'hold', 'reset', 'refuse']);
const when = { atS: second, forS: second };

const how = { revisions: z.enum(['back', 'on', 'beyond']), leases: z.boolean() };
const loss = z.discriminatedUnion('of', [
  z.object({ ...how, of: z.literal('all') }),
  z.object({ ...how, of: z.literal('copy'), ageS: second }),
  z.object({ ...how, of: z.literal('prefix'), prefix: z.string().check(z.minLength(1)) }),
  z.object({ ...how, of: z.literal('keys'), count: z.int().check(z.minimum(1), z.maximum(1000)) }),
]);

const fault = z.discriminatedUnion('kind', [
  z.object({ ...when, kind: z.literal('end'), node: index }),
  z.object({ ...when, kind: z.literal('end all') }),
  z.object({ ...when, kind: z.literal('rolling'), gapS: second }),
  z.object({
    ...when,
    kind: z.literal('back'),
    node: z.nullable(index),
    times: z.int().check(z.minimum(1), z.maximum(100)),
    backMs: z.number().check(z.minimum(1), z.maximum(100_000)),
  }),
  z.object({ ...when, kind: z.literal('repeats'), share }),
  z.object({ ...when, kind: z.literal('freeze'), node: index }),
  z.object({ ...when, kind: z.literal('outage') }),
  z.object({ ...when, kind: z.literal('refused'), node: index }),
  z.object({ ...when, kind: z.literal('late transactions'), share }),
  z.object({ ...when, kind: z.literal('late writes'), share }),
  z.object({ ...when, kind: z.literal('late reports'), share }),
  z.object({ ...when, kind: z.literal('deaf'), share, zone: z.nullable(index) }),
  z.object({ ...when, kind: z.literal('held orders'), share }),
  z.object({ ...when, kind: z.literal('repeated orders'), share }),
  z.object({ ...when, kind: z.literal('kept orders'), share }),
  z.object({ ...when, kind: z.literal('mute'), share, zone: z.nullable(index) }),
  z.object({ ...when, kind: z.literal('lost answers'), share }),
  z.object({ ...when, kind: z.literal('kept reports'), share }),
  z.object({
    ...when,
    kind: z.literal('cancel now'),
    count: z.int().check(z.minimum(1), z.maximum(1000)),
    hangS: second,
  }),
  z.object({ ...when, kind: z.literal('cancel at end'), share }),
  z.object({ ...when, kind: z.literal('close looks') }),
  z.object({ ...when, kind: z.literal('odd requests') }),
  z.object({
    ...when,
    kind: z.literal('slow state'),
    mostMs: z.number().check(z.minimum(1), z.maximum(60_000)),
  }),
  z.object({ ...when, kind: z.literal('cloud outage') }),
  z.object({ ...when, kind: z.literal('late cloud'), share }),
  z.object({
    ...when,
    kind: z.literal('cut'),
    node: index,
    from: z.enum(['all', 'state', 'workers', 'siblings', 'cloud', 'users', 'state and siblings']),
    mode,
  }),
  z.object({ ...when, kind: z.literal('zone cut'), zone: index, mode }),
  z.object({ ...when, kind: z.literal('zones apart'), zone: index, other: index, mode }),
  z.object({ ...when, kind: z.literal('hang'), share }),
  z.object({ ...when, kind: z.literal('die'), share }),
  z.object({ ...when, kind: z.literal('sick'), share }),
  z.object({ ...when, kind: z.literal('taken'), share, noticeS: second }),
  z.object({ ...when, kind: z.literal('slow boots'), factor: z.number().check(z.positive()) }),
  z.object({ ...when, kind: z.literal('no capacity') }),
  z.object({ ...when, kind: z.literal('lose'), loss }),
]);

const job = z.object({
  atS: second,
  team: index,
  tasks: z.int().check(z.minimum(1), z.maximum(100_000)),
  cores: z.number().check(z.positive()),
  runS: z.number().check(z.positive()),
  priority: z.int().check(z.minimum(0), z.maximum(3)),
  rule: z.enum(['any', 'one zone', 'spread', 'a zone', 'a type']),
  spot: z.boolean(),
  checkpoint: z.boolean(),
  service: z.boolean(),
  broken: z.boolean(),
  cancelAfterS: z.nullable(second),
  againAfterS: z.nullable(second),
});

const scenario = z.object({
  seed: z.int(),
  zones: z.int().check(z.minimum(1), z.maximum(3)),
  nodes: z.int().check(z.minimum(1), z.maximum(12)),
  machines: z.int().check(z.minimum(1), z.maximum(1000)),
  capacity: z.int().check(z.minimum(1), z.maximum(10)),
  pace: z.union([z.literal(0), z.literal(1)]),
  teamLimits: z.array(z.number().check(z.minimum(0))).check(z.maxLength(3)),
  jobs: z.array(job),
  faults: z.array(fault),
});

/** A scenario's JSON is invalid. The message is one line: the invalid field and why, or `not JSON`. */
export class ScenarioFormatError extends Error {
  readonly code = 'SCENARIO_FORMAT';
}

/** Reads a scenario from its JSON. Throws `ScenarioFormatError`. */
export function readScenario(text: string): Scenario {
  let raw: unknown;
  try {
    raw = JSON.parse(text);
  } catch (cause) {
    throw new ScenarioFormatError('not JSON', { cause });
  }
  const result = z.safeParse(scenario, raw);
  if (result.success) return result.data;
  const issue = result.error.issues[0];
  throw new ScenarioFormatError(`${issue?.path.join('.') ?? '?'}: ${issue?.message ?? 'invalid'}`);
}
