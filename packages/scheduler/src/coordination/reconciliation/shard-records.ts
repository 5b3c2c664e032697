import { LOW_PRIORITY, PAGE_BYTES, PROGRESS_MS, PROGRESS_URGENT_MS } from '../../constants.ts';
import type { Machine } from '../../storage/machine.ts';
import type { RecordState } from '../../storage/machine-state.ts';
import { type Page, RecordPages } from '../../storage/record-pages.ts';
import { encodeMachines, encodeProgress } from '../../storage/record-codec.ts';
import {
  type MachineRecord,
  type MachinesRecord,
  machinesPrefix,
  leadershipKey,
  type ProgressRecord,
  progressPrefix,
} from '../../storage/records.ts';
import type { Slice } from '../../storage/slice.ts';
import type { KeyValueStore, Lane } from '../../storage/key-value-store.ts';
import type { WatchCache } from '../../storage/watch-cache.ts';
import { TaskSet } from '../../storage/task-set.ts';
import type { Int } from '../../protocol/json.ts';
import { type Precondition, RequestRejected } from '../../protocol/key-value.ts';
import type { Clock } from '../../transport/clock.ts';
import type { Log } from '../../transport/background-task.ts';

/** Bytes of a progress entry at its longest: six tasks a character, the name, and the signs around them. */
const entryBytes = (name: string, tasks: number): number => Math.ceil(tasks / 6) + name.length + 12;

const machineRecord = (m: Machine): MachineRecord => ({
  endpoint: m.endpoint,
  type: m.typeName,
  zone: m.zone,
  spot: m.spot,
});
const machineBytes = (id: string, record: MachineRecord): number =>
  JSON.stringify(record).length + id.length + 8;

export interface ShardRecordsContext {
  clock: Clock;
  log: Log;
  store: KeyValueStore;
  watchCache: WatchCache;
  valueKb: number;
  machines: Map<string, Machine>;
  slices: Map<string, Slice>;
  onSliceDone: (job: string) => boolean;
  /** Machines that may be given tasks now. */
  onMachinesRecorded: () => void;
}

/** The pages that a part's owner writes: its machines and its progress. */
export class ShardRecords {
  private readonly leadershipVersion: Int;
  private readonly machinePages: RecordPages;
  private readonly progressPages: RecordPages;
  private recordingMachines = false;
  private recordingProgress = false;
  private progressAt = -Infinity;

  constructor(
    private readonly shard: string,
    private readonly context: ShardRecordsContext,
    private readonly signal: AbortSignal,
    before: { machines: [string, MachinesRecord, Int][]; progress: [string, ProgressRecord, Int][] },
  ) {
    this.leadershipVersion = context.watchCache.version(leadershipKey(shard));
    const limit = Math.min(PAGE_BYTES, context.valueKb * 768);
    this.machinePages = new RecordPages(machinesPrefix(shard), limit);
    this.progressPages = new RecordPages(progressPrefix(shard), limit);
    for (const [key, record, version] of before.machines) {
      const entries = Object.entries(record.machines);
      this.machinePages.restore(
        key,
        version,
        entries.map(([id, each]) => [id, machineBytes(id, each)]),
      );
    }
    for (const [key, record, version] of before.progress) {
      const names = Object.keys(record.settled);
      this.progressPages.restore(
        key,
        version,
        names.map((each) => [each, entryBytes(each, context.slices.get(each)?.count ?? 0)]),
      );
      // Of jobs that are over: they leave the page at its next write.
      for (const each of names) if (!context.slices.has(each)) this.progressPages.remove(each);
    }
  }

  private get active(): boolean {
    return !this.signal.aborted;
  }

  /**
   * The condition that makes a stale owner's transaction, or a late one, fail. It names the record that made
   * this node the owner: the newest known may be a successor's by the time a transaction is sent.
   */
  leadershipPrecondition(): Precondition {
    return { key: leadershipKey(this.shard), version: this.leadershipVersion };
  }

