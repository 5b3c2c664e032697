import type { Random } from '@onyxkeel/scheduler';
import { ODD_REQUEST_MS } from './constants.ts';
import type { InvariantChecker } from './invariant-checker.ts';
import { oddFields, oddSubmission } from './protocol/wire.ts';
import type { VirtualTime } from './time.ts';
import type { Users } from './users.ts';
import type { Work, Workload } from './workload.ts';

/** Users who repeat submissions of unfinished jobs, cancel what is done, and send what is malformed or can never run. */
export class OddRequests {
  private until = -Infinity;
  private count = 0;

  constructor(
    private readonly context: {
      time: VirtualTime;
      random: Random;
      users: Users;
      checker: InvariantChecker;
      workload: Workload;
    },
  ) {}

  /** Goes on until then, in virtual milliseconds. */
  begin(until: number): void {
    const goesOn = this.until > this.context.time.now;
    this.until = Math.max(this.until, until);
    if (!goesOn) this.next();
  }

  private next(): void {
    const { time, random } = this.context;
    time.after(random.below(2 * ODD_REQUEST_MS), () => {
      if (time.now >= this.until) return;
      void this.one();
      this.next();
    });
  }

  private async one(): Promise<void> {
    const { random, users, checker, workload } = this.context;
    const accepted = [...workload.values()].filter(({ spec }) => checker.isAccepted(spec.id));
    const of = (final: 'done' | null): Work | undefined => {
      const some = accepted.filter(({ spec }) => checker.finalState(spec.id) === final);
      return some[random.below(Math.max(1, some.length))];
    };
    const open = of(null);
    const done = of('done');
    switch (random.below(4)) {
      case 0:
        if (open) await users.ask(open.spec.id, 'submit', open);
        return;
      case 1:
        // An answer other than `done` goes back on what was told.
        if (done) await users.ask(done.spec.id, 'withdraw', null);
        return;
      case 2:
        return this.malformed(open);
      default:
        return this.malformed(undefined);
    }
  }

  /** A submission with something wrong, under a new id or that of an accepted job. */
  private async malformed(known: Work | undefined): Promise<void> {
    const { time, random, users, checker, workload } = this.context;
    const [like] = workload.values();
    if (!like) return;
    const id = known?.spec.id ?? `j-${String(7_000_000 + this.count++)}`;
    const what = oddFields[random.below(oddFields.length)];
    if (what === undefined) return;
    const askedAt = time.now;
    const reply = await users.submitText(oddSubmission({ ...(known ?? like).spec, id }, what));
    const named = !['id', 'not an object', 'not JSON'].includes(what);
    checker.onOddRequestAnswer(what, named ? id : null, askedAt, reply?.status ?? 0);
  }
}
