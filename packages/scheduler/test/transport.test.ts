import assert from 'node:assert/strict';
import { createServer, type RequestListener } from 'node:http';
import { describe, it, mock } from 'node:test';
import { MAX_BODY_BYTES } from '../src/constants.ts';
import { httpApi } from '../src/protocol/http-api.ts';
import { httpClient, NoAnswer } from '../src/transport/http-client.ts';
import { requestListener } from '../src/transport/http-server.ts';

/** A server on loopback while `use` runs. */
async function served(listener: RequestListener, use: (address: string) => Promise<void>): Promise<void> {
  const server = createServer(listener);
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  const at = server.address();
  try {
    await use(`127.0.0.1:${String(typeof at === 'object' ? at?.port : '')}`);
  } finally {
    server.closeAllConnections();
    server.close();
  }
}

describe('HTTP client', () => {
  it('gives a call that is cancelled before it starts no answer, and does not end the process', async () => {
    const call = { address: '127.0.0.1:9', method: 'GET' as const, path: '/', deadlineMs: 1000 };
    await assert.rejects(httpClient()({ ...call, signal: AbortSignal.abort() }), NoAnswer);
    // The process would end in a later turn.
    await new Promise((resolve) => setImmediate(resolve));
  });
});

describe('HTTP client without processor time', () => {
  it('reads the answer that lies in its socket before it calls a deadline missed', async () => {
    const later = setTimeout;
    const listener: RequestListener = (_req, res) => {
      res.end('{}');
      // The process is held up past the deadline: its timers come before what has arrived meanwhile.
      const until = performance.now() + 5;
      later(() => mock.timers.tick(1000), 1);
      while (performance.now() < until);
    };
    await served(listener, async (address) => {
      mock.timers.enable({ apis: ['setTimeout'] });
      try {
        const answer = await httpClient()({ address, method: 'GET', path: '/', deadlineMs: 1000 });
        assert.equal(answer.status, 200);
      } finally {
        mock.timers.reset();
      }
    });
  });
});

describe('HTTP server', () => {
  it('answers a body over the limit with 413 without keeping it, a malformed one with 400, and goes on', async () => {
    const reached = (): never => assert.fail('no handler is called');
    const handlers = {
      submit: reached,
      status: reached,
      withdraw: reached,
      report: reached,
      ready: () => true,
    };
    await served(requestListener(httpApi(handlers)), async (address) => {
      const http = httpClient();
      const post = async (path: string, body: string): Promise<number> =>
        (await http({ address, method: 'POST', path, body, deadlineMs: 5000 })).status;
      const get = async (path: string): Promise<number> =>
        (await http({ address, method: 'GET', path, deadlineMs: 5000 })).status;
      for (const path of ['/checkin', '/v1/jobs']) {
        assert.equal(await post(path, 'x'.repeat(MAX_BODY_BYTES + 1)), 413);
        assert.equal(await post(path, 'x'.repeat(MAX_BODY_BYTES)), 400, 'at the limit, but not JSON');
        assert.equal(await post(path, '{"banco":'), 400);
      }
      assert.equal(await get('/ready?x=1'), 200);
      assert.equal(await get('/v2'), 404);
    });
  });
});
