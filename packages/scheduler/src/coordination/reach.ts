import { COMMAND_DEADLINE_MS, REACH_TRIES } from '../constants.ts';
import type { KnownPages } from '../bookkeeping/known-pages.ts';
import type { MachinesRecord } from '../bookkeeping/records.ts';
import { workerPaths } from '../protocol/workers.ts';
import type { HttpClient } from '../transport/http-client.ts';
import type { Random } from '../transport/random.ts';
import type { Membership } from './membership.ts';

/** Finds out whether this node reaches the machines of parts that it does not own. */
export class Reach {
  constructor(
    private readonly context: {
      http: HttpClient;
      signal: AbortSignal;
      random: Random;
      membership: Membership;
      /** The part's machines, as recorded. */
      machinePages: KnownPages<MachinesRecord>;
    },
  ) {}

  /** A part that this node could not reach is tried again, so that it can be given to it. */
  async tryReach(): Promise<void> {
    for (const part of this.context.membership.unreached) {
      const pages = this.context.machinePages.of(part);
      const machines = pages.flatMap(([, page]) => Object.values(page.machines));
      const tried: Promise<boolean>[] = [];
      while (tried.length < REACH_TRIES && machines.length > 0) {
        const [machine] = machines.splice(this.context.random.below(machines.length), 1);
        if (machine) tried.push(this.answers(machine.endpoint));
      }
      const answered = await Promise.all(tried);
      if (tried.length === 0 || answered.includes(true)) this.context.membership.setReach(part, true);
    }
  }

  private async answers(endpoint: string): Promise<boolean> {
    const { http, signal } = this.context;
    const call = { address: endpoint, method: 'GET' as const, path: workerPaths.inspect, signal };
    return http({ ...call, deadlineMs: COMMAND_DEADLINE_MS }).then(
      (answer) => answer.status === 200,
      () => false,
    );
  }
}
