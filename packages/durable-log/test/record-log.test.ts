import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { seededRandom, type Random } from '@onyxkeel/scheduler';
import type { Disk } from '../src/disk.ts';
import { CorruptSegmentError, DiskFullError } from '../src/errors.ts';
import { RecordLog } from '../src/record-log.ts';

/** A disk in memory. A crash loses bytes that were not synced, or overwrites them with zeros. */
class FakeDisk implements Disk {
  /** Files by name. `durable`: bytes that survive a crash; -1 if the file itself may not survive. */
  readonly files = new Map<string, { bytes: Buffer; durable: number }>();
  /** Free space in bytes. */
  freeBytes = Infinity;
  /** Number of calls that succeed before the process crashes, during the call that follows them. */
  callsUntilCrash = Infinity;

  constructor(private readonly random: Random) {}

  private countCall(): void {
    if (--this.callsUntilCrash < 0) throw new Error('crashed');
  }

  list = (): Promise<string[]> => Promise.resolve([...this.files.keys()]);
  read = (name: string): Promise<Buffer> => Promise.resolve(this.files.get(name)?.bytes ?? Buffer.alloc(0));

  append = (name: string, bytes: Buffer): Promise<void> => {
    if (this.callsUntilCrash < 0) return Promise.reject(new Error('crashed'));
    const file = this.files.get(name) ?? { bytes: Buffer.alloc(0), durable: -1 };
    this.files.set(name, file);
    const taken = Math.min(
      bytes.length,
      this.freeBytes,
      this.callsUntilCrash === 0 ? this.random.below(bytes.length) : Infinity,
    );
    file.bytes = Buffer.concat([file.bytes, bytes.subarray(0, taken)]);
    this.freeBytes -= taken;
    return this.afterCall(() => {
      if (taken < bytes.length && this.freeBytes <= 0) throw new DiskFullError('fake disk');
    });
  };

  sync = (name: string): Promise<void> =>
    this.afterCall(() => {
      const file = this.files.get(name);
      if (file) file.durable = file.bytes.length;
    });

  truncate = (name: string, bytes: number): Promise<void> =>
    this.afterCall(() => {
      const file = this.files.get(name) ?? { bytes: Buffer.alloc(0), durable: 0 };
      this.files.set(name, { bytes: file.bytes.subarray(0, bytes), durable: bytes });
    });

  remove = (name: string): Promise<void> => this.afterCall(() => void this.files.delete(name));

  private async afterCall(effect: () => void): Promise<void> {
    await Promise.resolve();
    this.countCall();
    effect();
  }

  /**
   * Simulates a crash of the process or machine: of the bytes that were not durable, all, some or none
   * remain, and some of these may be zeros.
   */
  crash(): void {
    this.callsUntilCrash = Infinity;
    for (const [name, file] of this.files) {
      if (file.durable < 0 && this.random.below(2) === 0) {
        this.files.delete(name);
        continue;
      }
      const durable = Math.max(0, file.durable);
      const rest = Buffer.from(file.bytes.subarray(durable));
      const kept = rest.subarray(0, this.random.below(rest.length + 1));
      // Blocks that the disk had not written yet read as zeros.
      if (kept.length > 0 && this.random.below(3) === 0)
        kept.fill(0, this.random.below(kept.length), kept.length);
      if (kept.length > 8 && this.random.below(3) === 0) kept.fill(0, 0, this.random.below(kept.length));
      file.bytes = Buffer.concat([file.bytes.subarray(0, durable), kept]);
      file.durable = file.bytes.length;
    }
  }
}

const contentOf = (number: number): Buffer =>
  Buffer.from(`record ${String(number)} `.repeat(1 + (number % 5)));

/** Opens the log, checks that the numbers of its records are consecutive, and returns the records. */
async function openLog(disk: Disk, segmentBytes = 600): Promise<{ log: RecordLog; records: string[] }> {
  const records: string[] = [];
  const log = await RecordLog.open(
    disk,
    (number, bytes) => {
      assert.equal(number, records.length);
      records.push(bytes.toString());
    },
    segmentBytes,
  );
  return { log, records };
}

/**
 * Appends records until the process crashes or 20 are appended, and adds their contents to `appended`.
 * Returns how many entries of `appended` are known to be durable, or 0 if no append resolved.
 */
