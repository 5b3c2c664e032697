import { FORWARDING_DEADLINE_MS } from '../../constants.ts';
import { parseJson, stringifyJson } from '../../protocol/json.ts';
import type { PeerMessage, UserOperation } from '../../protocol/peer-messages.ts';
import type { JobSpec, UserAnswer } from '../../protocol/users.ts';
import type { Clock } from '../../transport/clock.ts';
import type { Log } from '../../transport/background-task.ts';

/** Users' requests that siblings carry out for one another. */
export class RequestForwarding {
  private readonly waiting = new Map<string, (answer: UserAnswer | null) => void>();
  private requests = 0;

  constructor(
    private readonly context: {
      clock: Clock;
      log: Log;
      signal: AbortSignal;
      incarnation: string;
      sendToPeer: (peer: string, message: PeerMessage) => boolean;
      connectedPeers: () => string[];
      /** Carries a request out with this node's own contact; null where the state service does not answer. */
      here: (op: UserOperation, body: JobSpec | string) => Promise<UserAnswer | null>;
    },
  ) {}

  /** Asks all siblings that are connected; the first answer counts. Null: none has one. */
  forward(op: UserOperation, body: JobSpec | string): Promise<UserAnswer | null> {
    const peers = this.context.connectedPeers();
    if (peers.length === 0) return Promise.resolve(null);
    const id = `${this.context.incarnation}/${String(++this.requests)}`;
    return new Promise((resolve) => {
      let open = peers.length;
      const settle = (answer: UserAnswer | null): void => {
        if (answer === null && --open > 0) return;
        this.waiting.delete(id);
        resolve(answer);
      };
      this.waiting.set(id, settle);
      for (const peer of peers) {
        if (
          !this.context.sendToPeer(peer, {
            kind: 'forwardedRequest',
            requestId: id,
            operation: op,
            body: stringifyJson(body),
          })
        )
          settle(null);
      }
      void this.context.clock.sleep(FORWARDING_DEADLINE_MS, this.context.signal).then(() => {
        open = 0;
        settle(null);
      });
    });
  }

  onAnswer(message: Extract<PeerMessage, { kind: 'forwardedReply' }>): void {
    const status = message.status as UserAnswer['status'];
    const answer = message.status === 0 ? null : { status, body: parseJson(message.body) as object };
    this.waiting.get(message.requestId)?.(answer);
  }

  async answer(from: string, ask: Extract<PeerMessage, { kind: 'forwardedRequest' }>): Promise<void> {
    const answer = await this.context
      .here(ask.operation, parseJson(ask.body) as JobSpec | string)
      .catch(
        (error: unknown) => (
          this.context.log.error({ err: String(error) }, 'passed-on request failed'),
          null
        ),
      );
    const body = answer ? stringifyJson(answer.body) : '';
    this.context.sendToPeer(from, {
      kind: 'forwardedReply',
      requestId: ask.requestId,
      status: answer?.status ?? 0,
      body,
    });
  }
}
