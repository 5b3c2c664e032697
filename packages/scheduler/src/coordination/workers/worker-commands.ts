import {
  COMMAND_DEADLINE_MS,
  FIRST_AGENT_EPOCH,
  FORGET_BATCH,
  FORGET_DELAY_MS,
  HEARD_BEFORE_SHARE,
  HEARD_DURING_SHARE,
  SILENT_HEARTBEATS,
} from '../../constants.ts';
import { attemptKey } from '../../storage/attempt.ts';
import type { Machine } from '../../storage/machine.ts';
import type { FencingState, ReachabilityState } from '../../storage/machine-state.ts';
import { parseJson, stringifyJson } from '../../protocol/json.ts';
import {
  decodeHeartbeat,
  encodeCommands,
  type Command,
  type Heartbeat,
  workerPaths,
} from '../../protocol/workers.ts';
import { NoAnswer } from '../../transport/http-client.ts';
import type { ShardContext } from '../shard-context.ts';

/** What a part's machines are told, in the answers to their reports and by calls of their own. */
export class WorkerCommands {
  constructor(
    private readonly context: ShardContext,
    private readonly shard: {
      fencingToken: number;
      machines: Map<string, Machine>;
      hasLeaderLease: () => boolean;
      /** A machine's answer to a call, with its report; true if that may have left something to tell it. */
      onCommandReply: (machine: Machine, heartbeat: Heartbeat) => boolean;
    },
    private readonly signal: AbortSignal,
  ) {}

  private get active(): boolean {
    return !this.signal.aborted;
  }

  /** Orders for the machine by the way they will travel; launches are noted as sent that way. */
  commandsFor(machine: Machine, way: 'report' | 'direct'): Command[] {
    const commands: Command[] = [];
    const launching = machine.fenced && machine.persisted && this.shard.hasLeaderLease();
    for (const attempt of machine.attempts.values()) {
      if (attempt.stopping) {
        commands.push({ op: 'stop', task: attempt.task, attempt: attempt.number, graceS: attempt.graceS });
      } else if (launching && typeof attempt.number === 'number') {
        if (attempt.phase === 'new' || (attempt.phase === 'direct' && way === 'report')) {
          commands.push({ op: 'launch', task: attempt.task, attempt: attempt.number });
        }
        if (attempt.phase === 'new') {
          attempt.phase = way === 'direct' ? 'direct' : 'sent';
          if (way === 'direct') machine.launchesInDoubt.add(attempt.key);
        }
      }
    }
    if (way === 'report' || commands.length > 0)
      commands.push(...this.forgetCommands(machine, commands.length > 0));
    return commands;
  }

  /** What stops tasks of jobs that are over, and nothing else. */
  private stopCommands(machine: Machine): Command[] {
    return [...machine.attempts.values()].flatMap((attempt): Command[] =>
      attempt.stopping && (attempt.slice?.cancelled ?? true)
        ? [{ op: 'stop', task: attempt.task, attempt: attempt.number, graceS: attempt.graceS }]
        : [],
    );
  }

  /** Which ended tasks the machine is told to forget: those whose results are recorded, several together. */
  private forgetCommands(machine: Machine, accompanied: boolean): Command[] {
    const longAgo = this.context.clock.now() - FORGET_DELAY_MS;
    let due = accompanied || machine.draining || machine.endedAttempts.size > FORGET_BATCH;
    const commands: Command[] = [];
    for (const [key, ended] of machine.endedAttempts) {
      if (machine.launchesInDoubt.has(key)) continue;
      const { slice, position } = ended;
      if (slice && !slice.cancelled && !slice.persisted.has(position)) continue;
      commands.push({ op: 'forget', task: ended.task, attempt: ended.number });
      // A task that ended without a result may soon be started again, on this machine too.
      if (ended.reason !== 'done' || ended.at <= longAgo) due = true;
    }
    return due ? commands : [];
  }

  /** Sends what is due straight to the machine, one call at a time. */
  sendPending(machine: Machine): void {
    if (machine.commandInFlight || !this.active) return;
    void this.sendPendingNow(machine);
  }

