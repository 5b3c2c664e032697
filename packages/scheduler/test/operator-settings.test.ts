import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { readOperatorSettings } from '../src/operator-settings.ts';

describe('operator settings', () => {
  it('are read from XML, and rejected if the XML or a value is invalid', () => {
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
