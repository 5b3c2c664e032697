/** Builders of scheduler objects for unit tests. */
import assert from 'node:assert/strict';
import { attach, type Machine, newMachine } from '../../src/storage/machine.ts';
import type { Attempt } from '../../src/storage/attempt.ts';
import { Slice } from '../../src/storage/slice.ts';
import { decodeSubmission, type JobSpec } from '../../src/protocol/users.ts';
import { jobSubmission } from './cluster.ts';

/** Type of the machines that `machine` builds. */
export const machineType = {
  name: 'small',
  cores: 8,
  accelerators: 0,
  ramGb: 32,
  localGb: 10,
  price: 1,
  spotPrice: 1,
  bootS: 30,
  zones: ['a'],
};

/** A machine whose own fields a test may assign. */
export type WritableMachine = { -readonly [K in keyof Machine]: Machine[K] };

/** Builds a machine without tasks. `load` and `bookedSinceHeartbeat` are shares of its scarcest resource. */
export function machine(id: string, load = 0, bookedSinceHeartbeat = 0, spot = false): WritableMachine {
  const built: WritableMachine = newMachine(id, { endpoint: 'x:1', type: 'small', zone: 'a', spot }, 0, 1);
  built.type = machineType;
  built.load = load;
  built.bookedSinceHeartbeat = bookedSinceHeartbeat;
  return built;
}

/** The specification of a job with one task. `wireFields` override fields of the submission. */
export function decodedJobSpec(wireFields: object = {}): JobSpec {
  const decoded = decodeSubmission({ ...jobSubmission('j-1', 1), ...wireFields });
  assert.ok(decoded);
  return decoded;
}

/** Valid controller settings in the form that the platform writes. */
export const platformSettings = {
  node_name: 'n',
  zone: 'a',
  listen: '127.0.0.1:1',
  mesh_addr: '127.0.0.1:2',
  endpoints: { cloud: '127.0.0.1:3', state: '127.0.0.1:4' },
  deployment: {
    zones: ['a'],
    workers: { report_s: 2, lease_s: 16, cancel_s: 40 },
    state: { rps: 100, write_rps: 100, value_kb: 8, txn_ops: 12 },
    cloud: { rps: 10 },
  },
};

/**
 * Creates a running attempt of a task of `job` and attaches it to the machine. `number` is both the number of
 * the attempt and the position of its task.
 */
export const startAttempt = (machine: Machine, job: JobSpec, number: number, startedAt = 0): Attempt => {
  const slice = new Slice({ name: 's', spec: job, at: 0, from: 0, count: 9, settled: '' }, false);
  const key = `${job.id}#${String(number)}`;
  const attempt: Attempt = {
    key,
    task: job.id,
    number,
    slice,
    position: number,
    startedAt,
    callToken: 0,
    state: 'running',
    phase: 'seen',
    stopping: false,
    graceS: 0,
    runningAt: 0,
  };
  attach(machine, attempt);
  return attempt;
};
