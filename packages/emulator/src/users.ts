/**
 * A model of the users (PROTOCOL "Users -> controller nodes"): they submit jobs, poll them until they end,
 * cancel some, and retry requests that got no answer. The invariant checker receives every answer.
 */
import { type HttpCall, NoAnswer, type Random } from '@onyxkeel/scheduler';
import {
  CANCEL_ONE_IN,
  QUERY_ALL_MS,
  QUERY_ALL_ROUNDS,
  CONNECT_DEADLINE_MS,
  POLL_DEADLINE_MS,
  POLL_MS,
  RETRY_AFTER_MAX_MS,
  RETRY_MS,
  RETRY_TOTAL_MS,
  SUBMIT_DEADLINE_MS,
} from './constants.ts';
import type { InvariantChecker } from './invariant-checker.ts';
import type { RequestKind } from './invariant-rules.ts';
import type { LoadBalancer } from './load-balancer.ts';
import type { Host, Network, Reply } from './network.ts';
import { readJobState, encodeSubmission } from './protocol/wire.ts';
import type { VirtualTime } from './time.ts';
import type { Work, Workload } from './workload.ts';

/** What a user does with a job, in virtual seconds since the start of the run. */
export interface UserPlan {
  /** When the user submits it. */
  atS: number;
  /** When the user cancels it, or null. */
  cancelAtS: number | null;
  /** When the user submits it once more, whatever its state is, or null. */
  resubmitAtS: number | null;
}

/** Outcomes of first submissions. */
export interface UserCounts {
  submitted: number;
  accepted: number;
  /** Accepted within half a second. */
  acceptedQuickly: number;
  /** Rejected, because the job is invalid or can never run. */
  refused: number;
  /** Not accepted within `RETRY_TOTAL_MS`. */
  gaveUp: number;
}

/** All users of a deployment; each job has its own routine, which acts as its user. */
export class Users {
  readonly counts: UserCounts = { submitted: 0, accepted: 0, acceptedQuickly: 0, refused: 0, gaveUp: 0 };
  /** By class: milliseconds from a job's submission to the answer that it is done. */
  readonly completionTimesMs = new Map<string, number[]>();
  /** Whether users query all nodes right after an answer first reported a job as accepted or ended. */
  queriesAllNodes = false;
  /** Jobs that a user polls or has polled. */
  private readonly polledJobs = new Set<string>();
  /** Jobs for which a user has sent, or is about to send, a cancellation. */
  private readonly cancelling = new Set<string>();
  /** Users' routines that have not finished: submissions with their polls, and cancellations. */
  openRoutines = 0;

  constructor(
    private readonly time: VirtualTime,
    private readonly random: Random,
    private readonly network: Network,
    private readonly host: Host,
    private readonly balancer: LoadBalancer,
    private readonly checker: InvariantChecker,
    private readonly workload: Workload,
  ) {}

  /** Schedules a user's plan for a job. */
  begin(work: Work, plan: UserPlan): void {
    this.openRoutines++;
    this.time.at(plan.atS * 1000, () => void this.submitAndPoll(work).finally(() => this.openRoutines--));
    const { id } = work.spec;
    const { cancelAtS, resubmitAtS } = plan;
    if (cancelAtS !== null) this.time.at(cancelAtS * 1000, () => void this.cancelIfAccepted(id));
    if (resubmitAtS === null) return;
    this.openRoutines++;
    this.time.at(resubmitAtS * 1000, () => void this.resubmit(work).finally(() => this.openRoutines--));
  }

  /** A user polls a job that no user has submitted. */
  pollUnknownJob(id: string): Promise<number> {
    return this.sendRequest(id, 'poll', null);
  }

  /** Submits the job, retrying for `RETRY_TOTAL_MS` at most, and then polls it. */
  private async submitAndPoll(work: Work): Promise<void> {
    const beganAt = this.time.now;
    this.counts.submitted++;
    work.submitted = true;
    work.submittedAt = Math.min(work.submittedAt, beganAt);
    for (;;) {
      const status = await this.sendRequest(work.spec.id, 'submit', work);
      if (status === 200 || status === 201) break;
      if (status === 400 || status === 422) {
        this.counts.refused++;
        return;
      }
      if (this.time.now - beganAt > RETRY_TOTAL_MS) {
        this.counts.gaveUp++;
        return;
      }
      await this.time.sleep(this.retryMs);
    }
    this.counts.accepted++;
    if (this.time.now - beganAt <= 500) this.counts.acceptedQuickly++;
    await this.pollUntilOver(work, beganAt);
  }

  /** Submits the job once more. If it is accepted, polls it, unless a routine polls it already. */
  private async resubmit(work: Work): Promise<void> {
    const beganAt = this.time.now;
    work.submitted = true;
    work.submittedAt = Math.min(work.submittedAt, beganAt);
    const status = await this.sendRequest(work.spec.id, 'submit', work);
    if (status === 200 || status === 201) await this.pollUntilOver(work, beganAt);
  }

