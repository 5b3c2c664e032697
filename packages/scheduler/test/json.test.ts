import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { parseJson, stringifyJson } from '../src/protocol/json.ts';
import { decodeHeartbeat } from '../src/protocol/workers.ts';

describe('JSON', () => {
  it('keeps integers above 2^53 exact', () => {
    const text = '{"edizione":18446744073709551615,"n":4.5,"s":"1234567890123456789"}';
    const parsed = parseJson(text) as { edizione: bigint };
    assert.equal(parsed.edizione, 18446744073709551615n);
    assert.equal(stringifyJson(parsed), text);
    const report = decodeHeartbeat({
      banco: 'm',
      endpoint: 'x:1',
      modello: 't',
      sede: 'a',
      turno: 1,
      progressivo: 18446744073709551615n,
      pratiche: [],
    });
    assert.equal(report?.sequence, 18446744073709551615n);
  });
});
