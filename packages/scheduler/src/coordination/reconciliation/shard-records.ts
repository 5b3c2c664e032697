/**
 * The records that a shard's leader writes: its machines, and the progress of its slices (docs/design.md,
 * Records).
 */
import {
  LOW_PRIORITY,
  MACHINE_ENTRY_OVERHEAD_BYTES,
  PAGE_BYTES,
  PAGE_BYTES_PER_VALUE_KB,
  PROGRESS_ENTRY_OVERHEAD_BYTES,
  PROGRESS_MS,
  PROGRESS_URGENT_MS,
  TASKS_PER_CHARACTER,
} from '../../constants.ts';
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
import type { Lane } from '../../storage/key-value-store.ts';
import { TaskSet } from '../../storage/task-set.ts';
import type { ExactInteger } from '../../protocol/json.ts';
import { type Precondition, RequestRejected } from '../../protocol/key-value.ts';
import type { ShardContext, ShardState } from '../shard-context.ts';

/** A shard's pages when a leadership begins: key, record and version of each. */
export interface RecordedPages {
  /** The pages of machines. */
  readonly machines: [string, MachinesRecord, ExactInteger][];
  /** The pages with the progress of slices. */
  readonly progress: [string, ProgressRecord, ExactInteger][];
}

/** The bytes to reserve for a slice's entry: its maximum length. */
const progressBytes = (name: string, tasks: number): number =>
  Math.ceil(tasks / TASKS_PER_CHARACTER) + name.length + PROGRESS_ENTRY_OVERHEAD_BYTES;

/** Bytes of a machine's entry. */
const machineBytes = (id: string, record: MachineRecord): number =>
  JSON.stringify(record).length + id.length + MACHINE_ENTRY_OVERHEAD_BYTES;

const machineRecord = ({ endpoint, typeName, zone, spot }: Machine): MachineRecord => ({
  endpoint,
  type: typeName,
  zone,
  spot,
});

/** Writes a shard's pages. Writes succeed only during the leadership for which this object was created. */
export class ShardRecords {
  private readonly leadershipVersion: ExactInteger;
  private readonly machinePages: RecordPages;
  private readonly progressPages: RecordPages;
  private isWritingMachines = false;
  private isWritingProgress = false;
  private progressWrittenAt = -Infinity;

  constructor(
    private readonly context: ShardContext,
    private readonly shard: ShardState,
    recorded: RecordedPages,
    /** Called when machines have been recorded: from then on they may be given tasks. */
    private readonly onMachinesRecorded: () => void,
  ) {
    this.leadershipVersion = context.watchCache.version(leadershipKey(shard.name));
    const limit = Math.min(PAGE_BYTES, context.settings.valueKb * PAGE_BYTES_PER_VALUE_KB);
    this.machinePages = new RecordPages(machinesPrefix(shard.name), limit);
    this.progressPages = new RecordPages(progressPrefix(shard.name), limit);
    this.restoreMachines(recorded);
    this.restoreProgress(recorded);
  }

  private restoreMachines({ machines }: RecordedPages): void {
    for (const [key, record, version] of machines) {
      const entries = Object.entries(record.machines);
      this.machinePages.restore(
        key,
        version,
        entries.map(([id, each]) => [id, machineBytes(id, each)]),
      );
    }
  }

  private restoreProgress({ progress }: RecordedPages): void {
    const { slices } = this.shard;
    for (const [key, record, version] of progress) {
      const names = Object.keys(record.settled);
      this.progressPages.restore(
        key,
        version,
        names.map((name) => [name, progressBytes(name, slices.get(name)?.count ?? 0)]),
      );
      // Entries of jobs that are over leave the page at its next write.
      for (const name of names) if (!slices.has(name)) this.progressPages.remove(name);
    }
  }

  /**
   * The precondition that makes a former leader's transaction, or one delivered late, fail. It names the
   * version of the leadership record that made this node the leader, not the newest one known: that may be a
   * successor's by the time a transaction is sent.
   */
  leadershipPrecondition(): Precondition {
    return { key: leadershipKey(this.shard.name), version: this.leadershipVersion };
  }

