import type { MachineType } from '../protocol/cloud.ts';
import type { Int } from '../protocol/json.ts';
import type { EndReason, TaskState } from '../protocol/workers.ts';
import type { MachineRecord } from './records.ts';
import type { Slice } from './slice.ts';

/**
 * How far a launch has got. `sent`: in the answer to a report, which the worker drops if late, so the
 * next report decides. `direct`: sent to the machine itself with no answer yet, so it may still arrive at
 * any time within the session. `seen`: reported.
 */
export type LaunchPhase = 'new' | 'sent' | 'direct' | 'seen';

export interface Attempt {
  key: string;
  task: string;
  number: Int;
  /** Null for a task that no slice of the part knows: it is stopped. */
  slice: Slice | null;
  position: number;
  phase: LaunchPhase;
  state: TaskState;
  stopping: boolean;
  /** Seconds a task being stopped has for saving. */
  graceS: number;
  startedAt: number;
  /** When contact with the state service was last proven before its job was known to be over; infinite until then. */
  jobOpenConfirmedAt: number;
  /** Since when it has been reported as running; infinite before. */
  runningAt: number;
}

export interface EndedAttempt {
  task: string;
  number: Int;
  reason: EndReason;
  /** The slice that must have recorded the result before the worker may forget it. */
  slice: Slice | null;
  position: number;
  at: number;
}

export interface Machine {
  readonly id: string;
  endpoint: string;
  typeName: string;
  /** Null until the catalogue is known. */
  type: MachineType | null;
  zone: string;
  spot: boolean;
  /** Whether its record is in the state service; nothing is launched before. */
  persisted: boolean;
  /** Whether it has been seen with this owner's token: then its reports are the whole truth. */
  fenced: boolean;
  /** Recorded by an owner before and not accounted for since: any task of the part may be on it. */
  unreconciled: boolean;
  agentEpoch: Int;
  sequence: Int;
  lastContactAt: number;
  /** When a report that it sent by itself last came; before the first, when this owner came to know it. */
  lastHeartbeatAt: number;
  /** When a report of it was last answered 200, by this owner or at the latest by the one before. */
  leaseRenewedAt: number;
  /** Until when an owner before this one may have answered its reports. */
  formerLeaderMayRenewUntil: number;
  /** When this owner first saw it in the cloud's list. */
  listedAt: number | null;
  preemptionNoticed: boolean;
  draining: boolean;
  terminating: boolean;
  probing: boolean;
  probedAt: number;
  commandInFlight: boolean;
  nextFencingAt: number;
  /** Tries to fence it that had no answer. */
  failedFencingAttempts: number;
  /** Changed by `attach` and `detach` only. */
  readonly attempts: Map<string, Attempt>;
  /** What is left beside the attempts, as last reckoned; undefined after a change. */
  cachedFreeCapacity: Resources | null | undefined;
  endedAttempts: Map<string, EndedAttempt>;
  /** Attempts with a direct launch that got no answer: forgotten, it could start again when it arrives late. */
  launchesInDoubt: Set<string>;
  /** The booked share by the last report, and that of the tasks started since. */
  load: number;
  bookedSinceHeartbeat: number;
  /** Images it should have, the one used last at the end, with their gigabytes. */
  readonly images: Map<string, number>;
  idleSince: number;
  /** Since when what it is told directly goes unanswered, though its reports may arrive; infinite while it is answered. */
  unreachableSince: number;
  /** Questions since its last answer that it left unanswered while others of its part were heard: the network let them. */
  unansweredProbes: number;
  /** Failed tasks since the last result, by job, and when the last of them failed. */
  readonly taskFailures: Map<string, { count: number; at: number }>;
  /** Being drained because of them. */
  cordoned: boolean;
  backoffUntil: number;
}

/** What rules and sizes allow on one machine of a kind they allow on all of it. */
export const machinePoolKey = (type: string, spot: boolean): string =>
  `${spot ? 'spot' : 'ordinary'}/${type}`;

