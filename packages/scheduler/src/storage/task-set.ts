/** A set of task positions, kept as bits so that its record stays small whatever the order tasks end in. */
export class TaskSet {
  private readonly bits: Uint8Array;
  private members = 0;

  constructor(
    readonly capacity: number,
    encoded = '',
  ) {
    this.bits = new Uint8Array(Math.ceil(capacity / 8));
    this.bits.set(Buffer.from(encoded, 'base64').subarray(0, this.bits.length));
    for (let i = 0; i < capacity; i++) if (this.has(i)) this.members++;
  }

  /** How many members a record of a set has. */
  static countIn(encoded: string): number {
    let members = 0;
    for (let byte of Buffer.from(encoded, 'base64')) for (; byte > 0; byte &= byte - 1) members++;
    return members;
  }

  get size(): number {
    return this.members;
  }

  get full(): boolean {
    return this.members === this.capacity;
  }

  has(position: number): boolean {
    return ((this.bits[position >> 3] ?? 0) & (1 << (position & 7))) !== 0;
  }

  /** False if it was a member already. */
  add(position: number): boolean {
    if (position < 0 || position >= this.capacity || this.has(position)) return false;
    this.bits[position >> 3] = (this.bits[position >> 3] ?? 0) | (1 << (position & 7));
    this.members++;
    return true;
  }

  encode(): string {
    return this.members === 0 ? '' : Buffer.from(this.bits).toString('base64');
  }
}
