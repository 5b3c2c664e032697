import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { httpClient, NoAnswer } from '../src/transport/http-client.ts';

describe('HTTP client', () => {
  it('gives a call that is cancelled before it starts no answer, and does not end the process', async () => {
    const call = { address: '127.0.0.1:9', method: 'GET' as const, path: '/', deadlineMs: 1000 };
    await assert.rejects(httpClient()({ ...call, signal: AbortSignal.abort() }), NoAnswer);
    // The process would end in a later turn.
    await new Promise((resolve) => setImmediate(resolve));
  });
});
