/** The order in which the pending slices of a shard are served. */
import type { Slice } from '../../storage/slice.ts';

/** The slices of a shard, sorted only when the serving order or the slices change, not at every heartbeat. */
export class PendingSlices {
  private sorted: Slice[] = [];
  /** The serving order by which `sorted` is sorted; null once the slices have changed. */
  private sortedBy: ReadonlyMap<string, number> | null = null;

  /** `servingOrder` returns the jobs' positions by id, and the same map until the order is recomputed. */
  constructor(
    private readonly slices: ReadonlyMap<string, Slice>,
    private readonly servingOrder: () => ReadonlyMap<string, number>,
  ) {}

  /** Called when slices were added or removed; the next use sorts them again. */
  invalidate(): void {
    this.sortedBy = null;
  }

  /** Whether any task of the shard is pending. */
  get hasPendingTasks(): boolean {
    return [...this.slices.values()].some((slice) => slice.pending.length > 0);
  }

  /**
   * The slices with pending tasks, in serving order. Jobs without a position yet come last, by submission
   * time.
   */
  inServingOrder(): Slice[] {
    const order = this.servingOrder();
    if (this.sortedBy !== order) this.sort(order);
    return this.sorted.filter((slice) => slice.pending.length > 0);
  }

  private sort(order: ReadonlyMap<string, number>): void {
    const entries = [...this.slices.values()].map((slice) => ({
      slice,
      position: order.get(slice.spec.id) ?? order.size,
    }));
    entries.sort((a, b) => a.position - b.position || a.slice.at - b.slice.at);
    this.sorted = entries.map((entry) => entry.slice);
    this.sortedBy = order;
  }
}
