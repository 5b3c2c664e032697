/** The serving order of all open jobs, cached for a short time because every scheduling round needs it. */
import { SERVING_ORDER_MS } from '../../constants.ts';
import type { OpenJobs } from '../../storage/open-jobs.ts';
import type { Settings } from '../../settings.ts';
import type { Clock } from '../../transport/clock.ts';
import type { FailingJobs } from '../jobs/failing-jobs.ts';
import type { Quotas } from '../quota/quotas.ts';
import { type PlannedJob, servingOrder } from './serving-order.ts';
import type { ShardLoads } from './shard-loads.ts';

/** Computes the serving order from data that every leader follows, at most once in `SERVING_ORDER_MS`. */
export class JobOrder {
  private cached: { readonly at: number; readonly positions: Map<string, number> } = {
    at: -Infinity,
    positions: new Map(),
  };

  constructor(
    private readonly context: {
      readonly settings: Settings;
      readonly clock: Clock;
      /** Time of day, milliseconds. */
      readonly wallClock: () => number;
      readonly openJobs: OpenJobs;
      readonly quotas: Quotas;
      readonly shardLoads: ShardLoads;
      readonly failingJobs: FailingJobs;
    },
  ) {}

  /** The jobs' positions in the serving order, by id. Returns the same map until the order is recomputed. */
  positions(): Map<string, number> {
    const now = this.context.clock.now();
    if (now - this.cached.at < SERVING_ORDER_MS) return this.cached.positions;
    const jobs = this.plannedJobs();
    this.markGuaranteed(jobs);
    const { wallClock, settings } = this.context;
    const positions = servingOrder(jobs, { cores: this.totalCores(), now: wallClock(), settings });
    this.cached = { at: now, positions };
    return positions;
  }

  private plannedJobs(): PlannedJob[] {
    const { openJobs, failingJobs } = this.context;
    return [...openJobs.jobs.values()].map(({ record, unsettledTasks }) => {
      const { spec, at } = record;
      // A job that fails wherever it runs is tried one task at a time, so other jobs wait for one task of it
      // only.
      const tasks = failingJobs.isFailing(spec.id) ? Math.min(1, unsettledTasks) : unsettledTasks;
      return { spec, at, pendingShare: tasks / spec.tasks, tasks, guaranteed: false };
    });
  }

  /** Marks each job that fits into its team's guarantee together with the team's earlier unfinished jobs. */
  private markGuaranteed(jobs: readonly PlannedJob[]): void {
    const sums = new Map<string, { cores: number; accelerators: number }>();
    const bySubmission = [...jobs].sort((a, b) => a.at - b.at);
    for (const job of bySubmission) {
      const { team, cores, accelerators } = job.spec;
      const sum = sums.get(team) ?? { cores: 0, accelerators: 0 };
      sums.set(team, sum);
      sum.cores += job.tasks * cores;
      sum.accelerators += job.tasks * accelerators;
      const guarantee = this.context.quotas.guarantee(team);
      job.guaranteed =
        sum.cores <= guarantee.cores && (accelerators === 0 || sum.accelerators <= guarantee.accelerators);
    }
  }

  /**
   * CPUs of the machines of all shards. Booting machines count, because pending tasks will run on them too.
   */
  private totalCores(): number {
    return this.context.shardLoads
      .all()
      .reduce((sum, shard) => sum + shard.schedulableCores + shard.bootingCores, 0);
  }
}
