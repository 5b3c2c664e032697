import type { KeyValueStore } from '../storage/key-value-store.ts';
import type { WatchCache } from '../storage/watch-cache.ts';
import type { MachineType } from '../protocol/cloud.ts';
import type { Settings } from '../settings.ts';
import type { Clock } from '../transport/clock.ts';
import type { HttpClient } from '../transport/http-client.ts';
import type { Random } from '../transport/random.ts';
import type { Log } from '../transport/background-task.ts';
import type { FailingJobs } from './jobs/failing-jobs.ts';
import type { Quotas } from './quota/quotas.ts';

/** What every shard of a node shares: the node's services and its view of the deployment. */
export interface NodeContext {
  settings: Settings;
  clock: Clock;
  /** Time of day, milliseconds. */
  wallClock: () => number;
  random: Random;
  log: Log;
  http: HttpClient;
  store: KeyValueStore;
  watchCache: WatchCache;
  quotas: Quotas;
  failingJobs: FailingJobs;
  /** Jobs by the place in which their pending tasks are served. */
  jobOrder: () => Map<string, number>;
  /** Whether contact with the key-value store is recent enough to act as a leader. */
  hasLeaderLease: () => boolean;
  /** How long after its last confirmed contact a leader may still answer heartbeats, in milliseconds. */
  leaderLeaseMs: number;
}

/** What the leader of one shard needs of its node. */
export interface ShardContext extends NodeContext {
  /** The machine type of that name; null while it is unknown. */
  typeOf: (name: string) => MachineType | null;
  /** A slice of the job has all its results. True if that makes the job's end all that need be recorded. */
  onSliceDone: (job: string) => boolean;
  /** Whether this process had too little processor time at some time since then. */
  laggedSince: (at: number) => boolean;
  /** Takes one of the fencing calls that this node may make now; false if there is none left. */
  takeFencingCall: () => boolean;
  /** Starts of short tasks of low priority that the shard may still make in this tick. */
  lowPriorityStarts: { left: number };
  /** A machine carries a higher fencing token than this shard's: it has another leader. */
  onSuperseded: (shard: string) => void;
}
