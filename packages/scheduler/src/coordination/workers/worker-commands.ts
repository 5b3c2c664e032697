/** Chooses the commands for a machine from the state of its attempts. */
import { FORGET_BATCH, FORGET_DELAY_MS, REPLY_DELIVERY_MS } from '../../constants.ts';
import type { Attempt, EndedAttempt } from '../../storage/attempt.ts';
import type { Machine } from '../../storage/machine.ts';
import type { ForgetState } from '../../storage/machine-state.ts';
import type { Command } from '../../protocol/workers.ts';
import type { ShardContext } from '../shard-context.ts';
import type { ShardLeadership } from '../shard-leadership.ts';
import type { MachineTokens } from './machine-tokens.ts';

const stopCommand = ({ task, number, graceS }: Attempt): Command => ({
  op: 'stop',
  task,
  attempt: number,
  graceS,
});

const launchCommand = ({ task, number }: Attempt): Command[] =>
  // An earlier leader started an attempt whose number needs a bigint: this leader's numbers are never so large.
  typeof number === 'number' ? [{ op: 'launch', task, attempt: number }] : [];

const isToLaunch = ({ phase, stopping }: Attempt): boolean => phase === 'new' && !stopping;

const hasLaunch = (machine: Machine): boolean => [...machine.attempts.values()].some(isToLaunch);

/** The launch of an attempt that no heartbeat has shown yet. It is repeated if a call with it may still arrive. */
function launchInReply(attempt: Attempt): Command[] {
  if (attempt.phase === 'seen') return [];
  attempt.phase = 'sent';
  return launchCommand(attempt);
}

/** Chooses the commands for the machines of a shard, and keeps track of the launches among them. */
export class WorkerCommands {
  constructor(
    private readonly context: Pick<ShardContext, 'clock' | 'isResultNeeded'>,
    private readonly leadership: ShardLeadership,
    private readonly tokens: MachineTokens,
  ) {}

  /**
   * The commands that are due in the reply to a heartbeat, which must be sent with the machine's fencing token
   * as it is after this call. Launches among them are recorded as sent.
   */
  commandsForReply(machine: Machine & ForgetState): Command[] {
    const commands: Command[] = [];
    const mayLaunch = this.mayLaunch(machine);
    for (const attempt of machine.attempts.values()) {
      if (attempt.stopping) commands.push(stopCommand(attempt));
      else if (mayLaunch) commands.push(...launchInReply(attempt));
    }
    const isDue = commands.length > 0 || machine.isForgetHeldBack;
    const forgetCommands = this.forgetOrHoldBack(machine, isDue, this.mayForgetInReply(machine));
    return [...commands, ...forgetCommands];
  }

  /**
   * The commands that are due in a call to the machine, which must be sent with the machine's fencing token as
   * it is after this call. Launches among them are recorded as sent.
   */
  commandsForCall(machine: Machine & ForgetState): Command[] {
    const stopCommands = [...machine.attempts.values()].filter(({ stopping }) => stopping).map(stopCommand);
    if (stopCommands.length === 0 && !this.hasLaunchForCall(machine)) return [];
    const forgetCommands = this.forgetOrHoldBack(machine, true, this.mayForgetInCall(machine));
    const launches = this.mayLaunchByCall(machine) ? this.launchesInCall(machine) : [];
    return [...stopCommands, ...launches, ...forgetCommands];
  }

  /** Whether a call may be sent now because of attempts that have not been launched. */
  hasLaunchForCall(machine: Machine): boolean {
    return this.mayLaunchByCall(machine) && hasLaunch(machine);
  }

  /**
   * Whether forget commands may travel in a reply to a heartbeat. A reply that raises the machine's token must
   * not overtake a call with launches, which the machine would refuse.
   */
  private mayForgetInReply(machine: Machine): boolean {
    return !machine.commandInFlight || !this.tokens.mayExecuteCopy(machine);
  }

