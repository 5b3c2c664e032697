/** What the parts of a controller that lead shards are given: services, and views of the deployment. */
import type { KeyValueStore } from '../storage/key-value-store.ts';
import type { WatchCache } from '../storage/watch-cache.ts';
import type { Machine } from '../storage/machine.ts';
import type { Slice } from '../storage/slice.ts';
import type { MachineType } from '../protocol/cloud.ts';
import type { Settings } from '../settings.ts';
import type { Clock } from '../transport/clock.ts';
import type { HttpClient } from '../transport/http-client.ts';
import type { Random } from '../transport/random.ts';
import type { Log } from '../transport/background-task.ts';
import type { FailingJobs } from './jobs/failing-jobs.ts';
import type { Quotas } from './quota/quotas.ts';
import type { ShardLeadership } from './shard-leadership.ts';

/** What all shards of a node share: the node's services and its view of the deployment. */
export interface NodeContext {
  readonly settings: Settings;
  readonly clock: Clock;
  /** Time of day, milliseconds. */
  readonly wallClock: () => number;
  readonly random: Random;
  readonly log: Log;
  readonly http: HttpClient;
  readonly store: KeyValueStore;
  readonly watchCache: WatchCache;
  readonly quotas: Quotas;
  readonly failingJobs: FailingJobs;
  /** Jobs by the place in which their pending tasks are served; the same map until the order changes. */
  readonly jobOrder: () => Map<string, number>;
  /** Whether contact with the key-value store is recent enough to act as a leader. */
  readonly hasLeaderLease: () => boolean;
  /** How long after its last confirmed contact a leader may still answer heartbeats, in milliseconds. */
  readonly leaderLeaseMs: number;
}

/** What the leader of one shard needs of its node. */
export interface ShardContext extends NodeContext {
  /** The machine type of that name; null while it is unknown. */
  readonly typeOf: (name: string) => MachineType | null;
  /** A slice of the job has all its results. True if that makes the job's end all that need be recorded. */
  readonly onSliceDone: (job: string) => boolean;
  /** Whether this process had too little processor time at some time since then. */
  readonly laggedSince: (at: number) => boolean;
  /** Takes one of the fencing calls that this node may make now; false if there is none left. */
  readonly takeFencingCall: () => boolean;
  /** Starts of short tasks of low priority that the shard may still make in this tick. */
  readonly lowPriorityStarts: { left: number };
  /** A machine carries a higher fencing token than this shard's: it has another leader. */
  readonly onSuperseded: (shard: string) => void;
}

/** The state of a shard that the parts of its leader share. */
export interface ShardState {
  readonly name: string;
  /** The leader's own. */
  readonly fencingToken: number;
  readonly leadership: ShardLeadership;
  /** By id. */
  readonly machines: Map<string, Machine>;
  /** By name. */
  readonly slices: Map<string, Slice>;
}
