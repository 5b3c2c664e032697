/** Public entry of the package: the log, the disk that it is kept on, and the errors that it raises. */

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
