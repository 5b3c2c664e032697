import type { PartMessage } from '../protocol/mesh.ts';
import type { Random } from '../transport/random.ts';

/**
 * What this node knows of every part's load, from its owner's last message. It steers only where new
 * tasks go; nothing that must hold depends on it.
 */
export class Averages {
  private readonly parts = new Map<string, PartMessage & { raised: number }>();

  set(message: PartMessage): void {
    // Messages of a former owner that arrive late would undo its successor's.
    if ((this.parts.get(message.part)?.token ?? 0) > message.token) return;
    this.parts.set(message.part, { ...message, raised: 0 });
  }

  get(part: string): PartMessage | null {
    return this.parts.get(part) ?? null;
  }

  all(): PartMessage[] {
    return [...this.parts.values()];
  }

  /**
   * The design's choice between parts: one flagged idle (each task sent uses up one of its idle machines), else the lower average of two random parts. Its
   * average then rises by one over its machine count until its owner's next message.
   */
  choose(candidates: string[], random: Random): string {
    const idle = candidates.filter((part) => this.parts.get(part)?.idle ?? false);
    const among = idle.length > 0 ? idle : [...candidates];
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
