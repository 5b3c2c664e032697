/** Constants of the durable log, each with its unit and the reason for its value. */

/**
 * First bytes of a segment: they identify the file as a segment of a durable log. Part of the stored format.
 */
export const SEGMENT_MAGIC = Buffer.from('onyxkeep');

/** Version of the stored format; a program reads only its own. */
export const FORMAT_VERSION = 1;

/**
 * Bytes of a segment's header, which precedes the first frame: magic, format version, number of the first
 * record, checksum of these fields.
 */
export const SEGMENT_HEADER_BYTES = 24;

/**
 * Bytes of a frame's header, which precedes the record's content: length of the content, number of the
 * record, index of the record in its write, checksum of the content, checksum of these fields.
 */
export const FRAME_HEADER_BYTES = 24;

/**
 * Largest content of a record in bytes: twice a whole transaction of the key-value store. It also
 * limits the number of bytes that a reader takes for content if a length field is corrupt.
 */
export const MAX_RECORD_BYTES = 1024 * 1024;

/**
 * Bytes after which a new segment is started. The write that reaches this size may exceed it. Old records are
 * removed by whole segments, and damage to a segment affects only its own records.
 */
export const SEGMENT_BYTES = 16 * 1024 * 1024;

/**
 * Maximum number of records waiting for the disk. Further records are rejected at once, which bounds memory
 * use.
 */
export const MAX_QUEUED_RECORDS = 10_000;
