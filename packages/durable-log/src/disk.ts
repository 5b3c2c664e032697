/**
 * The disk operations that the durable log needs. The interface is small so that a fake can simulate lost
 * writes.
 */

/**
 * The files of one folder. Every method rejects with the operating system's error unless documented
 * otherwise.
 */
export interface Disk {
  /** Names of the folder's files, in any order. */
  list(): Promise<string[]>;

  /** The whole content of a file. */
  read(name: string): Promise<Buffer>;

  /**
   * Appends to a file and creates it if it does not exist. The bytes are not durable before `sync`. Rejects
   * with `DiskFullError` if the disk is full; some of the bytes may have been written.
   */
  append(name: string, bytes: Buffer): Promise<void>;

  /** Makes the appended bytes and the file's entry in the folder durable. */
  sync(name: string): Promise<void>;

  /** Truncates the file to `bytes`, durably. */
  truncate(name: string, bytes: number): Promise<void>;

  /** Removes the file, durably. */
  remove(name: string): Promise<void>;
}
