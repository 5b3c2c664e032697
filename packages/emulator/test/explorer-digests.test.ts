import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { scenarioSeed, runSeededScenario, runDigest, type SizeName } from '../src/randomized-testing.ts';

/**
 * Guards the histories of the explorer's first runs of seed 1: which tasks start and end, what is answered,
 * when and where. A digest covers codes, ids and numbers (`InvariantChecker.record`). Renaming a code or a
 * field of a fault changes the digest. Rewording a message does not.
 */

const digests: [SizeName, string[]][] = [
  [
    'small',
    [
      '0e1c373ee032e8f1f35e0c06dff46ca029054f47c25905e10b319ed8a0b1c83e',
      '2ba43d94825c08589b4d74c7312bf6d778b082c98b2b285998a91aa76eb6d1db',
    ],
  ],
  [
    'storm',
    [
      'b893ae4e9d50efc51fa4d6bbd120561bb0810bf38ab8276dc37220bc6841df2f',
      '33cfa4289b7ab864821b67c790ed6af92ac2e50f061c005bbe41e65ffc61240e',
    ],
  ],
  [
    'strangers',
    [
      'a5fe00189654e8acd07eabb6205b9be2ac278dfa9130d787aa163e5a93e9885e',
      '71c34af7ce1232ed8ec941cb06e4ddd688064d4d28841debdd9ba3c9823d6804',
    ],
  ],
  [
    'meetings',
    [
      'bd163765ee4cacb937823368659a500f07cf95e738fc2085219206e21dc7091a',
      '14e504d6d1dd542e116f114a19a84ee699e9ecf4017eaa2f4667f7e0945ead91',
    ],
  ],
];

describe('histories of the first runs of seed 1', () => {
  for (const [size, expected] of digests) {
    it(`match the recorded digests for size ${size}`, async () => {
      const actual: string[] = [];
      for (let number = 0; number < expected.length; number++)
        actual.push((await runSeededScenario(size, scenarioSeed(1, number))).outcome.digest);
      assert.deepEqual(actual, expected);
    });
  }

  it('come from the recorded scenario seeds and match the recorded digest of all runs', () => {
    assert.deepEqual(
      [0, 1, 2, 3].map((number) => scenarioSeed(1, number)),
      [416735690, 624792847, -650538385, 226430515],
    );
    assert.equal(
      runDigest(digests.flatMap(([, each]) => each)),
      'bd9a37942165fdba4eca6fbd28371529ea575d3e3cde873aeac72bd2bb07e764',
    );
  });
});
