import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { VERSION } from '../src/version.ts';
import manifest from '../../../package.json' with { type: 'json' };

describe('version', () => {
  it('is the version in the package manifest', () => {
    assert.equal(VERSION, manifest.version);
  });
});
