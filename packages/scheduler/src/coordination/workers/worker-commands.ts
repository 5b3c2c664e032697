/** Which commands a machine is to get, by the state of its attempts. */
import { FORGET_BATCH, FORGET_DELAY_MS } from '../../constants.ts';
import type { Attempt } from '../../storage/attempt.ts';
import type { Machine } from '../../storage/machine.ts';
import type { Command } from '../../protocol/workers.ts';
import type { Clock } from '../../transport/clock.ts';
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
    private readonly clock: Clock,
    private readonly leadership: ShardLeadership,
  ) {}

  /** The commands that are due; launches are noted as sent by the route. */
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
    // No number of this leader is so large that it is kept as a bigint: the attempt is an earlier leader's.
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
   * A call with these launches, by key, was answered. The status in the answer shows what was executed; what
   * it does not show was not, and cannot be later.
   */
  resolveLaunches(machine: Machine, launched: string[]): void {
    for (const key of launched) {
      machine.launchesInDoubt.delete(key);
      const attempt = machine.attempts.get(key);
      if (attempt?.phase === 'direct') attempt.phase = 'new';
    }
  }

  /** The stop commands for tasks of jobs that are over: all that may be sent without a leader lease. */
  cancelledStops(machine: Machine): Command[] {
    return [...machine.attempts.values()]
      .filter(({ stopping, slice }) => stopping && (slice?.cancelled ?? true))
      .map(stopCommand);
  }

  /**
   * The forget commands for ended attempts whose results are recorded, or that have none to record. They are
   * sent several together, with other commands, or once one of the attempts ended without a result or long
   * ago.
   */
  private forgetCommands(machine: Machine, accompanied: boolean): Command[] {
    const longAgo = this.clock.now() - FORGET_DELAY_MS;
    let due = accompanied || machine.draining || machine.endedAttempts.size > FORGET_BATCH;
    const commands: Command[] = [];
    for (const [key, ended] of machine.endedAttempts) {
      if (machine.launchesInDoubt.has(key)) continue;
      const { slice, position } = ended;
      if (slice && !slice.cancelled && !slice.persisted.has(position)) continue;
      commands.push({ op: 'forget', task: ended.task, attempt: ended.number });
      // A task that ended without a result may soon be started again, on this machine too.
      if (ended.reason !== 'done' || ended.endReportedAt <= longAgo) due = true;
    }
    return due ? commands : [];
  }
}
