/** Small typed helpers shared by the stand-ins: JSON over HTTP/1.1 on loopback. */
import { Agent, createServer, request, type Server } from 'node:http';

export const LOOPBACK = '127.0.0.1';

export type Json = Record<string, unknown>;

/** An answer; null means that the request is never answered. */
export type Answer = { status: number; body: unknown } | null;
export type Handler = (method: string, url: URL, body: Json) => Answer | Promise<Answer>;

export const sleep = (ms: number): Promise<void> => new Promise((resolve) => setTimeout(resolve, ms));

/** Milliseconds of a steady clock. */
export const now = (): number => performance.now();

export function text(value: unknown): string {
  return typeof value === 'string' ? value : '';
}

export function num(value: unknown, otherwise = 0): number {
  return typeof value === 'number' ? value : otherwise;
}

export function list(value: unknown): Json[] {
  return Array.isArray(value) ? (value as Json[]) : [];
}

function parse(body: string): Json {
  try {
    return (body === '' ? {} : JSON.parse(body)) as Json;
  } catch {
    return {};
  }
}

/** Serves the handler on a port of loopback; port 0 takes a free one. Resolves with the port. */
export async function serve(handler: Handler, port = 0): Promise<{ port: number; server: Server }> {
  const server = createServer({ keepAliveTimeout: 300_000 }, (req, res) => {
    const chunks: Buffer[] = [];
    req.on('data', (chunk: Buffer) => chunks.push(chunk));
    req.on('end', () => {
      const answer = async (): Promise<void> => {
        const url = new URL(req.url ?? '/', 'http://stand-in');
        const result = await handler(req.method ?? '', url, parse(Buffer.concat(chunks).toString('utf8')));
        if (result === null) return;
        const body = JSON.stringify(result.body ?? {});
        res.writeHead(result.status, {
          'content-type': 'application/json',
          'content-length': Buffer.byteLength(body),
        });
        res.end(body);
      };
      answer().catch((error: unknown) => {
        process.stderr.write(`stand-in: ${String(error)}\n`);
        res.destroy();
      });
    });
  });
  await new Promise<void>((resolve) => server.listen(port, LOOPBACK, resolve));
  const address = server.address();
  return { port: typeof address === 'object' && address ? address.port : 0, server };
}

/** Below the ports that the system gives to outgoing connections, so that none of these takes a port meanwhile. */
const FIRST_PORT = 20_000;
const PORTS = 12_000;

function isFree(port: number): Promise<boolean> {
  return new Promise((resolve) => {
    const server = createServer();
    server.once('error', () => resolve(false));
    server.listen(port, LOOPBACK, () => server.close(() => resolve(true)));
  });
}

/** Different free ports of loopback, which are not in use when this resolves. */
export async function freePorts(count: number): Promise<number[]> {
  const found = new Set<number>();
  while (found.size < count) {
    const port = FIRST_PORT + Math.floor(Math.random() * PORTS);
    if (await isFree(port)) found.add(port);
  }
  return [...found];
}

export interface Reply {
  /** 0: no answer in time, or a failed connection. */
  status: number;
  body: Json;
}

/** Makes a request. Never rejects. */
export function call(
  agent: Agent,
  port: number,
  method: string,
  path: string,
  body: unknown,
  deadlineMs: number,
): Promise<Reply> {
  return new Promise((resolve) => {
    const sent = body === undefined ? '' : JSON.stringify(body);
    const headers = { 'content-type': 'application/json', 'content-length': Buffer.byteLength(sent) };
    const req = request({ agent, host: LOOPBACK, port, method, path, headers });
    const timer = setTimeout(() => req.destroy(new Error('no answer in time')), deadlineMs);
    const fail = (): void => {
      clearTimeout(timer);
      resolve({ status: 0, body: {} });
    };
    req.on('error', fail);
    req.on('response', (res) => {
      const chunks: Buffer[] = [];
      res.on('data', (chunk: Buffer) => chunks.push(chunk));
      res.on('error', fail);
      res.on('close', fail);
      res.on('end', () => {
        clearTimeout(timer);
        resolve({ status: res.statusCode ?? 0, body: parse(Buffer.concat(chunks).toString('utf8')) });
      });
    });
    req.end(sent);
  });
}

/** An agent that keeps its connection open, as workers do. */
export function keepAlive(): Agent {
  return new Agent({ keepAlive: true, maxSockets: 4 });
}
