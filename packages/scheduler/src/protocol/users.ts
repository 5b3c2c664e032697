/**
 * The API for users (PROTOCOL): the jobs that users submit, and the answers to users. The names on the wire
 * are used in this module only.
 */
import * as z from 'zod/mini';
import { MAX_TASKS, MAX_TEXT_LENGTH, MAX_MACHINE_TYPES } from '../constants.ts';

/** A job's id, chosen by its user. */
export type JobId = string;

/**
 * `batch`: independent tasks, each of which runs to completion. `service`: replicas that run until the job is
 * cancelled. `gang`: tasks that wait on their machines for one another; see docs/questions.md.
 */
export type JobKind = 'batch' | 'service' | 'gang';
/** A job's status as users see it. */
export type JobStatus = 'queued' | 'running' | 'done' | 'cancelled';

/** How a job ended. */
export type FinalStatus = Extract<JobStatus, 'done' | 'cancelled'>;

/**
 * A job as its user specified it. The job's open record stores it under these field names, so renaming a
 * field would change the stored form.
 */
export interface JobSpec {
  id: JobId;
  /** The job's class, to which the deployment's objectives refer. */
  class: string;
  /** The team whose quota the job uses. */
  team: string;
  kind: JobKind;
  /** 0 is the highest. */
  priority: number;
  /** Number of tasks, or of a service's replicas. */
  tasks: number;
  /** CPU cores of each task. The other resources are per task too. */
  cores: number;
  accelerators: number;
  /** Memory, in gigabytes. */
  ramGb: number;
  /** Name of the image that a machine fetches before it runs a task. */
  image: string;
  /** Size of the image, in gigabytes. */
  imageGb: number;
  /** Machine types on which the job may run; null for all. */
  types: string[] | null;
  /** The zone in which the job must run; null for any. */
  zone: string | null;
  /** Whether all tasks must run in the same zone. */
  oneZone: boolean;
  /** Whether at most half of the tasks, rounded up, may run in the same zone. */
  spread: boolean;
  /** Whether the job may run on spot machines. */
  spot: boolean;
  /**
   * The user's estimate of a task's run time without the image fetch, in seconds; often wrong by half. 0 for
   * services.
   */
  estimateS: number;
  /** Seconds of progress between a task's checkpoints; 0 if it saves none, so that a stop loses its work. */
  checkpointS: number;
  /** Seconds that a task takes to save its state when it is stopped. */
  saveS: number;
  /** Seconds from submission within which the job should be done; null if it has no deadline. */
  deadlineS: number | null;
}

const text = z.string().check(z.minLength(1), z.maxLength(MAX_TEXT_LENGTH));
const amount = z.number().check(z.minimum(0), z.maximum(1e9));

const JOB_ID_PATTERN = /^j-\d{1,18}$/;
/** Wire names of the priorities, the highest first. The index is the priority. */
const wirePriorities = ['critical', 'urgent', 'standard', 'low'] as const;

const wireSubmission = z.object({
  id: z.string().check(z.regex(JOB_ID_PATTERN)),
  lot: text,
  ufficio: text,
  genere: z.enum(['batch', 'standing', 'gang']),
  urgenza: z.enum(wirePriorities),
  pratiche: z.int().check(z.minimum(1), z.maximum(MAX_TASKS)),
  cores: amount,
  accelerators: amount,
  ram_gb: amount,
  stampo: text,
  size_gb: amount,
  // Only fields that may be null may be omitted (PROTOCOL, first page).
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

/** A submission of which only the job's id is validated. */
const wireSubmissionId = z.object({ id: wireSubmission.shape.id });

/** The submitted job, or null if the body is malformed. */
export function decodeSubmission(body: unknown): JobSpec | null {
  const parsed = z.safeParse(wireSubmission, body);
  if (!parsed.success) return null;
  const wire = parsed.data;
  return {
    id: wire.id,
    class: wire.lot,
    team: wire.ufficio,
    kind: wire.genere === 'standing' ? 'service' : wire.genere,
    priority: wirePriorities.indexOf(wire.urgenza),
    tasks: wire.pratiche,
    cores: wire.cores,
    accelerators: wire.accelerators,
    ramGb: wire.ram_gb,
    image: wire.stampo,
    imageGb: wire.size_gb,
    types: wire.modelli ?? null,
    zone: wire.sede ?? null,
    oneZone: wire.same_place,
    spread: wire.apart,
    spot: wire.prestiti,
    estimateS: wire.stima_s,
    checkpointS: wire.salvataggio_s,
    saveS: wire.scrittura_s,
    deadlineS: wire.scadenza_s ?? null,
  };
}

/** The job's id in a submission that may otherwise be malformed; null if it has no valid id. */
export function decodeSubmissionId(body: unknown): JobId | null {
  const parsed = z.safeParse(wireSubmissionId, body);
  return parsed.success ? parsed.data.id : null;
}

/** Whether a text is a valid job id. */
export function isJobId(id: string): boolean {
  return JOB_ID_PATTERN.test(id);
}

/** Wire names of the statuses. */
const wireStatuses: Record<JobStatus, string> = {
  queued: 'queued',
  running: 'running',
  done: 'done',
  cancelled: 'aborted',
};

/** A job's progress for its user. */
export interface JobView {
  id: JobId;
  status: JobStatus;
  /** Tasks that are done. */
  done: number;
  /** Tasks that are running. */
  running: number;
}

/** The body of the answer to a request for a job's status. */
export function encodeView(view: JobView): object {
  return { id: view.id, stato: wireStatuses[view.status], done: view.done, running: view.running };
}

/** The body of the answer to a submission or a cancellation. */
export function encodeState(id: JobId, status: JobStatus): object {
  return { id, stato: wireStatuses[status] };
}

/** An answer to a user's request, for the HTTP layer or for the peer that forwarded the request. */
export interface UserAnswer {
  status: 200 | 201 | 400 | 404 | 413 | 422 | 503;
  body: object;
}

/** Whether the answer tells a user that a job has ended. */
export function reportsEnd({ body }: UserAnswer): boolean {
  const { stato } = body as { stato?: unknown };
  return stato === wireStatuses.done || stato === wireStatuses.cancelled;
}

/** Answers that do not depend on the job. */
export const userAnswers = {
  malformed: { status: 400, body: { error: 'malformed' } } as UserAnswer,
  notFound: { status: 404, body: { error: 'unknown job' } } as UserAnswer,
  tooLarge: { status: 413, body: { error: 'body too large' } } as UserAnswer,
  /** The request may or may not have been carried out; the user repeats it. */
  undecided: { status: 503, body: { error: 'cannot decide now' } } as UserAnswer,
};
