import assert from 'node:assert/strict';
import { mkdtemp, rm } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { after, before, describe, it } from 'node:test';
import { FolderDisk, RecordLog } from '../src/index.ts';

describe('FolderDisk', () => {
  let path = '';
  before(async () => {
    path = await mkdtemp(join(tmpdir(), 'durable-log-'));
  });
  after(() => rm(path, { recursive: true }));

  it('creates its folder, and appends to, truncates and removes files', async () => {
    const disk = await FolderDisk.open(join(path, 'created', 'files'));
    await disk.append('file', Buffer.from('some '));
    await disk.append('file', Buffer.from('bytes'));
    await disk.sync('file');
    assert.equal((await disk.read('file')).toString(), 'some bytes');
    await disk.truncate('file', 4);
    assert.equal((await disk.read('file')).toString(), 'some');
    await disk.remove('file');
    assert.deepEqual(await disk.list(), []);
  });

  it('returns all records after the log is reopened', async () => {
    const disk = await FolderDisk.open(join(path, 'log'));
    const log = await RecordLog.open(disk, () => {});
    await Promise.all(['a', 'b', 'c'].map((text) => log.append(Buffer.from(text))));
    const records: string[] = [];
    const reopened = await RecordLog.open(disk, (_number, content) => void records.push(content.toString()));
    assert.deepEqual(records, ['a', 'b', 'c']);
    assert.equal(reopened.nextRecord, 3);
  });
});
