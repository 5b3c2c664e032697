import { FORWARD_DEADLINE_MS } from '../../constants.ts';
import { parseJson, stringifyJson } from '../../protocol/json.ts';
import type { MeshMessage } from '../../protocol/mesh.ts';
import type { JobSpec, UserAnswer } from '../../protocol/users.ts';
import type { Clock } from '../../transport/clock.ts';
import type { Log } from '../../transport/routine.ts';
import type { UserOp } from '../jobs/jobs.ts';

/** Users' requests that siblings carry out for one another. */
export class SiblingCalls {
  private readonly asked = new Map<string, (answer: UserAnswer | null) => void>();
  private asks = 0;

  constructor(
    private readonly context: {
      clock: Clock;
      log: Log;
      signal: AbortSignal;
      incarnation: string;
      sendToSibling: (peer: string, message: MeshMessage) => boolean;
      connectedSiblings: () => string[];
      /** Carries a request out with this node's own contact; null where the state service does not answer. */
      here: (op: UserOp, body: JobSpec | string) => Promise<UserAnswer | null>;
    },
  ) {}

  /** Asks all siblings that are connected; the first answer counts. Null: none has one. */
  passOn(op: UserOp, body: JobSpec | string): Promise<UserAnswer | null> {
    const peers = this.context.connectedSiblings();
    if (peers.length === 0) return Promise.resolve(null);
    const id = `${this.context.incarnation}/${String(++this.asks)}`;
    return new Promise((resolve) => {
      let open = peers.length;
      const settle = (answer: UserAnswer | null): void => {
        if (answer === null && --open > 0) return;
        this.asked.delete(id);
        resolve(answer);
      };
      this.asked.set(id, settle);
      for (const peer of peers) {
        if (!this.context.sendToSibling(peer, { kind: 'ask', id, op, body: stringifyJson(body) }))
          settle(null);
      }
      void this.context.clock.sleep(FORWARD_DEADLINE_MS, this.context.signal).then(() => {
        open = 0;
        settle(null);
      });
    });
  }

  onAnswer(message: Extract<MeshMessage, { kind: 'answer' }>): void {
    const status = message.status as UserAnswer['status'];
    const answer = message.status === 0 ? null : { status, body: parseJson(message.body) as object };
    this.asked.get(message.id)?.(answer);
  }

  async answer(from: string, ask: Extract<MeshMessage, { kind: 'ask' }>): Promise<void> {
    const answer = await this.context
      .here(ask.op, parseJson(ask.body) as JobSpec | string)
      .catch(
        (error: unknown) => (
          this.context.log.error({ err: String(error) }, 'passed-on request failed'),
          null
        ),
      );
    const body = answer ? stringifyJson(answer.body) : '';
    this.context.sendToSibling(from, { kind: 'answer', id: ask.id, status: answer?.status ?? 0, body });
  }
}
