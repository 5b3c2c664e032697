/** Names of segment files. Each is named after its first record, so that names sort as their records do. */
import type { RecordNumber } from './frame-codec.ts';

/** Digits of the first record's number in a segment's name: `Number.MAX_SAFE_INTEGER` has one more. */
const NUMBER_DIGITS = 15;
const SEGMENT_NAME = new RegExp(`^log-(\\d{${String(NUMBER_DIGITS)}})$`);

/** A segment's file in the log's folder. */
export interface SegmentFile {
  /** Name of the file in the folder. */
  readonly name: string;
  /** Number of the segment's first record, by the file's name. */
  readonly firstRecord: RecordNumber;
}

/** The file of the segment that begins with the record `firstRecord`. */
export function segmentFile(firstRecord: RecordNumber): SegmentFile {
  return { name: `log-${String(firstRecord).padStart(NUMBER_DIGITS, '0')}`, firstRecord };
}

/** The segments among the files of a folder, in the order of their records; other files are passed over. */
export function segmentFiles(names: readonly string[]): SegmentFile[] {
  return names
    .filter((name) => SEGMENT_NAME.test(name))
    .sort()
    .map((name) => ({ name, firstRecord: Number(SEGMENT_NAME.exec(name)?.[1]) }));
}
