import assert from 'node:assert/strict';
import { createServer, type RequestListener } from 'node:http';
import { describe, it, mock } from 'node:test';
import { MAX_BODY_BYTES } from '../src/constants.ts';
import { type ApiHandlers, httpApi } from '../src/protocol/http-api.ts';
import { httpClient, NoAnswer } from '../src/transport/http-client.ts';
import { requestListener } from '../src/transport/http-server.ts';

/** Runs `use` with the address of a loopback server, then closes the server. */
async function withServer(
  listener: RequestListener,
  use: (address: string) => Promise<void>,
  host = '127.0.0.1',
): Promise<void> {
  const server = createServer(listener);
  await new Promise<void>((resolve) => server.listen(0, host, resolve));
  const at = server.address();
  try {
    await use(`127.0.0.1:${String(typeof at === 'object' ? at?.port : '')}`);
  } finally {
    server.closeAllConnections();
    server.close();
  }
}

describe('HTTP client', () => {
  it('rejects a call that is aborted before it starts, and does not end the process', async () => {
    const call = { address: '127.0.0.1:9', method: 'GET' as const, path: '/', deadlineMs: 1000 };
    await assert.rejects(httpClient()({ ...call, signal: AbortSignal.abort() }), NoAnswer);
    // An unhandled error would end the process in a later turn of the event loop.
    await new Promise((resolve) => setImmediate(resolve));
  });
});

describe('HTTP client with many addresses', () => {
  it('keeps at most the allowed number of idle connections open', async () => {
    const open = new Set<object>();
    const listener: RequestListener = (req, res) => {
      open.add(req.socket);
      req.socket.once('close', () => open.delete(req.socket));
      res.end('{}');
    };
    await withServer(
      listener,
      async (address) => {
        const http = httpClient(3);
        const port = address.split(':')[1] ?? '';
        // All addresses in 127.0.0.0/8 are loopback addresses.
        const call = (n: number): Promise<unknown> =>
          http({ address: `127.0.0.${String(n)}:${port}`, method: 'GET', path: '/', deadlineMs: 5000 });
        for (let n = 1; n <= 8; n++) await call(n);
        for (let turns = 0; turns < 1000 && open.size > 3; turns++)
          await new Promise((resolve) => setImmediate(resolve));
        assert.equal(open.size, 3);
        for (let n = 8; n > 0; n--) await call(n);
      },
      '0.0.0.0',
    );
  });
});

describe('HTTP client of a blocked process', () => {
  it('reads a response that has already arrived before it reports a missed deadline', async () => {
    const realSetTimeout = setTimeout;
    let passDeadline = (): void => {};
    const pastDeadline = new Promise<void>((resolve) => (passDeadline = resolve));
    const listener: RequestListener = (_req, res) => {
      res.end('{}');
      // Blocks the process past the deadline: timers fire before the received response is read.
      const until = performance.now() + 5;
      realSetTimeout(() => {
        mock.timers.tick(1000);
        passDeadline();
      }, 1);
      while (performance.now() < until);
    };
    await withServer(listener, async (address) => {
      mock.timers.enable({ apis: ['setTimeout'] });
      try {
        const answer = await httpClient()({ address, method: 'GET', path: '/', deadlineMs: 1000 });
        assert.equal(answer.status, 200);
        // On a busy machine the response may be read first. The timers stay mocked until the deadline has
        // passed.
        await pastDeadline;
      } finally {
        mock.timers.reset();
      }
    });
  });
});

describe('HTTP server', () => {
  it('answers 413 to a body over the limit without buffering it, 400 to a malformed request, and continues', async () => {
    const unexpectedCall = (): never => assert.fail('no handler is called');
    const handlers: ApiHandlers = {
      submit: unexpectedCall,
      status: unexpectedCall,
      cancel: unexpectedCall,
      heartbeat: unexpectedCall,
      ready: () => true,
    };
    await withServer(requestListener(httpApi(handlers)), async (address) => {
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
