/**
 * The stored format. A segment is a header and a sequence of frames. A frame is a header and a record's
 * content. All numbers are little-endian. Each header ends with the CRC-32 of its preceding bytes.
 */
import { crc32 } from 'node:zlib';
import {
  FORMAT_VERSION,
  FRAME_HEADER_BYTES,
  MAX_RECORD_BYTES,
  SEGMENT_HEADER_BYTES,
  SEGMENT_MAGIC,
} from './constants.ts';
import { CorruptSegmentError, RecordTooLargeError } from './errors.ts';

/** Position of a record in its log, counted from 0 over all segments. */
export type RecordNumber = number;

/** Byte offsets of the fields of a segment's header after the magic, which is at 0. */
const SEGMENT_FIELDS = { version: 8, firstRecord: 12, checksum: 20 } as const;

/** Byte offsets of the fields of a frame's header. */
const FRAME_FIELDS = { length: 0, number: 4, indexInWrite: 12, contentChecksum: 16, checksum: 20 } as const;

/** A record read from a frame. */
export interface Frame {
  /** The record's number. */
  readonly number: RecordNumber;
  /** Number of the first record of the same write. All earlier records were durable before this write. */
  readonly firstOfWrite: RecordNumber;
  /** The record's content, a view of the bytes that were decoded. */
  readonly content: Buffer;
}

/** Encodes the header of the segment whose first record is `firstRecord`. */
export function encodeSegmentHeader(firstRecord: RecordNumber): Buffer {
  const bytes = Buffer.alloc(SEGMENT_HEADER_BYTES);
  SEGMENT_MAGIC.copy(bytes);
  bytes.writeUInt32LE(FORMAT_VERSION, SEGMENT_FIELDS.version);
  bytes.writeBigUInt64LE(BigInt(firstRecord), SEGMENT_FIELDS.firstRecord);
  bytes.writeUInt32LE(crc32(bytes.subarray(0, SEGMENT_FIELDS.checksum)), SEGMENT_FIELDS.checksum);
  return bytes;
}

/**
 * Reads a segment's header and returns the number of its first record. `file` names the segment in errors.
 * Throws `CorruptSegmentError` if the bytes are not a segment header, are damaged, or have a different format
 * version.
 */
export function decodeSegmentHeader(file: string, bytes: Buffer): RecordNumber {
  if (!bytes.subarray(0, SEGMENT_MAGIC.length).equals(SEGMENT_MAGIC))
    throw new CorruptSegmentError(file, 0, 'not a segment of a durable log');
  const checksum = crc32(bytes.subarray(0, SEGMENT_FIELDS.checksum));
  if (checksum !== bytes.readUInt32LE(SEGMENT_FIELDS.checksum))
    throw new CorruptSegmentError(file, 0, 'the segment header is damaged');
  const version = bytes.readUInt32LE(SEGMENT_FIELDS.version);
  if (version !== FORMAT_VERSION) {
    const damage = `unsupported format version ${String(version)}, expected ${String(FORMAT_VERSION)}`;
    throw new CorruptSegmentError(file, SEGMENT_FIELDS.version, damage);
  }
  return Number(bytes.readBigUInt64LE(SEGMENT_FIELDS.firstRecord));
}

/**
 * Encodes a record. The frame also identifies the first record of its write (`firstOfWrite`). All records
 * before that one were already durable, so a reader can distinguish damage to them from an incomplete write.
 * Throws `RecordTooLargeError` if the content exceeds `MAX_RECORD_BYTES`.
 */
export function encodeFrame(number: RecordNumber, firstOfWrite: RecordNumber, content: Uint8Array): Buffer {
  if (content.length > MAX_RECORD_BYTES) throw new RecordTooLargeError(content.length);
  const bytes = Buffer.alloc(FRAME_HEADER_BYTES + content.length);
  bytes.writeUInt32LE(content.length, FRAME_FIELDS.length);
  bytes.writeBigUInt64LE(BigInt(number), FRAME_FIELDS.number);
  bytes.writeUInt32LE(number - firstOfWrite, FRAME_FIELDS.indexInWrite);
  bytes.writeUInt32LE(crc32(content), FRAME_FIELDS.contentChecksum);
  bytes.writeUInt32LE(crc32(bytes.subarray(0, FRAME_FIELDS.checksum)), FRAME_FIELDS.checksum);
  bytes.set(content, FRAME_HEADER_BYTES);
  return bytes;
}

/** Decodes the frame at `offset`. Returns null if no complete and undamaged frame is there. */
export function decodeFrame(bytes: Buffer, offset: number): Frame | null {
  const available = bytes.length - offset;
  if (available < FRAME_HEADER_BYTES) return null;
  const length = bytes.readUInt32LE(offset + FRAME_FIELDS.length);
  if (length > MAX_RECORD_BYTES || available < FRAME_HEADER_BYTES + length) return null;
  const checksum = crc32(bytes.subarray(offset, offset + FRAME_FIELDS.checksum));
  if (checksum !== bytes.readUInt32LE(offset + FRAME_FIELDS.checksum)) return null;
  const contentOffset = offset + FRAME_HEADER_BYTES;
  const content = bytes.subarray(contentOffset, contentOffset + length);
  if (crc32(content) !== bytes.readUInt32LE(offset + FRAME_FIELDS.contentChecksum)) return null;
  const number = Number(bytes.readBigUInt64LE(offset + FRAME_FIELDS.number));
  const firstOfWrite = number - bytes.readUInt32LE(offset + FRAME_FIELDS.indexInWrite);
  return { number, firstOfWrite, content };
}