  /** The machine is gone: it leaves its page at the next write. */
  dropMachine(id: string): void {
    this.machinePages.remove(id);
  }

  dropSlice(name: string): void {
    this.progressPages.remove(name);
  }

  /** A task of the slice is settled. */
  noteSettled(slice: Slice): void {
    const done = slice.settled.full;
    const urgent = done && !this.context.onSliceDone(slice.spec.id) && slice.spec.priority < LOW_PRIORITY;
    this.progressPages.touch(slice.name, entryBytes(slice.name, slice.count), urgent);
    this.recordProgress();
  }

  /** One recorder at a time; it goes on until nothing is due. */
  recordMachines(): void {
    for (const m of this.context.machines.values()) {
      if (!m.persisted && !m.terminating)
        this.machinePages.touch(m.id, machineBytes(m.id, machineRecord(m)), false);
    }
    if (this.recordingMachines || !this.active) return;
    this.recordingMachines = true;
    void this.writeAll(() => this.writeMachines()).finally(() => (this.recordingMachines = false));
  }

  recordProgress(): void {
    if (this.recordingProgress || !this.active) return;
    this.recordingProgress = true;
    void this.writeAll(() => this.writeProgress()).finally(() => (this.recordingProgress = false));
  }

  private async writeAll(write: () => Promise<boolean>): Promise<void> {
    try {
      while (this.active && (await write()));
    } catch (error) {
      this.context.log.debug({ shard: this.shard, err: String(error) }, 'not recorded yet');
    }
  }

  private async writeMachines(): Promise<boolean> {
    const page = this.machinePages.next(false);
    if (!page) return false;
    const written: RecordState[] = [];
    const machines: Record<string, MachineRecord> = {};
    for (const id of page.names.keys()) {
      const m = this.context.machines.get(id);
      if (!m) continue;
      written.push(m);
      machines[id] = machineRecord(m);
    }
    if (!(await this.writePage(page, encodeMachines({ machines }), 'leadership'))) return false;
    for (const machine of written) machine.persisted = true;
    this.context.onMachinesRecorded();
    return true;
  }

  private async writeProgress(): Promise<boolean> {
    const since = this.context.clock.now() - this.progressAt;
    if (since < PROGRESS_URGENT_MS) return false;
    const page = this.progressPages.next(since < PROGRESS_MS);
    if (!page) return false;
    this.progressAt = this.context.clock.now();
    const urgent = page.urgent;
    const written: [Slice, string][] = [];
    for (const name of page.names.keys()) {
      const slice = this.context.slices.get(name);
      if (slice) written.push([slice, slice.settled.encode()]);
    }
    const settled = Object.fromEntries(written.map(([slice, encoded]) => [slice.name, encoded]));
    // What makes a job done goes with the users' calls: somebody waits for it.
    if (!(await this.writePage(page, encodeProgress({ settled }), urgent ? 'user' : 'background')))
      return false;
    for (const [slice, encoded] of written) slice.persisted = new TaskSet(slice.count, encoded);
    return true;
  }

  /**
   * Each write names the version that it replaces, so that one delivered late cannot undo a newer one. A
   * page whose write had no answer, or found another version, stays dirty, and the replica tells its version.
   */
  private async writePage(page: Page, value: object, lane: Lane): Promise<boolean> {
    const { urgent } = page;
    const version = page.version ?? this.context.watchCache.version(page.key);
    const conditions = [this.leadershipPrecondition(), { key: page.key, version }];
    page.dirty = false;
    page.urgent = false;
    page.version = null;
    try {
      const result = await this.context.store.compareAndSwap(
        conditions,
        [{ op: 'put', key: page.key, value }],
        lane,
      );
      if (result.kind === 'committed') page.version = result.revision;
    } catch (error) {
      if (error instanceof RequestRejected) page.version = version; // it was not carried out
      throw error;
    } finally {
      if (page.version === null || page.version === version) {
        page.dirty = true;
        page.urgent ||= urgent;
      }
    }
    return page.version !== null;
  }
}
