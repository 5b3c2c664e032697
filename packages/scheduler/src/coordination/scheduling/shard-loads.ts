/**
 * The loads of all shards as this controller knows them, and the policy that chooses a shard for a task.
 *
 * A task goes to a shard with an idle machine. Without one, it goes to the one of two random shards with the
 * lower average load. Each task sent to a shard adds one divided by the shard's machine count to its average
 * load, until the shard's next status arrives (docs/design.md, "What was kept").
 */
import { LOAD_WITHOUT_MACHINES, SHARD_STATUS_STALE_MS } from '../../constants.ts';
import type { ShardStatus } from '../../protocol/peer-messages.ts';
import type { Clock } from '../../transport/clock.ts';
import type { Random } from '../../transport/random.ts';

/** Thrown when a shard is to be chosen from an empty list of candidates. */
export class NoCandidateShards extends Error {
  /** Identifies this error in logs. */
  readonly code = 'NO_CANDIDATE_SHARDS';

  constructor() {
    super('no candidate shards');
  }
}

interface KnownShard extends ShardStatus {
  /** What the tasks sent to the shard since its last status add to its average load. */
  addedLoad: number;
  /** Whether this controller leads the shard. */
  readonly isOwn: boolean;
  /** When its last status was received, in milliseconds of the clock. */
  readonly receivedAt: number;
}

/**
 * The last status of every shard. Statuses guide decisions, such as where new tasks go, but no invariant
 * depends on them.
 */
export class ShardLoads {
  private readonly shards = new Map<string, KnownShard>();

  constructor(private readonly clock: Clock) {}

  /**
   * Stores a shard's status. `isOwn`: whether this controller leads the shard. Returns false, and stores
   * nothing, if a former leader sent the status.
   */
  set(status: ShardStatus, isOwn: boolean): boolean {
    // A late status of a former leader must not replace its successor's.
    const known = this.shards.get(status.shard);
    if (known && known.fencingToken > status.fencingToken) return false;
    this.shards.set(status.shard, { ...status, addedLoad: 0, isOwn, receivedAt: this.clock.now() });
    return true;
  }

  /** The shard's last status, regardless of its age. */
  get(shard: string): ShardStatus | null {
    return this.shards.get(shard) ?? null;
  }

  /**
   * The shard's last status and when it was received, in milliseconds of the clock; null if it is too old to
   * rely on.
   */
  freshStatus(shard: string): { status: ShardStatus; receivedAt: number } | null {
    const known = this.shards.get(shard);
    if (!known || this.clock.now() - known.receivedAt > SHARD_STATUS_STALE_MS) return null;
    return { status: known, receivedAt: known.receivedAt };
  }

  /** The last status of every shard that has sent one. */
  all(): ShardStatus[] {
    return [...this.shards.values()];
  }

  /**
   * Chooses a shard for one more task: a shard with an idle machine or, without one, the less loaded of two
   * random shards. Counts the task as sent to that shard. Throws `NoCandidateShards` if the list is empty.
   */
  choose(candidates: readonly string[], random: Random): string {
    const usable = this.usable(candidates);
    const idle = usable.filter((shard) => this.hasIdleMachines(shard));
    const pool = idle.length > 0 ? idle : [...usable];
    const first = takeSample(pool, random);
    if (first === undefined) throw new NoCandidateShards();
    const second = idle.length > 0 ? first : (takeSample(pool, random) ?? first);
    const chosen = this.loadOf(first) <= this.loadOf(second) ? first : second;
    this.recordTaskSent(chosen);
    return chosen;
  }

  /**
   * The candidates that have a fresh status and machines, if there are any. The leader of a shard without a
   * fresh status has likely failed or is cut off, and tasks sent to it wait for a failover. If no peer's
   * status is fresh, this node itself may be cut off. Then the missing statuses say nothing about the peers,
   * and all candidates count as reachable. Shards without machines are excluded here because two random
   * samples may both have none, and a job is late if its last task is late.
   */
  private usable(candidates: readonly string[]): readonly string[] {
    const freshSince = this.clock.now() - SHARD_STATUS_STALE_MS;
    const fresh = candidates.filter(
      (shard) => (this.shards.get(shard)?.receivedAt ?? -Infinity) >= freshSince,
    );
    const isPeerHeard = fresh.some((shard) => this.shards.get(shard)?.isOwn === false);
    const reachable = isPeerHeard ? fresh : candidates;
    const withMachines = reachable.filter(
      (shard) => (this.shards.get(shard)?.averageLoad ?? 0) < LOAD_WITHOUT_MACHINES,
    );
    return withMachines.length > 0 ? withMachines : reachable;
  }

  private hasIdleMachines(shard: string): boolean {
    const known = this.shards.get(shard);
    return known !== undefined && known.idleMachines > 0;
  }

  private loadOf(shard: string): number {
    const known = this.shards.get(shard);
    return known ? known.averageLoad + known.addedLoad : 0;
  }

  /**
   * Until the shard's next status, subtracts one from its idle machines and adds one divided by its machine
   * count to its average load.
   */
  private recordTaskSent(shard: string): void {
    const known = this.shards.get(shard);
    if (!known) return;
    known.addedLoad += 1 / Math.max(1, known.schedulableMachines);
    if (known.idleMachines > 0) known.idleMachines--;
  }
}

/** Removes and returns a random shard of the pool; undefined if the pool is empty. */
function takeSample(pool: string[], random: Random): string | undefined {
  return pool.length === 0 ? undefined : pool.splice(random.below(pool.length), 1)[0];
}
