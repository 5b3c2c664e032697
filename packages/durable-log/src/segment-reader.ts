/**
 * Reads a segment. The reader distinguishes a torn tail from damage to durable records (ARIES: the end of a
 * write-ahead log). A torn tail is the rest of a write that a crash interrupted: no durable record is lost.
 */
import { FRAME_HEADER_BYTES, SEGMENT_HEADER_BYTES } from './constants.ts';
import { CorruptSegmentError } from './errors.ts';
import { decodeFrame, decodeSegmentHeader, type RecordNumber } from './frame-codec.ts';
import type { SegmentFile } from './segment-file.ts';

/** What a segment's file contains. */
export interface Segment {
  /** Number of the first record according to the segment's header; null if the header is incomplete. */
  readonly firstRecord: RecordNumber | null;
  /** Contents of the complete records, in the order of their numbers. */
  readonly records: readonly Buffer[];
  /** Byte offset of the end of the last complete record. */
  readonly completeBytes: number;
  /** Whether an incomplete write follows the complete records. */
  readonly isTorn: boolean;
}

/** A segment with an incomplete header: a crash interrupted the write that created it. */
const INCOMPLETE_SEGMENT: Segment = { firstRecord: null, records: [], completeBytes: 0, isTorn: true };

/**
 * Reads a segment from the bytes of its file. Only the last segment of a log may have a torn tail. Any part
 * of that tail may be present, because a disk writes blocks in any order. An unreadable record of the last
 * segment counts as damage only if a record of a later write proves that it was durable. Throws
 * `CorruptSegmentError` if the segment is damaged.
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
      const damage = `record ${String(number)} is damaged; it and all later records of the segment are lost`;
      throw new CorruptSegmentError(file.name, offset, damage);
    }
    records.push(frame.content);
    offset += FRAME_HEADER_BYTES + frame.content.length;
  }
  return { firstRecord, records, completeBytes: offset, isTorn: false };
}

/** Number of the first record according to the header; null if the header belongs to an incomplete write. */
function readFirstRecord(file: SegmentFile, bytes: Buffer, isLast: boolean): RecordNumber | null {
  if (bytes.length < SEGMENT_HEADER_BYTES) {
    if (isLast) return null;
    throw new CorruptSegmentError(file.name, 0, 'the file ends within the segment header');
  }
  try {
    return decodeSegmentHeader(file.name, bytes);
  } catch (error) {
    if (isLast && !wasDurable(bytes, 0, file.firstRecord)) return null;
    throw error;
  }
}

/**
 * Whether a frame at or after `offset` proves that the record `number` was durable. The search goes byte by
 * byte, because damage leaves no known frame boundary.
 */
function wasDurable(bytes: Buffer, offset: number, number: RecordNumber): boolean {
  for (let start = offset; start <= bytes.length - FRAME_HEADER_BYTES; start++) {
    const frame = decodeFrame(bytes, start);
    if (frame && frame.firstOfWrite > number) return true;
  }
  return false;
}
