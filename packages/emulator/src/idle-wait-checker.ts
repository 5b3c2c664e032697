/** The rule `idle_wait`: once all faults are over, no job stays pending beside room that its rules allow it. */
import type { InvariantChecker } from './invariant-checker.ts';
import { IDLE_WAIT_MS, ROUNDING } from './constants.ts';
import type { Worker } from './worker.ts';
import type { Work, Workload } from './workload.ts';

/** What a machine has free, and what job rules refer to. */
export interface FreeMachineCapacity {
  zone: string;
  type: string;
  spot: boolean;
  /** Free CPUs. */
  cores: number;
  /** Free memory, gigabytes. */
  ramGb: number;
}

/** A job with pending tasks: where its other tasks are, and what its team may still use. */
export interface PendingJob {
  work: Work;
  /** Tasks that are neither on a machine nor have a result. */
  waiting: number;
  /** By zone, how many of its tasks are on machines. */
  inZones: Map<string, number>;
  /** CPUs of its team's quota that are not in use; infinite without a quota. */
  teamLeft: number;
}

/** A machine that the job's rules allow, with room for one more task within the team's quota; null if there is none. */
export function findMachineFor(
  { work, waiting, inZones, teamLeft }: PendingJob,
  machines: Iterable<FreeMachineCapacity>,
): FreeMachineCapacity | null {
  const { spec } = work;
  if (waiting <= 0 || teamLeft + ROUNDING < spec.cores) return null;
  const half = Math.ceil(spec.tasks / 2);
  for (const machine of machines) {
    if (machine.cores + ROUNDING < spec.cores || machine.ramGb + ROUNDING < spec.ramGb) continue;
    if (spec.types !== null && !spec.types.includes(machine.type)) continue;
    if (spec.zone !== null && spec.zone !== machine.zone) continue;
    if (machine.spot && !spec.spot) continue;
    const isElsewhere = [...inZones].some(([zone, count]) => zone !== machine.zone && count > 0);
    if (spec.oneZone && isElsewhere) continue;
    if (spec.spread && (inZones.get(machine.zone) ?? 0) >= half) continue;
    return machine;
  }
  return null;
}

/**
 * Reports a job that was pending for `IDLE_WAIT_MS` at every check while a machine that fits had room within its team's
 * quota. A check without such room, or a start of the job, begins its time anew.
 */
export class IdleWaitChecker {
  /** By job, since when each check found room, and how many of its tasks had been started by then. */
  private readonly waitsByJob = new Map<string, { at: number; started: number }>();

  constructor(
    private readonly checker: InvariantChecker,
    private readonly workload: Workload,
    /** Quotas by team, in CPUs; 0 or none: unlimited. */
    private readonly limits: Map<string, number>,
  ) {}

  /** One check; called at intervals while no fault goes on. */
  check(now: number, workers: Iterable<Worker>): void {
    const machines: FreeMachineCapacity[] = [];
    const onMachines = new Map<string, { count: number; zones: Map<string, number> }>();
    for (const worker of workers) {
      const { zone, spot, type } = worker.machine;
      const free = worker.freeCapacity();
      machines.push({ zone, spot, type: type.name, ...free });
      for (const id of worker.jobsOn()) {
        const job = onMachines.get(id) ?? { count: 0, zones: new Map<string, number>() };
        job.count++;
        job.zones.set(zone, (job.zones.get(zone) ?? 0) + 1);
        onMachines.set(id, job);
      }
    }
    for (const work of this.workload.values()) {
      const { id, team, tasks } = work.spec;
      const isOpen = this.checker.isAccepted(id) && this.checker.finalState(id) === null;
      // One with a mistake is retried with growing backoff, and one being cancelled need not run.
      if (!isOpen || work.broken || this.checker.isCancelRequested(id)) {
        this.waitsByJob.delete(id);
        continue;
      }
      const runningTasks = onMachines.get(id);
      const quota = this.limits.get(team) ?? 0;
      const pending: PendingJob = {
        work,
        waiting: tasks - work.results.size - (runningTasks?.count ?? 0),
        inZones: runningTasks?.zones ?? new Map<string, number>(),
        teamLeft: quota > 0 ? quota - this.checker.usedCores(team) : Infinity,
      };
      const machine = findMachineFor(pending, machines);
      const started = work.results.size + (runningTasks?.count ?? 0);
      const known = this.waitsByJob.get(id);
      const hasProgressed = known !== undefined && known.started !== started;
      if (!machine) this.waitsByJob.delete(id);
      else if (!known || hasProgressed) this.waitsByJob.set(id, { at: now, started });
      else if (now - known.at >= IDLE_WAIT_MS) {
        this.checker.reportViolation(
          'idle_wait',
          [id, pending.waiting, machine.cores, machine.zone],
          `${id}: ${String(pending.waiting)} tasks wait beside ${String(machine.cores)} CPUs in ${machine.zone}`,
        );
        this.waitsByJob.set(id, { at: now, started });
      }
    }
  }
}
