/**
 * Detects lost machines: those that neither send heartbeats nor answer calls while other machines are heard.
 */
import {
  FENCING_ATTEMPTS,
  LOST_HEARTBEATS,
  PARTITION_KEEP_MS,
  PROBE_BATCH,
  SILENT_HEARTBEATS,
  SILENT_SHARE_OF_SHARD,
  SILENT_TOLERATED,
} from '../../constants.ts';
import type { Settings } from '../../settings.ts';
import type { Machine } from '../../storage/machine.ts';
import type { Clock } from '../../transport/clock.ts';
import type { Log } from '../../transport/log.ts';

/** Why a machine counts as lost. Written to the log. */
export type LostReason = 'preempted' | 'silent' | 'not fenced';

/**
 * Whether the machine has sent neither a heartbeat nor an answer for `SILENT_HEARTBEATS` heartbeat intervals,
 * which is longer than a heartbeat may be late.
 */
export function isSilent(machine: Machine, now: number, settings: Settings): boolean {
  return now - machine.lastContactAt > settings.heartbeatIntervalMs * SILENT_HEARTBEATS;
}

/**
 * Whether the machine answers calls, but has sent no heartbeat for the duration of a worker lease. Such a
 * machine exists, but cannot run tasks.
 */
export function hasStoppedReporting(machine: Machine, now: number, settings: Settings): boolean {
  return !isSilent(machine, now, settings) && now - machine.lastHeartbeatAt > settings.leaseMs;
}

/** What the detection needs from the shard whose machines it monitors. */
export interface MonitoredShard {
  /** The shard's machines, by id. */
  readonly machines: ReadonlyMap<string, Machine>;
  /** Calls a machine directly. The outcome is recorded on the machine. */
  probe(machine: Machine): Promise<unknown>;
}

/** Whether the controllers reach the shard's machines. */
export interface ShardReachability {
  /** Called when this node cannot reach the shard's machines. */
  readonly onUnreachable: () => void;
  /** Whether no node reaches the shard's machines. */
  readonly isUnreachableByAll: () => boolean;
}

interface MachineHealthContext {
  readonly shard: MonitoredShard;
  readonly settings: Settings;
  readonly clock: Clock;
  readonly log: Log;
  readonly reachability: ShardReachability;
  /** Terminates a lost machine, so that its tasks can be started elsewhere at once. */
  readonly terminate: (machine: Machine, reason: LostReason) => void;
}

/**
 * Terminates machines that have been silent for a few heartbeats and do not answer calls, provided that other
 * machines were heard while the calls stayed unanswered. The termination releases the tasks at once.
 *
 * If almost all machines are silent, the fault is more likely on this node's side, and terminating the
 * machines would destroy the shard. The shard is handed over instead. If no node reaches the machines, the
 * whole shard is probably partitioned. Its tasks are then released when the worker leases expire, and its
 * machines are kept for `PARTITION_KEEP_MS`.
 */
export class MachineHealth {
  /** When the shard last became reachable again. */
  private reachableAgainAt = -Infinity;

  constructor(private readonly context: MachineHealthContext) {}

  /** Called when the shard is reachable from this node again. */
  onReachable(): void {
    this.reachableAgainAt = this.context.clock.now();
  }

  /** Terminates lost machines, hands over an unreachable shard, and probes silent machines. */
  check(now: number): void {
    const machines = [...this.context.shard.machines.values()];
    const silent = machines.filter((machine) => isSilent(machine, now, this.context.settings));
    const unresponsive = silent.filter((machine) => this.isUnresponsive(machine, now));
    const isPartitioned = silent.length > Math.max(SILENT_TOLERATED, machines.length * SILENT_SHARE_OF_SHARD);
    // Machines that have just become reachable are still silent: they have had no time to send heartbeats.
    const isRecovering = now - this.reachableAgainAt < this.lostAfterMs;
    if (isPartitioned && !isRecovering && unresponsive.length * 2 > silent.length) {
      this.context.reachability.onUnreachable();
    }
    const unfenced = this.unfencedOutliers(machines);
    this.terminateUnresponsive(unresponsive, isPartitioned, machines.length, now);
    for (const machine of unfenced) {
      if (machine.unansweredProbes > 0) this.declareLost(machine, 'not fenced', now);
    }
    this.probeSilent(machines, now);
  }

  private get lostAfterMs(): number {
    return this.context.settings.heartbeatIntervalMs * LOST_HEARTBEATS;
  }

  private isUnresponsive(machine: Machine, now: number): boolean {
    return now - machine.lastContactAt > this.lostAfterMs && now >= machine.unreachableSince;
  }

  /**
   * Machines that have not accepted this leader although most others have. An unreconciled machine may run
   * any task, so every unreconciled task waits for it. After a failover, a machine that does not answer while
   * the others do is therefore terminated sooner than other silent machines.
   */
  private unfencedOutliers(machines: readonly Machine[]): Machine[] {
    const fenced = machines.filter((machine) => machine.fenced).length;
    if (fenced * 2 <= machines.length) return [];
    return machines.filter(
      (machine) =>
        machine.unreconciled && !machine.fenced && machine.failedFencingAttempts >= FENCING_ATTEMPTS,
    );
  }

  private terminateUnresponsive(
    unresponsive: readonly Machine[],
    isPartitioned: boolean,
    machineCount: number,
    now: number,
  ): void {
    // In a shard of one or two machines, there may be no other machine that could be heard.
    const isSmall = machineCount <= SILENT_TOLERATED;
    const isUnreachableByAll = this.context.reachability.isUnreachableByAll();
    for (const machine of unresponsive) {
      const isLost = isPartitioned
        ? isUnreachableByAll && now - machine.lastContactAt > PARTITION_KEEP_MS
        : isSmall || machine.unansweredProbes > 0;
      if (isLost) this.declareLost(machine, machine.preemptionNoticed ? 'preempted' : 'silent', now);
    }
  }

  /** Terminates a lost machine, and logs the evidence of the loss. */
  private declareLost(machine: Machine, reason: LostReason, now: number): void {
    if (machine.terminating) return;
    this.context.log.info(
      {
        machine: machine.id,
        reason,
        silentMs: now - machine.lastContactAt,
        unreachableMs: machine.unreachableSince === Infinity ? 0 : now - machine.unreachableSince,
        unansweredProbes: machine.unansweredProbes,
      },
      'machine lost',
    );
    this.context.terminate(machine, reason);
  }

  /**
   * Probes silent machines, and machines that send heartbeats but answer no calls. The latter are given tasks
   * again once they answer.
   */
  private probeSilent(machines: readonly Machine[], now: number): void {
    const due = machines.filter((machine) => {
      if (machine.probing || machine.terminating) return false;
      const isUnreachable = machine.fenced && machine.unreachableSince !== Infinity;
      return isUnreachable || isSilent(machine, now, this.context.settings);
    });
    due.sort((a, b) => a.probedAt - b.probedAt);
    for (const machine of due.slice(0, PROBE_BATCH)) void this.context.shard.probe(machine);
  }
}
