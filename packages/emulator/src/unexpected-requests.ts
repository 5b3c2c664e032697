/** Requests that users should not send (the fault `odd requests`). They must not cause a violation. */
import type { Random } from '@onyxkeel/scheduler';
import { UNEXPECTED_REQUEST_MS } from './constants.ts';
import type { InvariantChecker } from './invariant-checker.ts';
import { invalidRequestKinds, invalidSubmission } from './protocol/wire.ts';
import type { VirtualTime } from './time.ts';
import type { Users } from './users.ts';
import type { Work, Workload } from './workload.ts';

/**
 * Repeats submissions of open jobs, cancels jobs that are done, and submits jobs that are malformed or can
 * never run.
 */
export class UnexpectedRequests {
  /** When the requests stop, in virtual milliseconds. */
  private until = -Infinity;
  /** Number of ids used for invalid submissions. */
  private invalidCount = 0;

  constructor(
    private readonly context: {
      time: VirtualTime;
      random: Random;
      users: Users;
      checker: InvariantChecker;
      workload: Workload;
    },
  ) {}

  /** Sends requests at random intervals until `until`, in virtual milliseconds. */
  begin(until: number): void {
    const isActive = this.until > this.context.time.now;
    this.until = Math.max(this.until, until);
    if (!isActive) this.scheduleNext();
  }

  /** Schedules the next request. */
  private scheduleNext(): void {
    const { time, random } = this.context;
    time.after(random.below(2 * UNEXPECTED_REQUEST_MS), () => {
      if (time.now >= this.until) return;
      void this.sendOne();
      this.scheduleNext();
    });
  }

  /** Sends one request of a random kind. */
  private async sendOne(): Promise<void> {
    const { random, users, checker, workload } = this.context;
    const accepted = [...workload.values()].filter(({ spec }) => checker.isAccepted(spec.id));
    const drawWith = (final: 'done' | null): Work | undefined => {
      const candidates = accepted.filter(({ spec }) => checker.finalState(spec.id) === final);
      return candidates[random.below(Math.max(1, candidates.length))];
    };
    const open = drawWith(null);
    const done = drawWith('done');
    switch (random.below(4)) {
      case 0:
        if (open) await users.sendRequest(open.spec.id, 'submit', open);
        return;
      case 1:
        // An answer with a state other than `done` contradicts the earlier answer: the rule `went_back`.
        if (done) await users.sendRequest(done.spec.id, 'cancel', null);
        return;
      case 2:
        return this.sendInvalid(open);
      default:
        return this.sendInvalid(undefined);
    }
  }

  /** Sends an invalid submission with a new id or with that of an accepted job. */
  private async sendInvalid(known: Work | undefined): Promise<void> {
    const { time, random, users, checker, workload } = this.context;
    const [example] = workload.values();
    if (!example) return;
    const id = known?.spec.id ?? `j-${String(7_000_000 + this.invalidCount++)}`;
    const kind = invalidRequestKinds[random.below(invalidRequestKinds.length)];
    if (kind === undefined) return;
    const sentAt = time.now;
    const reply = await users.submitText(invalidSubmission({ ...(known ?? example).spec, id }, kind));
    const namesJob = !['id', 'not_an_object', 'not_json'].includes(kind);
    checker.onInvalidRequestAnswer(kind, namesJob ? id : null, sentAt, reply?.status ?? 0);
  }
}
