import { COMMAND_DEADLINE_MS, REACHABILITY_SAMPLE } from '../../constants.ts';
import type { CachedPages } from '../../storage/cached-pages.ts';
import type { MachinesRecord } from '../../storage/records.ts';
import { workerPaths } from '../../protocol/workers.ts';
import { firstNonNull } from '../../transport/first-non-null.ts';
import type { HttpClient } from '../../transport/http-client.ts';
import type { Random } from '../../transport/random.ts';
import type { Membership } from './membership.ts';

/** Finds out whether this node reaches the machines of parts that it does not own. */
export class ReachabilityProber {
  private trying = false;

  constructor(
    private readonly context: {
      http: HttpClient;
      signal: AbortSignal;
      random: Random;
      membership: Membership;
      /** The part's machines, as recorded. */
      machinePages: CachedPages<MachinesRecord>;
      /** A part that this node could not reach is reached again. */
      onReached: (shard: string) => void;
    },
  ) {}

  /**
   * Tries the parts that this node could not reach, so that they can be given back to it, and those of others that
   * their owners do not reach, so that they are given only to a node that does.
   */
  async probeAll(): Promise<void> {
    if (this.trying) return;
    this.trying = true;
    const { membership } = this.context;
    membership.dropReachable();
    const tries = [...membership.unreachableShards, ...membership.unreachedByLeader].map(async (shard) => {
      if (!(await this.isReached(shard))) return;
      if (membership.setReachability(shard, true)) this.context.onReached(shard);
      membership.markReachable(shard);
    });
    await Promise.all(tries);
    this.trying = false;
  }

  private async isReached(shard: string): Promise<boolean> {
    const pages = this.context.machinePages.of(shard);
    const machines = pages.flatMap(([, page]) => Object.values(page.machines));
    const tried: Promise<true | null>[] = [];
    while (tried.length < REACHABILITY_SAMPLE && machines.length > 0) {
      const [machine] = machines.splice(this.context.random.below(machines.length), 1);
      if (machine) tried.push(this.answers(machine.endpoint));
    }
    if (tried.length === 0) return true;
    // The first answer is enough: the others may be waited for in vain.
    return (await firstNonNull(tried)) !== null;
  }

  private async answers(endpoint: string): Promise<true | null> {
    const { http, signal } = this.context;
    const call = { address: endpoint, method: 'GET' as const, path: workerPaths.inspect, signal };
    return http({ ...call, deadlineMs: COMMAND_DEADLINE_MS }).then(
      (answer) => (answer.status === 200 ? true : null),
      () => null,
    );
  }
}
