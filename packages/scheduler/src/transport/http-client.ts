/** An HTTP client with a deadline for each call and a limit on the idle connections to all addresses. */
import { Agent, type ClientRequest, type IncomingMessage, request as httpRequest } from 'node:http';
import type { Duplex } from 'node:stream';
import { CLIENT_SOCKETS, KEEP_ALIVE_MS } from '../constants.ts';
import { splitAddress } from './address.ts';

/** A complete response, whatever its status. */
export interface HttpResponse {
  status: number;
  /** The whole body. */
  text: string;
}

/** The call got no complete response. It is unknown whether the request was executed. */
export class NoAnswer extends Error {
  readonly code = 'NO_ANSWER';
}

/** A request to make. */
export interface HttpCall {
  /** IPv4 address and port. */
  address: string;
  method: 'GET' | 'POST' | 'DELETE';
  path: string;
  /** JSON. */
  body?: string;
  /** Milliseconds within which the whole response must arrive. */
  deadlineMs: number;
  /** Cancels the call when aborted. */
  signal?: AbortSignal;
}

/** Makes a call. Rejects with `NoAnswer` if no complete response arrives. */
export type HttpClient = (call: HttpCall) => Promise<HttpResponse>;

/**
 * Keeps idle connections open only while the total number of connections to all addresses is within a limit.
 */
class BoundedAgent extends Agent {
  constructor(private readonly idleSocketLimit: number) {
    super({
      keepAlive: true,
      maxSockets: CLIENT_SOCKETS,
      scheduling: 'lifo',
      timeout: KEEP_ALIVE_MS, // closes an idle connection; calls have their own deadlines
    });
  }

  /** Hook of Node's agent: false closes the connection that has just become idle. */
  override keepSocketAlive(socket: Duplex): boolean {
    const { totalSocketCount } = this as unknown as { totalSocketCount: number };
    // eslint-disable-next-line @typescript-eslint/no-confusing-void-expression -- typed void; Node returns a boolean
    return totalSocketCount <= this.idleSocketLimit && (super.keepSocketAlive(socket) as unknown as boolean);
  }
}

/** One call. It settles once: with a response, an error, the deadline or the abort signal. */
class PendingCall {
  private readonly request: ClientRequest;
  private readonly deadline: NodeJS.Timeout;
  private settled = false;

  constructor(
    agent: Agent,
    private readonly call: HttpCall,
    private readonly resolve: (response: HttpResponse) => void,
    private readonly reject: (error: NoAnswer) => void,
  ) {
    const { deadlineMs, signal } = call;
    this.request = startRequest(agent, call);
    // After event-loop lag, the process first reads what has arrived meanwhile, and only then times out.
    const expire = (): void => this.fail(`no answer within ${String(deadlineMs)} ms`);
    this.deadline = setTimeout(() => setImmediate(expire), deadlineMs);
    signal?.addEventListener('abort', this.onAbort);
    this.request.on('error', this.onError);
    this.request.on('response', (response) => this.read(response));
    this.request.end(call.body);
  }

  private read(response: IncomingMessage): void {
    const chunks: Buffer[] = [];
    response.on('data', (chunk: Buffer) => chunks.push(chunk));
    response.on('error', this.onError);
    response.on('close', () => this.fail('connection closed'));
    response.on('end', () => {
      if (this.settled || !response.complete) return;
      this.settle();
      const text = Buffer.concat(chunks).toString('utf8');
      this.resolve({ status: response.statusCode ?? 0, text });
    });
  }

  private readonly onAbort = (): void => this.fail('cancelled');

  private readonly onError = (error: Error): void => this.fail(error.message, error);

  private fail(reason: string, cause?: Error): void {
    if (this.settled) return;
    this.settle();
    this.request.destroy();
    this.reject(noAnswerError(this.call, reason, cause));
  }

  private settle(): void {
    this.settled = true;
    clearTimeout(this.deadline);
    this.call.signal?.removeEventListener('abort', this.onAbort);
  }
}

function startRequest(agent: Agent, { address, method, path, body }: HttpCall): ClientRequest {
  const headers: Record<string, string | number> = {};
  if (body !== undefined) {
    headers['content-type'] = 'application/json';
    headers['content-length'] = Buffer.byteLength(body);
  }
  return httpRequest({ agent, ...splitAddress(address), method, path, headers });
}

function noAnswerError({ method, path }: HttpCall, reason: string, cause?: Error): NoAnswer {
  return new NoAnswer(`${method} ${path}: ${reason}`, { cause });
}

/** A client that keeps idle connections open while it has at most `idleSocketLimit` connections in total. */
export function httpClient(idleSocketLimit = Infinity): HttpClient {
  const agent = new BoundedAgent(idleSocketLimit);
  return (call) =>
    new Promise((resolve, reject) => {
      // Checked before the request is created: destroying it without an error listener would end the process.
      if (call.signal?.aborted) return reject(noAnswerError(call, 'cancelled'));
      new PendingCall(agent, call, resolve, reject);
    });
}
