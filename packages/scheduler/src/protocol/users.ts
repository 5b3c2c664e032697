import * as z from 'zod/mini';
import { MAX_TASKS, MAX_TEXT_LENGTH, MAX_MACHINE_TYPES } from '../constants.ts';

/** A job's id, as its user chose it. */
export type JobId = string;

/** A gang's tasks wait for one another on their machines; see docs/questions.md. */
export type JobKind = 'batch' | 'service' | 'gang';
export type JobStatus = 'queued' | 'running' | 'done' | 'cancelled';

/** A job as its user described it, in the field's terms. Kept as it is in the state service. */
export interface JobSpec {
  id: string;
  class: string;
  team: string;
  kind: JobKind;
  /** 0 is the highest. */
  priority: number;
  tasks: number;
  cores: number;
  accelerators: number;
  ramGb: number;
  image: string;
  imageGb: number;
  types: string[] | null;
  zone: string | null;
  oneZone: boolean;
  spread: boolean;
  spot: boolean;
  estimateS: number;
  checkpointS: number;
  saveS: number;
  deadlineS: number | null;
}

const text = z.string().check(z.minLength(1), z.maxLength(MAX_TEXT_LENGTH));
const amount = z.number().check(z.minimum(0), z.maximum(1e9));

const JOB_ID = /^j-\d{1,18}$/;
const priorities = ['critical', 'urgent', 'standard', 'low'] as const;

const submission = z.object({
  id: z.string().check(z.regex(JOB_ID)),
  lot: text,
  ufficio: text,
  genere: z.enum(['batch', 'standing', 'gang']),
  urgenza: z.enum(priorities),
  pratiche: z.int().check(z.minimum(1), z.maximum(MAX_TASKS)),
  cores: amount,
  accelerators: amount,
  ram_gb: amount,
  stampo: text,
  size_gb: amount,
  // Only what may be null may also be left out (PROTOCOL, first page).
  modelli: z.nullish(z.array(text).check(z.maxLength(MAX_MACHINE_TYPES))),
  sede: z.nullish(text),
  same_place: z.boolean(),
  apart: z.boolean(),
  prestiti: z.boolean(),
  stima_s: amount,
  salvataggio_s: amount,
  scrittura_s: amount,
  scadenza_s: z.nullish(amount),
});

const named = z.object({ id: submission.shape.id });

/** The submitted job, or null where the body is malformed. */
export function decodeSubmission(body: unknown): JobSpec | null {
  const parsed = z.safeParse(submission, body);
  if (!parsed.success) return null;
  const b = parsed.data;
  return {
    id: b.id,
    class: b.lot,
    team: b.ufficio,
    kind: b.genere === 'standing' ? 'service' : b.genere,
    priority: priorities.indexOf(b.urgenza),
    tasks: b.pratiche,
    cores: b.cores,
    accelerators: b.accelerators,
    ramGb: b.ram_gb,
    image: b.stampo,
    imageGb: b.size_gb,
    types: b.modelli ?? null,
    zone: b.sede ?? null,
    oneZone: b.same_place,
    spread: b.apart,
    spot: b.prestiti,
    estimateS: b.stima_s,
    checkpointS: b.salvataggio_s,
    saveS: b.scrittura_s,
    deadlineS: b.scadenza_s ?? null,
  };
}

/** The id that a body names, whatever else is wrong with it; null where it names none. */
export function namedJob(body: unknown): string | null {
  const parsed = z.safeParse(named, body);
  return parsed.success ? parsed.data.id : null;
}

export function isJobId(id: string): boolean {
  return JOB_ID.test(id);
}

const wireStatus: Record<JobStatus, string> = {
  queued: 'queued',
  running: 'running',
  done: 'done',
  cancelled: 'aborted',
};

export interface JobView {
  id: string;
  status: JobStatus;
  done: number;
  running: number;
}

export function encodeView(view: JobView): object {
  return { id: view.id, stato: wireStatus[view.status], done: view.done, running: view.running };
}

export function encodeState(id: string, status: JobStatus): object {
  return { id, stato: wireStatus[status] };
}

/** What the service answers a user; the HTTP layer and a sibling that passed the request on both take it. */
export interface UserAnswer {
  status: 200 | 201 | 400 | 404 | 413 | 422 | 503;
  body: object;
}

export const userAnswers = {
  malformed: { status: 400, body: { error: 'malformed' } } as UserAnswer,
  notFound: { status: 404, body: { error: 'unknown job' } } as UserAnswer,
  tooLarge: { status: 413, body: { error: 'body too large' } } as UserAnswer,
  undecided: { status: 503, body: { error: 'cannot decide now' } } as UserAnswer,
};
