/** Whether this node may still act as the leader of a shard. */
import type { ShardContext } from './shard-context.ts';

/** One leadership of a shard: from the record that shows it until the records show another one. */
export class ShardLeadership {
  private superseded = false;

  constructor(
    private readonly shard: string,
    private readonly context: ShardContext,
    /** Aborted as soon as the records show another leadership, and at the end of the process. */
    readonly signal: AbortSignal,
  ) {}

  /** Whether the records still show this leadership. */
  get isActive(): boolean {
    return !this.signal.aborted;
  }

  /**
   * Whether a machine or a peer has shown a higher fencing token, hence a newer leader. This leader then
   * starts no tasks and fences no machines, but answers heartbeats until the records show the newer leader.
   */
  get isSuperseded(): boolean {
    return this.superseded;
  }

  /** A machine or a peer has shown a higher fencing token: this leader never starts a task again. */
  markSuperseded(): void {
    if (!this.superseded) this.context.onSuperseded(this.shard);
    this.superseded = true;
  }

  /**
   * Whether this leader may start tasks and fence machines: its leader lease is valid, and it is not
   * superseded.
   */
  hasLeaderLease(): boolean {
    return !this.superseded && this.context.hasLeaderLease();
  }
}
