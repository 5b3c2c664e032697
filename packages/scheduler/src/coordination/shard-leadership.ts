/** Whether this node may still act as the leader of a shard. */
import type { ShardContext } from './shard-context.ts';

/** The leadership of one shard, from the record that shows it to the one that shows another leader. */
export class ShardLeadership {
  private superseded = false;

  constructor(
    private readonly shard: string,
    private readonly context: ShardContext,
    /** Aborted as soon as the records show another leader. */
    readonly signal: AbortSignal,
  ) {}

  /** Whether the records still show this leadership. */
  get isActive(): boolean {
    return !this.signal.aborted;
  }

  /**
   * Whether a machine or a peer has shown a higher fencing token, hence a newer leader. This one then starts
   * no task and fences no machine, but answers heartbeats until the records show the other.
   */
  get isSuperseded(): boolean {
    return this.superseded;
  }

  /** A machine or a peer has shown a higher fencing token: this leader starts nothing any more, for good. */
  markSuperseded(): void {
    if (!this.superseded) this.context.onSuperseded(this.shard);
    this.superseded = true;
  }

  /** Whether this leader may start tasks and ask machines to accept it. */
  hasLeaderLease(): boolean {
    return !this.superseded && this.context.hasLeaderLease();
  }
}
