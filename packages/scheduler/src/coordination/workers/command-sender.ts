/** Direct calls that carry commands to machines, and what their outcomes prove. */
import { COMMAND_DEADLINE_MS, FIRST_AGENT_EPOCH } from '../../constants.ts';
import { attemptKey } from '../../storage/attempt.ts';
import type { Machine } from '../../storage/machine.ts';
import type { ReachabilityState } from '../../storage/machine-state.ts';
import { parseJson, stringifyJson } from '../../protocol/json.ts';
import {
  decodeHeartbeat,
  encodeCommands,
  type Command,
  type Heartbeat,
  workerPaths,
} from '../../protocol/workers.ts';
import { NoAnswer } from '../../transport/http-client.ts';
import type { ShardContext, ShardState } from '../shard-context.ts';
import type { CommandLog } from './command-log.ts';
import type { WorkerCommands } from './worker-commands.ts';

/**
 * `rejected` (409) proves that the machine executed nothing. `unknown` means that no valid answer came, and
 * proves nothing.
 */
export type CommandOutcome = 'executed' | 'rejected' | 'unknown';

/** Handles the status in a machine's answer to a call. */
export interface CommandReplyHandler {
  /** Applies the status. Returns true if there may be commands for the machine now. */
  onCommandReply(machine: Machine, heartbeat: Heartbeat): boolean;
}

/** The components of the shard's leader that the sender uses. */
export interface SenderCollaborators {
  /** Chooses the commands. */
  readonly commands: WorkerCommands;
  /** Handles the status in the answers. */
  readonly replies: CommandReplyHandler;
  /** Logs the commands. */
  readonly commandLog: CommandLog;
}

/** Records that the machine left a probe unanswered while other machines of its shard were heard. */
export function recordUnansweredProbe(machine: ReachabilityState): void {
  machine.unansweredProbes++;
}

/** Sends commands directly to the machines of a shard. */
export class CommandSender {
  constructor(
    private readonly context: ShardContext,
    private readonly shard: ShardState,
    private readonly collaborators: SenderCollaborators,
  ) {}

  /** Sends the commands that are due. Only one call to a machine is in flight at a time. */
  sendPending(machine: Machine): void {
    if (machine.commandInFlight || !this.shard.leadership.isActive) return;
    void this.sendPendingNow(machine);
  }

  private async sendPendingNow(machine: Machine & ReachabilityState): Promise<void> {
    if (!machine.fenced || machine.terminating) return;
    // Stop commands for tasks of ended jobs need no leader lease. The end of a job is final, and a machine
    // that has accepted a newer leader rejects the call.
    const { leadership } = this.shard;
    const { commands: workerCommands } = this.collaborators;
    const commands = leadership.hasLeaderLease()
      ? workerCommands.commandsForCall(machine)
      : workerCommands.stopCommandsForCancelled(machine);
    if (commands.length === 0) return;
    machine.commandInFlight = true;
    const launched = commands.flatMap(({ op, task, attempt }) =>
      op === 'launch' ? [attemptKey(task, attempt)] : [],
    );
    const outcome = await this.send(machine, commands);
    machine.commandInFlight = false;
    if (outcome === 'unknown') return; // The launches may still arrive.
    workerCommands.resolveLaunches(machine, launched);
    if (workerCommands.hasLaunchForCall(machine)) this.sendPending(machine);
  }

  /** Sends the commands, which may be none, and records whether the machine answers. */
  async send(machine: Machine & ReachabilityState, commands: Command[]): Promise<CommandOutcome> {
    const { clock, laggedSince } = this.context;
    const { commandLog } = this.collaborators;
    const sentAt = clock.now();
    const { fencingToken } = machine;
    commandLog.recordSent(machine, 'call', commands);
    const outcome = await this.call(machine, commands);
    if (outcome !== 'executed' && commands.length > 0)
      commandLog.recordNotExecuted(machine, fencingToken, outcome);
    if (outcome !== 'unknown') {
      machine.unreachableSince = Infinity;
      machine.unansweredProbes = 0;
    } else if (!laggedSince(sentAt)) {
      machine.unreachableSince = Math.min(machine.unreachableSince, clock.now());
    }
    return outcome;
  }

  private async call(machine: Machine, commands: Command[]): Promise<CommandOutcome> {
    // Before the first heartbeat the agent epoch is a guess: most workers are still in their first one. A
    // worker rejects a wrong guess, and the status in its answer shows the right one.
    const agentEpoch = machine.agentEpoch === 0 ? FIRST_AGENT_EPOCH : machine.agentEpoch;
    const body = stringifyJson(encodeCommands(machine.fencingToken, agentEpoch, commands));
    try {
      const answer = await this.context.http({
        address: machine.endpoint,
        method: 'POST',
        path: workerPaths.commands,
        body,
        deadlineMs: COMMAND_DEADLINE_MS,
        signal: this.shard.leadership.signal,
      });
      if (answer.status !== 200 && answer.status !== 409) return 'unknown';
      const heartbeat = decodeHeartbeat(parseJson(answer.text));
      if (heartbeat?.machine !== machine.id || this.shard.machines.get(machine.id) !== machine)
        return 'unknown';
      if (this.shard.leadership.isActive && this.collaborators.replies.onCommandReply(machine, heartbeat))
        this.sendPending(machine);
      return answer.status === 200 ? 'executed' : 'rejected';
    } catch (error) {
      if (!(error instanceof NoAnswer) && !(error instanceof SyntaxError)) throw error;
      return 'unknown';
    }
  }
}