  private async sendPendingNow(machine: Machine & ReachabilityState): Promise<void> {
    if (!machine.fenced || machine.terminating) return;
    // A halt needs no proof of contact: a job's end is final, and a machine that knows a newer owner refuses it.
    const commands = this.shard.hasLeaderLease()
      ? this.commandsFor(machine, 'direct')
      : this.stopCommands(machine);
    if (commands.length === 0) return;
    machine.commandInFlight = true;
    const launched = commands.flatMap((o) => (o.op === 'launch' ? [attemptKey(o.task, o.attempt)] : []));
    const heard = await this.send(machine, commands);
    machine.commandInFlight = false;
    if (heard !== 'executed' && heard !== 'rejected') return; // the launches may still arrive
    for (const key of launched) {
      machine.launchesInDoubt.delete(key);
      const attempt = machine.attempts.get(key);
      // The answer's report showed what was executed; what it does not show was not, and cannot be later.
      if (attempt?.phase === 'direct') attempt.phase = 'new';
    }
    if ([...machine.attempts.values()].some((a) => a.phase === 'new')) this.sendPending(machine);
  }

  /** Sends the orders, and notes whether the machine hears what it is told. */
  private async send(
    machine: Machine & ReachabilityState,
    commands: Command[],
  ): Promise<'executed' | 'rejected' | 'unknown'> {
    const { clock, laggedSince: lateSince } = this.context;
    const began = clock.now();
    const outcome = await this.call(machine, commands);
    if (outcome !== 'unknown') {
      machine.unreachableSince = Infinity;
      machine.unansweredProbes = 0;
    } else if (!lateSince(began)) machine.unreachableSince = Math.min(machine.unreachableSince, clock.now());
    return outcome;
  }

  /** `rejected` proves that nothing was executed; `unknown` proves nothing. */
  private async call(machine: Machine, commands: Command[]): Promise<'executed' | 'rejected' | 'unknown'> {
    // Before the first report the session is a guess: most machines never leave their first. A wrong one is
    // refused, with the report that tells the right one.
    const agentEpoch = machine.agentEpoch === 0 ? FIRST_AGENT_EPOCH : machine.agentEpoch;
    const body = stringifyJson(encodeCommands(this.shard.fencingToken, agentEpoch, commands));
    try {
      const answer = await this.context.http({
        address: machine.endpoint,
        method: 'POST',
        path: workerPaths.commands,
        body,
        deadlineMs: COMMAND_DEADLINE_MS,
        signal: this.signal,
      });
      if (answer.status !== 200 && answer.status !== 409) return 'unknown';
      const heartbeat = decodeHeartbeat(parseJson(answer.text));
      if (heartbeat?.machine !== machine.id || this.shard.machines.get(machine.id) !== machine)
        return 'unknown';
      if (this.active && this.shard.onCommandReply(machine, heartbeat)) this.sendPending(machine);
      return answer.status === 200 ? 'executed' : 'rejected';
    } catch (error) {
      if (!(error instanceof NoAnswer) && !(error instanceof SyntaxError)) throw error;
      return 'unknown';
    }
  }

  /** Asks a machine to accept this owner. */
  async fence(machine: Machine & FencingState): Promise<void> {
    // A controller without processor time would return healthy machines one after the other.
    if ((await this.ask(machine)) === 'deaf') machine.failedFencingAttempts++;
  }

  /** Asks a silent machine directly. */
  async probe(machine: Machine & ReachabilityState): Promise<'answers' | 'deaf' | 'unknown'> {
    machine.probedAt = this.context.clock.now();
    machine.probing = true;
    const answer = await this.ask(machine);
    machine.probing = false;
    return answer;
  }

  /**
   * Asks for a report. That none comes says something about the machine itself only if others of the part were heard
   * shortly before and meanwhile: in a network that is cut, or just back, all are deaf.
   */
  private async ask(machine: Machine & ReachabilityState): Promise<'answers' | 'deaf' | 'unknown'> {
    const { clock, settings, laggedSince: lateSince } = this.context;
    const began = clock.now();
    const heardBefore = this.heardSince(began - settings.heartbeatIntervalMs * SILENT_HEARTBEATS);
    let answer = await this.send(machine, []);
    if (answer === 'rejected' && !machine.fenced && this.active) answer = await this.send(machine, []);
    if (answer !== 'unknown') return 'answers';
    if (lateSince(began)) return 'unknown';
    // Silent long enough to be asked, it was so before any cut that began in the last seconds.
    const around = this.heardSince(began - COMMAND_DEADLINE_MS);
    if (heardBefore >= HEARD_BEFORE_SHARE && around >= HEARD_DURING_SHARE) machine.unansweredProbes++;
    return 'deaf';
  }

  /** The share of the part's machines that have been heard since then. */
  private heardSince(at: number): number {
    let heard = 0;
    for (const m of this.shard.machines.values()) if (m.fenced && m.lastContactAt > at) heard++;
    return heard / this.shard.machines.size;
  }
}
