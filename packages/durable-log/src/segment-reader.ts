/**
 * Reads a segment and tells the torn tail that a crash in the middle of a write leaves, which is no loss, from damage to
 * records that were durable, which is one (ARIES: the end of a write-ahead log).
 */
import { FRAME_HEADER_BYTES, SEGMENT_HEADER_BYTES } from './constants.ts';
import { CorruptSegmentError } from './errors.ts';
import { decodeFrame, decodeSegmentHeader, type RecordNumber } from './frame-codec.ts';
import type { SegmentFile } from './segment-file.ts';

/** What a segment's file contains. */
export interface Segment {
  /** Number of the first record by the segment's header; null if the header itself was never finished. */
  readonly firstRecord: RecordNumber | null;
  /** Contents of the complete records, in the order of their numbers. */
  readonly records: readonly Buffer[];
  /** Bytes up to the end of the last complete record. */
  readonly completeBytes: number;
  /** Whether an unfinished write follows the complete records. */
  readonly isTorn: boolean;
}

/** A segment whose header was never finished: made by the very write that a crash interrupted. */
const INCOMPLETE_SEGMENT: Segment = { firstRecord: null, records: [], completeBytes: 0, isTorn: true };

/**
 * Reads a segment from the bytes of its file. Only the last segment of a log may have a torn tail, which may be there in
 * any part, as a disk writes blocks in any order; a record that a later one proves to have been durable is damage in the
 * last one, too. Throws `CorruptSegmentError`.
 */
export function readSegment(file: SegmentFile, bytes: Buffer, isLast: boolean): Segment {
  const firstRecord = readFirstRecord(file, bytes, isLast);
  if (firstRecord === null) return INCOMPLETE_SEGMENT;
  const records: Buffer[] = [];
  let offset = SEGMENT_HEADER_BYTES;
  while (offset < bytes.length) {
    const number = firstRecord + records.length;
    const frame = decodeFrame(bytes, offset);
    if (frame?.number !== number) {
      if (isLast && !wasDurable(bytes, offset, number))
        return { firstRecord, records, completeBytes: offset, isTorn: true };
      const damage = `record ${String(number)} is not what was written; it and those after it are lost`;
      throw new CorruptSegmentError(file.name, offset, damage);
    }
    records.push(frame.content);
    offset += FRAME_HEADER_BYTES + frame.content.length;
  }
  return { firstRecord, records, completeBytes: offset, isTorn: false };
}

/** Number of the first record by the header; null if the header belongs to a write that was never finished. */
function readFirstRecord(file: SegmentFile, bytes: Buffer, isLast: boolean): RecordNumber | null {
  if (bytes.length < SEGMENT_HEADER_BYTES) {
    if (isLast) return null;
    throw new CorruptSegmentError(file.name, 0, 'it ends within its header');
  }
  try {
    return decodeSegmentHeader(file.name, bytes);
  } catch (error) {
    if (isLast && !wasDurable(bytes, 0, file.firstRecord)) return null;
    throw error;
  }
}

/**
 * Whether a frame at or after `offset` proves that the record `number` had been durable. The search goes byte by byte, as
 * damage leaves no frame boundary to go by.
 */
function wasDurable(bytes: Buffer, offset: number, number: RecordNumber): boolean {
  for (let start = offset; start <= bytes.length - FRAME_HEADER_BYTES; start++) {
    const frame = decodeFrame(bytes, start);
    if (frame && frame.firstOfWrite > number) return true;
  }
  return false;
}
