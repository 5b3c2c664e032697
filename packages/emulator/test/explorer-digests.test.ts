import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { scenarioSeed, runSeededScenario, runDigest, type SizeName } from '../src/randomized-testing.ts';

/**
 * Guards the histories of the explorer's first runs of seed 1: what starts, ends and is told, when and where. The text
 * that goes into a digest names faults and rules (`InvariantChecker.record`), so renaming their fields changes digests too.
 */

const digests: [SizeName, string[]][] = [
  [
    'small',
    [
      'aa154cdfb57be13e1231a220f6a2000ee44e739d74371b9216dbdd54a23205a4',
      '1d005eaaa5726c222647cd412e03446bc69265e0449f920392233872e7738397',
    ],
  ],
  [
    'storm',
    [
      'd5c9e7244e9c12d61367387a135b82965d63b915fe342d1399cfc168165d6733',
      'd9d195e16634533f94233217be1008865fdc414685b1338cf385ebef77c0f4c2',
    ],
  ],
  [
    'strangers',
    [
      'ccfb5e6b8943cb7dd299d8756f62f47be974335e7576ee933a61f998de556032',
      '152df0ca3ff843775f62e98999e31f139750bbce94c512407060d08206a124e4',
    ],
  ],
  [
    'meetings',
    [
      '713a7de6457e7cc12df52b88119f7bd53494da24ddff4c84f1aea15b381c74f4',
      '4a26695c84ec579fde0d4e484ce8e035af0eaedcd25d358cd48058381d3fb35b',
    ],
  ],
];

describe('histories of the first runs of seed 1', () => {
  for (const [size, expected] of digests) {
    it(`are the recorded ones for the size ${size}`, async () => {
      const played: string[] = [];
      for (let number = 0; number < expected.length; number++)
        played.push((await runSeededScenario(size, scenarioSeed(1, number))).outcome.digest);
      assert.deepEqual(played, expected);
    });
  }

  it('come from recorded seeds, and make a recorded digest together', () => {
    assert.deepEqual(
      [0, 1, 2, 3].map((number) => scenarioSeed(1, number)),
      [416735690, 624792847, -650538385, 226430515],
    );
    assert.equal(
      runDigest(digests.flatMap(([, each]) => each)),
      '8d83e1286f09665706e4542f690a3804e847b1f75404a88f7d5dccc0133bc5ba',
    );
  });
});
