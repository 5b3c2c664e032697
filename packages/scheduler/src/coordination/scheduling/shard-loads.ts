/**
 * The loads of all shards as this controller knows them, and the design's choice between shards.
 *
 * A task goes to a shard with an idle machine, else to the one of two random shards with the lower average
 * load. Until the shard's next status, its average then counts as higher by one over its machine count
 * (docs/design.md, "What was kept").
 */
import { LOAD_WITHOUT_MACHINES, SHARD_STATUS_STALE_MS } from '../../constants.ts';
import type { ShardStatus } from '../../protocol/peer-messages.ts';
import type { Clock } from '../../transport/clock.ts';
import type { Random } from '../../transport/random.ts';

/** A choice was asked for among no shards at all. */
export class NoCandidateShards extends Error {
  /** Tells this error from others in logs. */
  readonly code = 'NO_CANDIDATE_SHARDS';

  constructor() {
    super('no candidate shards');
  }
}

interface KnownShard extends ShardStatus {
  /** By how much the tasks sent there since its last status raise its average load. */
  raisedLoad: number;
  /** Whether this controller leads it. */
  readonly isOwn: boolean;
  /** When its last status came, milliseconds. */
  readonly receivedAt: number;
}

/**
 * The last status of every shard. It steers only where new tasks go; nothing that must hold depends on it.
 */
export class ShardLoads {
  private readonly shards = new Map<string, KnownShard>();

  constructor(private readonly clock: Clock) {}

  /** Keeps a shard's status; `isOwn`: this controller leads the shard. False if the status is out of date. */
  set(status: ShardStatus, isOwn: boolean): boolean {
    // Messages of a former leader that arrive late would undo its successor's.
    const known = this.shards.get(status.shard);
    if (known && known.fencingToken > status.fencingToken) return false;
    this.shards.set(status.shard, { ...status, raisedLoad: 0, isOwn, receivedAt: this.clock.now() });
    return true;
  }

  /** The shard's last status, however old. */
  get(shard: string): ShardStatus | null {
    return this.shards.get(shard) ?? null;
  }

  /** The shard's last status and when it came, in milliseconds; null if that is too long ago to rely on. */
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
   * Chooses a shard for one more task: one with an idle machine, of which each task sent uses up one, else
   * the less loaded of two random shards. Throws `NoCandidateShards` where the list is empty.
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
   * The candidates that can do with more tasks, if there are any. The leader of a shard without a fresh
   * status has likely failed or is cut off, and what it is given waits for a failover; where no peer's status
   * is fresh, this node itself may be cut off, and that shows nothing about any of them. A shard without
   * machines is not left to chance either: of two samples, both may have none, and a job is late by its last
   * task.
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
    return known ? known.averageLoad + known.raisedLoad : 0;
  }

  /**
   * Until its next status the shard has one idle machine less, and an average higher by one over its machine
   * count.
   */
  private recordTaskSent(shard: string): void {
    const known = this.shards.get(shard);
    if (!known) return;
    known.raisedLoad += 1 / Math.max(1, known.schedulableMachines);
    if (known.idleMachines > 0) known.idleMachines--;
  }
}

/** Takes a random shard out of the pool; undefined where it is empty. */
function takeSample(pool: string[], random: Random): string | undefined {
  return pool.length === 0 ? undefined : pool.splice(random.below(pool.length), 1)[0];
}
