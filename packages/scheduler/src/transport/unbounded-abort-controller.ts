/** Abort signals with many listeners. */
import { setMaxListeners } from 'node:events';

/** An abort controller whose signal may have any number of listeners without Node.js's warning of a leak. */
export function unboundedAbortController(): AbortController {
  const controller = new AbortController();
  setMaxListeners(0, controller.signal);
  return controller;
}
