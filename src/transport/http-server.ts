import { createServer } from 'node:http';
import { getRequestListener } from '@hono/node-server';
import type { Hono } from 'hono';
import { KEEP_ALIVE_MS } from '../constants.ts';

/** Serves a hono application on the listen address until the signal is aborted. */
export function serveHttp(app: Hono, address: string, signal: AbortSignal): Promise<void> {
  const colon = address.lastIndexOf(':');
  const server = createServer({ keepAliveTimeout: KEEP_ALIVE_MS }, (req, res) => void listener(req, res));
  const listener = getRequestListener((request) => app.fetch(request));
  signal.addEventListener('abort', () => {
    server.close();
    server.closeAllConnections();
  });
  return new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(Number(address.slice(colon + 1)), address.slice(0, colon), () => resolve());
  });
}