  /**
   * Whether forget commands may travel in a call. A call that raises the machine's token must not overtake the
   * reply to a heartbeat, which the machine would drop.
   */
  private mayForgetInCall(machine: Machine): boolean {
    if (!this.tokens.mayExecuteCopy(machine)) return true;
    const isReplyDelivered = this.context.clock.now() - machine.lastHeartbeatAt > REPLY_DELIVERY_MS;
    return isReplyDelivered && this.tokens.canRaise(machine);
  }

  /**
   * The forget commands that are due, or none if they must not travel now: then the next reply carries them.
   * Raises the machine's token, as a machine that has forgotten an attempt must refuse every call that may have
   * launched it.
   */
  private forgetOrHoldBack(machine: Machine & ForgetState, isDue: boolean, mayForget: boolean): Command[] {
    const forgetCommands = this.forgetCommands(machine, isDue);
    machine.isForgetHeldBack = forgetCommands.length > 0 && !mayForget;
    if (forgetCommands.length === 0 || !mayForget) return [];
    if (this.tokens.mayExecuteCopy(machine)) this.tokens.raise(machine);
    return forgetCommands;
  }

  /** Whether a call to the machine may carry launches now. */
  private mayLaunchByCall(machine: Machine): boolean {
    return this.mayLaunch(machine) && this.tokens.canRaise(machine);
  }

  private mayLaunch(machine: Machine): boolean {
    return machine.fenced && machine.persisted && this.leadership.hasLeaderLease();
  }

  private launchesInCall(machine: Machine): Command[] {
    const launched = [...machine.attempts.values()].filter(isToLaunch);
    for (const attempt of launched) {
      attempt.phase = 'direct';
      attempt.callToken = machine.fencingToken;
    }
    if (launched.length > 0) this.tokens.recordLaunchCall(machine);
    return launched.flatMap(launchCommand);
  }

  /**
   * Raises the machine's token for the reply to a heartbeat if a launch may still arrive by a call, and either
   * its task must not start any more or the call has got no answer. Whether or not the machine receives the
   * reply, the call is not executed after the reply has renewed the worker lease.
   */
  fenceUnansweredLaunches(machine: Machine): void {
    if (!this.tokens.mayExecuteCopy(machine)) return;
    const isToBeFenced = ({ callToken, stopping }: Attempt): boolean =>
      callToken === machine.fencingToken && (stopping || !machine.commandInFlight);
    if ([...machine.attempts.values()].some(isToBeFenced)) this.tokens.raise(machine);
  }

  /** The stop commands for attempts whose launch was sent by a call that has got no answer. */
  stopCommandsForUnansweredLaunches(machine: Machine): Command[] {
    return [...machine.attempts.values()]
      .filter(({ callToken, stopping }) => stopping && callToken > 0)
      .map(stopCommand);
  }

  /**
   * Called when a call with these launches, by key, has been answered. The status in the answer shows which
   * launches were executed. The others were not, and cannot be executed later.
   */
  resolveLaunches(machine: Machine, launched: string[]): void {
    for (const key of launched) {
      const attempt = machine.attempts.get(key);
      if (!attempt) continue;
      attempt.callToken = 0;
      if (attempt.phase === 'direct') attempt.phase = 'new';
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
  private forgetCommands(machine: Machine, goWithOthers: boolean): Command[] {
    const overdueBefore = this.context.clock.now() - FORGET_DELAY_MS;
    // A task that ended without a result may soon be started again, possibly on this machine.
    const isOverdue = (ended: EndedAttempt): boolean =>
      (ended.reason !== 'done' || ended.endReportedAt <= overdueBefore) && this.mayForget(ended);
    const ended = [...machine.endedAttempts.values()];
    const isDue = goWithOthers || machine.draining || ended.length > FORGET_BATCH || ended.some(isOverdue);
    if (!isDue) return [];
    return ended
      .filter((each) => this.mayForget(each))
      .map(({ task, number }) => ({ op: 'forget', task, attempt: number }));
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
