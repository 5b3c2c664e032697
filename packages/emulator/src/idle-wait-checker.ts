import type { InvariantChecker } from './invariant-checker.ts';
import { IDLE_WAIT_MS, ROUNDING } from './constants.ts';
import type { Worker } from './worker.ts';
import type { Work, Workload } from './workload.ts';

/** A machine with room beside what is on it, as far as a job's wait is concerned. */
export interface MachineRoom {
  zone: string;
  type: string;
  spot: boolean;
  cores: number;
  ramGb: number;
}

/** What is true of a job that waits: where its other tasks are, and what its team may still use. */
export interface PendingJob {
  work: Work;
  /** Tasks that are neither on a machine nor have a result. */
  waiting: number;
  /** By zone, how many of its tasks are on machines. */
  inZones: Map<string, number>;
  /** CPUs that its team may use beyond what it does; infinite without a limit. */
  teamLeft: number;
}

/** A place that the job's rules allow one more task on, which fits, with its team under its limit; null if there is none. */
export function findRoomFor(
  { work, waiting, inZones, teamLeft }: PendingJob,
  places: Iterable<MachineRoom>,
): MachineRoom | null {
  const { spec } = work;
  if (waiting <= 0 || teamLeft + ROUNDING < spec.cores) return null;
  const half = Math.ceil(spec.tasks / 2);
  for (const place of places) {
    if (place.cores + ROUNDING < spec.cores || place.ramGb + ROUNDING < spec.ramGb) continue;
    if (spec.types !== null && !spec.types.includes(place.type)) continue;
    if (spec.zone !== null && spec.zone !== place.zone) continue;
    if (place.spot && !spec.spot) continue;
    const elsewhere = [...inZones].some(([zone, count]) => zone !== place.zone && count > 0);
    if (spec.oneZone && elsewhere) continue;
    if (spec.spread && (inZones.get(place.zone) ?? 0) >= half) continue;
    return place;
  }
  return null;
}

/**
 * Once the troubles are over, no job is left waiting for `IDLE_WAIT_MS` while a machine that fits has room and its team is
 * under its limit. Asked again and again; whatever ends the wait, or a start of the job, begins its time anew.
 */
export class IdleWaitChecker {
  private readonly since = new Map<string, { at: number; started: number }>();

  constructor(
    private readonly checker: InvariantChecker,
    private readonly workload: Workload,
    private readonly limits: Map<string, number>,
  ) {}

  check(now: number, workers: Iterable<Worker>): void {
    const places: MachineRoom[] = [];
    const onMachines = new Map<string, { count: number; zones: Map<string, number> }>();
    for (const worker of workers) {
      const { zone, spot, type } = worker.machine;
      const left = worker.freeCapacity();
      places.push({ zone, spot, type: type.name, ...left });
      for (const id of worker.jobsOn()) {
        const job = onMachines.get(id) ?? { count: 0, zones: new Map<string, number>() };
        job.count++;
        job.zones.set(zone, (job.zones.get(zone) ?? 0) + 1);
        onMachines.set(id, job);
      }
    }
    for (const work of this.workload.values()) {
      const { id, team, tasks } = work.spec;
      const open = this.checker.isAccepted(id) && this.checker.finalState(id) === null;
      // One with a mistake is tried ever less often, and one being cancelled need not run.
      if (!open || work.broken || this.checker.isCancelAsked(id)) {
        this.since.delete(id);
        continue;
      }
      const on = onMachines.get(id);
      const most = this.limits.get(team) ?? 0;
      const waiter: PendingJob = {
        work,
        waiting: tasks - work.results.size - (on?.count ?? 0),
        inZones: on?.zones ?? new Map<string, number>(),
        teamLeft: most > 0 ? most - this.checker.usedCores(team) : Infinity,
      };
      const place = findRoomFor(waiter, places);
      const started = work.results.size + (on?.count ?? 0);
      const known = this.since.get(id);
      const moved = known !== undefined && known.started !== started;
      if (!place) this.since.delete(id);
      else if (!known || moved) this.since.set(id, { at: now, started });
      else if (now - known.at >= IDLE_WAIT_MS) {
        this.checker.reportViolation(
          'idle_wait',
          `${id}: ${String(waiter.waiting)} tasks wait beside ${String(place.cores)} CPUs in ${place.zone}`,
        );
        this.since.set(id, { at: now, started });
      }
    }
  }
}
