/**
 * Replaces `thread-stream` and `on-exit-leak-free` in the bundle. pino needs these packages only for
 * transports that log from a worker thread. The controllers log synchronously to standard error (main.ts) and
 * never start such a transport.
 */

/** Throws when it is called or constructed, which only a transport does. */
export default function NoWorkerTransport(): never {
  throw new TypeError('log transports in worker threads are not part of the bundle');
}
