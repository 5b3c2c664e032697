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
      '4deb95582963eee65958c0631038ad39c1103828bbcee2d430a596b00869c955',
    ],
  ],
  [
    'storm',
    [
      '2c445a6113c0eed8db6075307cf323d709f1f61705a7a0aabd3e5c4f078c32f1',
      '8c75bc6e697dbef518677ea7029ae7cc4ab3a825639e5784749accd41d88b765',
    ],
  ],
  [
    'strangers',
    [
      'f75d02de8148467d15fef0c5328441a14ba4763126c5f7c9a10efe469caaf78f',
      'd6a764a3c11ee96779cca9da8597e825dcfa6c6d34f0bb4ca06d03c621f2aafc',
    ],
  ],
  [
    'meetings',
    [
      'b06bda1ad239d5c8a4bf3f285ad25427f6839cb4da1a507c9de28571bc5b1f2e',
      '3de71189f096f78096ddfc7481909ec138dadfcc2a4448a2388e2f3a2ae82d0b',
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
      'bd738e21ad5261d55e795e346cb138852b909430a711ca7a0f19910db9be73f1',
    );
  });
});
