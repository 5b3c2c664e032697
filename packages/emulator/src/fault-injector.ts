/** Begins and ends a scenario's faults at their times. `fault-handlers.ts` defines what each kind does. */
import type { Random } from '@onyxkeel/scheduler';
import type { Cluster } from './cluster.ts';
import { CRASH_GAP_MS, RESTART_MS, ROLLING_MS } from './constants.ts';
import { beginFault, type FaultContext, type Undo } from './fault-handlers.ts';
import { FaultTargets } from './fault-targets.ts';
import { UnexpectedRequests } from './unexpected-requests.ts';
import type { Fault } from './scenario.ts';

/**
 * The faults of one run. Faults may overlap, and each is ended at most once. Partitions, and outages
 * and refusals of the key-value store, end independently of one another. A fault that sets a value, such as a
 * share of messages, resets it when it ends, even while another fault of its kind is active.
 */
export class FaultInjector {
  /** Functions that end the faults begun so far; those of faults that have ended do nothing. */
  private readonly undoers: Undo[] = [];
  private readonly context: FaultContext;

  constructor(
    private readonly cluster: Cluster,
    random: Random,
  ) {
    const { time, users, checker, workload } = cluster;
    this.context = {
      cluster,
      random,
      targets: new FaultTargets(cluster, random),
      unexpectedRequests: new UnexpectedRequests({ time, random, users, checker, workload }),
      storeOutages: 0,
      refusals: new Map(),
    };
  }

  /** Schedules the fault to begin `atS` seconds after `fromMs`, which is in virtual milliseconds. */
  schedule(fault: Fault, fromMs: number): void {
    if (fault.kind === 'lose') this.cluster.store.keepSnapshots();
    this.cluster.time.at(fromMs + fault.atS * 1000, () => this.begin(fault));
  }

  /**
   * When the fault counts as over, in virtual seconds from the end of the warm-up: it has ended, and so has
   * any restart that it caused. Effects that last longer, such as late copies of messages or the hanging
   * machines of `cancel now`, do not count.
   */
  static endS(fault: Fault, nodes: number): number {
    if (fault.kind === 'back') return fault.atS + (fault.times * (fault.backMs + CRASH_GAP_MS)) / 1000;
    if (fault.kind === 'rolling') return fault.atS + fault.gapS * nodes + (ROLLING_MS + RESTART_MS) / 1000;
    return fault.atS + fault.forS + RESTART_MS / 1000;
  }

  /** Ends all active faults, and starts every controller that is down. */
  clear(): void {
    for (const undo of this.undoers.splice(0)) undo();
    for (const node of this.context.targets.allNodes) this.cluster.startController(node);
  }

  private begin(fault: Fault): void {
    // A recorded format: the digest of a run includes this JSON of the fault.
    this.cluster.checker.record('fault', JSON.stringify(fault));
    const undo = beginFault(fault, this.context);
    if (!undo) return;
    let ended = false;
    const end = (): void => {
      if (ended) return;
      ended = true;
      undo();
    };
    this.undoers.push(end);
    this.cluster.time.after(fault.forS * 1000, end);
  }
}
