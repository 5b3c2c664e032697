/** Autoscaling of one shard: compares its demand with its supply, and scales it out or in. */
import type { ListedMachine, MachineType } from '../../protocol/cloud.ts';
import type { Settings } from '../../settings.ts';
import type { Clock } from '../../transport/clock.ts';
import type { Log } from '../../transport/log.ts';
import type { FailingJobs } from '../jobs/failing-jobs.ts';
import type { ShardLeader } from '../shard-leader.ts';
import { MachineHealth, type ShardReachability } from '../workers/machine-health.ts';
import { BootingMachines } from './booting-machines.ts';
import { type Capacity, demandOf, DemandWindow, supplyOf, workloadsOf } from './capacity.ts';
import type { CloudRequests } from './cloud-requests.ts';
import { MachineListObserver } from './machine-list-observer.ts';
import { MachineTermination } from './machine-termination.ts';
import { drainUnneededMachines, isDrained } from './scale-in.ts';
import { ScaleOut } from './scale-out.ts';

/** The dependencies of a shard's autoscaler. */
export interface AutoscalerContext extends ShardReachability {
  /** The operators' settings. */
  readonly settings: Settings;
  /** Monotonic time, milliseconds. */
  readonly clock: Clock;
  /** The node's log. */
  readonly log: Log;
  /** The cloud's API, within this node's share of its request limit. */
  readonly cloud: CloudRequests;
  /** The jobs whose tasks fail on every machine. */
  readonly failingJobs: FailingJobs;
  /** The cloud's machine types; null until they have been read. */
  readonly catalog: () => MachineType[] | null;
  /** Whether a machine that the cloud starts in the shard's zone belongs to the shard. */
  readonly belongsToShard: (machineId: string) => boolean;
}

/** Supplies one shard with machines: scales out ahead of demand, replaces lost machines, scales in. */
export class Autoscaler {
  private readonly demandWindow = new DemandWindow();
  private readonly booting = new BootingMachines();
  private readonly termination: MachineTermination;
  private readonly machineHealth: MachineHealth;
  private readonly machineList: MachineListObserver;
  private readonly scaleOut: ScaleOut;

  constructor(
    private readonly shard: ShardLeader,
    zone: string,
    private readonly context: AutoscalerContext,
  ) {
    const { booting } = this;
    this.termination = new MachineTermination({ ...context, shard, booting });
    const { termination } = this;
    this.machineHealth = new MachineHealth({
      ...context,
      shard,
      reachability: context,
      terminate: (machine, reason) => termination.terminate(machine, reason),
    });
    this.machineList = new MachineListObserver({
      ...context,
      machines: shard.machines,
      booting,
      termination,
    });
    this.scaleOut = new ScaleOut({ ...context, shard, zone, booting });
  }

  /** Runs one round. Called periodically. Does nothing once a newer leader is known. */
  tick(): void {
    if (this.shard.isSuperseded) return;
    const now = this.context.clock.now();
    const { machines, slices } = this.shard;
    this.machineHealth.check(now);
    for (const [id] of this.booting.entries()) if (machines.has(id)) this.booting.remove(id);
    for (const machine of [...machines.values()].filter(isDrained)) {
      this.termination.terminate(machine, 'drained');
    }
    const catalog = this.context.catalog();
    if (!catalog) return;
    const workloads = workloadsOf(slices.values(), (job) => this.context.failingJobs.isFailing(job));
    const demand = this.demandWindow.record(demandOf(workloads), now);
    drainUnneededMachines(machines.values(), this.supply(now), demand, now);
    if (this.scaleOut.isRequesting) return;
    void this.scaleOut.run({ now, catalog, workloads, demand, supply: this.supply(now) });
  }

  /** Applies one read of the cloud's list of the shard's machines. `readAt` is when the read began. */
  onMachineList(listed: readonly ListedMachine[], readAt: number): void {
    this.machineList.onMachineList(listed, readAt);
  }

  /** Called when the shard is reachable from this node again. */
  onReachable(): void {
    this.machineHealth.onReachable();
  }

  /** Cores of the booting machines that may still come up in time. */
  bootingCores(now: number): number {
    return this.booting.expectedCores(now);
  }

  private supply(now: number): Capacity {
    return supplyOf(this.shard.machines.values(), this.booting.expected(now), now, this.context.settings);
  }
}
