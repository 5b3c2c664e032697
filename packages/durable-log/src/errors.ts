/** Errors of the durable log. Callers distinguish them by class or `code`; messages are for people. */

/** Identifies the kind of a `DurableLogError`. */
export type DurableLogErrorCode =
  'DISK_FULL' | 'CORRUPT_SEGMENT' | 'RECORD_TOO_LARGE' | 'QUEUE_FULL' | 'WRITE_FAILED' | 'LOG_UNUSABLE';

/**
 * Base class of the errors that the durable log itself raises. Errors of the disk are passed on unchanged.
 */
export abstract class DurableLogError extends Error {
  /** Identifies the kind of the error. */
  abstract readonly code: DurableLogErrorCode;
}

/** The disk is full. No record of the write is in the log. Later writes succeed once there is free space. */
export class DiskFullError extends DurableLogError {
  override readonly name = 'DiskFullError';
  override readonly code = 'DISK_FULL';

  /** `path`: the folder of the log. `options.cause`: the operating system's error. */
  constructor(path: string, options?: ErrorOptions) {
    super(`${path}: disk full`, options);
  }
}

/** Durable records are damaged or missing. Reading stops, because skipping them would hide the loss. */
export class CorruptSegmentError extends DurableLogError {
  override readonly name = 'CorruptSegmentError';
  override readonly code = 'CORRUPT_SEGMENT';

  constructor(
    /** Name of the segment's file. */
    readonly file: string,
    /** Byte offset in the file at which the damage begins. */
    readonly offset: number,
    /** Describes the damage and which records are lost. */
    readonly damage: string,
  ) {
    super(`${file}: corrupt at byte ${String(offset)}: ${damage}`);
  }
}

/** A record exceeds the maximum size of a frame. No record of its write is in the log. */
export class RecordTooLargeError extends DurableLogError {
  override readonly name = 'RecordTooLargeError';
  override readonly code = 'RECORD_TOO_LARGE';

  /** `bytes`: size of the record's content. */
  constructor(readonly bytes: number) {
    super(`record too large: ${String(bytes)} bytes`);
  }
}

/** Too many records are waiting for the disk. The new record was not queued. */
export class QueueFullError extends DurableLogError {
  override readonly name = 'QueueFullError';
  override readonly code = 'QUEUE_FULL';

  constructor() {
    super('too many records are waiting for the disk');
  }
}

/** The disk rejected a write with a value that is not an `Error`. The value is the `cause`. */
export class WriteFailedError extends DurableLogError {
  override readonly name = 'WriteFailedError';
  override readonly code = 'WRITE_FAILED';

  constructor(options: ErrorOptions) {
    super('write failed', options);
  }
}

/**
 * The partial data of a failed write could not be removed; `cause` is the reason. A record appended after
 * this data would be read as damage, so the log accepts no more records until it is reopened.
 */
export class LogUnusableError extends DurableLogError {
  override readonly name = 'LogUnusableError';
  override readonly code = 'LOG_UNUSABLE';

  /** `file`: the segment with the partial data of the failed write. */
  constructor(
    readonly file: string,
    options: ErrorOptions,
  ) {
    super(`${file}: could not be truncated after a failed write; the log must be reopened`, options);
  }
}
