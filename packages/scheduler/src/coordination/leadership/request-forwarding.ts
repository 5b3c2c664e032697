/**
 * Users' requests that controllers carry out for one another: a node that cannot reach the key-value store
 * forwards them to peers that may reach it. docs/design.md, "User requests".
 */
import { FORWARDING_DEADLINE_MS } from '../../constants.ts';
import { parseJson, stringifyJson } from '../../protocol/json.ts';
import type { ForwardedReply, ForwardedRequest, UserOperation } from '../../protocol/peer-messages.ts';
import type { JobSpec, UserAnswer } from '../../protocol/users.ts';
import type { Clock } from '../../transport/clock.ts';
import type { Log } from '../../transport/background-task.ts';
import type { PeerChannel } from '../peer-channel.ts';
import type { NodeIdentity } from './membership.ts';

/** Carries out users' requests without help from peers. */
export interface LocalRequestHandler {
  /**
   * The body is the job's description for a submission, else its id. Null if the key-value store does not
   * answer.
   */
  handleLocally(operation: UserOperation, body: JobSpec | string): Promise<UserAnswer | null>;
}

/** What {@link RequestForwarding} needs of its node. */
export interface RequestForwardingContext {
  readonly clock: Clock;
  readonly log: Log;
  /** Aborted at the end of the process. */
  readonly signal: AbortSignal;
  /** Its incarnation makes the ids of this process's requests unique. */
  readonly self: NodeIdentity;
  readonly peers: PeerChannel;
  readonly jobRequests: LocalRequestHandler;
}

/** Forwards requests to peers, and answers those that peers forward. */
export class RequestForwarding {
  /** Handlers of replies, by the id of a request in progress; called with null if a peer has no answer. */
  private readonly replyHandlers = new Map<string, (answer: UserAnswer | null) => void>();
  private requestCount = 0;

  constructor(private readonly context: RequestForwardingContext) {}

  /** Forwards a request to all connected peers. Returns the first answer; null if none arrives in time. */
  forward(operation: UserOperation, body: JobSpec | string): Promise<UserAnswer | null> {
    const { clock, peers, self, signal } = this.context;
    const connected = peers.connected();
    if (connected.length === 0) return Promise.resolve(null);
    const requestId = `${self.incarnation}/${String(++this.requestCount)}`;
    return new Promise((resolve) => {
      let unanswered = connected.length;
      const settle = (answer: UserAnswer | null): void => {
        if (answer === null && --unanswered > 0) return;
        this.replyHandlers.delete(requestId);
        resolve(answer);
      };
      this.replyHandlers.set(requestId, settle);
      for (const peer of connected) {
        const request = { requestId, operation, body: stringifyJson(body) };
        if (!peers.send(peer, { kind: 'forwardedRequest', ...request })) settle(null);
      }
      void clock.sleep(FORWARDING_DEADLINE_MS, signal).then(() => {
        unanswered = 0;
        settle(null);
      });
    });
  }

  /** A peer has replied; status 0 if it has no answer. A late reply is dropped. */
  onReply({ requestId, status, body }: ForwardedReply): void {
    const answer =
      status === 0
        ? null
        : { status: status as UserAnswer['status'], body: parseJson(body) as UserAnswer['body'] };
    this.replyHandlers.get(requestId)?.(answer);
  }

  /** A peer has forwarded a request: carries it out and replies. */
  async onRequest(from: string, { requestId, operation, body }: ForwardedRequest): Promise<void> {
    const { jobRequests, log, peers } = this.context;
    const answer = await jobRequests
      .handleLocally(operation, parseJson(body) as JobSpec | string)
      .catch((error: unknown) => {
        log.error({ err: String(error) }, 'forwarded request failed');
        return null;
      });
    peers.send(from, {
      kind: 'forwardedReply',
      requestId,
      status: answer?.status ?? 0,
      body: answer ? stringifyJson(answer.body) : '',
    });
  }
}
