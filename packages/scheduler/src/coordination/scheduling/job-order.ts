import { SERVING_ORDER_MS } from '../../constants.ts';
import type { OpenJobs } from '../../storage/open-jobs.ts';
import type { Settings } from '../../settings.ts';
import type { Clock } from '../../transport/clock.ts';
import type { FailingJobs } from '../jobs/failing-jobs.ts';
import type { ShardLoads } from './shard-loads.ts';
import type { Quotas } from '../quota/quotas.ts';
import { type PlannedJob, servingOrder } from './serving-order.ts';

/** The order in which the open jobs' waits are served; reckoned anew after a while, and not at every report. */
export class JobOrder {
  private order: { at: number; jobs: Map<string, number> } = { at: -Infinity, jobs: new Map() };

  constructor(
    private readonly context: {
      settings: Settings;
      clock: Clock;
      /** Time of day, milliseconds. */
      wallClock: () => number;
      openJobs: OpenJobs;
      quotas: Quotas;
      shardLoads: ShardLoads;
      failingJobs: FailingJobs;
    },
  ) {}

  /** Jobs by the place in which their waits are served, reckoned from what every owner follows. */
  positions(): Map<string, number> {
    const now = this.context.clock.now();
    if (now - this.order.at < SERVING_ORDER_MS) return this.order.jobs;
    const jobs = [...this.context.openJobs.jobs.values()].map((job): PlannedJob => {
      const { spec, at } = job.record;
      // One that fails wherever it runs is tried a task at a time: the others do not wait for more of it.
      const tasks = this.context.failingJobs.isFailing(spec.id)
        ? Math.min(1, job.unsettledTasks)
        : job.unsettledTasks;
      return { spec, at, pendingShare: tasks / spec.tasks, tasks, guaranteed: false };
    });
    // A job is guaranteed if it fits into its team's guarantee with the team's earlier unfinished jobs.
    const sums = new Map<string, { cores: number; accelerators: number }>();
    for (const job of [...jobs].sort((a, b) => a.at - b.at)) {
      const { team, cores, accelerators } = job.spec;
      const sum = sums.get(team) ?? { cores: 0, accelerators: 0 };
      sums.set(team, sum);
      sum.cores += job.tasks * cores;
      sum.accelerators += job.tasks * accelerators;
      const guarantee = this.context.quotas.guarantee(team);
      job.guaranteed =
        sum.cores <= guarantee.cores && (accelerators === 0 || sum.accelerators <= guarantee.accelerators);
    }
    // What is coming up counts: the waits reckoned with are served by it too.
    const cores = this.context.shardLoads
      .all()
      .reduce((sum, shard) => sum + shard.schedulableCores + shard.bootingCores, 0);
    const order = servingOrder(jobs, cores, this.context.wallClock(), this.context.settings);
    this.order = { at: now, jobs: order };
    return order;
  }
}
