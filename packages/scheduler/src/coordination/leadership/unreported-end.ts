/**
 * Whether the observations of all nodes show that no node has reported the end of a job to a user. The decision
 * is pure; docs/design.md, "User requests" and "Reported ends", has the proof.
 */
import type { ExactInteger } from '../../protocol/json.ts';
import type { ReadLease } from '../../protocol/peer-messages.ts';

/**
 * What a node knows of a job. `open`: its watch cache has the open record, at this version. `over`: the job is
 * over, or the node can say nothing. `none`: its watch cache has no open record as of a revision, and the node
 * does not know how the job ended. `unread`: its watch cache is not complete, and the node does not know the
 * job's end.
 *
 * `endedAfter`: a revision that the job's end is later than; 0 if the node does not know the job to have been
 * open.
 * `forgottenEndsUpTo`: ends that the node may have reported to users, and that its process does not remember,
 * have at most this revision. For `unread`, ends that earlier processes of the node have reported do not count.
 */
export type JobObservation =
  | { kind: 'open'; version: ExactInteger; endedAfter: ExactInteger }
  | { kind: 'over' }
  | { kind: 'unread'; forgottenEndsUpTo: ExactInteger }
  | { kind: 'none'; asOf: ExactInteger; endedAfter: ExactInteger; forgottenEndsUpTo: ExactInteger };

/** A node's observation of a job, with what is known of its process and of the other nodes. */
export interface NodeObservation {
  readonly node: string;
  /** The node's process; null if it is of a version that reports ends before a majority knows them. */
  readonly incarnation: string | null;
  readonly observation: JobObservation;
  /** The unbroken read leases that the process has from other nodes. */
  readonly readLeases: readonly ReadLease[];
}

/** Why observations of a job do not show that its end is unreported. */
export type UndecidedReason =
  /** No node knows a revision that the job's end is later than. */
  | 'neverSeenOpen'
  /** A node knows the end, or may have reported one that it does not remember. */
  | 'possiblyReported'
  /** A majority may know the end, counting the nodes that have restarted. */
  | 'majorityMayKnow'
  /** No node holds an unbroken read lease of a node that has restarted. */
  | 'noReadLease';

/** The newest revision that some node knows the job's end to be later than; 0 if none is known. */
function lastOpenRevision(nodes: readonly NodeObservation[]): ExactInteger {
  let lastOpenAt: ExactInteger = 0;
  for (const { observation } of nodes) {
    if (observation.kind !== 'open' && observation.kind !== 'none') continue;
    if (observation.endedAfter > lastOpenAt) lastOpenAt = observation.endedAfter;
  }
  return lastOpenAt;
}

/**
 * Whether the node has reported no end later than `lastOpenAt` that it does not know, and its process was
 * running before such an end was committed.
 */
function hasReportedNone({ observation }: NodeObservation, lastOpenAt: ExactInteger): boolean {
  return (
    observation.kind === 'open' ||
    (observation.kind === 'none' && observation.forgottenEndsUpTo <= lastOpenAt)
  );
}

/**
 * Whether no process of the witness has acknowledged an end later than `lastOpenAt`. A process of an older
 * version may have acknowledged an end that it does not know. Any other acknowledges an end once its watch cache
 * shows the open record deleted, so the cache must not be later than `lastOpenAt`.
 */
function hasAcknowledgedNone(
  { incarnation, observation }: NodeObservation,
  lastOpenAt: ExactInteger,
): boolean {
  if (incarnation === null) return false;
  return observation.kind === 'open' || (observation.kind === 'none' && observation.asOf <= lastOpenAt);
}

/** Whether the node's leases show that no earlier process of `other` reported the end without a majority. */
function holdsLeaseOf(node: NodeObservation, other: NodeObservation, lastOpenAt: ExactInteger): boolean {
  return node.readLeases.some(
    (lease) =>
      lease.node === other.node &&
      lease.incarnation === other.incarnation &&
      lease.fromRevision <= lastOpenAt,
  );
}

/**
 * Why a node may have reported the end of the job; null if none can have done so. At least one node must know
 * the job to have been open; the latest of these revisions counts. Nodes whose processes have read nothing yet
 * are allowed if they cannot be part of a majority that knew the end, and if another node holds an unbroken read
 * lease of each.
 */
export function reasonUndecided(nodes: readonly NodeObservation[], majority: number): UndecidedReason | null {
  const lastOpenAt = lastOpenRevision(nodes);
  if (lastOpenAt === 0) return 'neverSeenOpen';
  const unread = nodes.filter(
    ({ observation }) => observation.kind === 'unread' && observation.forgottenEndsUpTo <= lastOpenAt,
  );
  const witnesses = nodes.filter((node) => hasReportedNone(node, lastOpenAt));
  if (witnesses.length + unread.length < nodes.length) return 'possiblyReported';
  if (unread.length === 0) return null;
  const unaware = witnesses.filter((node) => hasAcknowledgedNone(node, lastOpenAt));
  if (nodes.length - unaware.length >= majority) return 'majorityMayKnow';
  const areAllLeased = unread.every((node) =>
    unaware.some((witness) => holdsLeaseOf(witness, node, lastOpenAt)),
  );
  return areAllLeased ? null : 'noReadLease';
}
