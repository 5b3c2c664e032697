/**
 * What the leader of a shard knows of a machine, in groups. Each group is an interface here and is changed by
 * one module only, which takes this interface; all other modules see it read-only through `Machine`. All
 * times are milliseconds of the clock.
 */
import type { ExactInteger } from '../protocol/json.ts';
import type { FencingToken } from '../protocol/workers.ts';
import type { Attempt, EndedAttempt } from './attempt.ts';
import type { Resources } from './resources.ts';

/**
 * Contents of the worker's latest heartbeats and answers to commands. Changed by
 * coordination/workers/heartbeat-handler.ts.
 */
export interface HeartbeatState {
  /** Host and port of the worker. */
  endpoint: string;
  /** Name of its machine type; the type itself is unknown until the catalog has been read. */
  typeName: string;
  /** Whether the cloud may preempt it. */
  spot: boolean;
  /** 0 until the first heartbeat. */
  agentEpoch: ExactInteger;
  /**
   * Sequence number of the last status within the agent epoch. Statuses with lower ones are late and dropped.
   */
  sequence: ExactInteger;
  /** When the last heartbeat or answer of the machine arrived. */
  lastContactAt: number;
  /**
   * When the last heartbeat arrived, answers excluded; before the first, when this leader learned of the
   * machine.
   */
  lastHeartbeatAt: number;
  /** Whether the cloud has announced that it preempts the machine. */
  preemptionNoticed: boolean;
}

/** The tasks on the machine and their load. Changed by coordination/workers/task-attempts.ts. */
export interface AttemptState {
  /** By key; changed only by `attach` and `detach`. */
  readonly attempts: Map<string, Attempt>;
  /** Capacity that the attempts leave free, as last computed; undefined after a change of the attempts. */
  cachedFreeCapacity: Resources | null | undefined;
  /** By key; coordination/workers/reported-tasks.ts removes those that the worker has forgotten. */
  readonly endedAttempts: Map<string, EndedAttempt>;
  /** Booked share of the scarcest resource according to the last heartbeat. */
  load: number;
  /** Share booked by the tasks started since the last heartbeat. */
  bookedSinceHeartbeat: number;
  /**
   * Sizes in gigabytes of the images expected on it, the most recently used last. Changed only by
   * `recordImageUse`, which coordination/workers/reported-tasks.ts calls.
   */
  readonly images: Map<string, number>;
}

/** When the leaders may have renewed the worker lease. Changed by coordination/workers/worker-lease.ts. */
export interface LeaseState {
  /**
   * When this leader last answered a heartbeat with 200, or the latest time at which a former leader may have
   * done so, whichever is later.
   */
  leaseRenewedAt: number;
  /** Until when a former leader may have answered its heartbeats. */
  readonly formerLeaderMayRenewUntil: number;
}

/** The fencing tokens that the machine is shown. Changed by coordination/workers/machine-tokens.ts. */
export interface TokenState {
  /** The fencing token of everything that is sent to the machine. It only rises. */
  fencingToken: FencingToken;
  /**
   * The token of the last call with a launch; 0 if there was none. Calls with this token, and copies of them,
   * may be executed until the machine has been shown a higher one.
   */
  launchCallToken: FencingToken;
}

/** The forget commands for the machine. Changed by coordination/workers/worker-commands.ts. */
export interface ForgetState {
  /** Whether the last call left out the forget commands that were due, so that the next reply carries them. */
  isForgetHeldBack: boolean;
}

/** Whether the machine has accepted this leader. Changed by coordination/workers/machine-fencing.ts. */
export interface FencingState {
  /**
   * Whether it has reported a fencing token of this leader. From then on its heartbeats report every task that
   * is on it.
   */
  fenced: boolean;
  /** When the next call may be made for it to accept this leader. */
  nextFencingAt: number;
  /** Fencing calls that got no answer. */
  failedFencingAttempts: number;
}

/**
 * Whether the tasks on the machine are known. Changed by
 * coordination/reconciliation/unreconciled-machines.ts.
 */
export interface ReconciliationState {
  /**
   * A former leader recorded the machine, and it is not reconciled yet: any task of the shard may be on it.
   */
  unreconciled: boolean;
}

/** Calls to a silent machine. Changed by coordination/workers/machine-prober.ts. */
export interface ProbeState {
  /** Whether a probe is in flight. */
  probing: boolean;
  /** When the last probe was sent. */
  probedAt: number;
}

/** Whether the machine answers calls. Changed by coordination/workers/command-sender.ts. */
export interface ReachabilityState {
  /** Whether a call with commands is in flight; there is at most one at a time. */
  commandInFlight: boolean;
  /** Since when it has not answered calls, though its heartbeats may arrive; infinite while it answers. */
  unreachableSince: number;
  /**
   * Probes without an answer since the machine's last answer. A probe counts only if other machines of the
   * shard were in contact with the leader, so that the network was not the cause.
   */
  unansweredProbes: number;
}

/** Tasks that failed on the machine. Changed by coordination/workers/failure-attribution.ts. */
export interface FailureHistory {
  /** Failed tasks since the machine's last result, by job, and when the latest of them failed. */
  readonly taskFailures: Map<string, { count: number; lastFailedAt: number }>;
  /** Whether it is draining because of these failures. */
  cordoned: boolean;
  /** It gets no tasks before this time; 0 without a backoff. */
  backoffUntil: number;
}

/**
 * Whether a later leader will know of the machine. Changed by coordination/reconciliation/shard-records.ts.
 */
export interface RecordState {
  /** Whether its record is in the key-value store. No task is launched on it before. */
  persisted: boolean;
}

/** Draining and termination of the machine. Changed by the functions of storage/machine-lifecycle.ts. */
export interface LifecycleState {
  /** When this leader first received a list from the cloud that shows the machine; null before. */
  listedAt: number | null;
  /** It gets no more tasks. */
  draining: boolean;
  /** It is being terminated. */
  terminating: boolean;
}

/** How long the machine has been idle. Changed by coordination/scheduling/idle-list.ts. */
export interface IdleState {
  /** Since when it has had no tasks; infinite while it has tasks. */
  idleSince: number;
}
