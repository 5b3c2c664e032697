/** A compact set of task positions, for progress records and handovers. */

/**
 * A set of task positions, kept as bits so that its encoding stays small whatever the order in which tasks
 * end.
 */
export class TaskSet {
  private readonly bits: Uint8Array;
  private members = 0;

  /**
   * Positions range from 0 to `capacity`, exclusive. `encoded` holds the initial members, as returned by
   * `encode`. It may be the encoding of a larger set; members from `capacity` on are dropped.
   */
  constructor(
    /** Positions that the set can hold. */
    readonly capacity: number,
    encoded = '',
  ) {
    this.bits = new Uint8Array(Math.ceil(capacity / 8));
    this.bits.set(Buffer.from(encoded, 'base64').subarray(0, this.bits.length));
    const bitsInLastByte = capacity % 8;
    const last = this.bits.length - 1;
    if (bitsInLastByte > 0) this.bits[last] = (this.bits[last] ?? 0) & ((1 << bitsInLastByte) - 1);
    this.members = countBits(this.bits);
  }

  /** Number of members below `capacity` of an encoded set. */
  static countIn(encoded: string, capacity: number): number {
    return encoded === '' ? 0 : new TaskSet(capacity, encoded).size;
  }

  /** Number of members. */
  get size(): number {
    return this.members;
  }

  /** Whether every position is a member. */
  get full(): boolean {
    return this.members === this.capacity;
  }

  /** Whether the position is a member. */
  has(position: number): boolean {
    return ((this.bits[position >> 3] ?? 0) & (1 << (position & 7))) !== 0;
  }

  /** Adds a position. Returns false if it is already a member or outside the set's capacity. */
  add(position: number): boolean {
    if (position < 0 || position >= this.capacity || this.has(position)) return false;
    this.bits[position >> 3] = (this.bits[position >> 3] ?? 0) | (1 << (position & 7));
    this.members++;
    return true;
  }

  /** The set as base64 of its bits, lowest position in the lowest bit; the empty string for an empty set. */
  encode(): string {
    return this.members === 0 ? '' : Buffer.from(this.bits).toString('base64');
  }
}

function countBits(bytes: Uint8Array): number {
  let bits = 0;
  for (let byte of bytes) for (; byte > 0; byte &= byte - 1) bits++;
  return bits;
}
