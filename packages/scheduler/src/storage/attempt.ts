/** Attempts: single runs of tasks on machines, as the leader of the shard keeps them in memory. */
import type { ExactInteger } from '../protocol/json.ts';
import type { EndReason, TaskState } from '../protocol/workers.ts';
import type { Slice } from './slice.ts';

/**
 * How far a launch has got. `new`: not sent yet. `sent`: in the reply to a heartbeat, which the worker drops
 * if it comes late, so the next heartbeat decides. `direct`: sent by a call to the machine and unanswered, so
 * it may still arrive at any time within the agent epoch. `seen`: reported in a heartbeat.
 */
export type LaunchPhase = 'new' | 'sent' | 'direct' | 'seen';

/** One run of a task that is on a machine, or is being launched there. */
export interface Attempt {
  /** See `attemptKey`. */
  readonly key: string;
  /** Name of the task: its job and its index in it. */
  readonly task: string;
  /** Fencing token and counter in one; unique within the deployment. */
  readonly number: ExactInteger;
  /** Null for a task that no slice of the shard has: it is stopped. */
  readonly slice: Slice | null;
  /** Position of the task in the slice; 0 without one. */
  readonly position: number;
  phase: LaunchPhase;
  /** As last reported; `fetching` before. */
  state: TaskState;
  /** Whether a stop command for it is to be sent, or has been. */
  stopping: boolean;
  /** Seconds that a task being stopped has for saving. */
  graceS: number;
  /** When it was launched, or adopted from an earlier leader, in milliseconds of the clock. */
  readonly startedAt: number;
  /**
   * Latest confirmed contact with the key-value store before its job was known to be over, in milliseconds of
   * the clock; infinite while the job is not known to be over.
   */
  jobOpenConfirmedAt: number;
  /** Since when it has been reported as running, in milliseconds of the clock; infinite before. */
  runningAt: number;
}

/** An attempt that is over and that its worker still reports: it does so until the command `forget`. */
export interface EndedAttempt {
  /** Name of the task. */
  readonly task: string;
  /** See `Attempt.number`. */
  readonly number: ExactInteger;
  readonly reason: EndReason;
  /**
   * The slice whose record must have the result before the worker may forget it; null if nothing is to be
   * recorded.
   */
  readonly slice: Slice | null;
  /** Position of the task in the slice; 0 without one. */
  readonly position: number;
  /** When its end was reported, in milliseconds of the clock. */
  readonly endReportedAt: number;
}

/** Identifies an attempt among those of a machine. */
export const attemptKey = (task: string, number: ExactInteger): string => `${task}#${String(number)}`;
