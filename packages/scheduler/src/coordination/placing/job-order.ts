import { ORDER_MS } from '../../constants.ts';
import type { OpenJobs } from '../../bookkeeping/open-jobs.ts';
import type { Settings } from '../../settings.ts';
import type { Clock } from '../../transport/clock.ts';
import type { FailingJobs } from '../jobs/failing-jobs.ts';
import type { Averages } from './averages.ts';
import type { Limits } from '../limits/limits.ts';
import { type Planned, servingOrder } from './waiting.ts';

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
      limits: Limits;
      averages: Averages;
      failing: FailingJobs;
    },
  ) {}

  /** Jobs by the place in which their waits are served, reckoned from what every owner follows. */
  places(): Map<string, number> {
    const now = this.context.clock.now();
    if (now - this.order.at < ORDER_MS) return this.order.jobs;
    const jobs = [...this.context.openJobs.jobs.values()].map((job): Planned => {
      const { spec, at } = job.record;
      // One that fails wherever it runs is tried a task at a time: the others do not wait for more of it.
      const tasks = this.context.failing.isFailing(spec.id) ? Math.min(1, job.left) : job.left;
      return { spec, at, left: tasks / spec.tasks, tasks, guaranteed: false };
    });
    // A job is guaranteed if it fits into its team's guarantee with the team's earlier unfinished jobs.
    const sums = new Map<string, { cores: number; accelerators: number }>();
    for (const job of [...jobs].sort((a, b) => a.at - b.at)) {
      const { team, cores, accelerators } = job.spec;
      const sum = sums.get(team) ?? { cores: 0, accelerators: 0 };
      sums.set(team, sum);
      sum.cores += job.tasks * cores;
      sum.accelerators += job.tasks * accelerators;
      const guarantee = this.context.limits.guarantee(team);
      job.guaranteed =
        sum.cores <= guarantee.cores && (accelerators === 0 || sum.accelerators <= guarantee.accelerators);
    }
    // What is coming up counts: the waits reckoned with are served by it too.
    const cores = this.context.averages.all().reduce((sum, part) => sum + part.cores + part.coming, 0);
    const order = servingOrder(jobs, cores, this.context.wallClock(), this.context.settings);
    this.order = { at: now, jobs: order };
    return order;
  }
}
