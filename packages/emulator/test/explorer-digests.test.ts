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
      '76df14ac671da357132d56e043815536af4390322d5a677e6fc957c83079e94a',
    ],
  ],
  [
    'storm',
    [
      '00b028417c36d2b6eb799869eafa7fc3fe95edc7b6b0927a290e546bb8181e55',
      '5d8b2cc17c4c8ed6ff3a2299ec1d9bb3b239ef814234f60b01197b06a15f12cd',
    ],
  ],
  [
    'strangers',
    [
      'b778fae69bab98e4643b6c53bf65e53d3683b62a0746ef1ccda144b1779954dd',
      '089c0fd14b5f0c54efaf765a5685ccd5578ac30626a4042797eaebba24b8cde8',
    ],
  ],
  [
    'meetings',
    [
      'c2e23c7cee2ff99aee1ec0cdb08304e383229b0fa2cd9f32c182146335d7bb4d',
      '0ea9a7ca0bb00d71512ad2f57415e59328203d33f20ccf9b913b39adb39428f9',
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
      '1c25e222f927ee5a8f102ddc5236613e3ded01ef2f9ea435d89e7fc43932da46',
    );
  });
});
