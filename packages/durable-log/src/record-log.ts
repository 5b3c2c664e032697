import { HEADER_BYTES, SEGMENT_BYTES, WAITING_MOST } from './constants.ts';
import { Damaged, type Disk } from './disk.ts';
import { frame, header, readSegment } from './frames.ts';

const NAME = /^log-(\d{15})$/;
const nameOf = (first: number): string => `log-${String(first).padStart(15, '0')}`;

/**
 * A log of numbered records in a folder, in segments. `append` comes back once its record is durable; those that wait
 * together are made durable together. An end at any byte loses none that had come back.
 */
export class RecordLog {
  private waiting: { content: Uint8Array; done: (error: unknown) => void }[] = [];
  private writing = false;
  /** What of a failed write could not be taken back: a record after it would be read as damage. */
  private broken: Error | null = null;

  private constructor(
    private readonly disk: Disk,
    private readonly segmentBytes: number,
    private segment: string | null,
    private bytes: number,
    private number: number,
  ) {}

  /**
   * Opens the folder's log and gives each of its records, in order, to `onRecord`. A torn tail is cut off. Throws
   * `Damaged` where a record that was durable is not what was written, or where segments are missing between others.
   */
  static async open(
    disk: Disk,
    onRecord: (number: number, content: Buffer) => void,
    segmentBytes = SEGMENT_BYTES,
  ): Promise<RecordLog> {
    const names = (await disk.list()).filter((name) => NAME.test(name)).sort();
    let next: number | null = null;
    let segment: string | null = null;
    let bytes = 0;
    for (const [i, name] of names.entries()) {
      const last = i === names.length - 1;
      const first = Number(NAME.exec(name)?.[1]);
      const read = readSegment(name, await disk.read(name), first, last);
      if (read.torn) await disk.cut(name, read.whole);
      if (next !== null && first !== next)
        throw new Damaged(name, 0, `records ${String(next)} to ${String(first - 1)} are missing before it`);
      if (read.first >= 0 && read.first !== first) throw new Damaged(name, 0, 'its name is not its own');
      read.records.forEach((content, n) => onRecord(first + n, content));
      next = first + read.records.length;
      segment = name;
      bytes = read.whole;
    }
    return new RecordLog(disk, segmentBytes, segment, bytes, next ?? 0);
  }

  /** The number that the next record will have. */
  get next(): number {
    return this.number;
  }

  /** Comes back when the record is durable. Throws what the disk threw; then the record is not in the log. */
  append(content: Uint8Array): Promise<void> {
    if (this.waiting.length >= WAITING_MOST)
      return Promise.reject(new Error('too many records wait for the disk'));
    return new Promise((resolve, reject) => {
      const done = (error: unknown): void => {
        if (error === null) resolve();
        else reject(error instanceof Error ? error : new Error('write failed', { cause: error }));
      };
      this.waiting.push({ content, done });
      if (!this.writing) void this.writeAll();
    });
  }

  private async writeAll(): Promise<void> {
    this.writing = true;
    while (this.waiting.length > 0) {
      const batch = this.waiting.splice(0);
      try {
        await this.write(batch.map(({ content }) => content));
        for (const { done } of batch) done(null);
      } catch (error) {
        for (const { done } of batch) done(error);
      }
    }
    this.writing = false;
  }

  private async write(contents: Uint8Array[]): Promise<void> {
    if (this.broken) throw this.broken;
    if (this.segment === null || this.bytes >= this.segmentBytes) {
      this.segment = nameOf(this.number);
      this.bytes = 0;
    }
    const name = this.segment;
    const before = this.bytes;
    const parts = before < HEADER_BYTES ? [header(this.number)] : [];
    contents.forEach((content, n) => parts.push(frame(this.number + n, this.number, content)));
    const all = Buffer.concat(parts);
    try {
      await this.disk.append(name, all);
      await this.disk.sync(name);
    } catch (error) {
      // Whatever of it is there is no record: the next one takes its place.
      await this.disk.cut(name, before).catch((why: unknown) => {
        this.broken = new Error(`${name}: not cut back, to be opened anew: ${String(why)}`);
      });
      throw error;
    }
    this.bytes += all.length;
    this.number += contents.length;
  }

  /** Removes the segments all of whose records are below that number. Returns how many there were. */
  async dropBelow(number: number): Promise<number> {
    const names = (await this.disk.list()).filter((name) => NAME.test(name)).sort();
    let dropped = 0;
    for (const [i, name] of names.entries()) {
      const following = names[i + 1];
      if (following === undefined || Number(NAME.exec(following)?.[1]) > number) break;
      await this.disk.remove(name);
      dropped++;
    }
    return dropped;
  }
}
