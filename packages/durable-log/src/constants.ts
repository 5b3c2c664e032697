/** Constants of the durable log, each with its unit and the reason for its value. */

/** First bytes of a segment: they identify the file as a segment of a durable log. Part of the stored format. */
export const SEGMENT_MAGIC = Buffer.from('onyxkeep');

/** Version of the stored format; a program reads only its own. */
export const FORMAT_VERSION = 1;

/** Bytes before a segment's first frame: magic, format version, number of the first record, checksum of these. */
export const SEGMENT_HEADER_BYTES = 24;

/**
 * Bytes before a record's content: length, number, records of the same write before it, checksum of the content,
 * checksum of these.
 */
export const FRAME_HEADER_BYTES = 24;

/**
 * Bytes. The largest content of a record: a whole transaction of the key-value store, and as much again. It also bounds
 * what a corrupt length field can make a reader take for content.
 */
export const MAX_RECORD_BYTES = 1024 * 1024;

/** Bytes after which a new segment is begun: damage to one costs no more, and old records are dropped by segments. */
export const SEGMENT_BYTES = 16 * 1024 * 1024;

/** Records that wait for the disk at the most; one more is refused at once, which bounds the memory they take. */
export const MAX_QUEUED_RECORDS = 10_000;
