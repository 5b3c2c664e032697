/** Faults of the network that deliver copies of messages again after they were delivered (PROTOCOL "Delayed messages"). */
import type { Random } from '@onyxkeel/scheduler';
import {
  COMMAND_COPY_MS,
  COMMAND_REPLAY_MS,
  DUPLICATE_DELAY_MS,
  HEARTBEAT_REPLAY_MS,
  LATE_HEARTBEAT_MS,
  RECORDED_COMMANDS_MAX,
} from './constants.ts';
import { drawBetween, drawChance } from './draws.ts';
import type { Host, Reply, Request, RequestHandler } from './network.ts';
import type { VirtualTime } from './time.ts';

/** A share of messages of which a copy arrives less than `withinMs` milliseconds later. */
interface CopyShare {
  readonly share: number;
  readonly withinMs: number;
}

/** Copies of delivered messages. Without an active fault, nothing is drawn and nothing is copied. */
export class MessageCopies {
  /**
   * Share of delivered messages that are delivered a second time, to the host that serves at the address by
   * then. Calls to workers are excluded: see `commands` and `recordedCommandShare`.
   */
  duplicateShare = 0;
  /** Heartbeats of which a copy arrives, at least `LATE_HEARTBEAT_MS` later. */
  heartbeats: CopyShare = { share: 0, withinMs: 0 };
  /** Share of heartbeats that are recorded, to be replayed when a shard has a new leader. */
  recordedHeartbeatShare = 0;
  /** Executed calls with commands of which a copy arrives at the same worker, at least `COMMAND_COPY_MS` later. */
  commands: CopyShare = { share: 0, withinMs: 0 };
  /** Share of executed calls with commands that are recorded, to be replayed by `replayCommands`. */
  recordedCommandShare = 0;
  /** The newest recorded heartbeat of each machine, by the machine's name. */
  private readonly recordedHeartbeats = new Map<string, Request>();
  /** The recorded calls, the oldest first; at most `RECORDED_COMMANDS_MAX`. */
  private readonly recordedCommands: { readonly address: string; readonly request: Request }[] = [];

  constructor(
    private readonly time: VirtualTime,
    private readonly random: Random,
    /** Delivers a copy of the request to the host that serves at the address by now. */
    private readonly deliver: (address: string, request: Request) => void,
  ) {}

  /** A request was delivered to a host of this kind. Schedules or records copies as the active faults require. */
  onDelivered(
    address: string,
    kind: Host['kind'],
    request: Request,
    reply: ReturnType<RequestHandler>,
  ): void {
    if (request.path === '/checkin') this.copyHeartbeat(address, request);
    if (request.path === '/commands' && isExecuted(reply)) this.copyCommands(address, request);
    if (kind !== 'worker') this.maybeDuplicate(() => this.deliver(address, request));
  }

  /** Schedules a second delivery of a delivered message, with the probability `duplicateShare`. */
  maybeDuplicate(deliver: () => void): void {
    if (!drawChance(this.random, this.duplicateShare)) return;
    this.time.after(this.random.below(DUPLICATE_DELAY_MS), deliver);
  }

  /** Delivers each recorded heartbeat to all addresses within `HEARTBEAT_REPLAY_MS`, and clears the record. */
  replayHeartbeats(addresses: string[]): void {
    for (const request of this.recordedHeartbeats.values()) {
      for (const address of addresses)
        this.time.after(this.random.below(HEARTBEAT_REPLAY_MS), () => this.deliver(address, request));
    }
    this.recordedHeartbeats.clear();
  }

  /** Delivers each recorded command to its worker within `COMMAND_REPLAY_MS`, and clears the record. */
  replayCommands(): void {
    for (const { address, request } of this.recordedCommands.splice(0))
      this.time.after(this.random.below(COMMAND_REPLAY_MS), () => this.deliver(address, request));
  }

  private copyHeartbeat(address: string, request: Request): void {
    this.copyLater(this.heartbeats, LATE_HEARTBEAT_MS, () => this.deliver(address, request));
    if (drawChance(this.random, this.recordedHeartbeatShare))
      this.recordedHeartbeats.set(request.from.name, request);
  }

  private copyCommands(address: string, request: Request): void {
    this.copyLater(this.commands, COMMAND_COPY_MS, () => this.deliver(address, request));
    if (!drawChance(this.random, this.recordedCommandShare)) return;
    this.recordedCommands.push({ address, request });
    if (this.recordedCommands.length > RECORDED_COMMANDS_MAX) this.recordedCommands.shift();
  }

  private copyLater({ share, withinMs }: CopyShare, fromMs: number, deliver: () => void): void {
    if (!drawChance(this.random, share)) return;
    this.time.after(drawBetween(this.random, [fromMs, withinMs]), deliver);
  }
}

/** Whether the worker has answered the call with 200. */
function isExecuted(reply: ReturnType<RequestHandler>): reply is Reply {
  return reply !== undefined && !(reply instanceof Promise) && reply.status === 200;
}
