import type { Replica, Store } from '../bookkeeping/store.ts';
import type { MachineType } from '../protocol/cloud.ts';
import type { Settings } from '../settings.ts';
import type { Clock } from '../transport/clock.ts';
import type { HttpClient } from '../transport/http-client.ts';
import type { Random } from '../transport/random.ts';
import type { Log } from '../transport/routine.ts';
import type { FailingJobs } from './jobs/failing-jobs.ts';
import type { Limits } from './limits/limits.ts';

/** What a part needs of its controller. */
export interface PartContext {
  settings: Settings;
  clock: Clock;
  /** Time of day, milliseconds. */
  wallClock: () => number;
  random: Random;
  log: Log;
  http: HttpClient;
  store: Store;
  replica: Replica;
  limits: Limits;
  failing: FailingJobs;
  typeOf: (name: string) => MachineType | null;
  /** Jobs by the place in which their waits are served. */
  servingOrder: () => Map<string, number>;
  /** A slice of the job has all its results. True if that makes the job's end all that need be recorded. */
  onSliceDone: (job: string) => boolean;
  /** Whether contact with the state service is fresh enough to act as an owner. */
  mayAct: () => boolean;
  /** Whether this process had too little processor time at some time since then. */
  lateSince: (at: number) => boolean;
  /** Takes one of the calls that this node may make now to machines that have not accepted it yet. */
  takeFence: () => boolean;
  /** Starts of short tasks of low priority that the part may still make in this tick. */
  lowStarts: { left: number };
  /** How long after its last proof of contact an owner may still answer reports. */
  proofMs: number;
  /** A machine carries a higher token than this part's: someone else owns it. */
  onOutdated: (part: string) => void;
}
