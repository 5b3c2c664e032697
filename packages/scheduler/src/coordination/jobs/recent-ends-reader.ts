/**
 * Reads the final records that were committed shortly before this process started: docs/design.md, "User
 * requests".
 */
import { RECENT_ENDS_MAX, RECENT_ENDS_REVISIONS, RETRY_MS } from '../../constants.ts';
import { subtractFrom } from '../../protocol/json.ts';
import { type Revision, RevisionCompacted, type WatchEvent } from '../../protocol/key-value.ts';
import type { KeyValueStore } from '../../storage/key-value-store.ts';
import { decodeJob } from '../../storage/record-codec.ts';
import { FINAL_PREFIX } from '../../storage/records.ts';
import type { Clock } from '../../transport/clock.ts';
import type { Log } from '../../transport/log.ts';
import type { FinalRecord } from './final-record-reader.ts';

interface RecentEndsReaderContext {
  readonly clock: Clock;
  readonly log: Log;
  /** Aborted at the end of the process. */
  readonly signal: AbortSignal;
  readonly store: Pick<KeyValueStore, 'watch'>;
  /** Called with each final record that has been read, in the order of the revisions. */
  readonly onRead: (jobId: string, record: FinalRecord) => void;
}

/**
 * A new process remembers no end that an earlier process of its node has reported, and its watch cache does not
 * have the final records. If the key-value store is down soon after the start, nobody may be left who knows how
 * a job ended. So the process asks the store once for the latest final records, which the store still has among
 * its latest changes.
 */
export class RecentEndsReader {
  private isStarted = false;
  private readAfter: Revision | null = null;

  constructor(private readonly context: RecentEndsReaderContext) {}

  /**
   * This process has read every end with a later revision that was committed before its first answer from the
   * store; null until then.
   */
  get endsReadAfter(): Revision | null {
    return this.readAfter;
  }

  /** Reads the ends before this process's first revision, once. A failed request is retried. Never rejects. */
  async read(firstRevision: Revision): Promise<void> {
    if (this.isStarted) return;
    this.isStarted = true;
    const { clock, log, signal } = this.context;
    let revisions = RECENT_ENDS_REVISIONS;
    while (!signal.aborted && revisions >= 1) {
      try {
        await this.readAfterRevision(subtractFrom(firstRevision, revisions));
        return;
      } catch (error: unknown) {
        if (error instanceof RevisionCompacted) {
          revisions = Math.floor(revisions / 2);
          continue;
        }
        log.debug({ err: String(error) }, 'recent final records not read; retrying');
        await clock.sleep(RETRY_MS, signal);
      }
    }
  }

  private async readAfterRevision(revision: Revision): Promise<void> {
    const { log, onRead, store } = this.context;
    const { events } = await store.watch(FINAL_PREFIX, revision, 0);
    const ends = events.flatMap(endOf);
    const kept = ends.slice(-RECENT_ENDS_MAX);
    for (const [jobId, record] of kept) onRead(jobId, record);
    const newestDropped = ends.at(-RECENT_ENDS_MAX - 1)?.[1].revision;
    this.readAfter = newestDropped ?? revision;
    log.debug({ ends: kept.length, after: this.readAfter }, 'recent final records read');
  }
}

/** The end that a change of a final record shows; none for a deletion, as final records are never deleted. */
function endOf(event: WatchEvent): [jobId: string, record: FinalRecord][] {
  if (event.op !== 'put') return [];
  const record = { ...decodeJob(event.value), revision: event.version };
  return [[event.key.slice(FINAL_PREFIX.length), record]];
}
