import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { readOperatorSettings } from '../src/operator-settings.ts';

describe('settings', () => {
  it('reads the operators’ XML and refuses a bad one', () => {
    assert.deepEqual(readOperatorSettings('<onyxkeel><log><level>debug</level></log><new/></onyxkeel>'), {
      logLevel: 'debug',
    });
    assert.throws(
      () => readOperatorSettings('<onyxkeel><log><level>loud</level></log></onyxkeel>'),
      /onyxkeel.log.level/,
    );
    assert.throws(() => readOperatorSettings('<onyxkeel>'), /line 1/);
  });
});
