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
import type { InvariantChecker, RequestKind } from './invariant-checker.ts';
import type { LoadBalancer } from './load-balancer.ts';
import type { Host, Network, Reply } from './network.ts';
import { readJobState, encodeSubmission } from './protocol/wire.ts';
import type { VirtualTime } from './time.ts';
import type { Work, Workload } from './workload.ts';

/** What a user does with a job, in virtual seconds from the day's begin. */
export interface UserPlan {
  atS: number;
  /** When the user asks to cancel it, or null. */
  cancelAtS: number | null;
  /** When the user submits it once more, whatever became of it, or null. */
  againAtS: number | null;
}

export interface UserCounts {
  submitted: number;
  accepted: number;
  /** Answers to first submissions within half a second. */
  quick: number;
  refused: number;
  gaveUp: number;
}

/** The users, by PROTOCOL "Users -> controller nodes". One routine for each job. */
export class Users {
  readonly counts: UserCounts = { submitted: 0, accepted: 0, quick: 0, refused: 0, gaveUp: 0 };
  /** Milliseconds from a job's submission to its user's being told that it is done, by class. */
  readonly tookMs = new Map<string, number[]>();
  /** Whether they ask at all nodes, again and again, right after they were told something new. */
  queriesAllNodes = false;
  private readonly followed = new Set<string>();
  private readonly cancelling = new Set<string>();
  /** Routines that still go on. */
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

  /** Carries out a user's plan with a job. */
  begin(work: Work, plan: UserPlan): void {
    this.openRoutines++;
    this.time.at(plan.atS * 1000, () => void this.submitAndFollow(work).finally(() => this.openRoutines--));
    const { id } = work.spec;
    const { cancelAtS, againAtS } = plan;
    if (cancelAtS !== null) this.time.at(cancelAtS * 1000, () => void this.cancelIfAccepted(id));
    if (againAtS === null) return;
    this.openRoutines++;
    this.time.at(againAtS * 1000, () => void this.resubmit(work).finally(() => this.openRoutines--));
  }

  /** Somebody asks about a job that nobody has submitted. */
  askUnknown(id: string): Promise<number> {
    return this.ask(id, 'poll', null);
  }

