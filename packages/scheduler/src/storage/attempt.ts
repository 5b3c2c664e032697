/** Attempts: single runs of tasks on machines, as the leader of the shard keeps them in memory. */
import type { ExactInteger } from '../protocol/json.ts';
import type { EndReason, FencingToken, TaskState } from '../protocol/workers.ts';
import type { Slice } from './slice.ts';

/**
 * Progress of a launch. `new`: not sent yet. `sent`: sent in the reply to a heartbeat. The worker drops a
 * late reply, so the next heartbeat shows whether the launch arrived. `direct`: sent only by a call to the
 * machine that has got no answer. `seen`: reported in a heartbeat.
 */
export type LaunchPhase = 'new' | 'sent' | 'direct' | 'seen';

/** One run of a task that is on a machine or is being launched there. */
export interface Attempt {
  /** See `attemptKey`. */
  readonly key: string;
  /** Name of the task: its job and its index in it. */
  readonly task: string;
  /** Fencing token and counter in one number; unique within the deployment. */
  readonly number: ExactInteger;
  /** Null for a task that is in no slice of the shard; such a task is stopped. */
  readonly slice: Slice | null;
  /** Position of the task in the slice; 0 without one. */
  readonly position: number;
  phase: LaunchPhase;
  /**
   * The fencing token of the last call with its launch, while that call is unanswered; else 0. The call may be
   * executed until the machine has accepted a higher token, or its agent epoch has ended.
   */
  callToken: FencingToken;
  /** As last reported; `fetching` before the first report. */
  state: TaskState;
  /** Whether a stop command for it is to be sent or has been sent. */
  stopping: boolean;
  /** Seconds that a task has to save its state while it is stopped. */
  graceS: number;
  /** When it was launched, or adopted from an earlier leader, in milliseconds of the clock. */
  readonly startedAt: number;
  /** When it was first reported as running, in milliseconds of the clock; infinite before. */
  runningAt: number;
}

/** An attempt that has ended. Its worker reports it until it receives the command `forget`. */
export interface EndedAttempt {
  /** Name of the task. */
  readonly task: string;
  /** See `Attempt.number`. */
  readonly number: ExactInteger;
  readonly reason: EndReason;
  /**
   * The slice whose record must contain the result before the worker may forget it; null without a result, and
   * for a task that was in no slice of the shard.
   */
  readonly slice: Slice | null;
  /** Position of the task in the slice; 0 without one. */
  readonly position: number;
  /** When its end was reported, in milliseconds of the clock. */
  readonly endReportedAt: number;
}

/** Identifies an attempt among those on a machine. */
export const attemptKey = (task: string, number: ExactInteger): string => `${task}#${String(number)}`;
