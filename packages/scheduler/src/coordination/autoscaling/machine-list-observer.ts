/** Compares the cloud's list of machines with the machines that the shard's leader has a record of. */
import { BOOT_LOST_FACTOR, NEVER_REPORTED_MS, UNLISTED_MS } from '../../constants.ts';
import type { ListedMachine, MachineType } from '../../protocol/cloud.ts';
import type { Settings } from '../../settings.ts';
import type { Machine } from '../../storage/machine.ts';
import { recordListed } from '../../storage/machine-lifecycle.ts';
import type { Clock } from '../../transport/clock.ts';
import { isSilent } from '../workers/machine-health.ts';
import type { BootingMachines } from './booting-machines.ts';
import type { MachineTermination } from './machine-termination.ts';

interface MachineListObserverContext {
  readonly machines: ReadonlyMap<string, Machine>;
  readonly settings: Settings;
  readonly clock: Clock;
  readonly booting: BootingMachines;
  readonly termination: MachineTermination;
  /** The cloud's machine types; null until they have been read. */
  readonly catalog: () => readonly MachineType[] | null;
}

/**
 * Detects machines that are booting, that failed or never came up, and that are no longer listed. The list
 * may lag behind the cloud, and one read of the list may be older than the previous one.
 */
export class MachineListObserver {
  /** By machine id, when the machine was first listed as running while its worker had not reported yet. */
  private readonly runningSince = new Map<string, number>();

  constructor(private readonly context: MachineListObserverContext) {}

  /** Applies one read of the list of the shard's machines. `readAt` is when the read began. */
  onMachineList(listed: readonly ListedMachine[], readAt: number): void {
    const now = this.context.clock.now();
    const catalog = this.context.catalog() ?? [];
    for (const entry of listed) this.onEntry(entry, catalog, readAt, now);
    this.handleUnlisted(new Set(listed.map(({ id }) => id)), now);
  }

  private onEntry(entry: ListedMachine, catalog: readonly MachineType[], readAt: number, now: number): void {
    const { machines, termination } = this.context;
    const machine = machines.get(entry.id);
    if (entry.state === 'failed') {
      if (machine) termination.terminate(machine, 'failed');
      else termination.terminateById(entry.id, 'failed');
      return;
    }
    if (machine) {
      recordListed(machine, now);
      this.runningSince.delete(entry.id);
      return;
    }
    const type = catalog.find(({ name }) => name === entry.type);
    if (type) this.onUnreported(entry, type, readAt, now);
  }

  /** Handles a listed machine whose worker has not reported yet. */
  private onUnreported(entry: ListedMachine, type: MachineType, readAt: number, now: number): void {
    const { booting, termination } = this.context;
    const known = booting.get(entry.id);
    if (known) known.lastListedAt = now;
    else {
      const startedAt = readAt - entry.ageS * 1000;
      booting.add(entry.id, { type, spot: entry.spot, startedAt, lastListedAt: now });
    }
    if (entry.state === 'running') {
      const since = this.runningSince.get(entry.id) ?? now;
      this.runningSince.set(entry.id, since);
      if (now - since > NEVER_REPORTED_MS) termination.terminateById(entry.id, 'never reported');
    } else if (entry.ageS > type.bootS * BOOT_LOST_FACTOR) {
      termination.terminateById(entry.id, 'never came up');
    }
  }

  private handleUnlisted(listedIds: ReadonlySet<string>, now: number): void {
    const { machines, settings, booting, termination } = this.context;
    const toleranceMs = settings.listLagMs * 2 + UNLISTED_MS;
    // Once listed, a machine stays listed until it has ended. This list may, however, be older than the one
    // that first showed the machine.
    for (const machine of machines.values()) {
      if (listedIds.has(machine.id)) continue;
      const wasListed = machine.listedAt !== null && now - machine.listedAt > toleranceMs;
      if (wasListed && isSilent(machine, now, settings)) termination.terminate(machine, 'unlisted');
    }
    for (const [id, { startedAt, lastListedAt }] of booting.entries()) {
      if (!listedIds.has(id) && now - Math.max(lastListedAt, startedAt) > toleranceMs) booting.remove(id);
    }
    for (const id of this.runningSince.keys()) {
      if (!listedIds.has(id)) this.runningSince.delete(id);
    }
  }
}
