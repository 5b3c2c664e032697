/**
 * Unanimous reads: while no node reaches the key-value store, the observations of all nodes together can show
 * that nobody has reported the end of a job to its user. docs/design.md, "User requests", has the proof.
 */
import { UNANIMOUS_READ_DEADLINE_MS, UNANIMOUS_READ_GAP_MS, UNANIMOUS_READ_BATCH } from '../../constants.ts';
import type { Revision } from '../../protocol/key-value.ts';
import type { ObservationReply } from '../../protocol/peer-messages.ts';
import type { Clock } from '../../transport/clock.ts';
import type { Log } from '../../transport/log.ts';
import type { PeerChannel } from '../peer-channel.ts';
import type { NodeIdentity } from './membership.ts';
import type { PeerReadLeases } from './peer-read-leases.ts';
import {
  type JobObservation,
  type NodeObservation,
  reasonUndecided,
  type UndecidedReason,
} from './unreported-end.ts';

/** Knows what this node has observed of jobs. */
export interface JobObserver {
  /** What this node knows of the job. */
  observe(job: string): JobObservation;
  /** See {@link JobObservation}. */
  readonly forgottenEndsUpTo: Revision;
}

/** What {@link UnanimousRead} needs of its node. */
export interface UnanimousReadContext {
  readonly clock: Clock;
  readonly log: Log;
  /** Aborted at the end of the process. */
  readonly signal: AbortSignal;
  /** Its incarnation makes the ids of this process's requests unique. */
  readonly self: NodeIdentity;
  readonly peers: PeerChannel;
  readonly jobView: JobObserver;
  readonly readLeases: PeerReadLeases;
  /** How many of the deployment's nodes are a majority of them. */
  readonly majority: number;
}

/** Why a unanimous read does not show that the job is unfinished for its user. */
type ReadFailure =
  | UndecidedReason
  /** This node knows the job's end, or has not read its watch cache yet. */
  | 'over'
  | 'unread'
  /** A peer is not connected. */
  | 'peerNotConnected'
  /** A peer has not replied in time. */
  | 'peerSilent';

/** One request to all peers. */
interface Round {
  readonly id: string;
  /** Peers that have not replied yet. */
  readonly unanswered: Set<string>;
  /** The peers' observations, by job. */
  readonly observations: Map<string, NodeObservation[]>;
  /** Aborted when the last reply is received. */
  readonly ended: AbortController;
}

/**
 * Asks all peers what they know of a job, after a user's request for it has been received. A node that has
 * told any user that the job is over remembers it. A peer that does not reply might be such a node, so all
 * peers must reply.
 */
export class UnanimousRead {
  /** Resolvers of the requests that wait for a round, by job. */
  private readonly waitingRequests = new Map<string, ((isUnreported: boolean) => void)[]>();
  private round: Round | null = null;
  private roundCount = 0;
  private isRunning = false;

  constructor(private readonly context: UnanimousReadContext) {}

  /**
   * Whether observations of all nodes, this one included, made after this call show that the job was accepted
   * and that no node can have reported its end to a user.
   */
  async isUnfinishedForUsers(job: string): Promise<boolean> {
    const { jobView, peers } = this.context;
    const { kind } = jobView.observe(job);
    // All nodes must take part. The read cannot succeed if a peer is not connected, or if this node has seen
    // the job's end. Without a complete watch cache it could not show the job's state.
    if (kind === 'over' || kind === 'unread') return this.fail(job, kind);
    if (peers.connected().length < peers.names.length) return this.fail(job, 'peerNotConnected');
    return new Promise<boolean>((resolve) => {
      this.waitingRequests.set(job, [...(this.waitingRequests.get(job) ?? []), resolve]);
      void this.runRounds();
    });
  }

  /** Runs one round at a time for all requests: in an outage every user's poll needs a round. */
  private async runRounds(): Promise<void> {
    if (this.isRunning) return;
    this.isRunning = true;
    const { clock, signal } = this.context;
    while (this.waitingRequests.size > 0 && !signal.aborted) {
      const batch = [...this.waitingRequests].slice(0, UNANIMOUS_READ_BATCH);
      for (const [job] of batch) this.waitingRequests.delete(job);
      const observations = await this.runRound(batch.map(([job]) => job));
      for (const [job, resolvers] of batch) {
        const isUnreported = this.isUnreportedAfterRound(job, observations);
        for (const resolve of resolvers) resolve(isUnreported);
      }
      await clock.sleep(UNANIMOUS_READ_GAP_MS, signal);
    }
    this.isRunning = false;
  }

  private isUnreportedAfterRound(job: string, observations: Map<string, NodeObservation[]> | null): boolean {
    if (!observations) return this.fail(job, 'peerSilent');
    const { jobView, majority, readLeases, self } = this.context;
    const own: NodeObservation = {
      node: self.name,
      incarnation: self.incarnation,
      observation: jobView.observe(job),
      readLeases: readLeases.unbroken(),
    };
    const reason = reasonUndecided([own, ...(observations.get(job) ?? [])], majority);
    return reason === null || this.fail(job, reason);
  }

  private fail(job: string, reason: ReadFailure): false {
    this.context.log.debug({ job, reason }, 'unanimous read undecided');
    return false;
  }

  /** The peers' observations of the jobs; null if not all peers have replied in time. */
  private async runRound(jobs: string[]): Promise<Map<string, NodeObservation[]> | null> {
    const { clock, peers, self } = this.context;
    const round: Round = {
      id: `${self.incarnation}/${String(++this.roundCount)}`,
      unanswered: new Set(peers.names),
      observations: new Map(jobs.map((job) => [job, []])),
      ended: new AbortController(),
    };
    this.round = round;
    const areAllAsked = peers.names.every((peer) =>
      peers.send(peer, { kind: 'observationRequest', requestId: round.id, jobIds: jobs }),
    );
    if (areAllAsked && peers.names.length > 0)
      await clock.sleep(UNANIMOUS_READ_DEADLINE_MS, round.ended.signal);
    this.round = null;
    return round.unanswered.size === 0 ? round.observations : null;
  }

  /** A peer has replied. Replies to earlier rounds and repeated ones are dropped. */
  onReply(from: string, reply: ObservationReply): void {
    const { round } = this;
    if (round?.id !== reply.requestId || !round.unanswered.delete(from)) return;
    const { incarnation, readLeases } = reply;
    for (const [job, observation] of observationsIn(reply))
      round.observations.get(job)?.push({ node: from, incarnation, observation, readLeases });
    if (round.unanswered.size === 0) round.ended.abort();
  }
}

/** The observations in a peer's reply. A peer of an older version reports fewer bounds, and weaker ones. */
function observationsIn(reply: ObservationReply): [job: string, JobObservation][] {
  const endedAfter = new Map(reply.endedAfter);
  const unread = new Set(reply.unread);
  return [
    ...reply.open.map(([job, version]): [string, JobObservation] => [
      job,
      { kind: 'open', version, endedAfter: endedAfter.get(job) ?? version },
    ]),
    ...reply.over.map((job): [string, JobObservation] => [
      job,
      unread.has(job)
        ? { kind: 'unread', forgottenEndsUpTo: reply.forgottenEndsUpTo ?? 0 }
        : { kind: 'over' },
    ]),
    ...reply.none.map(([job, asOf]): [string, JobObservation] => [
      job,
      {
        kind: 'none',
        asOf,
        endedAfter: endedAfter.get(job) ?? 0,
        forgottenEndsUpTo: reply.forgottenEndsUpTo ?? asOf,
      },
    ]),
  ];
}
