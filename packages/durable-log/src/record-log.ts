/** The durable log: numbered records in segments of a folder, written ahead of what depends on them. */
import { MAX_QUEUED_RECORDS, SEGMENT_BYTES, SEGMENT_HEADER_BYTES } from './constants.ts';
import type { Disk } from './disk.ts';
import { CorruptSegmentError, LogUnusableError, QueueFullError, WriteFailedError } from './errors.ts';
import { encodeFrame, encodeSegmentHeader, type RecordNumber } from './frame-codec.ts';
import { segmentFile, type SegmentFile, segmentFiles } from './segment-file.ts';
import { readSegment, type Segment } from './segment-reader.ts';

/** Receives a record that is read when a log is opened. */
export type RecordHandler = (number: RecordNumber, content: Buffer) => void;

/** Where the next record goes. */
interface WritePosition {
  /** The segment that is written to; null before the log's first record. */
  segment: SegmentFile | null;
  /** Bytes of complete records in that segment, with its header. */
  segmentBytes: number;
  /** Number of the next record. */
  nextRecord: RecordNumber;
}

/** A record that waits for the disk, with the two ends of its caller's promise. */
interface QueuedRecord {
  readonly content: Uint8Array;
  readonly resolve: () => void;
  readonly reject: (error: Error) => void;
}

/**
 * A log of numbered records. `append` resolves once its record is durable; records that wait together are written and
 * made durable together (group commit). A crash at any byte loses no record whose `append` had resolved. There must be
 * one writer for a folder; the caller sees to that.
 */
export class RecordLog {
  private queue: QueuedRecord[] = [];
  private isWriting = false;
  /** Set when a failed write could not be undone; every later write fails with it. */
  private unusable: LogUnusableError | null = null;

  private constructor(
    private readonly disk: Disk,
    private readonly maxSegmentBytes: number,
    private readonly position: WritePosition,
  ) {}

  /**
   * Opens the log of a folder and hands each of its records, in order, to `onRecord`. A torn tail is cut off. Rejects
   * with `CorruptSegmentError` if a record that was durable is not what was written, or if segments are missing between
   * others. `maxSegmentBytes`: bytes after which a new segment is begun.
   */
  static async open(
    disk: Disk,
    onRecord: RecordHandler,
    maxSegmentBytes = SEGMENT_BYTES,
  ): Promise<RecordLog> {
    const files = segmentFiles(await disk.list());
    const position: WritePosition = { segment: null, segmentBytes: 0, nextRecord: 0 };
    for (const file of files) {
      const segment = readSegment(file, await disk.read(file.name), file === files.at(-1));
      if (segment.isTorn) await disk.truncate(file.name, segment.completeBytes);
      checkSequence(file, segment, position);
      segment.records.forEach((content, index) => onRecord(file.firstRecord + index, content));
      position.segment = file;
      position.segmentBytes = segment.completeBytes;
      position.nextRecord = file.firstRecord + segment.records.length;
    }
    return new RecordLog(disk, maxSegmentBytes, position);
  }

  /** The number that the next record will have. */
  get nextRecord(): RecordNumber {
    return this.position.nextRecord;
  }

  /**
   * Resolves once the record is durable. Rejects with a `DurableLogError` or with the error of the disk; then the record
   * is not in the log.
   */
  append(content: Uint8Array): Promise<void> {
    if (this.queue.length >= MAX_QUEUED_RECORDS) return Promise.reject(new QueueFullError());
    return new Promise((resolve, reject) => {
      this.queue.push({ content, resolve, reject });
      if (!this.isWriting) void this.writeQueue();
    });
  }

  /** Removes the segments all of whose records are below `number`. Resolves to how many were removed. */
  async removeSegmentsBelow(number: RecordNumber): Promise<number> {
    const files = segmentFiles(await this.disk.list());
    let removed = 0;
    for (const [index, file] of files.entries()) {
      const following = files[index + 1];
      if (following === undefined || following.firstRecord > number) break;
      await this.disk.remove(file.name);
      removed++;
    }
    return removed;
  }

  /** Writes batch after batch until the queue is empty. Never rejects: each failure goes to the batch's callers. */
  private async writeQueue(): Promise<void> {
    this.isWriting = true;
    while (this.queue.length > 0) {
      const batch = this.queue.splice(0);
      try {
        await this.write(batch.map(({ content }) => content));
        for (const { resolve } of batch) resolve();
      } catch (error) {
        const reason = error instanceof Error ? error : new WriteFailedError({ cause: error });
        for (const { reject } of batch) reject(reason);
      }
    }
    this.isWriting = false;
  }

  private async write(contents: readonly Uint8Array[]): Promise<void> {
    if (this.unusable) throw this.unusable;
    const { name } = this.currentSegment();
    const bytes = this.encode(contents);
    try {
      await this.disk.append(name, bytes);
      await this.disk.sync(name);
    } catch (error) {
      await this.undoWrite(name);
      throw error;
    }
    this.position.segmentBytes += bytes.length;
    this.position.nextRecord += contents.length;
  }

  /** The segment for the next write: a new one if there is none yet, or if the last one is full. */
  private currentSegment(): SegmentFile {
    const { segment, segmentBytes, nextRecord } = this.position;
    if (segment !== null && segmentBytes < this.maxSegmentBytes) return segment;
    const newSegment = segmentFile(nextRecord);
    this.position.segment = newSegment;
    this.position.segmentBytes = 0;
    return newSegment;
  }

  /** The frames of one write, after the segment's header if it has none yet. */
  private encode(contents: readonly Uint8Array[]): Buffer {
    const { segmentBytes, nextRecord } = this.position;
    const header = segmentBytes < SEGMENT_HEADER_BYTES ? [encodeSegmentHeader(nextRecord)] : [];
    const frames = contents.map((content, index) => encodeFrame(nextRecord + index, nextRecord, content));
    return Buffer.concat([...header, ...frames]);
  }

  /** Truncates the segment to what it was before a failed write, so that the next record takes the place of this one. */
  private async undoWrite(name: string): Promise<void> {
    try {
      await this.disk.truncate(name, this.position.segmentBytes);
    } catch (error) {
      this.unusable = new LogUnusableError(name, { cause: error });
    }
  }
}

/** Throws `CorruptSegmentError` unless the segment continues the records that were read before it. */
function checkSequence(
  file: SegmentFile,
  segment: Segment,
  { segment: previous, nextRecord }: WritePosition,
): void {
  if (previous !== null && file.firstRecord !== nextRecord) {
    const damage = `records ${String(nextRecord)} to ${String(file.firstRecord - 1)} are missing before it`;
    throw new CorruptSegmentError(file.name, 0, damage);
  }
  if (segment.firstRecord !== null && segment.firstRecord !== file.firstRecord)
    throw new CorruptSegmentError(file.name, 0, 'its header names another first record than its name');
}
