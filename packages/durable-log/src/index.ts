/** Public entry of the package: the log, its disk interface and its errors. */

export type { Disk } from './disk.ts';
export {
  CorruptSegmentError,
  DiskFullError,
  DurableLogError,
  type DurableLogErrorCode,
  LogUnusableError,
  QueueFullError,
  RecordTooLargeError,
  WriteFailedError,
} from './errors.ts';
export { FolderDisk } from './folder-disk.ts';
export type { RecordNumber } from './frame-codec.ts';
export { RecordLog, type RecordHandler } from './record-log.ts';
