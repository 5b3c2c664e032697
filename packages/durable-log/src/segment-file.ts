/**
 * Names of segment files. Each contains the number of the segment's first record with leading zeros, so names
 * sort in the order of the records.
 */
import type { RecordNumber } from './frame-codec.ts';

/**
 * Digits of the record number in a segment's name: one less than `Number.MAX_SAFE_INTEGER` has, so every
 * number is exact.
 */
const NUMBER_DIGITS = 15;
const SEGMENT_NAME = new RegExp(`^log-(\\d{${String(NUMBER_DIGITS)}})$`);

/** A segment's file in the log's folder. */
export interface SegmentFile {
  /** Name of the file in the folder. */
  readonly name: string;
  /** Number of the segment's first record, according to the file's name. */
  readonly firstRecord: RecordNumber;
}

/** The file of the segment whose first record is `firstRecord`. */
export function segmentFile(firstRecord: RecordNumber): SegmentFile {
  return { name: `log-${String(firstRecord).padStart(NUMBER_DIGITS, '0')}`, firstRecord };
}

/** The segments among the files of a folder, in the order of their records; other files are ignored. */
export function segmentFiles(names: readonly string[]): SegmentFile[] {
  return names
    .filter((name) => SEGMENT_NAME.test(name))
    .sort()
    .map((name) => ({ name, firstRecord: Number(SEGMENT_NAME.exec(name)?.[1]) }));
}
