import { Agent, request as httpRequest } from 'node:http';
import type { Duplex } from 'node:stream';
import { CLIENT_SOCKETS, KEEP_ALIVE_MS } from '../constants.ts';

export interface HttpResponse {
  status: number;
  text: string;
}

/** The call got no complete answer: whether it was carried out is unknown. */
export class NoAnswer extends Error {
  readonly code = 'NO_ANSWER';
}

export interface HttpCall {
  address: string;
  method: 'GET' | 'POST' | 'DELETE';
  path: string;
  body?: string;
  deadlineMs: number;
  signal?: AbortSignal;
}

export type HttpClient = (call: HttpCall) => Promise<HttpResponse>;

/** Keeps idle connections open while there are not too many connections in all, whatever the number of addresses. */
class BoundedAgent extends Agent {
  constructor(private readonly kept: number) {
    super({
      keepAlive: true,
      maxSockets: CLIENT_SOCKETS,
      scheduling: 'lifo',
      timeout: KEEP_ALIVE_MS, // ends a connection that lies idle; calls have deadlines of their own
    });
  }

  /** Node's hook: false closes the connection that has just become idle. */
  override keepSocketAlive(socket: Duplex): boolean {
    const { totalSocketCount } = this as unknown as { totalSocketCount: number };
    // eslint-disable-next-line @typescript-eslint/no-confusing-void-expression -- typed void; Node returns a boolean
    return totalSocketCount <= this.kept && (super.keepSocketAlive(socket) as unknown as boolean);
  }
}

/**
 * A client that keeps up to `kept` connections open when they are idle, and gives every call a deadline for its whole
 * answer.
 */
export function httpClient(kept = Infinity): HttpClient {
  const agent = new BoundedAgent(kept);
  return (call) =>
    new Promise((resolve, reject) => {
      // Before a request exists: one destroyed without a listener for its error would end the process.
      if (call.signal?.aborted) return reject(new NoAnswer(`${call.method} ${call.path}: cancelled`));
      const colon = call.address.lastIndexOf(':');
      const headers: Record<string, string | number> = {};
      if (call.body !== undefined) {
        headers['content-type'] = 'application/json';
        headers['content-length'] = Buffer.byteLength(call.body);
      }
      const req = httpRequest({
        agent,
        host: call.address.slice(0, colon),
        port: Number(call.address.slice(colon + 1)),
        method: call.method,
        path: call.path,
        headers,
      });
      let settled = false;
      const fail = (why: string): void => {
        if (settled) return;
        settled = true;
        cleanUp();
        req.destroy();
        reject(new NoAnswer(`${call.method} ${call.path}: ${why}`));
      };
      const onAbort = (): void => fail('cancelled');
      // A process that was late reads what has arrived meanwhile before it calls that no answer.
      const late = (): void => fail(`no answer within ${String(call.deadlineMs)} ms`);
      const timer = setTimeout(() => setImmediate(late), call.deadlineMs);
      const cleanUp = (): void => {
        clearTimeout(timer);
        call.signal?.removeEventListener('abort', onAbort);
      };
      call.signal?.addEventListener('abort', onAbort);
      req.on('error', (error) => fail(error.message));
      req.on('response', (res) => {
        const chunks: Buffer[] = [];
        res.on('data', (chunk: Buffer) => chunks.push(chunk));
        res.on('error', (error) => fail(error.message));
        res.on('close', () => fail('connection closed'));
        res.on('end', () => {
          if (settled || !res.complete) return;
          settled = true;
          cleanUp();
          resolve({ status: res.statusCode ?? 0, text: Buffer.concat(chunks).toString('utf8') });
        });
      });
      req.end(call.body);
    });
}
