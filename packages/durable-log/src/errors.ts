/** Errors of the durable log. Callers decide by class or by `code`; the messages are for people. */

/** Identifies the kind of a `DurableLogError`. */
export type DurableLogErrorCode =
  'DISK_FULL' | 'CORRUPT_SEGMENT' | 'RECORD_TOO_LARGE' | 'QUEUE_FULL' | 'WRITE_FAILED' | 'LOG_UNUSABLE';

/** Base class of all errors that the durable log itself raises; those of the disk are passed on as they are. */
export abstract class DurableLogError extends Error {
  /** Identifies the kind of the error. */
  abstract readonly code: DurableLogErrorCode;
}

/** The disk is full. Nothing of the write is in the log; later writes succeed once there is room. */
export class DiskFullError extends DurableLogError {
  override readonly name = 'DiskFullError';
  override readonly code = 'DISK_FULL';

  /** `path`: the folder of the log. `options.cause`: the operating system's error. */
  constructor(path: string, options?: ErrorOptions) {
    super(`${path}: no room`, options);
  }
}

/** Records that were durable are not what was written, or are missing. Reading stops, as skipping would hide a loss. */
export class CorruptSegmentError extends DurableLogError {
  override readonly name = 'CorruptSegmentError';
  override readonly code = 'CORRUPT_SEGMENT';

  constructor(
    /** Name of the segment's file. */
    readonly file: string,
    /** Bytes from the file's start to where the damage begins. */
    readonly offset: number,
    /** What is wrong there, and which records are lost. */
    readonly damage: string,
  ) {
    super(`${file}: byte ${String(offset)}: ${damage}`);
  }
}

/** A record is larger than a frame may be. Nothing of its write is in the log. */
export class RecordTooLargeError extends DurableLogError {
  override readonly name = 'RecordTooLargeError';
  override readonly code = 'RECORD_TOO_LARGE';

  /** `bytes`: size of the record's content. */
  constructor(readonly bytes: number) {
    super(`a record of ${String(bytes)} bytes`);
  }
}

/** Too many records wait for the disk. This one was not queued. */
export class QueueFullError extends DurableLogError {
  override readonly name = 'QueueFullError';
  override readonly code = 'QUEUE_FULL';

  constructor() {
    super('too many records wait for the disk');
  }
}

/** The disk rejected a write with something that is no `Error`; that is the `cause`. */
export class WriteFailedError extends DurableLogError {
  override readonly name = 'WriteFailedError';
  override readonly code = 'WRITE_FAILED';

  constructor(options: ErrorOptions) {
    super('write failed', options);
  }
}

/**
 * A failed write could not be undone (`cause`): a record after its remains would be read as damage. The log takes no
 * more records until it is opened again.
 */
export class LogUnusableError extends DurableLogError {
  override readonly name = 'LogUnusableError';
  override readonly code = 'LOG_UNUSABLE';

  /** `file`: the segment with the remains of the failed write. */
  constructor(
    readonly file: string,
    options: ErrorOptions,
  ) {
    super(`${file}: not truncated after a failed write, the log must be opened again`, options);
  }
}