  private async submitAndFollow(work: Work): Promise<void> {
    const beganAt = this.time.now;
    this.counts.submitted++;
    work.submitted = true;
    work.submittedAt = Math.min(work.submittedAt, beganAt);
    for (;;) {
      const status = await this.ask(work.spec.id, 'submit', work);
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
    if (this.time.now - beganAt <= 500) this.counts.quick++;
    await this.follow(work, beganAt);
  }

  /** Submits once more. Where nobody was told of the job's acceptance before, it is polled from now on. */
  private async resubmit(work: Work): Promise<void> {
    const beganAt = this.time.now;
    work.submitted = true;
    work.submittedAt = Math.min(work.submittedAt, beganAt);
    const status = await this.ask(work.spec.id, 'submit', work);
    if (status === 200 || status === 201) await this.follow(work, beganAt);
  }

  /** Polls until the job is over. */
  private async follow(work: Work, beganAt: number): Promise<void> {
    const { id } = work.spec;
    if (this.followed.has(id)) return;
    this.followed.add(id);
    let told = false;
    for (;;) {
      await this.time.sleep(POLL_MS * (0.8 + this.random.below(400) / 1000));
      await this.ask(id, 'poll', work);
      const final = this.checker.finalState(id);
      if (final === 'done' && !told) {
        told = true;
        const took = this.tookMs.get(work.spec.class) ?? [];
        took.push(this.time.now - beganAt);
        this.tookMs.set(work.spec.class, took);
      }
      if (final !== null) return this.pollAfterEnd(work);
    }
  }

  /** Some ask again when they know the end, at once or later, and by whatever node: the answer must be the same. */
  private async pollAfterEnd(work: Work): Promise<void> {
    for (let times = this.random.below(4); times > 0; times--) {
      await this.time.sleep(this.random.below(this.random.below(2) === 0 ? 700 : 20_000));
      await this.ask(work.spec.id, 'poll', work);
    }
  }

  /** Repeats the wish to cancel until it is answered; of a job that its user knows to be accepted. */
  async cancelIfAccepted(id: string): Promise<void> {
    if (!this.checker.isAccepted(id) || this.checker.finalState(id) !== null || this.cancelling.has(id))
      return;
    this.openRoutines++;
    this.cancelling.add(id);
    this.checker.onCancelAsked(id);
    for (;;) {
      const status = await this.ask(id, 'withdraw', null);
      if (status === 200 || status === 404) break;
      await this.time.sleep(this.retryMs);
    }
    const work = this.workload.get(id);
    if (work) await this.pollAfterEnd(work);
    this.openRoutines--;
  }

  /** Something new was told of the job: all nodes are asked within milliseconds, and the submission is repeated. */
  queryAllNodes(id: string): void {
    const work = this.workload.get(id);
    if (!this.queriesAllNodes || !work) return;
    for (let round = 0; round < QUERY_ALL_ROUNDS; round++) {
      for (const { address } of this.balancer.nodes) {
        const after = this.random.below(QUERY_ALL_MS * (round + 1));
        const question = this.random.below(3) === 0 ? 'submit' : 'look';
        this.time.after(after, () => void this.ask(id, question, work, address));
      }
    }
    if (this.checker.finalState(id) === null && this.random.below(CANCEL_ONE_IN) === 0)
      this.time.after(this.random.below(QUERY_ALL_MS), () => void this.cancelIfAccepted(id));
  }

  /** Something that is no proper submission, through the load balancer; its answer, or null. */
  submitText(body: string): Promise<Reply | null> {
    return this.exchange({ method: 'POST', path: '/v1/jobs', body, deadlineMs: SUBMIT_DEADLINE_MS });
  }

  private retryMs = RETRY_MS;

  /** Puts one question, through the load balancer or to one node, and tells the judge of the answer. Status 0: none came. */
  async ask(
    id: string,
    question: RequestKind,
    work: Work | null,
    node: string | null = null,
  ): Promise<number> {
    const askedAt = this.time.now;
    const polls = question === 'poll' || question === 'look';
    const path = question === 'submit' ? '/v1/jobs' : `/v1/jobs/${id}${polls ? '' : '/withdraw'}`;
    const call: Omit<HttpCall, 'address'> = {
      method: polls ? 'GET' : 'POST',
      path,
      ...(question === 'submit' && work ? { body: encodeSubmission(work.spec) } : {}),
      deadlineMs: polls ? POLL_DEADLINE_MS : SUBMIT_DEADLINE_MS,
    };
    const reply = await (node === null ? this.exchange(call) : this.exchangeWith(node, call));
    const status = reply?.status ?? 0;
    this.retryMs = Math.max(RETRY_MS, Math.min(RETRY_AFTER_MAX_MS, (reply?.retryAfterS ?? 0) * 1000));
    this.checker.onAnswer(id, question, askedAt, status, reply ? readJobState(reply.body) : null);
    return status;
  }

  private async exchangeWith(address: string, call: Omit<HttpCall, 'address'>): Promise<Reply | null> {
    try {
      return await this.network.exchange(this.host, { ...call, address });
    } catch (error) {
      if (!(error instanceof NoAnswer)) throw error;
      return null;
    }
  }

  /** The load balancer tries three nodes at the most; an accepted connection is not moved. */
  private async exchange(call: Omit<HttpCall, 'address'>): Promise<Reply | null> {
    const tried = new Set<string>();
    for (let tries = 0; tries < 3; tries++) {
      const node = this.balancer.choose(tried);
      if (node === null) break;
      tried.add(node.address);
      const taken = this.network.connectionOutcome(this.host, node.address);
      if (taken !== 'accepted') {
        this.balancer.onConnectionFailed(node);
        if (taken === 'silent') await this.time.sleep(CONNECT_DEADLINE_MS);
        continue;
      }
      node.connections++;
      const reply = await this.exchangeWith(node.address, call);
      node.connections--;
      return reply;
    }
    return null;
  }
}
