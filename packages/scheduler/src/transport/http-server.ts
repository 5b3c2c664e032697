/** An HTTP server that passes complete requests to one handler. */
import { createServer, type IncomingMessage, type ServerResponse } from 'node:http';
import { KEEP_ALIVE_MS, MAX_BODY_BYTES } from '../constants.ts';
import { splitAddress } from './address.ts';

/** A request whose body has been read. */
export interface HttpRequest {
  method: string;
  /** Without the query. */
  path: string;
  /** Null if the body is larger than `MAX_BODY_BYTES`; the rest of it is then discarded. */
  body: string | null;
}

/** The reply to a request; the body is JSON. */
export interface HttpReply {
  status: number;
  body: string;
  /** Seconds for the header `retry-after`. */
  retryAfterS?: number;
}

/** Answers a request. It must not reject. */
export type HttpHandler = (request: HttpRequest) => HttpReply | Promise<HttpReply>;

/**
 * Serves the handler on an address until the signal is aborted, which closes all connections. Resolves once
 * the server listens; rejects with Node's error if it cannot listen.
 */
export function serveHttp(handler: HttpHandler, address: string, signal: AbortSignal): Promise<void> {
  const { host, port } = splitAddress(address);
  const server = createServer({ keepAliveTimeout: KEEP_ALIVE_MS }, requestListener(handler));
  signal.addEventListener('abort', () => {
    server.close();
    server.closeAllConnections();
  });
  return new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(port, host, () => resolve());
  });
}

/** Adapts the handler to Node's HTTP server. */
export function requestListener(handler: HttpHandler): (req: IncomingMessage, res: ServerResponse) => void {
  return (req, res) => readBody(req, (body) => void reply(handler, req, res, body));
}

/**
 * Calls `onBody` with the complete body, or with null as soon as it exceeds the limit. The rest is discarded.
 */
function readBody(req: IncomingMessage, onBody: (body: string | null) => void): void {
  const chunks: Buffer[] = [];
  let size = 0;
  req.on('data', (chunk: Buffer) => {
    const wasWithinLimit = size <= MAX_BODY_BYTES;
    size += chunk.length;
    if (size <= MAX_BODY_BYTES) chunks.push(chunk);
    else if (wasWithinLimit) onBody(null);
  });
  req.on('end', () => {
    if (size > MAX_BODY_BYTES) return;
    const [first] = chunks;
    const body = chunks.length === 1 && first ? first : Buffer.concat(chunks);
    onBody(body.toString('utf8'));
  });
}

async function reply(
  handler: HttpHandler,
  req: IncomingMessage,
  res: ServerResponse,
  body: string | null,
): Promise<void> {
  const { status, body: text, retryAfterS } = await handler(toHttpRequest(req, body));
  const headers: Record<string, string | number> = {
    'content-type': 'application/json',
    'content-length': Buffer.byteLength(text),
  };
  if (retryAfterS !== undefined) headers['retry-after'] = retryAfterS;
  // A body that is too large may not have been read to its end, so the connection cannot be used again.
  if (body === null) headers['connection'] = 'close';
  res.writeHead(status, headers).end(text);
}

function toHttpRequest(req: IncomingMessage, body: string | null): HttpRequest {
  const url = req.url ?? '/';
  const query = url.indexOf('?');
  return { method: req.method ?? '', path: query < 0 ? url : url.slice(0, query), body };
}