async function appendUntilCrash(
  log: RecordLog,
  disk: FakeDisk,
  random: Random,
  appended: string[],
): Promise<number> {
  disk.callsUntilCrash = 1 + random.below(30);
  let durable = 0;
  const appends: Promise<void>[] = [];
  for (let index = 0; index < 20; index++) {
    const content = contentOf(log.nextRecord + random.below(90));
    appended.push(content.toString());
    const count = appended.length;
    const onDurable = (): void => void (durable = Math.max(durable, count));
    appends.push(log.append(content).then(onDurable, () => {}));
    if (random.below(3) === 0) await Promise.all(appends);
    if (disk.callsUntilCrash < 0) break;
  }
  await Promise.all(appends);
  return durable;
}

describe('RecordLog', () => {
  it('loses no durable record in a crash at any moment, and returns no record that was never appended', async () => {
    const random = seededRandom(4);
    let crashes = 0;
    for (let round = 0; round < 400; round++) {
      const disk = new FakeDisk(random);
      let appended: string[] = [];
      let durable = 0;
      for (let start = 0; start < 6; start++) {
        const { log, records } = await openLog(disk);
        assert.ok(records.length >= durable, `${String(records.length)} of ${String(durable)}`);
        assert.deepEqual(records, appended.slice(0, records.length));
        appended = records;
        durable = records.length;
        durable = Math.max(durable, await appendUntilCrash(log, disk, random, appended));
        disk.crash();
        crashes++;
      }
    }
    assert.ok(crashes >= 2400);
  });

  it('rejects damage to durable records with an error that names the file, the offset and the lost records', async () => {
    const random = seededRandom(5);
    for (let round = 0; round < 200; round++) {
      const disk = new FakeDisk(random);
      const { log } = await openLog(disk);
      for (let number = 0; number < 30; number++) await log.append(contentOf(number));
      const names = [...disk.files.keys()].sort();
      const name = names[random.below(names.length - 1)] ?? '';
      const file = disk.files.get(name);
      assert.ok(file);
      const offset = random.below(file.bytes.length);
      file.bytes = Buffer.from(file.bytes);
      file.bytes[offset] = (file.bytes[offset] ?? 0) ^ (1 << random.below(8));
      await assert.rejects(
        openLog(disk),
        (error) => error instanceof CorruptSegmentError && error.file === name && error.offset <= offset,
      );
    }
    const disk = new FakeDisk(random);
    const { log } = await openLog(disk);
    for (let number = 0; number < 30; number++) await log.append(contentOf(number));
    disk.files.delete([...disk.files.keys()].sort()[1] ?? '');
    await assert.rejects(openLog(disk), /records \d+ to \d+ are missing before this segment/);
    disk.files.clear();
    disk.files.set('log-000000000000000', {
      bytes: Buffer.from('something else of some length'),
      durable: 29,
    });
    disk.files.set('log-000000000000009', { bytes: Buffer.alloc(0), durable: 0 });
    await assert.rejects(openLog(disk), /not a segment of a durable log/);
  });

  it('stores no record while the disk is full, and continues when space is free again', async () => {
    const disk = new FakeDisk(seededRandom(6));
    const { log } = await openLog(disk);
    await log.append(contentOf(0));
    disk.freeBytes = 10;
    await assert.rejects(log.append(contentOf(1)), DiskFullError);
    disk.freeBytes = Infinity;
    await log.append(contentOf(2));
    const { records } = await openLog(disk);
    assert.deepEqual(records, [contentOf(0), contentOf(2)].map(String));
  });

  it('removes whole segments below a record, and keeps the numbers of the remaining records', async () => {
    const disk = new FakeDisk(seededRandom(7));
    const { log } = await openLog(disk);
    for (let number = 0; number < 40; number++) await log.append(contentOf(number));
    const removed = await log.removeSegmentsBelow(25);
    assert.ok(removed > 0);
    const numbers: number[] = [];
    await RecordLog.open(disk, (number) => void numbers.push(number), 600);
    assert.ok((numbers[0] ?? 99) <= 25 && (numbers[0] ?? 0) > 0);
    assert.equal(numbers.at(-1), 39);
  });
});
