import { mkdir, open, readdir, readFile, rm } from 'node:fs/promises';
import { join } from 'node:path';
import { type Disk, NoRoom } from './disk.ts';

/** A folder of the machine's own disk. */
export async function folder(path: string): Promise<Disk> {
  await mkdir(path, { recursive: true });
  const at = (name: string): string => join(path, name);
  const syncFolder = async (): Promise<void> => {
    const handle = await open(path, 'r');
    try {
      await handle.sync();
    } finally {
      await handle.close();
    }
  };
  return {
    list: () => readdir(path),
    read: (name) => readFile(at(name)),
    append: async (name, bytes) => {
      const handle = await open(at(name), 'a');
      try {
        await handle.appendFile(bytes);
      } catch (error) {
        if ((error as NodeJS.ErrnoException).code === 'ENOSPC') throw new NoRoom(`${path}: no room`);
        throw error;
      } finally {
        await handle.close();
      }
    },
    sync: async (name) => {
      const handle = await open(at(name), 'r+');
      try {
        await handle.sync();
      } finally {
        await handle.close();
      }
      await syncFolder();
    },
    cut: async (name, bytes) => {
      const handle = await open(at(name), 'a');
      try {
        await handle.truncate(bytes);
        await handle.sync();
      } finally {
        await handle.close();
      }
    },
    remove: async (name) => {
      await rm(at(name), { force: true });
      await syncFolder();
    },
  };
}
