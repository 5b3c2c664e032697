/** The interface of the log, passed in wherever something is logged. */

/** A structured log: fields first, then a fixed sentence. */
export interface Log {
  /** What helps only whoever looks into one event. */
  debug(fields: object, message: string): void;
  /** What operators want to see in normal service. */
  info(fields: object, message: string): void;
  /** What the service copes with by itself. */
  warn(fields: object, message: string): void;
  /** What should not happen. */
  error(fields: object, message: string): void;
}
