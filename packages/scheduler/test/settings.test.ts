import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { readSettings } from '../src/settings.ts';

describe('settings', () => {
  it('are rejected with an error that names the invalid field', () => {
    assert.throws(() => readSettings({}), /^Error: node_name: /);
  });
});
