/** The rule `idle_wait`: once all faults are over, no job stays pending beside room that its rules allow it. */
import type { InvariantChecker } from './invariant-checker.ts';
import { IDLE_WAIT_MS, ROUNDING } from './constants.ts';
import type { Worker } from './worker.ts';
import type { Work, Workload } from './workload.ts';

/** What a machine has free, and what job rules refer to. */
export interface MachineRoom {
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
export function findRoomFor(
  { work, waiting, inZones, teamLeft }: PendingJob,
  rooms: Iterable<MachineRoom>,
): MachineRoom | null {
  const { spec } = work;
  if (waiting <= 0 || teamLeft + ROUNDING < spec.cores) return null;
  const half = Math.ceil(spec.tasks / 2);
  for (const room of rooms) {
    if (room.cores + ROUNDING < spec.cores || room.ramGb + ROUNDING < spec.ramGb) continue;
    if (spec.types !== null && !spec.types.includes(room.type)) continue;
    if (spec.zone !== null && spec.zone !== room.zone) continue;
    if (room.spot && !spec.spot) continue;
    const isElsewhere = [...inZones].some(([zone, count]) => zone !== room.zone && count > 0);
    if (spec.oneZone && isElsewhere) continue;
    if (spec.spread && (inZones.get(room.zone) ?? 0) >= half) continue;
    return room;
  }
  return null;
}

/**
 * Reports a job that was pending for `IDLE_WAIT_MS` at every check while a machine that fits had room within its team's
 * quota. A check without such room, or a start of the job, begins its time anew.
 */
export class IdleWaitChecker {
  /** By job, since when each check found room, and how many of its tasks had been started by then. */
  private readonly since = new Map<string, { at: number; started: number }>();

  constructor(
    private readonly checker: InvariantChecker,
    private readonly workload: Workload,
    /** Quotas by team, in CPUs; 0 or none: unlimited. */
    private readonly limits: Map<string, number>,
  ) {}

  /** One check; called at intervals while no fault goes on. */
  check(now: number, workers: Iterable<Worker>): void {
    const rooms: MachineRoom[] = [];
    const onMachines = new Map<string, { count: number; zones: Map<string, number> }>();
    for (const worker of workers) {
      const { zone, spot, type } = worker.machine;
      const free = worker.freeCapacity();
      rooms.push({ zone, spot, type: type.name, ...free });
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
      // One with a mistake is retried with growing backoff, and one being cancelled need not run.
      if (!isOpen || work.broken || this.checker.isCancelAsked(id)) {
        this.since.delete(id);
        continue;
      }
      const on = onMachines.get(id);
      const quota = this.limits.get(team) ?? 0;
      const pending: PendingJob = {
        work,
        waiting: tasks - work.results.size - (on?.count ?? 0),
        inZones: on?.zones ?? new Map<string, number>(),
        teamLeft: quota > 0 ? quota - this.checker.usedCores(team) : Infinity,
      };
      const room = findRoomFor(pending, rooms);
      const started = work.results.size + (on?.count ?? 0);
      const known = this.since.get(id);
      const hasProgressed = known !== undefined && known.started !== started;
      if (!room) this.since.delete(id);
      else if (!known || hasProgressed) this.since.set(id, { at: now, started });
      else if (now - known.at >= IDLE_WAIT_MS) {
        this.checker.reportViolation(
          'idle_wait',
          [id, pending.waiting, room.cores, room.zone],
          `${id}: ${String(pending.waiting)} tasks wait beside ${String(room.cores)} CPUs in ${room.zone}`,
        );
        this.since.set(id, { at: now, started });
      }
    }
  }
}
