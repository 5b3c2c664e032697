/**
 * The rule `idle_wait`: once all faults are over, no job stays pending for `IDLE_WAIT_MS` while a machine
 * that it may use has capacity.
 */
import type { InvariantChecker } from './invariant-checker.ts';
import { IDLE_WAIT_MS, ROUNDING } from './constants.ts';
import type { Worker } from './worker.ts';
import type { Work, Workload } from './workload.ts';

/** Free capacity of a machine, and the properties that placement rules refer to. */
export interface FreeMachineCapacity {
  zone: string;
  type: string;
  spot: boolean;
  /** Free CPUs. */
  cores: number;
  /** Free memory, gigabytes. */
  ramGb: number;
}

/** A job, its pending tasks, the zones of its tasks on machines, and the unused quota of its team. */
export interface PendingJob {
  work: Work;
  /** Pending tasks: those that are not on a machine and have no result. */
  waiting: number;
  /** By zone: how many of its tasks are on machines there. */
  inZones: Map<string, number>;
  /** CPUs of its team's quota that are not in use; infinite without a quota. */
  teamLeft: number;
}

/**
 * Finds a machine that the job may use and that can run one more task within the team's quota; null if none
 * can.
 */
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
 * Reports a job that was pending for `IDLE_WAIT_MS` while every check found a machine for it within its
 * team's quota. The time starts again when a check finds no machine, or when the number of started tasks of
 * the job changes.
 */
export class IdleWaitChecker {
  /** By job: since when every check has found a machine, and how many of its tasks had started by then. */
  private readonly waitsByJob = new Map<string, { at: number; started: number }>();

  constructor(
    private readonly checker: InvariantChecker,
    private readonly workload: Workload,
    /** Quotas by team, in CPUs; unlimited if 0 or missing. */
    private readonly limits: Map<string, number>,
  ) {}

  /** Checks all jobs once. Called at intervals while no fault is active. */
  check(now: number, workers: Iterable<Worker>): void {
    const machines: FreeMachineCapacity[] = [];
    const onMachines = new Map<string, { count: number; zones: Map<string, number> }>();
    for (const worker of workers) {
      const { zone, spot, type } = worker.machine;
      const free = worker.freeCapacity();
      machines.push({ zone, spot, type: type.name, ...free });
      for (const id of worker.jobIds()) {
        const job = onMachines.get(id) ?? { count: 0, zones: new Map<string, number>() };
        job.count++;
        job.zones.set(zone, (job.zones.get(zone) ?? 0) + 1);
        onMachines.set(id, job);
      }
    }
    for (const work of this.workload.values()) {
      const { id, team, tasks } = work.spec;
      const isOpen = this.checker.isAccepted(id) && this.checker.finalState(id) === null;
      // A broken job is retried with increasing backoff, and a job that is being cancelled need not run.
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
          `${id}: ${String(pending.waiting)} tasks pending while a machine in ${machine.zone} has ${String(machine.cores)} CPUs free`,
        );
        this.waitsByJob.set(id, { at: now, started });
      }
    }
  }
}
