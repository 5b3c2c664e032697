/** Requests machines from the cloud for one shard, one request at a time. */
import { NO_CAPACITY_MS, SCALE_OUT_BATCH } from '../../constants.ts';
import type { MachineType } from '../../protocol/cloud.ts';
import type { Machine } from '../../storage/machine.ts';
import type { Clock } from '../../transport/clock.ts';
import type { Log } from '../../transport/log.ts';
import type { BootingMachines, MachineKind } from './booting-machines.ts';
import type { Capacity, Workload } from './capacity.ts';
import type { CloudRequests } from './cloud-requests.ts';
import { chooseScaleOut, type ScaleOutChoice } from './scale-out-choice.ts';

interface ScaleOutContext {
  readonly shard: { readonly name: string; readonly machines: ReadonlyMap<string, Machine> };
  readonly zone: string;
  readonly clock: Clock;
  readonly log: Log;
  readonly cloud: CloudRequests;
  readonly booting: BootingMachines;
  /** Whether a machine that the cloud starts in the shard's zone belongs to the shard. */
  readonly belongsToShard: (machineId: string) => boolean;
}

/** The input of one scale-out round. */
export interface ScaleOutRound {
  /** Milliseconds of the clock. */
  readonly now: number;
  /** The cloud's machine types, of all zones. */
  readonly catalog: readonly MachineType[];
  /** The tasks of the shard's slices for which machines are needed. */
  readonly workloads: readonly Workload[];
  /** The capacity to keep, with headroom. */
  readonly demand: Readonly<Capacity>;
  /** The capacity that is available now or soon. */
  readonly supply: Readonly<Capacity>;
}

function kindKey(type: MachineType, spot: boolean): string {
  return `${type.name}/${String(spot)}`;
}

/** Requests machines until the supply meets the demand. */
export class ScaleOut {
  /** By machine kind, until when the kind is not requested because the cloud had too few machines of it. */
  private readonly noCapacityUntil = new Map<string, number>();
  private requesting = false;

  constructor(private readonly context: ScaleOutContext) {}

  /** Whether a request is in flight. Its machines count as supply only once the cloud has answered. */
  get isRequesting(): boolean {
    return this.requesting;
  }

  /** Requests the machines that are needed most, if any. */
  async run({ now, catalog, ...round }: ScaleOutRound): Promise<void> {
    const { zone } = this.context;
    const choice = chooseScaleOut({
      ...round,
      types: catalog.filter((type) => type.zones.includes(zone)),
      machines: this.usableMachines(now),
      isAvailable: (type, spot) => (this.noCapacityUntil.get(kindKey(type, spot)) ?? 0) <= now,
    });
    if (!choice) return;
    this.requesting = true;
    const { type, spot, cores } = choice;
    const count = Math.min(SCALE_OUT_BATCH, Math.max(1, Math.ceil(cores / type.cores)));
    try {
      const result = await this.context.cloud.scaleOut({ type: type.name, zone, spot, count });
      this.onAnswer(choice, count, result.kind === 'created' ? result.machines : []);
    } catch (error: unknown) {
      this.context.log.debug({ err: String(error) }, 'scale-out request failed');
    } finally {
      this.requesting = false;
    }
  }

  /** The machines in use whose type is known, and the booting ones that may still come up in time. */
  private usableMachines(now: number): MachineKind[] {
    const usable: MachineKind[] = [];
    for (const { type, spot, draining, terminating } of this.context.shard.machines.values()) {
      if (type && !draining && !terminating) usable.push({ type, spot });
    }
    return [...usable, ...this.context.booting.expected(now)];
  }

  private onAnswer({ type, spot }: ScaleOutChoice, requested: number, machineIds: readonly string[]): void {
    const { shard, clock, log, booting, belongsToShard } = this.context;
    const now = clock.now();
    for (const id of machineIds) {
      // In a zone with several shards, a hash of the machine's id decides to which shard the machine belongs.
      // The leaders of the other shards find their machines in the cloud's list. Counted here, these machines
      // would be supply that never arrives in this shard.
      if (!belongsToShard(id) || booting.get(id)) continue;
      booting.add(id, { type, spot, startedAt: now, lastListedAt: now });
    }
    if (machineIds.length < requested) this.noCapacityUntil.set(kindKey(type, spot), now + NO_CAPACITY_MS);
    if (machineIds.length === 0) return;
    log.info(
      { shard: shard.name, type: type.name, spot, machines: machineIds.length },
      'scale-out: machines created',
    );
  }
}
