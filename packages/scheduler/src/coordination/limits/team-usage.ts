import { quotaKey, type Amounts } from '../../bookkeeping/records.ts';
import { type Attempt, type Machine, room } from '../../bookkeeping/machines.ts';
import type { Slice } from '../../bookkeeping/slices.ts';
import type { Int } from '../../protocol/json.ts';
import type { Limits } from './limits.ts';

/** What each team uses of its limit in one part, and how much more of its share there it may use. */
export class TeamUsage {
  /** What each team lacks of its limit here, for the siblings. */
  readonly wants = new Map<string, Amounts>();
  /** What each team's known tasks take of the machines: kept, as every report would else count them all. */
  private readonly placed = new Map<string, Amounts>();
  private readonly givingUp = new Map<string, { amounts: Amounts; version: Int }>();

  constructor(
    private readonly part: string,
    private readonly teams: Iterable<string>,
    private readonly machines: Map<string, Machine>,
    private readonly limits: Limits,
    private readonly versionOf: (key: string) => Int,
  ) {}

  /** Notes that an attempt has come to a machine (1), or has gone from it (-1). */
  count(attempt: Attempt, times: number): void {
    if (!attempt.slice) return;
    const { team, cores, accelerators } = attempt.slice.spec;
    const sum = this.placed.get(team) ?? { cores: 0, accelerators: 0 };
    this.placed.set(team, sum);
    sum.cores += times * cores;
    sum.accelerators += times * accelerators;
  }

  /** What the team's tasks may use here at most: all that could be on a machine counts. */
  of(team: string): Amounts {
    return this.usages().get(team) ?? { cores: 0, accelerators: 0 };
  }

  /** The same for every team that has a limit. */
  usages(): Map<string, Amounts> {
    const unknown = { cores: 0, accelerators: 0 };
    for (const machine of this.machines.values()) {
      const left = room(machine);
      if (left && !machine.suspect) continue;
      // A machine not fenced since the takeover, or one with a task of a job that is over, may be full of any team's tasks.
      const whole = left ?? machine.type;
      unknown.cores += Math.max(0, whole?.cores ?? Infinity);
      unknown.accelerators += Math.max(0, whole?.accelerators ?? Infinity);
    }
    const sums = new Map<string, Amounts>();
    for (const team of this.teams) {
      const placed = this.placed.get(team);
      sums.set(team, {
        cores: unknown.cores + (placed?.cores ?? 0),
        accelerators: unknown.accelerators + (placed?.accelerators ?? 0),
      });
    }
    return sums;
  }

  /** Share being given up, until the state service has decided: until then it belongs to nobody. */
  holdBack(team: string, amounts: Amounts | null): void {
    if (amounts) this.givingUp.set(team, { amounts, version: this.versionOf(quotaKey(team)) });
    else this.givingUp.delete(team);
  }

  holdsBack(team: string): boolean {
    const giving = this.givingUp.get(team);
    // The version it was conditioned on has passed: carried out and in the share now, or never to be.
    if (giving && giving.version !== this.versionOf(quotaKey(team))) this.givingUp.delete(team);
    return this.givingUp.has(team);
  }

  private shareOf(team: string): Amounts {
    const share = this.limits.share(team, this.part);
    const giving = this.holdsBack(team) ? this.givingUp.get(team)?.amounts : undefined;
    if (!giving) return share;
    return { cores: share.cores - giving.cores, accelerators: share.accelerators - giving.accelerators };
  }

  /** How many more of the slice's tasks the team's share here allows. */
  limitLeft(slice: Slice, used: Map<string, Amounts>): number {
    const { team, cores, accelerators } = slice.spec;
    const sum = used.get(team);
    if (!sum) return Infinity; // a team without a limit
    const share = this.shareOf(team);
    const times = (left: number, each: number): number => (each <= 0 ? Infinity : Math.floor(left / each));
    return Math.max(
      0,
      Math.min(
        times(share.cores - sum.cores, cores),
        times(share.accelerators - sum.accelerators, accelerators),
      ),
    );
  }

  withinLimit(slice: Slice, used: Map<string, Amounts>): boolean {
    const { team, cores, accelerators } = slice.spec;
    if (!this.limits.limited(team)) return true;
    const sum = used.get(team) ?? { cores: 0, accelerators: 0 };
    const share = this.shareOf(team);
    if (
      sum.cores + cores <= share.cores + 1e-6 &&
      sum.accelerators + accelerators <= share.accelerators + 1e-6
    ) {
      return true;
    }
    return false;
  }

  /** Notes that so many of the slice's tasks wait for want of share. */
  noteWant(slice: Slice, tasks: number): void {
    const { team, cores, accelerators } = slice.spec;
    const want = this.wants.get(team) ?? { cores: 0, accelerators: 0 };
    want.cores += cores * tasks;
    want.accelerators += accelerators * tasks;
    this.wants.set(team, want);
  }
}
