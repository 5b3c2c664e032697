/**
 * Takes the place of `thread-stream` in the bundle. pino needs that package only for transports that log from a worker
 * thread; the controllers log synchronously to standard error (main.ts) and never start one.
 */
export default class NoThreadStream {
  constructor() {
    throw new TypeError('log transports in worker threads are not part of the bundle');
  }
}