export function newMachine(id: string, record: MachineRecord, now: number): Machine {
  return {
    id,
    endpoint: record.endpoint,
    typeName: record.type,
    type: null,
    zone: record.zone,
    spot: record.spot,
    persisted: false,
    fenced: false,
    unreconciled: false,
    agentEpoch: 0,
    sequence: 0,
    lastContactAt: now,
    lastHeartbeatAt: now,
    leaseRenewedAt: now,
    formerLeaderMayRenewUntil: now,
    listedAt: null,
    preemptionNoticed: false,
    draining: false,
    terminating: false,
    probing: false,
    probedAt: -Infinity,
    commandInFlight: false,
    nextFencingAt: now,
    failedFencingAttempts: 0,
    attempts: new Map(),
    cachedFreeCapacity: undefined,
    endedAttempts: new Map(),
    launchesInDoubt: new Set(),
    load: 0,
    bookedSinceHeartbeat: 0,
    images: new Map(),
    idleSince: now,
    unreachableSince: Infinity,
    unansweredProbes: 0,
    taskFailures: new Map(),
    cordoned: false,
    backoffUntil: 0,
  };
}

/** Notes that a task with the image runs on the machine, which drops those used least recently when full. */
export function recordImageUse(machine: Machine, image: string, gb: number): void {
  const { images } = machine;
  images.delete(image);
  images.set(image, gb);
  let sum = 0;
  for (const size of images.values()) sum += size;
  for (const [oldest, size] of images) {
    if (sum <= (machine.type?.localGb ?? 0) || oldest === image) break;
    images.delete(oldest);
    sum -= size;
  }
}

export interface Resources {
  cores: number;
  accelerators: number;
  ramGb: number;
}

/** Every change of a machine's attempts goes through these two: what is left on it is reckoned from them. */
export function attach(machine: Machine, attempt: Attempt): void {
  machine.attempts.set(attempt.key, attempt);
  machine.cachedFreeCapacity = undefined;
}
export function detach(machine: Machine, attempt: Attempt): void {
  machine.attempts.delete(attempt.key);
  machine.cachedFreeCapacity = undefined;
}

/**
 * What the machine has left, or null when something on it or its type is unknown. Kept until its attempts change:
 * a round of placing asks every machine of the part.
 */
export function freeCapacity(machine: Machine): Readonly<Resources> | null {
  if (!machine.type) return null;
  if (machine.cachedFreeCapacity === undefined)
    machine.cachedFreeCapacity = computeFreeCapacity(machine, machine.type);
  return machine.cachedFreeCapacity;
}

function computeFreeCapacity(machine: Machine, type: MachineType): Resources | null {
  const left = {
    cores: type.cores,
    accelerators: type.accelerators,
    ramGb: type.ramGb,
  };
  for (const attempt of machine.attempts.values()) {
    if (!attempt.slice) return null;
    left.cores -= attempt.slice.spec.cores;
    left.accelerators -= attempt.slice.spec.accelerators;
    left.ramGb -= attempt.slice.spec.ramGb;
  }
  return left;
}

const ROUNDING = 1e-6;

export function fits(need: Resources, left: Resources): boolean {
  return (
    need.cores <= left.cores + ROUNDING &&
    need.accelerators <= left.accelerators + ROUNDING &&
    need.ramGb <= left.ramGb + ROUNDING
  );
}

/** The share of the machine's scarcest resource that a need books. */
export function dominantShare(need: Resources, type: MachineType): number {
  const of = (shard: number, whole: number): number => (shard <= 0 ? 0 : whole <= 0 ? 1 : shard / whole);
  return Math.max(
    of(need.cores, type.cores),
    of(need.accelerators, type.accelerators),
    of(need.ramGb, type.ramGb),
  );
}

/** Booked share of the scarcest resource, by a filter on the attempts counted. */
export function bookedShare(machine: Machine, counts: (attempt: Attempt) => boolean): number {
  if (!machine.type) return 1;
  const sum = { cores: 0, accelerators: 0, ramGb: 0 };
  for (const attempt of machine.attempts.values()) {
    if (!counts(attempt)) continue;
    if (!attempt.slice) return 1;
    sum.cores += attempt.slice.spec.cores;
    sum.accelerators += attempt.slice.spec.accelerators;
    sum.ramGb += attempt.slice.spec.ramGb;
  }
  return dominantShare(sum, machine.type);
}
