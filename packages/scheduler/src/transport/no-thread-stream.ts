/**
 * Takes the place of `thread-stream` in the bundle. pino needs that package only for transports that log from a worker
 * thread; the controllers log synchronously to standard error (main.ts) and never start one.
 */

/** Throws when it is constructed, as `thread-stream` would be by a transport. */
export default function NoThreadStream(): never {
  throw new TypeError('log transports in worker threads are not part of the bundle');
}
