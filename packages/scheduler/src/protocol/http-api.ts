/**
 * The routes that users, workers and the load balancer call (PROTOCOL).
 *
 * The routes use hono's router without its application. The application converts between node:http and
 * Request and Response objects, which takes a seventh of the time of every answer and a quarter of the
 * start-up time (docs/account.md).
 */
import { RegExpRouter } from 'hono/router/reg-exp-router';
import { RETRY_AFTER_S } from '../constants.ts';
import type { HttpHandler, HttpReply } from '../transport/http-server.ts';
import { parseJson, stringifyJson } from './json.ts';
import {
  decodeSubmission,
  isJobId,
  type JobId,
  type JobSpec,
  decodeSubmissionId,
  type UserAnswer,
  userAnswers,
} from './users.ts';
import {
  decodeHeartbeat,
  encodeRedirect,
  encodeHeartbeatReply,
  type Heartbeat,
  type LeaderReply,
} from './workers.ts';

/**
 * The answer to a heartbeat: `commands` from the shard's leader; `redirect` to that leader (`node` is null if
 * no leader is known); or `unavailable` if the node cannot answer yet. Only `commands` renews the worker
 * lease.
 */
export type HeartbeatReply =
  ({ kind: 'commands' } & LeaderReply) | { kind: 'redirect'; node: string | null } | { kind: 'unavailable' };

/** The handlers of decoded requests. If a handler rejects, the answer is `userAnswers.undecided`. */
export interface ApiHandlers {
  /** A submission; repeating it has no further effect. */
  submit(spec: JobSpec): Promise<UserAnswer>;
  /** A request for a job's status. */
  status(id: JobId): Promise<UserAnswer>;
  /** A cancellation; repeating it has no further effect. */
  cancel(id: JobId): Promise<UserAnswer>;
  /** A worker's heartbeat. */
  heartbeat(heartbeat: Heartbeat): HeartbeatReply | Promise<HeartbeatReply>;
  /** Whether the load balancer may send users' requests to this node. */
  ready(): boolean;
}

/** The handler of a route; `id` is the job's id in the path, or empty if the path has none. */
type Route = (body: string, id: JobId) => HttpReply | Promise<HttpReply>;

/** The HTTP reply to a user. A reply with status 503 also says after how many seconds to retry. */
function userReply(answer: UserAnswer): HttpReply {
  const reply = { status: answer.status, body: stringifyJson(answer.body) };
  return answer.status === 503 ? { ...reply, retryAfterS: RETRY_AFTER_S } : reply;
}

/** The HTTP reply to a heartbeat. */
function workerReply(answer: HeartbeatReply): HttpReply {
  switch (answer.kind) {
    case 'commands':
      return { status: 200, body: stringifyJson(encodeHeartbeatReply(answer.fencingToken, answer.commands)) };
    case 'redirect':
      return { status: 421, body: stringifyJson(encodeRedirect(answer.node)) };
    case 'unavailable':
      return { status: 503, body: '{}' };
  }
}

/** The body as JSON, or undefined if it is malformed. */
function parseBody(text: string): unknown {
  try {
    return parseJson(text);
  } catch {
    return undefined;
  }
}

type ApiRouter = RegExpRouter<Route>;

function addWorkerRoutes(router: ApiRouter, handlers: ApiHandlers): void {
  router.add('POST', '/checkin', async (body) => {
    const heartbeat = decodeHeartbeat(parseBody(body));
    return heartbeat ? workerReply(await handlers.heartbeat(heartbeat)) : userReply(userAnswers.malformed);
  });
}

function addUserRoutes(router: ApiRouter, handlers: ApiHandlers): void {
  const forJob = (serve: (id: JobId) => Promise<UserAnswer>): Route => {
    return async (_body, id) => userReply(isJobId(id) ? await serve(id) : userAnswers.notFound);
  };
  // A malformed submission with the id of an accepted job is answered with the status of that job.
  const answerMalformed = async (body: unknown): Promise<UserAnswer> => {
    const id = decodeSubmissionId(body);
    const known = id === null ? userAnswers.notFound : await handlers.status(id);
    return known.status === 404 ? userAnswers.malformed : known;
  };
  router.add('POST', '/v1/jobs', async (body) => {
    const parsed = parseBody(body);
    const spec = decodeSubmission(parsed);
    return userReply(spec ? await handlers.submit(spec) : await answerMalformed(parsed));
  });
  const status = forJob((id) => handlers.status(id));
  router.add('GET', '/v1/jobs/:id', status);
  const cancel = forJob((id) => handlers.cancel(id));
  router.add('POST', '/v1/jobs/:id/withdraw', cancel);
}

/** The HTTP handler that decodes the requests of all routes and passes them to the handlers. */
export function httpApi(handlers: ApiHandlers): HttpHandler {
  const router: ApiRouter = new RegExpRouter();
  router.add('GET', '/ready', () => ({ status: handlers.ready() ? 200 : 503, body: '' }));
  addWorkerRoutes(router, handlers);
  addUserRoutes(router, handlers);
  return async ({ method, path, body }) => {
    const [[found], values] = router.match(method, path);
    if (!found) return { status: 404, body: '' };
    if (body === null) return userReply(userAnswers.tooLarge);
    const [route, parameters] = found;
    const id = parameters['id']; // the router returns the text itself, or its index in `values`
    try {
      return await route(body, typeof id === 'number' ? (values?.[id] ?? '') : (id ?? ''));
    } catch {
      // It is unknown whether the request was carried out; the sender repeats it.
      return userReply(userAnswers.undecided);
    }
  };
}
