/**
 * Sets of job ids as a short text: what became of jobs that are over is kept for ever, and after a loss it goes back by
 * the page and not by the job. An id is a prefix and digits; ids of a length are sorted and kept as their differences.
 */
const PREFIX = 'j-';

/** The most bytes of text that one id takes: three bits in four of a differences' ten bytes, in base64. */
export const ID_BYTES = 14;

function varint(value: bigint, into: number[]): void {
  for (; value >= 128n; value >>= 7n) into.push(Number(value & 127n) | 128);
  into.push(Number(value));
}

/** By the number of an id's digits, the ids in base64. Ids of another form are left out. */
export function packIds(ids: Iterable<string>): Record<string, string> {
  const byLength = new Map<number, bigint[]>();
  for (const id of ids) {
    const digits = id.slice(PREFIX.length);
    if (!id.startsWith(PREFIX) || !/^\d+$/.test(digits)) continue;
    const alike = byLength.get(digits.length) ?? [];
    alike.push(BigInt(digits));
    byLength.set(digits.length, alike);
  }
  const packed: Record<string, string> = {};
  for (const [length, values] of byLength) {
    values.sort((a, b) => (a < b ? -1 : a > b ? 1 : 0));
    const bytes: number[] = [];
    let last = 0n;
    for (const value of values) {
      varint(value - last, bytes);
      last = value;
    }
    packed[String(length)] = Buffer.from(bytes).toString('base64');
  }
  return packed;
}

/** The ids of such a record. */
export function unpackIds(packed: Record<string, string>): string[] {
  const ids: string[] = [];
  for (const [length, text] of Object.entries(packed)) {
    let last = 0n;
    let shift = 0n;
    let value = 0n;
    for (const byte of Buffer.from(text, 'base64')) {
      value |= BigInt(byte & 127) << shift;
      shift += 7n;
      if (byte >= 128) continue;
      last += value;
      ids.push(`${PREFIX}${last.toString().padStart(Number(length), '0')}`);
      value = shift = 0n;
    }
  }
  return ids;
}
