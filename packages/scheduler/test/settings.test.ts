import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { readSettings } from '../src/settings.ts';

describe('settings', () => {
  it('names the field that is bad', () => {
    assert.throws(() => readSettings({}), /^Error: node_name: /);
  });
});
