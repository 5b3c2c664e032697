import { Hono } from 'hono';
import { bodyLimit } from 'hono/body-limit';
import { MAX_BODY_BYTES, RETRY_AFTER_S } from '../constants.ts';
import { stringifyJson, parseJson } from './json.ts';
import { answers, decodeSubmission, isJobId, type JobSpec, type UserAnswer } from './users.ts';
import { decodeReport, encodeRedirect, encodeReportAnswer, type Order, type Report } from './workers.ts';

export type ReportAnswer =
  | { kind: 'orders'; token: number; orders: Order[] }
  | { kind: 'elsewhere'; node: string | null }
  | { kind: 'unready' };

export interface ApiHandlers {
  submit(spec: JobSpec): Promise<UserAnswer>;
  status(id: string): Promise<UserAnswer>;
  withdraw(id: string): Promise<UserAnswer>;
  report(report: Report): Promise<ReportAnswer>;
  ready(): boolean;
}

const JSON_TYPE = { 'content-type': 'application/json' };

function userResponse(answer: UserAnswer): Response {
  const headers = answer.status === 503 ? { ...JSON_TYPE, 'retry-after': String(RETRY_AFTER_S) } : JSON_TYPE;
  return new Response(stringifyJson(answer.body), { status: answer.status, headers });
}

function workerResponse(answer: ReportAnswer): Response {
  switch (answer.kind) {
    case 'orders':
      return new Response(stringifyJson(encodeReportAnswer(answer.token, answer.orders)), {
        status: 200,
        headers: JSON_TYPE,
      });
    case 'elsewhere':
      return new Response(stringifyJson(encodeRedirect(answer.node)), { status: 421, headers: JSON_TYPE });
    case 'unready':
      return new Response('{}', { status: 503, headers: JSON_TYPE });
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

/** The routes that users, workers and the load balancer call. */
export function httpApi(handlers: ApiHandlers): Hono {
  const app = new Hono();
  const limit = bodyLimit({ maxSize: MAX_BODY_BYTES, onError: () => userResponse(answers.tooLarge) });
  app.get('/ready', () => new Response(null, { status: handlers.ready() ? 200 : 503 }));
  app.post('/checkin', async (c) => {
    const report = decodeReport(readBody(await c.req.text()));
    return report ? workerResponse(await handlers.report(report)) : userResponse(answers.malformed);
  });
  app.post('/v1/jobs', limit, async (c) => {
    const spec = decodeSubmission(readBody(await c.req.text()));
    return userResponse(spec ? await handlers.submit(spec) : answers.malformed);
  });
  app.get('/v1/jobs/:id', async (c) => {
    const id = c.req.param('id');
    return userResponse(isJobId(id) ? await handlers.status(id) : answers.notFound);
  });
  app.post('/v1/jobs/:id/withdraw', async (c) => {
    const id = c.req.param('id');
    return userResponse(isJobId(id) ? await handlers.withdraw(id) : answers.notFound);
  });
  app.onError(() => userResponse(answers.undecided));
  return app;
}
