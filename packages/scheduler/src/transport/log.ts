/** The interface of the log, which is injected into the modules that log. */

/** A structured log: fields first, then a fixed message. */
export interface Log {
  /** Details for the analysis of a single event. */
  debug(fields: object, message: string): void;
  /** Events of normal operation that operators want to see. */
  info(fields: object, message: string): void;
  /** Problems that the service handles by itself. */
  warn(fields: object, message: string): void;
  /** Errors that should not occur. */
  error(fields: object, message: string): void;
}
