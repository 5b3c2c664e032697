/**
 * Which nodes know the ends of jobs that this node knows. An end may be reported to users once a majority of
 * the nodes knows it: docs/design.md, "Reported ends", has the reason and the proof.
 */
import { CLOCK_DRIFT, READ_LEASE_MS } from '../../constants.ts';
import type { Revision } from '../../protocol/key-value.ts';
import type { JobId } from '../../protocol/users.ts';
import type { Clock } from '../../transport/clock.ts';

/**
 * Milliseconds for which this node must have known an end before it reports it without a majority. By then
 * every read lease that it granted before has expired, whatever the drift between the two clocks.
 */
export const REPORT_WITHOUT_MAJORITY_MS = READ_LEASE_MS * (1 + 2 * CLOCK_DRIFT);

/** An end that a majority of the nodes is not known to know or to have seen. */
interface UnacknowledgedEnd {
  readonly learnedAt: number;
  /** Revision of the final record; null if it is not known. */
  readonly revision: Revision | null;
  /**
   * Nodes that know the end or have seen that there is no open record any more, or whose earlier process did;
   * this one included.
   */
  readonly knownBy: Set<string>;
}

/** The nodes among which a majority is counted. */
export interface NodeGroup {
  readonly self: string;
  /** How many of the deployment's nodes are a majority of them. */
  readonly majority: number;
}

/**
 * The acknowledgements of the ends that this process knows. An end without an entry here is known by a
 * majority. Bounded by the cache of finished jobs, which calls `drop` for each job that it evicts.
 */
export class EndAcknowledgements {
  private readonly unacknowledged = new Map<JobId, UnacknowledgedEnd>();
  private hasDroppedEnd = false;
  /** The newest revision that each node has stated in its record to have seen. */
  private readonly seenRevisions = new Map<string, Revision>();

  constructor(
    private readonly clock: Clock,
    private readonly nodes: NodeGroup,
  ) {}

  /** This process has learned the job's end from `source`: a peer, or itself if it has read or written it. */
  onLearned(jobId: JobId, source: string, revision: Revision | null): void {
    const knownBy = new Set([this.nodes.self, source]);
    for (const [node, seen] of this.seenRevisions)
      if (revision !== null && revision <= seen) knownBy.add(node);
    if (knownBy.size < this.nodes.majority)
      this.unacknowledged.set(jobId, { learnedAt: this.clock.now(), revision, knownBy });
  }

  /** The node's watch cache has had this revision: it has seen that the jobs that ended until then are over. */
  onSeen(node: string, seen: Revision): void {
    this.seenRevisions.set(node, seen);
    for (const [jobId, { revision }] of this.unacknowledged)
      if (revision !== null && revision <= seen) this.onAcknowledged(jobId, node);
  }

  /** The node knows the job's end, or its earlier process did. */
  onAcknowledged(jobId: JobId, node: string): void {
    const end = this.unacknowledged.get(jobId);
    if (!end) return;
    end.knownBy.add(node);
    if (end.knownBy.size >= this.nodes.majority) this.unacknowledged.delete(jobId);
  }

  /** Whether this node may report the end, which it knows, to users. */
  isReportable(jobId: JobId): boolean {
    const end = this.unacknowledged.get(jobId);
    return !end || this.clock.now() - end.learnedAt >= REPORT_WITHOUT_MAJORITY_MS;
  }

  /** The job's end has been evicted from the cache of finished jobs. */
  drop(jobId: JobId): void {
    if (this.unacknowledged.delete(jobId)) this.hasDroppedEnd = true;
  }

  /** Whether this process has evicted an end without knowing that a majority knows it. */
  get hasDroppedUnacknowledged(): boolean {
    return this.hasDroppedEnd;
  }

  /** The jobs whose ends a majority is not known to know, in the order in which they were learned. */
  jobs(limit: number): JobId[] {
    return [...this.unacknowledged.keys()].slice(0, limit);
  }

  /** Those of these jobs whose ends the node has not acknowledged. */
  jobsUnknownTo(node: string): JobId[] {
    return [...this.unacknowledged].flatMap(([jobId, { knownBy }]) => (knownBy.has(node) ? [] : [jobId]));
  }
}
