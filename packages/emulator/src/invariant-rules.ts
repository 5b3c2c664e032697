/** The rules that a run may break, and the codes and fields of the events in its history. */

/**
 * The rules that a run may break: those of PROTOCOL "Rules", and these:
 * - `ran_again`: a task starts after its worker was told to forget its result.
 * - `unserved`: less than half of the jobs of a class, of a team, or of a class's largest jobs are served.
 * - `stuck`: an accepted job does not end after all faults are over.
 * - `idle_wait`: a job stays pending for long after all faults are over, while a machine has capacity for it.
 * - `wrongly_accepted`: a job that can't run or lacks a field is accepted.
 * - `over_limit`: too many calls exceed the limits of an external service.
 * - `crashed`: an uncaught error.
 */
export type Rule =
  | 'ran_twice'
  | 'quota'
  | 'wrong_place'
  | 'ran_cancelled'
  | 'forgotten'
  | 'invented'
  | 'not_done'
  | 'went_back'
  | 'nothing_ran'
  | 'ran_again'
  | 'stuck'
  | 'unserved'
  | 'idle_wait'
  | 'wrongly_accepted'
  | 'over_limit'
  | 'crashed';

/**
 * The kind of an event in a run's history. Codes are part of the run's digest: a renamed code changes
 * recorded digests.
 */
export type EventCode =
  | 'task_start'
  | 'task_end'
  | 'answer'
  | 'invalid_request'
  | 'fault'
  | 'controller_end'
  | 'unrecoverable'
  | 'violation';

/** A code, an id or a number of an event, never text for people; null if the event has none. */
export type EventField = string | number | null;

/** A rule that was broken. */
export interface Violation {
  rule: Rule;
  /** Virtual seconds. */
  atS: number;
  /** What broke it, as text for people. */
  detail: string;
}

/**
 * The kind of a user's request; a code in recorded events. `poll_node` is a poll sent directly to one node:
 * its failure does not show that users in general get no answer.
 */
export type RequestKind = 'submit' | 'poll' | 'cancel' | 'poll_node';
