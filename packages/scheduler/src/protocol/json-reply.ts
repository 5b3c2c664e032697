/**
 * What the clients of outside services (key-value store, cloud) share: where a service is, and replies in
 * JSON.
 */
import { type HttpClient, type HttpResponse, NoAnswer } from '../transport/http-client.ts';
import { parseJson } from './json.ts';

/** An outside service, and how it is called. */
export interface ServiceEndpoint {
  readonly http: HttpClient;
  /** IPv4 address and port. */
  readonly address: string;
  /** Milliseconds a call may take. */
  readonly deadlineMs: number;
  /** Cancels open calls when aborted; they reject with `NoAnswer`. */
  readonly signal: AbortSignal;
}

/** A complete reply with a JSON body. */
export interface JsonReply {
  readonly status: number;
  /** The parsed body; its form is not checked yet. */
  readonly body: unknown;
}

/** Parses the body; throws `NoAnswer` if it isn't JSON, as nothing is known then of what the service did. */
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