  /** The machine is terminated: it leaves its page at the next write. */
  dropMachine(id: string): void {
    this.machinePages.remove(id);
  }

  /** The slice is dropped: it leaves its page at the next write. */
  dropSlice(name: string): void {
    this.progressPages.remove(name);
  }

  /**
   * A task of the slice is settled. Progress that completes a slice is urgent, because its job's user may be
   * polling. It is not urgent if it completes the job, because then only the job's end is recorded, nor if
   * the job has a low priority.
   */
  recordSettled(slice: Slice): void {
    const isDone = slice.settled.full;
    const isUrgent = isDone && !this.context.onSliceDone(slice.spec.id) && slice.spec.priority < LOW_PRIORITY;
    this.progressPages.markDirty(slice.name, progressBytes(slice.name, slice.count), isUrgent);
    this.recordProgress();
  }

  /** Writes the machine pages that are due, one after the other. Does nothing while that is in progress. */
  recordMachines(): void {
    for (const machine of this.shard.machines.values()) {
      if (!machine.persisted && !machine.terminating)
        this.machinePages.markDirty(machine.id, machineBytes(machine.id, machineRecord(machine)), false);
    }
    if (this.isWritingMachines || !this.shard.leadership.isActive) return;
    this.isWritingMachines = true;
    void this.writeAll(() => this.writeMachines()).finally(() => (this.isWritingMachines = false));
  }

  /** Writes the progress pages that are due, one after the other. Does nothing while that is in progress. */
  recordProgress(): void {
    if (this.isWritingProgress || !this.shard.leadership.isActive) return;
    this.isWritingProgress = true;
    void this.writeAll(() => this.writeProgress()).finally(() => (this.isWritingProgress = false));
  }

  /** Writes pages until none is due. A failed write is retried at the next tick. */
  private async writeAll(write: () => Promise<boolean>): Promise<void> {
    try {
      while (this.shard.leadership.isActive && (await write()));
    } catch (error) {
      this.context.log.debug({ shard: this.shard.name, err: String(error) }, 'shard records not written');
    }
  }

  private async writeMachines(): Promise<boolean> {
    const page = this.machinePages.nextToWrite(false);
    if (!page) return false;
    const written: RecordState[] = [];
    const machines: Record<string, MachineRecord> = {};
    for (const id of page.reservedBytes.keys()) {
      const machine = this.shard.machines.get(id);
      if (!machine) continue;
      written.push(machine);
      machines[id] = machineRecord(machine);
    }
    if (!(await this.writePage(page, encodeMachines({ machines }), 'leadership'))) return false;
    for (const machine of written) machine.persisted = true;
    this.onMachinesRecorded();
    return true;
  }

  private async writeProgress(): Promise<boolean> {
    const sinceMs = this.context.clock.now() - this.progressWrittenAt;
    if (sinceMs < PROGRESS_URGENT_MS) return false;
    const page = this.progressPages.nextToWrite(sinceMs < PROGRESS_MS);
    if (!page) return false;
    this.progressWrittenAt = this.context.clock.now();
    const lane = page.urgent ? 'user' : 'background';
    const written: { slice: Slice; encoded: string }[] = [];
    for (const name of page.reservedBytes.keys()) {
      const slice = this.shard.slices.get(name);
      if (slice) written.push({ slice, encoded: slice.settled.encode() });
    }
    const settled = Object.fromEntries(written.map(({ slice, encoded }) => [slice.name, encoded]));
    if (!(await this.writePage(page, encodeProgress({ settled }), lane))) return false;
    for (const { slice, encoded } of written) slice.persisted = new TaskSet(slice.count, encoded);
    return true;
  }

  /**
   * Writes a page; false if a precondition failed. Each write names the version that it replaces, so that one
   * delivered late cannot undo a newer one. A page whose write received no answer, or found another version,
   * stays dirty; its next write takes the version from the watch cache.
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
