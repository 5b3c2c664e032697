/**
 * The log of commands to machines: each one at `debug` with what allowed it, and counts at `info`
 * (docs/operators/on-call.md, "Commands to machines").
 */
import { COMMAND_COUNTS_MS } from '../../constants.ts';
import type { Machine } from '../../storage/machine.ts';
import type { Command } from '../../protocol/workers.ts';
import type { ShardContext } from '../shard-context.ts';
import type { MachineTokens } from './machine-tokens.ts';

/** How commands travel: in the reply to a heartbeat, or by a call to the machine. */
export type CommandRoute = 'reply' | 'call';

/** What was sent to the machines of a shard since the counts were logged last. */
interface CommandCounts {
  launchesInCalls: number;
  launchesInReplies: number;
  stops: number;
  forgets: number;
  callsRejected: number;
  callsUnanswered: number;
}

const zeroCounts = (): CommandCounts => ({
  launchesInCalls: 0,
  launchesInReplies: 0,
  stops: 0,
  forgets: 0,
  callsRejected: 0,
  callsUnanswered: 0,
});

/** Logs and counts the commands that the leader of a shard sends. */
export class CommandLog {
  private counts = zeroCounts();
  private tokensRaisedBefore = 0;
  private loggedAt: number;

  constructor(
    private readonly context: Pick<ShardContext, 'clock' | 'leaderLeaseMs' | 'log' | 'watchCache'>,
    private readonly shard: string,
    private readonly tokens: MachineTokens,
  ) {
    this.loggedAt = context.clock.now();
  }

  /** Records that the commands are sent to the machine now, with the machine's present fencing token. */
  recordSent(machine: Machine, route: CommandRoute, commands: readonly Command[]): void {
    if (commands.length === 0) return;
    for (const { op } of commands) this.count(op, route);
    const { clock, leaderLeaseMs, log, watchCache } = this.context;
    const storeConfirmedAgoMs = clock.now() - watchCache.confirmedAt;
    log.debug(
      {
        shard: this.shard,
        machine: machine.id,
        route,
        fencingToken: machine.fencingToken,
        agentEpoch: machine.agentEpoch,
        sequence: machine.sequence,
        storeConfirmedAgoMs,
        leaderLeaseLeftMs: leaderLeaseMs - storeConfirmedAgoMs,
        commands,
      },
      'commands sent',
    );
  }

  private count(op: Command['op'], route: CommandRoute): void {
    if (op === 'stop') this.counts.stops++;
    else if (op === 'forget') this.counts.forgets++;
    else if (route === 'call') this.counts.launchesInCalls++;
    else this.counts.launchesInReplies++;
  }

  /** Records that the machine refused a call with commands, or has not answered it. */
  recordNotExecuted(machine: Machine, fencingToken: number, outcome: 'rejected' | 'unknown'): void {
    if (outcome === 'rejected') this.counts.callsRejected++;
    else this.counts.callsUnanswered++;
    this.context.log.debug(
      { shard: this.shard, machine: machine.id, fencingToken, outcome },
      'call not executed',
    );
  }

  /** Logs what was sent since the last time, if it is due and anything was. */
  logCountsIfDue(): void {
    const now = this.context.clock.now();
    if (now - this.loggedAt < COMMAND_COUNTS_MS) return;
    this.loggedAt = now;
    const tokensRaised = this.tokens.raisedCount - this.tokensRaisedBefore;
    this.tokensRaisedBefore = this.tokens.raisedCount;
    if (Object.values(this.counts).every((count) => count === 0)) return;
    this.context.log.info({ shard: this.shard, ...this.counts, tokensRaised }, 'commands to machines');
    this.counts = zeroCounts();
  }
}
