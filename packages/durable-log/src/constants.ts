/** Constants of the durable log, each with its unit and the reason for its value. */

/**
 * First bytes of a segment: they identify the file as a segment of a durable log. Part of the stored format.
 */
export const SEGMENT_MAGIC = Buffer.from('onyxkeep');

/** Version of the stored format; a program reads only its own. */
export const FORMAT_VERSION = 1;

/**
 * Bytes before a segment's first frame: magic, format version, number of the first record, checksum of these
 * fields.
 */
export const SEGMENT_HEADER_BYTES = 24;

/**
 * Bytes before a record's content: length, number, number of earlier records of the same write, checksum of
 * the content, checksum of these fields.
 */
export const FRAME_HEADER_BYTES = 24;

/**
 * Largest content of a record in bytes: twice a whole transaction of the key-value store. It also bounds how
 * many bytes a reader treats as content because of a corrupt length field.
 */
export const MAX_RECORD_BYTES = 1024 * 1024;

/**
 * Bytes after which a new segment is started. Damage to one segment loses no more than this, and old records
 * are removed segment by segment.
 */
export const SEGMENT_BYTES = 16 * 1024 * 1024;

/**
 * Maximum number of records waiting for the disk. Further records are rejected at once, which bounds memory
 * use.
 */
export const MAX_QUEUED_RECORDS = 10_000;
