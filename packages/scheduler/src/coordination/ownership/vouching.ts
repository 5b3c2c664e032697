import { VOUCH_DEADLINE_MS, VOUCH_GAP_MS, VOUCH_MOST } from '../../constants.ts';
import type { MeshMessage } from '../../protocol/mesh.ts';
import type { Clock } from '../../transport/clock.ts';

interface Round {
  id: string;
  /** Siblings that have not answered yet. */
  open: Set<string>;
  /** Jobs that somebody does not vouch for. */
  refused: Set<string>;
  ended: AbortController;
}

/**
 * Lets a node tell that a job is open though nobody reaches the state service: it asks all siblings, after the user's
 * request came, and each says of which jobs it knows that they were accepted, and nothing of their end. A node that has
 * told anybody of a job's end knows of it; one that does not answer might be such a one. docs/design.md, "Users".
 */
export class Vouching {
  private asks = new Map<string, ((vouched: boolean) => void)[]>();
  private round: Round | null = null;
  private rounds = 0;
  private busy = false;

  constructor(
    private readonly context: {
      clock: Clock;
      signal: AbortSignal;
      incarnation: string;
      siblings: string[];
      connectedSiblings: () => string[];
      sendToSibling: (peer: string, message: MeshMessage) => boolean;
      /** Whether this node knows the job as accepted and nothing of its end, from records read since it began. */
      knowsOpen: (job: string) => boolean;
    },
  ) {}

  /** Whether every node of the deployment, this one included, vouches for the job as open; asked from now on. */
  async isOpen(job: string): Promise<boolean> {
    const { siblings, connectedSiblings, knowsOpen } = this.context;
    // Without all of them the answer is known already.
    if (!knowsOpen(job) || connectedSiblings().length < siblings.length) return false;
    const vouched = await new Promise<boolean>((resolve) => {
      this.asks.set(job, [...(this.asks.get(job) ?? []), resolve]);
      void this.askAll();
    });
    return vouched && knowsOpen(job);
  }

  /** One round at a time for all requests that wait: in an outage every user's poll comes here. */
  private async askAll(): Promise<void> {
    if (this.busy) return;
    this.busy = true;
    const { clock, signal } = this.context;
    while (this.asks.size > 0 && !signal.aborted) {
      const asked = [...this.asks].slice(0, VOUCH_MOST);
      for (const [job] of asked) this.asks.delete(job);
      const refused = await this.ask(asked.map(([job]) => job));
      for (const [job, waiting] of asked)
        for (const resolve of waiting) resolve(!(refused?.has(job) ?? true));
      await clock.sleep(VOUCH_GAP_MS, signal);
    }
    this.busy = false;
  }

  /** The jobs that a sibling does not vouch for; null if not all have answered. */
  private async ask(jobs: string[]): Promise<Set<string> | null> {
    const { clock, siblings, sendToSibling } = this.context;
    const round: Round = {
      id: `${this.context.incarnation}/${String(++this.rounds)}`,
      open: new Set(siblings),
      refused: new Set(),
      ended: new AbortController(),
    };
    this.round = round;
    const sent = siblings.every((peer) => sendToSibling(peer, { kind: 'vouch', id: round.id, jobs }));
    if (sent && siblings.length > 0) await clock.sleep(VOUCH_DEADLINE_MS, round.ended.signal);
    this.round = null;
    return round.open.size === 0 ? round.refused : null;
  }

  /** A sibling asks. */
  onAsk(from: string, { id, jobs }: Extract<MeshMessage, { kind: 'vouch' }>): void {
    const refused = jobs.filter((job) => !this.context.knowsOpen(job));
    this.context.sendToSibling(from, { kind: 'vouched', id, refused });
  }

  /** A sibling has answered. */
  onAnswer(from: string, { id, refused }: Extract<MeshMessage, { kind: 'vouched' }>): void {
    if (this.round?.id !== id) return;
    for (const job of refused) this.round.refused.add(job);
    this.round.open.delete(from);
    if (this.round.open.size === 0) this.round.ended.abort();
  }
}
