import { crc32 } from 'node:zlib';
import { FRAME_BYTES, HEADER_BYTES, MAGIC, RECORD_MOST, SCHEMA } from './constants.ts';
import { Damaged } from './disk.ts';

/** A segment's first bytes. `first`: the number of the record that it begins with. */
export function header(first: number): Buffer {
  const bytes = Buffer.alloc(HEADER_BYTES);
  MAGIC.copy(bytes);
  bytes.writeUInt32LE(SCHEMA, 8);
  bytes.writeBigUInt64LE(BigInt(first), 12);
  bytes.writeUInt32LE(crc32(bytes.subarray(0, 20)), 20);
  return bytes;
}

/**
 * A record as it stands in a segment. `base`: the first record of the same write; all before that one were durable when
 * it was written, which is how damage to them is told from the rest of a write that was never finished.
 */
export function frame(number: number, base: number, content: Uint8Array): Buffer {
  if (content.length > RECORD_MOST) throw new RangeError(`a record of ${String(content.length)} bytes`);
  const bytes = Buffer.alloc(FRAME_BYTES + content.length);
  bytes.writeUInt32LE(content.length, 0);
  bytes.writeBigUInt64LE(BigInt(number), 4);
  bytes.writeUInt32LE(number - base, 12);
  bytes.writeUInt32LE(crc32(content), 16);
  bytes.writeUInt32LE(crc32(bytes.subarray(0, 20)), 20);
  bytes.set(content, FRAME_BYTES);
  return bytes;
}

interface Found {
  number: number;
  base: number;
  content: Buffer;
}

/** The whole record that begins there, or null where none does. */
function recordAt(bytes: Buffer, at: number): Found | null {
  if (bytes.length - at < FRAME_BYTES) return null;
  const length = bytes.readUInt32LE(at);
  if (length > RECORD_MOST || bytes.length - at < FRAME_BYTES + length) return null;
  if (crc32(bytes.subarray(at, at + 20)) !== bytes.readUInt32LE(at + 20)) return null;
  const content = bytes.subarray(at + FRAME_BYTES, at + FRAME_BYTES + length);
  if (crc32(content) !== bytes.readUInt32LE(at + 16)) return null;
  const number = Number(bytes.readBigUInt64LE(at + 4));
  return { number, base: number - bytes.readUInt32LE(at + 12), content };
}

/** Whether a record further on proves that this one had been durable. */
function wasDurable(bytes: Buffer, from: number, number: number): boolean {
  for (let at = from; at <= bytes.length - FRAME_BYTES; at++) {
    const found = recordAt(bytes, at);
    if (found && found.base > number) return true;
  }
  return false;
}

export interface Segment {
  first: number;
  records: Buffer[];
  /** Bytes up to the end of the last whole record. */
  whole: number;
  /** Whether bytes follow that are no whole record, as an end in the middle of a write leaves them. */
  torn: boolean;
}

/** The number of the first record. Throws `Damaged` where these are not a segment's first bytes, or of another schema. */
export function readHeader(file: string, bytes: Buffer): number {
  if (!bytes.subarray(0, MAGIC.length).equals(MAGIC)) throw new Damaged(file, 0, 'not a segment of a keeper');
  if (crc32(bytes.subarray(0, 20)) !== bytes.readUInt32LE(20))
    throw new Damaged(file, 0, 'its header is damaged');
  const schema = bytes.readUInt32LE(8);
  if (schema !== SCHEMA)
    throw new Damaged(file, 8, `schema ${String(schema)}, this program reads ${String(SCHEMA)}`);
  return Number(bytes.readBigUInt64LE(12));
}

/**
 * A segment's records. `named`: the number of its first, by its name. Only the last segment may have a torn tail: what an end in the middle of a write leaves of it, in
 * whatever order the disk took it. A record that a later one proves to have been durable is damage. Throws `Damaged`.
 */
export function readSegment(file: string, bytes: Buffer, named: number, last: boolean): Segment {
  if (bytes.length < HEADER_BYTES) {
    if (last) return { first: -1, records: [], whole: 0, torn: true };
    throw new Damaged(file, 0, 'it ends within its header');
  }
  let first: number;
  try {
    first = readHeader(file, bytes);
  } catch (error) {
    // Made by the very write that was not finished.
    if (last && !wasDurable(bytes, 0, named)) return { first: -1, records: [], whole: 0, torn: true };
    throw error;
  }
  const records: Buffer[] = [];
  let at = HEADER_BYTES;
  while (at < bytes.length) {
    const number = first + records.length;
    const found = recordAt(bytes, at);
    if (found?.number !== number) {
      if (last && !wasDurable(bytes, at, number)) return { first, records, whole: at, torn: true };
      throw new Damaged(
        file,
        at,
        `record ${String(number)} is not what was written; it and those after it are lost`,
      );
    }
    records.push(found.content);
    at += FRAME_BYTES + found.content.length;
  }
  return { first, records, whole: at, torn: false };
}
