/**
 * Unanimous reads: while no node reaches the key-value store, the observations of all nodes together can show
 * that a job is open. docs/design.md, "User requests", has the proof.
 */
import { UNANIMOUS_READ_DEADLINE_MS, UNANIMOUS_READ_GAP_MS, UNANIMOUS_READ_BATCH } from '../../constants.ts';
import type { ExactInteger } from '../../protocol/json.ts';
import type { ObservationReply, ObservationRequest } from '../../protocol/peer-messages.ts';
import type { Clock } from '../../transport/clock.ts';
import type { PeerChannel } from '../peer-channel.ts';
import type { NodeIdentity } from './membership.ts';

/**
 * What a node knows of a job: the version of its open record, that the job is over, or that its watch cache
 * has no open record of the job as of a revision.
 */
export type JobObservation =
  { kind: 'open'; version: ExactInteger } | { kind: 'over' } | { kind: 'none'; asOf: ExactInteger };

/** Knows what this node has observed of jobs. */
export interface JobObserver {
  /** What this node knows of the job; null while its watch cache is not complete. */
  observe(job: string): JobObservation | null;
}

/** What {@link UnanimousRead} needs of its node. */
export interface UnanimousReadContext {
  readonly clock: Clock;
  /** Aborted at the end of the process. */
  readonly signal: AbortSignal;
  /** Its incarnation makes the ids of this process's requests unique. */
  readonly self: NodeIdentity;
  readonly peers: PeerChannel;
  readonly jobView: JobObserver;
}

/**
 * Whether a job is open according to the observations of all nodes. At least one node must have an open
 * record; the newest version counts. A node without a record has either seen the record deleted or not yet
 * seen it created. The latter is certain if its watch cache is older than that version. Then no process of
 * that node can have reported the job's end to a user: a process remembers the ends that it has reported, and
 * what earlier processes knew was committed before this process read its watch cache.
 */
function isOpenByAll(observations: readonly JobObservation[]): boolean {
  let newest: ExactInteger = 0;
  for (const observation of observations)
    if (observation.kind === 'open' && observation.version > newest) newest = observation.version;
  return (
    newest > 0 &&
    observations.every(
      (observation) =>
        observation.kind === 'open' || (observation.kind === 'none' && observation.asOf < newest),
    )
  );
}

/** One request to all peers. */
interface Round {
  readonly id: string;
  /** Peers that have not replied yet. */
  readonly unanswered: Set<string>;
  /** The peers' observations, by job. */
  readonly observations: Map<string, JobObservation[]>;
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
  private readonly waitingRequests = new Map<string, ((isOpen: boolean) => void)[]>();
  private round: Round | null = null;
  private roundCount = 0;
  private isRunning = false;

  constructor(private readonly context: UnanimousReadContext) {}

  /** Whether observations of all nodes, this one included, made after this call show that the job is open. */
  async isJobOpen(job: string): Promise<boolean> {
    const { jobView, peers } = this.context;
    const known = jobView.observe(job)?.kind ?? 'over';
    // All nodes must take part. The read cannot succeed if a peer is not connected, or if this node has seen
    // the job's end or cannot observe the job.
    if (known === 'over' || peers.connected().length < peers.names.length) return false;
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
        const isOpen = this.isOpenAfterRound(job, observations);
        for (const resolve of resolvers) resolve(isOpen);
      }
      await clock.sleep(UNANIMOUS_READ_GAP_MS, signal);
    }
    this.isRunning = false;
  }

  private isOpenAfterRound(job: string, observations: Map<string, JobObservation[]> | null): boolean {
    const own = this.context.jobView.observe(job);
    return observations !== null && own !== null && isOpenByAll([own, ...(observations.get(job) ?? [])]);
  }

  /** The peers' observations of the jobs; null if not all peers have replied in time. */
  private async runRound(jobs: string[]): Promise<Map<string, JobObservation[]> | null> {
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

  /** A peer asks what this node knows of jobs. A job that cannot be observed counts as over. */
  onRequest(from: string, { requestId, jobIds }: ObservationRequest): void {
    const reply: ObservationReply = { kind: 'observationReply', requestId, open: [], over: [], none: [] };
    for (const job of jobIds) {
      const observation = this.context.jobView.observe(job);
      if (!observation || observation.kind === 'over') reply.over.push(job);
      else if (observation.kind === 'open') reply.open.push([job, observation.version]);
      else reply.none.push([job, observation.asOf]);
    }
    this.context.peers.send(from, reply);
  }

  /** A peer has replied. Replies to earlier rounds and repeated ones are dropped. */
  onReply(from: string, { requestId, open, over, none }: ObservationReply): void {
    const { round } = this;
    if (round?.id !== requestId || !round.unanswered.delete(from)) return;
    for (const [job, version] of open) round.observations.get(job)?.push({ kind: 'open', version });
    for (const job of over) round.observations.get(job)?.push({ kind: 'over' });
    for (const [job, asOf] of none) round.observations.get(job)?.push({ kind: 'none', asOf });
    if (round.unanswered.size === 0) round.ended.abort();
  }
}
