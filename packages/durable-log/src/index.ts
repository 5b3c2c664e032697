export { Damaged, type Disk, NoRoom } from './disk.ts';
export { folder } from './folder.ts';
export { RecordLog } from './record-log.ts';
