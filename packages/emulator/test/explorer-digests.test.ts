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
      '67af7554ea4ceda08c54cdd002282121af15e67a17816a5f46a01d721a69d828',
    ],
  ],
  [
    'storm',
    [
      '46bf826a25274e8d98ea267261149035d7ffef3d60497d5af3155f0939ebf51f',
      'b6efca4f063dab737dc8a4873a2eb8049ce17eef7593e38977c646c01d43a767',
    ],
  ],
  [
    'strangers',
    [
      'fab8d45149f1e24f6b19c2c872395cd0712bc643087c5af288f7ed7e859c95f7',
      '70759cf1a41b7d83eea3f34d5bdffeb7a1a01204c15b2ad4bb77981a885929ef',
    ],
  ],
  [
    'meetings',
    [
      '8d34599d2b1e3b7ee51f2c193ba3b5823c02d3c1c3a910d4a09bb2c8be07594c',
      '8c0c56c60a472309ef036bd9ca81d34de0a6c0b024486de1dd9179d03c424cc5',
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
      '0883a54e00ecac146ecc3f7aa8c7101215c16647c7d5afb45b689cf90d51e15e',
    );
  });
});
