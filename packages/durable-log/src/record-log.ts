/** The durable log: a write-ahead log of numbered records, stored in the segment files of a folder. */
import { MAX_QUEUED_RECORDS, SEGMENT_BYTES, SEGMENT_HEADER_BYTES } from './constants.ts';
import type { Disk } from './disk.ts';
import { CorruptSegmentError, LogUnusableError, QueueFullError, WriteFailedError } from './errors.ts';
import { encodeFrame, encodeSegmentHeader, type RecordNumber } from './frame-codec.ts';
import { segmentFile, type SegmentFile, segmentFiles } from './segment-file.ts';
import { readSegment, type Segment } from './segment-reader.ts';

/** Receives each record that is read when a log is opened. */
export type RecordHandler = (number: RecordNumber, content: Buffer) => void;

/** Where the next record is written. */
interface WritePosition {
  /** The current segment; null before the log's first record. */
  segment: SegmentFile | null;
  /** Bytes of the segment's header and its complete records. */
  segmentBytes: number;
  /** Number of the next record. */
  nextRecord: RecordNumber;
}

/** A record waiting for the disk, with the callbacks that settle its caller's promise. */
interface QueuedRecord {
  readonly content: Uint8Array;
  readonly resolve: () => void;
  readonly reject: (error: Error) => void;
}

/**
 * A log of numbered records. `append` resolves once its record is durable. Queued records are written and
 * made durable together (group commit). A crash at any byte loses no record whose `append` had resolved. The
 * caller must ensure that a folder has only one writer.
 */
export class RecordLog {
  private queue: QueuedRecord[] = [];
  private isWriting = false;
  /** Set when a failed write could not be undone. Every later write rejects with this error. */
  private unusable: LogUnusableError | null = null;

  private constructor(
    private readonly disk: Disk,
    private readonly maxSegmentBytes: number,
    private readonly position: WritePosition,
  ) {}

  /**
   * Opens the log of a folder and passes its records in order to `onRecord`. An incomplete write at the end
   * of the last segment is truncated. Rejects with `CorruptSegmentError` if a durable record is damaged or a
   * segment between others is missing. `maxSegmentBytes`: bytes after which a new segment is started.
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

  /** The number of the next record. */
  get nextRecord(): RecordNumber {
    return this.position.nextRecord;
  }

  /**
   * Resolves once the record is durable. If it rejects, with a `DurableLogError` or the disk's error, the
   * record is not in the log.
   */
  append(content: Uint8Array): Promise<void> {
    if (this.queue.length >= MAX_QUEUED_RECORDS) return Promise.reject(new QueueFullError());
    return new Promise((resolve, reject) => {
      this.queue.push({ content, resolve, reject });
      if (!this.isWriting) void this.writeQueue();
    });
  }

  /**
   * Removes the segments that contain only records below `number`, but never the last segment. Resolves to
   * how many segments were removed.
   */
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

  /**
   * Writes batches until the queue is empty. Never rejects: if a write fails, the `append` promises of its
   * batch are rejected.
   */
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

  /** The segment for the next write: a new one if there is no segment yet or the last one is full. */
  private currentSegment(): SegmentFile {
    const { segment, segmentBytes, nextRecord } = this.position;
    if (segment !== null && segmentBytes < this.maxSegmentBytes) return segment;
    const newSegment = segmentFile(nextRecord);
    this.position.segment = newSegment;
    this.position.segmentBytes = 0;
    return newSegment;
  }

  /** The frames of one write, preceded by the segment's header if it is not written yet. */
  private encode(contents: readonly Uint8Array[]): Buffer {
    const { segmentBytes, nextRecord } = this.position;
    const header = segmentBytes < SEGMENT_HEADER_BYTES ? [encodeSegmentHeader(nextRecord)] : [];
    const frames = contents.map((content, index) => encodeFrame(nextRecord + index, nextRecord, content));
    return Buffer.concat([...header, ...frames]);
  }

  /**
   * Truncates the segment to its size before the failed write, so that the next write replaces the failed
   * one. If this fails too, the log becomes unusable.
   */
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
    const damage = `records ${String(nextRecord)} to ${String(file.firstRecord - 1)} are missing before this segment`;
    throw new CorruptSegmentError(file.name, 0, damage);
  }
  if (segment.firstRecord !== null && segment.firstRecord !== file.firstRecord)
    throw new CorruptSegmentError(
      file.name,
      0,
      'the first record in the header does not match the file name',
    );
}
