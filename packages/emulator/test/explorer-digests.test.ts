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
      '888c989da75128ae24f319b331f6315d63a0d26ecadc3d1bd2f6e3d7c87898be',
      'fe17049a9a88912f651cb0fa75c15da0f89e5680df8be1ce3f439f4fbc1bcd1a',
    ],
  ],
  [
    'storm',
    [
      '86668371cb51a8f6b3b647606c187990d80415afa06289e0332be77825e96d08',
      '707786a0dc88ea1da76ebaa5455a609bc6c913408dadda8980e368b40a0be86c',
    ],
  ],
  [
    'strangers',
    [
      '460833c18376a5aa7f20f9a7b1663fe1b4e492f1143bb33f26b1d8775856a120',
      '8086e50faa1106cfedbb292c8005ba91da17fd085dc72312eb9a3537a27079b8',
    ],
  ],
  [
    'meetings',
    [
      '07f54248c91940510e304e207de6d57cefbc7fe8bbab2c664b14944a2f0f82ea',
      '1151219a17af842cd0e906448423ab4fd4d2b88a95e03bef080d285fd1534be8',
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
      '543add792313cdb047be143596fcb1596baf74683858482886bf62e18d50c2e9',
    );
  });
});
