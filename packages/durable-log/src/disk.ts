/** What the durable log needs of a disk. Kept so small that a fake can lose whatever was not made durable. */

/** The files of one folder. Every method rejects with the error of the operating system, unless it says otherwise. */
export interface Disk {
  /** Names of the folder's files, in any order. */
  list(): Promise<string[]>;

  /** The whole content of a file. */
  read(name: string): Promise<Buffer>;

  /**
   * Appends to a file, which is created if there is none. Not durable before `sync`. Rejects with `DiskFullError` if
   * there is no room; a part of the bytes may then have been written.
   */
  append(name: string, bytes: Buffer): Promise<void>;

  /** Makes durable what was appended to the file, and the file's name in the folder. */
  sync(name: string): Promise<void>;

  /** Shortens the file to `bytes`, durably. */
  truncate(name: string, bytes: number): Promise<void>;

  /** Removes the file, durably. */
  remove(name: string): Promise<void>;
}
