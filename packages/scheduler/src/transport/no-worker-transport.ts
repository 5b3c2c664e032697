/**
 * Takes the place of `thread-stream` and `on-exit-leak-free` in the bundle. pino needs these packages only
 * for transports that log from a worker thread; the controllers log synchronously to standard error (main.ts)
 * and never start one.
 */

/** Throws when it is called or constructed, as only a transport would do. */
export default function NoWorkerTransport(): never {
  throw new TypeError('log transports in worker threads are not part of the bundle');
}
