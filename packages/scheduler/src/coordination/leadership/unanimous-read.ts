import { UNANIMOUS_READ_DEADLINE_MS, UNANIMOUS_READ_GAP_MS, UNANIMOUS_READ_BATCH } from '../../constants.ts';
import type { Int } from '../../protocol/json.ts';
import type { ObservationReply, ObservationRequest, PeerMessage } from '../../protocol/peer-messages.ts';
import type { Clock } from '../../transport/clock.ts';

/**
 * What a node says of a job that somebody wants to tell is open: its record's version as it knows it, that it knows of
 * the job's end, or that it has no such record as of its copy's revision.
 */
export type JobObservation = { kind: 'open'; version: Int } | { kind: 'over' } | { kind: 'none'; asOf: Int };

/**
 * Whether the job is open, by the words of all nodes of the deployment. One must know it as open, at some version. A node
 * that has no record of it has either seen it go, or has not seen it come: it has not, where its copy is older than that
 * version. Then no process of that node can have told of its end: an end told is remembered by the process that told it,
 * and what the processes before that one knew was committed before it read its copy. docs/design.md, "Users".
 */
export function isOpenByAll(observations: JobObservation[]): boolean {
  let newest: Int = 0;
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

interface Round {
  id: string;
  /** Siblings that have not answered yet. */
  unanswered: Set<string>;
  /** What each node says, by job. */
  observations: Map<string, JobObservation[]>;
  ended: AbortController;
}

/**
 * Lets a node tell that a job is open though nobody reaches the state service: it asks all siblings, after the user's
 * request came, and each says what it knows of the job. A node that has told anybody of a job's end knows of it; one that
 * does not answer might be such a one.
 */
export class UnanimousRead {
  private requests = new Map<string, ((vouched: boolean) => void)[]>();
  private round: Round | null = null;
  private rounds = 0;
  private busy = false;

  constructor(
    private readonly context: {
      clock: Clock;
      signal: AbortSignal;
      incarnation: string;
      peers: string[];
      connectedPeers: () => string[];
      sendToPeer: (peer: string, message: PeerMessage) => boolean;
      /** What this node says of the job; null while it has not read its copy whole since it began. */
      observeJob: (job: string) => JobObservation | null;
    },
  ) {}

  /** Whether the job is open by the words of every node of the deployment, this one included; asked from now on. */
  async isJobOpen(job: string): Promise<boolean> {
    const { peers, connectedPeers, observeJob: observation } = this.context;
    const known = observation(job)?.kind ?? 'over';
    // Without all of them, or with this one's no, the answer is known already.
    if (known === 'over' || connectedPeers().length < peers.length) return false;
    return new Promise<boolean>((resolve) => {
      this.requests.set(job, [...(this.requests.get(job) ?? []), resolve]);
      void this.runRounds();
    });
  }

  /** One round at a time for all requests that wait: in an outage every user's poll comes here. */
  private async runRounds(): Promise<void> {
    if (this.busy) return;
    this.busy = true;
    const { clock, signal } = this.context;
    while (this.requests.size > 0 && !signal.aborted) {
      const asked = [...this.requests].slice(0, UNANIMOUS_READ_BATCH);
      for (const [job] of asked) this.requests.delete(job);
      const observations = await this.runRound(asked.map(([job]) => job));
      for (const [job, waiting] of asked) {
        const own = this.context.observeJob(job);
        const vouched =
          observations !== null && own !== null && isOpenByAll([own, ...(observations.get(job) ?? [])]);
        for (const resolve of waiting) resolve(vouched);
      }
      await clock.sleep(UNANIMOUS_READ_GAP_MS, signal);
    }
    this.busy = false;
  }

  /** What the siblings say of the jobs; null if not all have answered. */
  private async runRound(jobs: string[]): Promise<Map<string, JobObservation[]> | null> {
    const { clock, peers, sendToPeer } = this.context;
    const round: Round = {
      id: `${this.context.incarnation}/${String(++this.rounds)}`,
      unanswered: new Set(peers),
      observations: new Map(jobs.map((job) => [job, []])),
      ended: new AbortController(),
    };
    this.round = round;
    const sent = peers.every((peer) =>
      sendToPeer(peer, { kind: 'observationRequest', requestId: round.id, jobIds: jobs }),
    );
    if (sent && peers.length > 0) await clock.sleep(UNANIMOUS_READ_DEADLINE_MS, round.ended.signal);
    this.round = null;
    return round.unanswered.size === 0 ? round.observations : null;
  }

  /** A sibling asks. */
  onRequest(from: string, { requestId: id, jobIds: jobs }: ObservationRequest): void {
    const answer: ObservationReply = {
      kind: 'observationReply',
      requestId: id,
      open: [],
      over: [],
      none: [],
    };
    for (const job of jobs) {
      const observation = this.context.observeJob(job);
      if (!observation || observation.kind === 'over') answer.over.push(job);
      else if (observation.kind === 'open') answer.open.push([job, observation.version]);
      else answer.none.push([job, observation.asOf]);
    }
    this.context.sendToPeer(from, answer);
  }

  /** A sibling has answered. */
  onReply(from: string, { requestId: id, open, over, none }: ObservationReply): void {
    const { round } = this;
    if (round?.id !== id || !round.unanswered.delete(from)) return;
    for (const [job, version] of open) round.observations.get(job)?.push({ kind: 'open', version });
    for (const job of over) round.observations.get(job)?.push({ kind: 'over' });
    for (const [job, asOf] of none) round.observations.get(job)?.push({ kind: 'none', asOf });
    if (round.unanswered.size === 0) round.ended.abort();
  }
}
