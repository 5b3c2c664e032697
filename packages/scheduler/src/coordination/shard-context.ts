/**
 * What a controller gives to the leader of a shard: services, views of the deployment, and the shard's state.
 */
import type { FencingTokens } from '../storage/fencing-tokens.ts';
import type { KeyValueStore } from '../storage/key-value-store.ts';
import type { WatchCache } from '../storage/watch-cache.ts';
import type { Machine } from '../storage/machine.ts';
import type { Slice } from '../storage/slice.ts';
import type { MachineType } from '../protocol/cloud.ts';
import type { Settings } from '../settings.ts';
import type { Clock } from '../transport/clock.ts';
import type { HttpClient } from '../transport/http-client.ts';
import type { Random } from '../transport/random.ts';
import type { Log } from '../transport/log.ts';
import type { FailingJobs } from './jobs/failing-jobs.ts';
import type { Quotas } from './quota/quotas.ts';
import type { ShardLeadership } from './shard-leadership.ts';

/** What all shards of a node share: the node's services and its view of the deployment. */
export interface NodeContext {
  /** The operators' settings. */
  readonly settings: Settings;
  /** Monotonic time, milliseconds. */
  readonly clock: Clock;
  /** Time of day, milliseconds. */
  readonly wallClock: () => number;
  /** Random draws of the placement policy and of migrations. */
  readonly random: Random;
  /** The node's log. */
  readonly log: Log;
  /** Calls to workers. */
  readonly http: HttpClient;
  /** The key-value store, within this node's share of its limits. */
  readonly store: KeyValueStore;
  /** This node's copy of the live records. */
  readonly watchCache: WatchCache;
  /** The teams' quotas, and this deployment's split of them over the shards. */
  readonly quotas: Quotas;
  /** The jobs that fail wherever they run. */
  readonly failingJobs: FailingJobs;
  /** The jobs' positions in the serving order, by id; the same map until the order changes. */
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
  /**
   * Whether a result of the task is still needed, whichever shard has the task: its job is open, and the
   * watched records do not have its result.
   */
  readonly isResultNeeded: (task: string) => boolean;
  /** A job's slice has all its results. True if this completes the job: then only its end is recorded. */
  readonly onSliceDone: (job: string) => boolean;
  /**
   * Whether the event loop has lagged at some time since `at`, in milliseconds of the clock. Then a missing
   * answer proves nothing.
   */
  readonly laggedSince: (at: number) => boolean;
  /** Takes one of the fencing calls that this node may make now; false if there is none left. */
  readonly takeFencingCall: () => boolean;
  /** How many short tasks of low priority the shard may still start in this tick. */
  readonly lowPriorityStarts: { remaining: number };
  /**
   * Called when a machine or a peer has shown a higher fencing token, hence a newer leader, and when this
   * leader has no attempt numbers left.
   */
  readonly onSuperseded: (shard: string) => void;
}

/** The state of a shard that all components of its leader share. */
export interface ShardState {
  /** The shard's name. */
  readonly name: string;
  /** The fencing tokens of this leadership. */
  readonly tokens: FencingTokens;
  /** Whether this node may still act as the shard's leader. */
  readonly leadership: ShardLeadership;
  /** The shard's machines, by id. */
  readonly machines: Map<string, Machine>;
  /** The shard's slices, by name. */
  readonly slices: Map<string, Slice>;
}
