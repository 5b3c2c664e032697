import { NO_MACHINES, SILENT_PART_MS } from '../../constants.ts';
import type { PartMessage } from '../../protocol/mesh.ts';
import type { Clock } from '../../transport/clock.ts';
import type { Random } from '../../transport/random.ts';

/**
 * What this node knows of every part's load, from its owner's last message. It steers only where new
 * tasks go; nothing that must hold depends on it.
 */
export class Averages {
  private readonly parts = new Map<string, PartMessage & { raised: number; own: boolean; at: number }>();

  constructor(private readonly clock: Clock) {}

  /** `own`: from a part of this very node. False if it is out of date. */
  set(message: PartMessage, own: boolean): boolean {
    // Messages of a former owner that arrive late would undo its successor's.
    if ((this.parts.get(message.part)?.token ?? 0) > message.token) return false;
    this.parts.set(message.part, { ...message, raised: 0, own, at: this.clock.now() });
    return true;
  }

  get(part: string): PartMessage | null {
    return this.parts.get(part) ?? null;
  }

  /** What the part's owner told last, if that is new enough to believe, and since when it is known. */
  fresh(part: string): { message: PartMessage; at: number } | null {
    const known = this.parts.get(part);
    if (!known || this.clock.now() - known.at > SILENT_PART_MS) return null;
    return { message: known, at: known.at };
  }

  all(): PartMessage[] {
    return [...this.parts.values()];
  }

  /**
   * Parts that can do with more, if there are any. One whose owner has fallen silent has likely lost it or is
   * cut off, and what it is given waits for a takeover; where no sibling is heard, that says nothing about any
   * of them. One without machines is not left to chance either: of two drawn, both may have none, and a job
   * is late by its last task.
   */
  private able(candidates: string[]): string[] {
    const since = this.clock.now() - SILENT_PART_MS;
    const fresh = candidates.filter((part) => (this.parts.get(part)?.at ?? -Infinity) >= since);
    const heard = fresh.some((part) => this.parts.get(part)?.own === false) ? fresh : candidates;
    const supplied = heard.filter((part) => (this.parts.get(part)?.average ?? 0) < NO_MACHINES);
    return supplied.length > 0 ? supplied : heard;
  }

  /**
   * The design's choice between parts: one flagged idle (each task sent uses up one of its idle machines),
   * else the lower average of two random parts. Its average then rises by one over its machine count until
   * its owner's next message.
   */
  choose(candidates: string[], random: Random): string {
    const able = this.able(candidates);
    const idle = able.filter((part) => this.parts.get(part)?.idle ?? false);
    const among = idle.length > 0 ? idle : [...able];
    const first = take(among, random);
    const second = idle.length > 0 ? first : (take(among, random) ?? first);
    const chosen = this.average(first) <= this.average(second) ? first : second;
    if (chosen === undefined) throw new Error('no part to choose from');
    const known = this.parts.get(chosen);
    if (known) {
      known.raised += 1 / Math.max(1, known.machines);
      if (known.idle > 0) known.idle--;
    }
    return chosen;
  }

  private average(part: string | undefined): number {
    const known = part === undefined ? undefined : this.parts.get(part);
    return known ? known.average + known.raised : 0;
  }
}

function take(list: string[], random: Random): string | undefined {
  return list.length === 0 ? undefined : list.splice(random.below(list.length), 1)[0];
}
