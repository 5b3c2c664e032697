import { RegExpRouter } from 'hono/router/reg-exp-router';
import { RETRY_AFTER_S } from '../constants.ts';
import type { HttpHandler, HttpReply } from '../transport/http-server.ts';
import { parseJson, stringifyJson } from './json.ts';
import { userAnswers, decodeSubmission, isJobId, type JobSpec, namedJob, type UserAnswer } from './users.ts';
import {
  decodeHeartbeat,
  encodeRedirect,
  encodeHeartbeatReply,
  type Command,
  type Heartbeat,
} from './workers.ts';

export type HeartbeatReply =
  | { kind: 'orders'; fencingToken: number; commands: Command[] }
  | { kind: 'elsewhere'; node: string | null }
  | { kind: 'unready' };

export interface ApiHandlers {
  submit(spec: JobSpec): Promise<UserAnswer>;
  status(id: string): Promise<UserAnswer>;
  cancel(id: string): Promise<UserAnswer>;
  heartbeat(heartbeat: Heartbeat): HeartbeatReply | Promise<HeartbeatReply>;
  ready(): boolean;
}

/** What a route does with a body and, where its path has one, a job's id. */
type Route = (body: string, id: string) => HttpReply | Promise<HttpReply>;

function userReply(answer: UserAnswer): HttpReply {
  const reply = { status: answer.status, body: stringifyJson(answer.body) };
  return answer.status === 503 ? { ...reply, retryAfterS: RETRY_AFTER_S } : reply;
}

function workerReply(answer: HeartbeatReply): HttpReply {
  switch (answer.kind) {
    case 'orders':
      return { status: 200, body: stringifyJson(encodeHeartbeatReply(answer.fencingToken, answer.commands)) };
    case 'elsewhere':
      return { status: 421, body: stringifyJson(encodeRedirect(answer.node)) };
    case 'unready':
      return { status: 503, body: '{}' };
  }
}

/** The body as JSON, or undefined where it is none. */
function readBody(text: string): unknown {
  try {
    return parseJson(text);
  } catch {
    return undefined;
  }
}

/**
 * The routes that users, workers and the load balancer call, on hono's router. Its application is left out: the
 * Request and Response objects between it and node:http cost a seventh of every answer's time and a quarter of
 * the time to start (docs/account.md).
 */
export function httpApi(handlers: ApiHandlers): HttpHandler {
  const router = new RegExpRouter<Route>();
  const ofJob = (serve: (id: string) => Promise<UserAnswer>): Route => {
    return async (_body, id) => userReply(isJobId(id) ? await serve(id) : userAnswers.notFound);
  };
  // An accepted job is never answered as if it had not been, whatever is sent under its id.
  const malformed = async (body: unknown): Promise<UserAnswer> => {
    const id = namedJob(body);
    const known = id === null ? userAnswers.notFound : await handlers.status(id);
    return known.status === 404 ? userAnswers.malformed : known;
  };
  router.add('GET', '/ready', () => ({ status: handlers.ready() ? 200 : 503, body: '' }));
  router.add('POST', '/checkin', async (body) => {
    const heartbeat = decodeHeartbeat(readBody(body));
    return heartbeat ? workerReply(await handlers.heartbeat(heartbeat)) : userReply(userAnswers.malformed);
  });
  router.add('POST', '/v1/jobs', async (body) => {
    const read = readBody(body);
    const spec = decodeSubmission(read);
    return userReply(spec ? await handlers.submit(spec) : await malformed(read));
  });
  router.add(
    'GET',
    '/v1/jobs/:id',
    ofJob((id) => handlers.status(id)),
  );
  router.add(
    'POST',
    '/v1/jobs/:id/withdraw',
    ofJob((id) => handlers.cancel(id)),
  );
  return async ({ method, path, body }) => {
    const [[found], values] = router.match(method, path);
    if (!found) return { status: 404, body: '' };
    if (body === null) return userReply(userAnswers.tooLarge);
    const [route, names] = found;
    const at = names['id'];
    try {
      return await route(body, typeof at === 'number' ? (values?.[at] ?? '') : (at ?? ''));
    } catch {
      return userReply(userAnswers.undecided);
    }
  };
}
