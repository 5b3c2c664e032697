/** Every constant of the keeper, with its unit and its reason. What an operator sets is never here. */

/** The first bytes of a segment: what it is, and the version of its form. */
export const MAGIC = Buffer.from('onyxkeep');
export const SCHEMA = 1;
/** Bytes before the first record: magic, schema, number of the segment's first record, checksum of these. */
export const HEADER_BYTES = 24;
/** Bytes before a record's content: length, number, records of its write before it, checksums of content and of these. */
export const FRAME_BYTES = 24;
/** Bytes. The largest content of a record: a state service's whole transaction, and as much again. */
export const RECORD_MOST = 1024 * 1024;
/** Bytes after which a new segment is begun: a damaged one costs no more, and compaction takes them whole. */
export const SEGMENT_BYTES = 16 * 1024 * 1024;
/** Records that wait for the disk at the most; one more is refused at once. */
export const WAITING_MOST = 10_000;