  /** Polls until the job has ended. */
  private async pollUntilOver(work: Work, beganAt: number): Promise<void> {
    const { id } = work.spec;
    if (this.polledJobs.has(id)) return;
    this.polledJobs.add(id);
    let isDoneCounted = false;
    for (;;) {
      await this.time.sleep(POLL_MS * (0.8 + this.random.below(400) / 1000));
      await this.sendRequest(id, 'poll', work);
      const final = this.checker.finalState(id);
      if (final === 'done' && !isDoneCounted) {
        isDoneCounted = true;
        const durations = this.completionTimesMs.get(work.spec.class) ?? [];
        durations.push(this.time.now - beganAt);
        this.completionTimesMs.set(work.spec.class, durations);
      }
      if (final !== null) return this.pollAfterEnd(work);
    }
  }

  /** Some users poll again after the end, at once or later and at any node: the answer must be the same. */
  private async pollAfterEnd(work: Work): Promise<void> {
    for (let times = this.random.below(4); times > 0; times--) {
      await this.time.sleep(this.random.below(this.random.below(2) === 0 ? 700 : 20_000));
      await this.sendRequest(work.spec.id, 'poll', work);
    }
  }

  /**
   * Cancels the job if an answer has reported that it is accepted and none that it has ended. Retries until
   * the answer is 200 or 404.
   */
  async cancelIfAccepted(id: string): Promise<void> {
    if (!this.checker.isAccepted(id) || this.checker.finalState(id) !== null || this.cancelling.has(id))
      return;
    this.openRoutines++;
    this.cancelling.add(id);
    this.checker.onCancelRequested(id);
    for (;;) {
      const status = await this.sendRequest(id, 'cancel', null);
      if (status === 200 || status === 404) break;
      await this.time.sleep(this.retryMs);
    }
    const work = this.workload.get(id);
    if (work) await this.pollAfterEnd(work);
    this.openRoutines--;
  }

  /**
   * Called after an answer first reported that the job is accepted or that it has ended. Sends a poll or a
   * repeated submission to every node, several times within milliseconds, and cancels some open jobs.
   */
  queryAllNodes(id: string): void {
    const work = this.workload.get(id);
    if (!this.queriesAllNodes || !work) return;
    for (let round = 0; round < QUERY_ALL_ROUNDS; round++) {
      for (const { address } of this.balancer.backends) {
        const after = this.random.below(QUERY_ALL_MS * (round + 1));
        const kind = this.random.below(3) === 0 ? 'submit' : 'poll_node';
        this.time.after(after, () => void this.sendRequest(id, kind, work, address));
      }
    }
    if (this.checker.finalState(id) === null && this.random.below(CANCEL_ONE_IN) === 0)
      this.time.after(this.random.below(QUERY_ALL_MS), () => void this.cancelIfAccepted(id));
  }

  /**
   * Submits the body, which may be invalid, through the load balancer. Returns the answer, or null if none
   * came.
   */
  submitText(body: string): Promise<Reply | null> {
    return this.exchange({ method: 'POST', path: '/v1/jobs', body, deadlineMs: SUBMIT_DEADLINE_MS });
  }

  /** Milliseconds to wait before a retry: the Retry-After of the newest answer to any user, within limits. */
  private retryMs = RETRY_MS;

  /**
   * Sends one request, through the load balancer or to one node, and passes the answer to the invariant
   * checker. Returns the status of the answer, or 0 if none came.
   */
  async sendRequest(
    id: string,
    kind: RequestKind,
    work: Work | null,
    node: string | null = null,
  ): Promise<number> {
    const sentAt = this.time.now;
    const isPoll = kind === 'poll' || kind === 'poll_node';
    const path = kind === 'submit' ? '/v1/jobs' : `/v1/jobs/${id}${isPoll ? '' : '/withdraw'}`;
    const call: Omit<HttpCall, 'address'> = {
      method: isPoll ? 'GET' : 'POST',
      path,
      ...(kind === 'submit' && work ? { body: encodeSubmission(work.spec) } : {}),
      deadlineMs: isPoll ? POLL_DEADLINE_MS : SUBMIT_DEADLINE_MS,
    };
    const reply = await (node === null ? this.exchange(call) : this.exchangeWith(node, call));
    const status = reply?.status ?? 0;
    this.retryMs = Math.max(RETRY_MS, Math.min(RETRY_AFTER_MAX_MS, (reply?.retryAfterS ?? 0) * 1000));
    this.checker.onAnswer(id, kind, sentAt, status, reply ? readJobState(reply.body) : null);
    return status;
  }

  /** Sends one call to the address. Returns null if no answer came in time. */
  private async exchangeWith(address: string, call: Omit<HttpCall, 'address'>): Promise<Reply | null> {
    try {
      return await this.network.exchange(this.host, { ...call, address });
    } catch (error) {
      if (!(error instanceof NoAnswer)) throw error;
      return null;
    }
  }

  /**
   * Sends a call through the load balancer, which tries three nodes at most and never moves an accepted
   * connection.
   */
  private async exchange(call: Omit<HttpCall, 'address'>): Promise<Reply | null> {
    const tried = new Set<string>();
    for (let attempts = 0; attempts < 3; attempts++) {
      const node = this.balancer.choose(tried);
      if (node === null) break;
      tried.add(node.address);
      const outcome = this.network.connectionOutcome(this.host, node.address);
      if (outcome !== 'accepted') {
        this.balancer.onConnectionFailed(node);
        if (outcome === 'silent') await this.time.sleep(CONNECT_DEADLINE_MS);
        continue;
      }
      node.openConnections++;
      const reply = await this.exchangeWith(node.address, call);
      node.openConnections--;
      return reply;
    }
    return null;
  }
}
