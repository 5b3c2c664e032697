/**
 * Shared code of the clients of external services (key-value store, cloud): the endpoint of a service, and
 * replies in JSON.
 */
import { type HttpClient, type HttpResponse, NoAnswer } from '../transport/http-client.ts';
import { parseJson } from './json.ts';

/** The address of an external service, and how to call it. */
export interface ServiceEndpoint {
  readonly http: HttpClient;
  /** IPv4 address and port. */
  readonly address: string;
  /** Milliseconds that a call may take. */
  readonly deadlineMs: number;
  /** Cancels the pending calls when aborted; they reject with `NoAnswer`. */
  readonly signal: AbortSignal;
}

/** A complete reply with a JSON body. */
export interface JsonReply {
  readonly status: number;
  /** The parsed body, not validated yet. */
  readonly body: unknown;
}

/** Parses the body. Throws `NoAnswer` if it isn't JSON, as it is then unknown what the service did. */
export function parseReply(path: string, response: HttpResponse): JsonReply {
  try {
    return { status: response.status, body: parseJson(response.text) };
  } catch (cause) {
    throw new NoAnswer(`${path}: not JSON`, { cause });
  }
}

/** The reason in the body of an error reply, if it has one. */
export function errorOf(reply: JsonReply): unknown {
  return (reply.body as { error?: unknown } | null)?.error;
}
