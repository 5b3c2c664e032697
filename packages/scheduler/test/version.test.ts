import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { VERSION } from '../src/version.ts';
import manifest from '../../../package.json' with { type: 'json' };

describe('settings', () => {
  it('tells the version that the manifest has', () => {
    assert.equal(VERSION, manifest.version);
  });
});
