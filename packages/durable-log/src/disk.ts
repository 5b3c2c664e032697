/** What the log needs of a folder on a disk. Kept so small that a fake can lose what was not made durable. */
export interface Disk {
  /** Names of the folder's files. */
  list(): Promise<string[]>;
  read(name: string): Promise<Buffer>;
  /** Adds at the file's end; the file is made where there is none. Not durable before `sync`. */
  append(name: string, bytes: Buffer): Promise<void>;
  /** Makes what was appended to the file, and its name in the folder, durable. */
  sync(name: string): Promise<void>;
  /** Cuts the file to so many bytes, durably. */
  cut(name: string, bytes: number): Promise<void>;
  remove(name: string): Promise<void>;
}

/** The folder is full: nothing is taken until there is room. */
export class NoRoom extends Error {}

/** A file that is not what was written: never read past in silence. */
export class Damaged extends Error {
  constructor(
    readonly file: string,
    /** Byte at which the damage begins. */
    readonly at: number,
    readonly what: string,
  ) {
    super(`${file}: byte ${String(at)}: ${what}`);
  }
}
