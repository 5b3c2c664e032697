import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { seededRandom, type Random } from '@onyxkeel/scheduler';
import { Damaged, type Disk, NoRoom } from '../src/disk.ts';
import { RecordLog } from '../src/record-log.ts';

/** A disk in memory that forgets, at an end, what was not made durable: all, some, or some of it as other bytes. */
class FakeDisk implements Disk {
  readonly files = new Map<string, { bytes: Buffer; durable: number }>();
  room = Infinity;
  /** Calls until the process ends in the middle of one. */
  endIn = Infinity;

  constructor(private readonly random: Random) {}

  private step(): void {
    if (--this.endIn < 0) throw new Error('ended');
  }

  list = (): Promise<string[]> => Promise.resolve([...this.files.keys()]);
  read = (name: string): Promise<Buffer> => Promise.resolve(this.files.get(name)?.bytes ?? Buffer.alloc(0));

  append = (name: string, bytes: Buffer): Promise<void> => {
    if (this.endIn < 0) return Promise.reject(new Error('ended'));
    const file = this.files.get(name) ?? { bytes: Buffer.alloc(0), durable: -1 };
    this.files.set(name, file);
    const taken = Math.min(
      bytes.length,
      this.room,
      this.endIn === 0 ? this.random.below(bytes.length) : Infinity,
    );
    file.bytes = Buffer.concat([file.bytes, bytes.subarray(0, taken)]);
    this.room -= taken;
    return this.later(() => {
      if (taken < bytes.length && this.room <= 0) throw new NoRoom('no room');
    });
  };

  sync = (name: string): Promise<void> =>
    this.later(() => {
      const file = this.files.get(name);
      if (file) file.durable = file.bytes.length;
    });

  cut = (name: string, bytes: number): Promise<void> =>
    this.later(() => {
      const file = this.files.get(name) ?? { bytes: Buffer.alloc(0), durable: 0 };
      this.files.set(name, { bytes: file.bytes.subarray(0, bytes), durable: bytes });
    });

  remove = (name: string): Promise<void> => this.later(() => void this.files.delete(name));

  private async later(act: () => void): Promise<void> {
    await Promise.resolve();
    this.step();
    act();
  }

  /** The process has ended, or the machine: what was not durable is there in part, or as zeros, or not. */
  end(): void {
    this.endIn = Infinity;
    for (const [name, file] of this.files) {
      if (file.durable < 0 && this.random.below(2) === 0) {
        this.files.delete(name);
        continue;
      }
      const durable = Math.max(0, file.durable);
      const rest = Buffer.from(file.bytes.subarray(durable));
      const kept = rest.subarray(0, this.random.below(rest.length + 1));
      // Blocks that the disk had not written yet.
      if (kept.length > 0 && this.random.below(3) === 0)
        kept.fill(0, this.random.below(kept.length), kept.length);
      if (kept.length > 8 && this.random.below(3) === 0) kept.fill(0, 0, this.random.below(kept.length));
      file.bytes = Buffer.concat([file.bytes.subarray(0, durable), kept]);
      file.durable = file.bytes.length;
    }
  }
}

const content = (number: number): Buffer => Buffer.from(`record ${String(number)} `.repeat(1 + (number % 5)));

/** The contents in the log, each checked to be at its number. */
async function opened(disk: Disk, segmentBytes = 600): Promise<{ log: RecordLog; records: string[] }> {
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

describe('log', () => {
  it('that ends at any moment loses nothing that had come back, and has nothing that was never appended', async () => {
    const random = seededRandom(4);
    let ends = 0;
    for (let round = 0; round < 400; round++) {
      const disk = new FakeDisk(random);
      let known: string[] = [];
      let durable = 0;
      for (let life = 0; life < 6; life++) {
        const { log, records } = await opened(disk);
        assert.ok(records.length >= durable, `${String(records.length)} of ${String(durable)}`);
        assert.deepEqual(records, known.slice(0, records.length));
        known = records;
        durable = records.length;
        disk.endIn = 1 + random.below(30);
        const open: Promise<void>[] = [];
        for (let n = 0; n < 20; n++) {
          const text = content(log.next + random.below(90));
          known.push(text.toString());
          const at = known.length;
          open.push(
            log.append(text).then(
              () => void (durable = Math.max(durable, at)),
              () => {},
            ),
          );
          if (random.below(3) === 0) await Promise.all(open);
          if (disk.endIn < 0) break;
        }
        await Promise.all(open);
        disk.end();
        ends++;
      }
    }
    assert.ok(ends >= 2400);
  });

  it('refuses damage to what was durable, naming file, place and what is lost', async () => {
    const random = seededRandom(5);
    for (let round = 0; round < 200; round++) {
      const disk = new FakeDisk(random);
      const { log } = await opened(disk);
      for (let n = 0; n < 30; n++) await log.append(content(n));
      const names = [...disk.files.keys()].sort();
      const name = names[random.below(names.length - 1)] ?? '';
      const file = disk.files.get(name);
      assert.ok(file);
      const at = random.below(file.bytes.length);
      file.bytes = Buffer.from(file.bytes);
      file.bytes[at] = (file.bytes[at] ?? 0) ^ (1 << random.below(8));
      await assert.rejects(
        opened(disk),
        (error) => error instanceof Damaged && error.file === name && error.at <= at,
      );
    }
    const disk = new FakeDisk(random);
    const { log } = await opened(disk);
    for (let n = 0; n < 30; n++) await log.append(content(n));
    disk.files.delete([...disk.files.keys()].sort()[1] ?? '');
    await assert.rejects(opened(disk), /records \d+ to \d+ are missing before it/);
    disk.files.clear();
    disk.files.set('log-000000000000000', {
      bytes: Buffer.from('something else of some length'),
      durable: 29,
    });
    disk.files.set('log-000000000000009', { bytes: Buffer.alloc(0), durable: 0 });
    await assert.rejects(opened(disk), /not a segment of a keeper/);
  });

  it('takes nothing while the disk is full, and goes on when there is room', async () => {
    const disk = new FakeDisk(seededRandom(6));
    const { log } = await opened(disk);
    await log.append(content(0));
    disk.room = 10;
    await assert.rejects(log.append(content(1)), NoRoom);
    disk.room = Infinity;
    await log.append(content(2));
    const { records } = await opened(disk);
    assert.deepEqual(records, [content(0), content(2)].map(String));
  });

  it('gives up whole segments below a record, and keeps the numbers of the rest', async () => {
    const disk = new FakeDisk(seededRandom(7));
    const { log } = await opened(disk);
    for (let n = 0; n < 40; n++) await log.append(content(n));
    const dropped = await log.dropBelow(25);
    assert.ok(dropped > 0);
    const numbers: number[] = [];
    await RecordLog.open(disk, (number) => void numbers.push(number), 600);
    assert.ok((numbers[0] ?? 99) <= 25 && (numbers[0] ?? 0) > 0);
    assert.equal(numbers.at(-1), 39);
  });
});
