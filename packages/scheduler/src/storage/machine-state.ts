/**
 * What the leader of a shard knows of a machine, in groups. A group is changed by one module only, which
 * takes it as its interface here; everywhere else `Machine` shows it read-only. All times are milliseconds of
 * the clock.
 */
import type { ExactInteger } from '../protocol/json.ts';
import type { Attempt, EndedAttempt } from './attempt.ts';
import type { Resources } from './resources.ts';

/**
 * What the worker's heartbeats and its answers to commands said last. Changed by
 * coordination/workers/heartbeat-handler.ts.
 */
export interface HeartbeatState {
  /** Host and port of the worker. */
  endpoint: string;
  /** Name of its machine type, which the catalog may not have been read for yet. */
  typeName: string;
  /** Whether the cloud may take it back. */
  spot: boolean;
  /** 0 until the first heartbeat. */
  agentEpoch: ExactInteger;
  /** Of the last status within the agent epoch; lower ones come late and are dropped. */
  sequence: ExactInteger;
  /** When the machine was last heard, by a heartbeat or by an answer. */
  lastContactAt: number;
  /**
   * When the last heartbeat came that it sent by itself; before the first, when this leader came to know it.
   */
  lastHeartbeatAt: number;
  /** Whether the cloud has announced that it takes the machine back. */
  preemptionNoticed: boolean;
}

/**
 * The tasks on the machine, and the load that they make. Changed by coordination/workers/task-attempts.ts.
 */
export interface AttemptState {
  /** By key; changed by `attach` and `detach` only. */
  readonly attempts: Map<string, Attempt>;
  /** What the attempts leave free, as last computed; undefined after a change of the attempts. */
  cachedFreeCapacity: Resources | null | undefined;
  /** By key; coordination/workers/reported-tasks.ts removes those that the worker has forgotten. */
  readonly endedAttempts: Map<string, EndedAttempt>;
  /**
   * Keys of attempts whose direct launch had no answer, kept by coordination/workers/worker-commands.ts until
   * the agent epoch ends: once the worker forgot one of them, a launch that arrives late would start it
   * again.
   */
  readonly launchesInDoubt: Set<string>;
  /** Booked share of the scarcest resource by the last heartbeat. */
  load: number;
  /** The same of the tasks that were started since. */
  bookedSinceHeartbeat: number;
  /**
   * Images that it should have, in gigabytes; the one used last at the end. Changed by `recordImageUse` only,
   * for coordination/workers/reported-tasks.ts.
   */
  readonly images: Map<string, number>;
}

/**
 * The worker's lease, as its leaders may have renewed it. Changed by coordination/workers/worker-lease.ts.
 */
export interface LeaseState {
  /**
   * When this leader last answered a heartbeat with 200, or the latest moment at which an earlier one can
   * have, whichever is later.
   */
  leaseRenewedAt: number;
  /** Until when an earlier leader may have answered its heartbeats. */
  readonly formerLeaderMayRenewUntil: number;
}

/** How far the machine has accepted this leader. Changed by coordination/workers/machine-fencing.ts. */
export interface FencingState {
  /**
   * Whether it was seen with this leader's fencing token: from then on its heartbeats are the whole truth.
   */
  fenced: boolean;
  /** When it may next be called to accept this leader. */
  nextFencingAt: number;
  /** Calls to fence it that had no answer. */
  failedFencingAttempts: number;
}

/**
 * Whether what runs on the machine is known. Changed by
 * coordination/reconciliation/unreconciled-machines.ts.
 */
export interface ReconciliationState {
  /** Recorded by an earlier leader and not accounted for since: any task of the shard may be on it. */
  unreconciled: boolean;
}

/** Calls to a silent machine. Changed by coordination/workers/machine-prober.ts. */
export interface ProbeState {
  /** Whether a probe is under way. */
  probing: boolean;
  /** When the last probe was begun. */
  probedAt: number;
}

/** Whether the machine answers calls. Changed by coordination/workers/command-sender.ts. */
export interface ReachabilityState {
  /** Whether a call with commands is under way; there is one at a time. */
  commandInFlight: boolean;
  /** Since when calls to it are not answered, though its heartbeats may arrive; infinite while they are. */
  unreachableSince: number;
  /**
   * Calls since its last answer that it left unanswered while others of its shard were heard, so that the
   * network can't have been the cause.
   */
  unansweredProbes: number;
}

/** Tasks that failed on the machine. Changed by coordination/workers/failure-attribution.ts. */
export interface FailureHistory {
  /** Failed tasks since the last result, by job, and when the last of them failed. */
  readonly taskFailures: Map<string, { count: number; lastFailedAt: number }>;
  /** Whether it is draining because of them. */
  cordoned: boolean;
  /** It gets no task before this time; 0 without a backoff. */
  backoffUntil: number;
}

/**
 * Whether a later leader would know of the machine. Changed by coordination/reconciliation/shard-records.ts.
 */
export interface RecordState {
  /** Whether its record is in the key-value store; nothing is launched on it before. */
  persisted: boolean;
}

/** The machine's way out of the shard. Changed by the functions of storage/machine-lifecycle.ts. */
export interface LifecycleState {
  /** When this leader first saw it in the cloud's list; null before. */
  listedAt: number | null;
  /** It gets no more tasks. */
  draining: boolean;
  /** It is being returned to the cloud. */
  terminating: boolean;
}

/** For how long the machine has been idle. Changed by coordination/scheduling/idle-list.ts. */
export interface IdleState {
  /** Since when nothing is on it; infinite while something is. */
  idleSince: number;
}
