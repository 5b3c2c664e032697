import { createServer, type IncomingMessage, type ServerResponse } from 'node:http';
import { KEEP_ALIVE_MS, MAX_BODY_BYTES } from '../constants.ts';

export interface HttpRequest {
  method: string;
  /** Without the query. */
  path: string;
  /** Null where the body was over the limit: it is not read to its end. */
  body: string | null;
}

export interface HttpReply {
  status: number;
  body: string;
  retryAfterS?: number;
}

export type HttpHandler = (request: HttpRequest) => HttpReply | Promise<HttpReply>;

/** Serves the handler on the listen address until the signal is aborted. */
export function serveHttp(handler: HttpHandler, address: string, signal: AbortSignal): Promise<void> {
  const colon = address.lastIndexOf(':');
  const server = createServer({ keepAliveTimeout: KEEP_ALIVE_MS }, requestListener(handler));
  signal.addEventListener('abort', () => {
    server.close();
    server.closeAllConnections();
  });
  return new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(Number(address.slice(colon + 1)), address.slice(0, colon), () => resolve());
  });
}

export function requestListener(handler: HttpHandler): (req: IncomingMessage, res: ServerResponse) => void {
  return (req, res) => readBody(req, (body) => void answer(handler, req, res, body));
}

/** Hands the body on once it is whole, or null as soon as it is over the limit: nothing more of it is kept. */
function readBody(req: IncomingMessage, onBody: (body: string | null) => void): void {
  const chunks: Buffer[] = [];
  let size = 0;
  req.on('data', (chunk: Buffer) => {
    const within = size <= MAX_BODY_BYTES;
    size += chunk.length;
    if (size <= MAX_BODY_BYTES) chunks.push(chunk);
    else if (within) onBody(null);
  });
  req.on('end', () => {
    const [first] = chunks;
    if (size <= MAX_BODY_BYTES) {
      onBody((chunks.length === 1 && first ? first : Buffer.concat(chunks)).toString('utf8'));
    }
  });
}

async function answer(
  handler: HttpHandler,
  req: IncomingMessage,
  res: ServerResponse,
  body: string | null,
): Promise<void> {
  const url = req.url ?? '/';
  const query = url.indexOf('?');
  const reply = await handler({
    method: req.method ?? '',
    path: query < 0 ? url : url.slice(0, query),
    body,
  });
  const headers: Record<string, string | number> = {
    'content-type': 'application/json',
    'content-length': Buffer.byteLength(reply.body),
  };
  if (reply.retryAfterS !== undefined) headers['retry-after'] = reply.retryAfterS;
  // What is left of a body that is too large is not waited for.
  if (body === null) headers['connection'] = 'close';
  res.writeHead(reply.status, headers).end(reply.body);
}
