/** Implements `Disk` on a real folder with the file system calls of Node.js. */
import { mkdir, open, readdir, readFile, rm } from 'node:fs/promises';
import type { FileHandle } from 'node:fs/promises';
import { join } from 'node:path';
import type { Disk } from './disk.ts';
import { DiskFullError } from './errors.ts';

/**
 * A folder of a file system. Each call opens and closes its own file handle, so nothing has to be released.
 */
export class FolderDisk implements Disk {
  private constructor(private readonly path: string) {}

  /** Opens the folder and creates it if it does not exist. */
  static async open(path: string): Promise<FolderDisk> {
    await mkdir(path, { recursive: true });
    return new FolderDisk(path);
  }

  /** Names of the folder's files, in the order of the file system. */
  list(): Promise<string[]> {
    return readdir(this.path);
  }

  /** The whole content of a file. */
  read(name: string): Promise<Buffer> {
    return readFile(this.pathOf(name));
  }

  /** Appends to a file; rejects with `DiskFullError` if the file system is full. */
  async append(name: string, bytes: Buffer): Promise<void> {
    await withFileHandle(this.pathOf(name), 'a', async (handle) => {
      try {
        await handle.appendFile(bytes);
      } catch (error) {
        if (isDiskFullError(error)) throw new DiskFullError(this.path, { cause: error });
        throw error;
      }
    });
  }

  /**
   * Makes the file's content durable, then its folder entry: POSIX requires a sync of the folder for the
   * entry.
   */
  async sync(name: string): Promise<void> {
    await withFileHandle(this.pathOf(name), 'r+', (handle) => handle.sync());
    await this.syncFolder();
  }

  /** Truncates the file to `bytes`, durably. */
  async truncate(name: string, bytes: number): Promise<void> {
    await withFileHandle(this.pathOf(name), 'a', async (handle) => {
      await handle.truncate(bytes);
      await handle.sync();
    });
  }

  /** Removes the file, durably. It is not an error if the file does not exist. */
  async remove(name: string): Promise<void> {
    await rm(this.pathOf(name), { force: true });
    await this.syncFolder();
  }

  private pathOf(name: string): string {
    return join(this.path, name);
  }

  private async syncFolder(): Promise<void> {
    await withFileHandle(this.path, 'r', (handle) => handle.sync());
  }
}

/** Opens the file, runs `action` on its handle and always closes the handle. */
async function withFileHandle(
  path: string,
  flags: string,
  action: (handle: FileHandle) => Promise<void>,
): Promise<void> {
  const handle = await open(path, flags);
  try {
    await action(handle);
  } finally {
    await handle.close();
  }
}

function isDiskFullError(error: unknown): boolean {
  return error instanceof Error && 'code' in error && error.code === 'ENOSPC';
}
