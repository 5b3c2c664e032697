/** Users' polls of their jobs, and which jobs count as forgotten because polls fail for too long. */
import { FORGOTTEN_FAULT_FREE_MS, FORGOTTEN_MS, FORGOTTEN_POLLS } from './constants.ts';

/** A time at which a poll failed. */
interface PollFailure {
  readonly at: number;
  /** Milliseconds until then in which users could reach some controller. */
  readonly reachableMs: number;
}

/** The polls of one job since the last answered one. */
interface FailedPolls {
  /** The first of them that failed; null if none has, or once a violation has been reported for them. */
  first: PollFailure | null;
  count: number;
}

/** Why a job counts as forgotten; the code is part of a run's digest. */
export interface ForgottenJob {
  readonly code: 'unanswered' | 'polls_failed';
  /** For how long every poll had to fail. */
  readonly afterMs: number;
  readonly detail: string;
}

/** Counts the polls of one run. Times are virtual milliseconds. */
export class PollFailures {
  /** Polls of all users, to distinguish one job without answers from an outage for all users. */
  private answered = 0;
  private failed = 0;
  private readonly failedPolls = new Map<string, FailedPolls>();
  /** Since when no fault has been active; infinite while faults may be active. */
  faultFreeSince = Infinity;
  /** Since when partitions have separated the users from every controller; infinite while some is reachable. */
  private usersCutOffSince = Infinity;
  /** Milliseconds of all earlier times in which partitions separated the users from every controller. */
  private pastCutOffMs = 0;

  /** Whether partitions now separate the users from every controller. */
  setUsersCutOff(isCutOff: boolean, now: number): void {
    if (isCutOff) {
      this.usersCutOffSince = Math.min(this.usersCutOffSince, now);
      return;
    }
    this.pastCutOffMs += this.currentCutOffMs(now);
    this.usersCutOffSince = Infinity;
  }

  /** A poll of the job was answered: with its state, or with 404. */
  onAnswered(id: string): void {
    this.answered++;
    this.failedPolls.delete(id);
  }

  /**
   * A poll of the job failed. Returns why the job now counts as forgotten, or null: every poll has failed for
   * `FORGOTTEN_MS` although most polls of the run are answered or, if `mustBeAnswered`, for
   * `FORGOTTEN_FAULT_FREE_MS` without an active fault. `FORGOTTEN_MS` leave out the time in which no poll could
   * reach a controller.
   */
  onFailed(id: string, now: number, mustBeAnswered: boolean): ForgottenJob | null {
    this.failed++;
    const polls = this.failedPolls.get(id) ?? { first: null, count: 0 };
    this.failedPolls.set(id, polls);
    polls.count++;
    const latest: PollFailure = { at: now, reachableMs: this.reachableMs(now) };
    polls.first ??= latest;
    const forgotten =
      (mustBeAnswered ? this.forgottenFaultFree(polls.first, latest) : null) ??
      this.forgottenAlone(polls.first, latest, polls.count);
    if (forgotten) polls.first = null;
    return forgotten;
  }

  /** Whether a poll without an answer could reach no controller from when it was sent on. */
  couldReachNoController(sentAt: number): boolean {
    return this.usersCutOffSince <= sentAt;
  }

  private currentCutOffMs(now: number): number {
    return Math.max(0, now - this.usersCutOffSince);
  }

  /** Milliseconds until `now` in which users could reach some controller. */
  private reachableMs(now: number): number {
    return now - this.pastCutOffMs - this.currentCutOffMs(now);
  }

  /** Answers to other users do not matter here, as no active fault can be the reason. */
  private forgottenFaultFree(first: PollFailure, latest: PollFailure): ForgottenJob | null {
    const faultFreeMs = latest.at - Math.max(first.at, this.faultFreeSince);
    if (faultFreeMs < FORGOTTEN_FAULT_FREE_MS) return null;
    const seconds = String(FORGOTTEN_FAULT_FREE_MS / 1000);
    const detail = `no answer for ${seconds} s while no fault was active`;
    return { code: 'unanswered', afterMs: FORGOTTEN_FAULT_FREE_MS, detail };
  }

  private forgottenAlone(first: PollFailure, latest: PollFailure, count: number): ForgottenJob | null {
    if (latest.reachableMs - first.reachableMs < FORGOTTEN_MS || count < FORGOTTEN_POLLS) return null;
    if (this.answered <= this.failed) return null;
    const detail = `every poll failed for ${String(FORGOTTEN_MS / 1000)} s`;
    return { code: 'polls_failed', afterMs: FORGOTTEN_MS, detail };
  }
}
