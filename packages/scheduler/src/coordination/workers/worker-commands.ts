/** Chooses the commands for a machine from the state of its attempts. */
import { FORGET_BATCH, FORGET_DELAY_MS } from '../../constants.ts';
import type { Attempt, EndedAttempt } from '../../storage/attempt.ts';
import type { Machine } from '../../storage/machine.ts';
import type { Command } from '../../protocol/workers.ts';
import type { ShardContext } from '../shard-context.ts';
import type { ShardLeadership } from '../shard-leadership.ts';

/** How commands travel: in the reply to a heartbeat, or by a call to the machine. */
export type CommandRoute = 'heartbeat' | 'direct';

const stopCommand = ({ task, number, graceS }: Attempt): Command => ({
  op: 'stop',
  task,
  attempt: number,
  graceS,
});

/** Chooses the commands for the machines of a shard, and keeps track of the launches among them. */
export class WorkerCommands {
  constructor(
    private readonly context: Pick<ShardContext, 'clock' | 'isResultNeeded'>,
    private readonly leadership: ShardLeadership,
  ) {}

  /** The commands that are due. Launches among them are recorded as sent by the route. */
  commandsFor(machine: Machine, route: CommandRoute): Command[] {
    const commands: Command[] = [];
    const mayLaunch = machine.fenced && machine.persisted && this.leadership.hasLeaderLease();
    for (const attempt of machine.attempts.values()) {
      if (attempt.stopping) commands.push(stopCommand(attempt));
      else if (mayLaunch) commands.push(...this.launchCommands(machine, attempt, route));
    }
    if (route === 'heartbeat' || commands.length > 0)
      commands.push(...this.forgetCommands(machine, commands.length > 0));
    return commands;
  }

  private launchCommands(machine: Machine, attempt: Attempt, route: CommandRoute): Command[] {
    const { task, number, phase, key } = attempt;
    // An earlier leader started the attempt: this leader's attempt numbers are never so large that they need
    // a bigint.
    if (typeof number !== 'number') return [];
    if (phase === 'new') {
      attempt.phase = route === 'direct' ? 'direct' : 'sent';
      if (route === 'direct') machine.launchesInDoubt.add(key);
    }
    return phase === 'new' || (phase === 'direct' && route === 'heartbeat')
      ? [{ op: 'launch', task, attempt: number }]
      : [];
  }

  /**
   * Called when a call with these launches, by key, has been answered. The status in the answer shows which
   * launches were executed. The others were not, and cannot be executed later.
   */
  resolveLaunches(machine: Machine, launched: string[]): void {
    for (const key of launched) {
      machine.launchesInDoubt.delete(key);
      const attempt = machine.attempts.get(key);
      if (attempt?.phase === 'direct') attempt.phase = 'new';
    }
  }

  /**
   * The stop commands for tasks of ended jobs, and for attempts that belong to no slice. Only these may be
   * sent without a leader lease.
   */
  stopCommandsForCancelled(machine: Machine): Command[] {
    return [...machine.attempts.values()]
      .filter(({ stopping, slice }) => stopping && (slice?.cancelled ?? true))
      .map(stopCommand);
  }

  /**
   * The forget commands for ended attempts whose results are in the key-value store, or that have no result
   * to store. They are held back until they can go with other commands, until the machine is draining or has
   * more than `FORGET_BATCH` ended attempts, or until one of the attempts ended without a result or at least
   * `FORGET_DELAY_MS` ago.
   */
  private forgetCommands(machine: Machine, hasOtherCommands: boolean): Command[] {
    const overdueBefore = this.context.clock.now() - FORGET_DELAY_MS;
    let due = hasOtherCommands || machine.draining || machine.endedAttempts.size > FORGET_BATCH;
    const commands: Command[] = [];
    for (const [key, ended] of machine.endedAttempts) {
      if (machine.launchesInDoubt.has(key)) continue;
      if (!this.mayForget(ended)) continue;
      commands.push({ op: 'forget', task: ended.task, attempt: ended.number });
      // A task that ended without a result may soon be started again, possibly on this machine.
      if (ended.reason !== 'done' || ended.endReportedAt <= overdueBefore) due = true;
    }
    return due ? commands : [];
  }

  /**
   * Whether the worker may forget the attempt: it has no result, or the result is recorded, or its job is
   * over. The task may have migrated to another shard since, whose leader then records its result.
   */
  private mayForget({ task, reason, slice, position }: EndedAttempt): boolean {
    if (reason !== 'done') return true;
    const isOwn = slice !== null && !slice.cancelled && position < slice.count;
    return isOwn ? slice.persisted.has(position) : !this.context.isResultNeeded(task);
  }
}
