/**
 * A machine of a shard, as the shard's leader keeps it in memory. machine-state.ts states which module may
 * change which part of it. Only its record (records.ts) is stored.
 */
import { FENCING_DELAY_MS } from '../constants.ts';
import type { MachineType } from '../protocol/cloud.ts';
import type { FencingToken } from '../protocol/workers.ts';
import type { Attempt } from './attempt.ts';
import type {
  AttemptState,
  FailureHistory,
  FencingState,
  ForgetState,
  HeartbeatState,
  IdleState,
  LeaseState,
  LifecycleState,
  ProbeState,
  ReachabilityState,
  ReconciliationState,
  RecordState,
  TokenState,
} from './machine-state.ts';
import type { MachineRecord } from './records.ts';
import { dominantShare, type Resources } from './resources.ts';

/** A machine, read-only except for the modules that own one of its groups. */
export interface Machine
  extends
    Readonly<HeartbeatState>,
    Readonly<AttemptState>,
    Readonly<LeaseState>,
    Readonly<TokenState>,
    Readonly<ForgetState>,
    Readonly<FencingState>,
    Readonly<ReconciliationState>,
    Readonly<ProbeState>,
    Readonly<ReachabilityState>,
    Readonly<FailureHistory>,
    Readonly<RecordState>,
    Readonly<LifecycleState>,
    Readonly<IdleState> {
  /** The machine's name, as the cloud assigned it. */
  readonly id: string;
  readonly zone: string;
  /** Null until the catalog contains its type; see `resolveType`. */
  readonly type: MachineType | null;
}

/**
 * Names the pool of a machine: its type, and whether it is a spot machine. All machines of a pool are
 * equivalent for the constraints and resources of a task.
 */
export const machinePoolKey = (type: string, spot: boolean): string =>
  `${spot ? 'spot' : 'ordinary'}/${type}`;

/**
 * A machine that no leader has recorded; `now` is when its first heartbeat arrived. `fencingToken` is the first
 * token of the leadership.
 */
export function newMachine(
  id: string,
  record: MachineRecord,
  now: number,
  fencingToken: FencingToken,
): Machine {
  return {
    id,
    endpoint: record.endpoint,
    typeName: record.type,
    type: null,
    zone: record.zone,
    spot: record.spot,
    fencingToken,
    launchCallToken: 0,
    isForgetHeldBack: false,
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

/**
 * A machine that a former leader recorded. That leader may have answered its heartbeats until
 * `formerLeaseEndsAt`, when its leader lease had certainly expired.
 */
export function recordedMachine(
  id: string,
  record: MachineRecord,
  now: number,
  { fencingToken, formerLeaseEndsAt }: { fencingToken: FencingToken; formerLeaseEndsAt: number },
): Machine {
  return {
    ...newMachine(id, record, now, fencingToken),
    persisted: true,
    nextFencingAt: now + FENCING_DELAY_MS,
    leaseRenewedAt: formerLeaseEndsAt,
    formerLeaderMayRenewUntil: formerLeaseEndsAt,
  };
}

/** Looks up the machine's type unless it is known. The catalog may not have been read earlier. */
export function resolveType(machine: Machine, typeOf: (name: string) => MachineType | null): void {
  const resolved: { type: MachineType | null } = machine;
  resolved.type ??= typeOf(machine.typeName);
}

/**
 * Records that a task with the image runs on the machine. A full machine evicts the least recently used
 * images.
 */
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

/** Adds an attempt. Only `attach` and `detach` change a machine's attempts. */
export function attach(machine: AttemptState, attempt: Attempt): void {
  machine.attempts.set(attempt.key, attempt);
  machine.cachedFreeCapacity = undefined;
}

/** Removes an attempt. */
export function detach(machine: AttemptState, attempt: Attempt): void {
  machine.attempts.delete(attempt.key);
  machine.cachedFreeCapacity = undefined;
}

/**
 * The machine's free capacity, or null when its type or a task on it is unknown. Cached until its attempts
 * change, as a scheduling round needs it for every machine of the shard.
 */
export function freeCapacity(machine: Machine): Readonly<Resources> | null {
  if (!machine.type) return null;
  if (machine.cachedFreeCapacity !== undefined) return machine.cachedFreeCapacity;
  const cache: AttemptState = machine;
  return (cache.cachedFreeCapacity = computeFreeCapacity(machine, machine.type));
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

/** Share of its scarcest resource that the attempts accepted by `counts` book; 1 if it is unknown. */
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
