/** The constants of the emulator. Values that a deployment or a scenario sets are not here. */

// --- network ---
/** Milliseconds that a packet takes within a zone, about as the fleet's deployments state. */
export const SAME_ZONE_MS = 0.5;
/** Milliseconds that a packet takes between zones, or to a regional host. */
export const CROSS_ZONE_MS = 0.8;
/** Ratio by which the time of a packet varies. */
export const PACKET_JITTER = 0.25;
/** Share of packets that are lost and retransmitted. */
export const PACKET_LOSS = 0.0003;
/** Milliseconds until a lost packet is retransmitted. */
export const RETRANSMIT_MS = 200;
/** Milliseconds that an idle connection stays open; a later call opens a new one. */
export const IDLE_CONNECTION_MS = 20_000;
/** Milliseconds of a partition after which two controllers close their connection with messages in flight. */
export const CONNECTION_LIFE_MS = 15_000;
/**
 * Messages that a partition queues at most. Beyond it the oldest are lost, since socket buffers are finite.
 */
export const PARTITION_QUEUE_MAX = 20_000;

/** Milliseconds by which `held orders` delays commands and answers to workers: at least, and below. */
export const COMMAND_DELAY_MS: [number, number] = [500, 8000];
/** Milliseconds after which a late copy of a heartbeat arrives, at least. */
export const LATE_HEARTBEAT_MS = 2000;
/** Number of worker leases after which a late copy of a heartbeat arrives, at most. */
export const LATE_HEARTBEAT_LEASES = 2.5;

/**
 * Milliseconds from the key-value store's record of a new leader within which recorded copies of heartbeats
 * reach the controllers.
 */
export const HEARTBEAT_REPLAY_MS = 1500;
/** Milliseconds after which a copy of an executed command arrives, at least. */
export const COMMAND_COPY_MS = 200;
/** Number of worker leases after which a copy of an executed command arrives, at most. */
export const COMMAND_COPY_LEASES = 1.5;
/**
 * Milliseconds from the start of a controller, or from the key-value store's record of a new leader, within
 * which recorded copies of executed commands reach the workers.
 */
export const COMMAND_REPLAY_MS = 1500;
/** Executed commands that are recorded at a time; beyond it the oldest are dropped. */
export const RECORDED_COMMANDS_MAX = 500;

// --- clocks ---
/** Ratio by which the rate of a steady clock may be wrong (PROTOCOL, first page). */
export const CLOCK_DRIFT = 0.0005;

// --- key-value store (PROTOCOL, "Controller nodes -> state service") ---
/** Changes that the store keeps for watches. */
export const WATCH_HISTORY = 10_000;
/** Items in a list response at most. */
export const LIST_ITEMS = 1000;
/** Bytes in a list response at most; one item is always sent. */
export const LIST_BYTES = 512 * 1024;
/** Bytes of a transaction at most. */
export const TXN_BYTES = 64 * 1024;
/** Bytes of a key at most. */
export const KEY_BYTES = 200;
/** Milliseconds by which a lease may expire late. */
export const LEASE_LATE_MS = 100;
/** Milliseconds that an answer usually takes. */
export const STORE_LATENCY_MS = 5;
/** Milliseconds that a slow answer takes. */
export const STORE_SLOW_LATENCY_MS = 300;
/** Share of slow answers. */
export const STORE_SLOW_SHARE = 0.002;
/** Milliseconds between the snapshots of the store's data that a loss may restore. */
export const SNAPSHOT_INTERVAL_MS = 1000;
/** Snapshots that are kept at most. */
export const SNAPSHOTS_MAX = 120;
/**
 * Revisions that the store skips after a loss of the kind `beyond`, which continues above all used revisions.
 */
export const REVISION_JUMP = 5000;
/** Milliseconds within which a transaction without an answer is applied (`late transactions`). */
export const LATE_TRANSACTION_MS = 30_000;
/** Milliseconds after which a late write is applied, mostly after newer ones: at least, and below. */
export const LATE_WRITE_MS: [number, number] = [2000, 12_000];

// --- cloud (PROTOCOL, "Controller nodes -> cloud") ---
/** Machines in a rental at most. */
export const RENTAL_MAX = 50;
/** Machines in a return at most. */
export const RETURN_MAX = 100;
/** Machines in one page of the list at most. */
export const MACHINE_LIST_MAX = 500;
/** Size of a burst, in seconds of calls at the permitted rate. */
export const CLOUD_BURST_S = 2;
/** Milliseconds that an answer takes on average. */
export const CLOUD_LATENCY_MS = 200;
/** Milliseconds for which the cloud lists a crashed machine as running. */
export const DEAD_LISTED_MS = 30_000;
/** Share of machines that take several times as long to boot. */
export const BOOT_SLOW_SHARE = 0.03;
/** Share of machines that are up within two seconds. */
export const BOOT_QUICK_SHARE = 0.02;

// --- workers (PROTOCOL, "Workers -> controller nodes") ---
/** Milliseconds between two heartbeats of a worker at least. */
export const HEARTBEAT_GAP_MS = 500;
/** Milliseconds that a worker waits for the answer to a heartbeat. */
export const HEARTBEAT_DEADLINE_MS = 4000;
/** Milliseconds after which a worker tries the next node. */
export const NEXT_NODE_MS = 1000;
/** Ratio by which the interval of heartbeats varies. */
export const HEARTBEAT_JITTER = 0.25;
/** Ratio by which the speed of machines of a type varies. */
export const SPEED_JITTER = 0.1;
/** Milliseconds after which a task fails on a machine that fails all tasks. */
export const TASK_FAILURE_MS = 400;

// --- users (PROTOCOL, "Users -> controller nodes") ---
/** Milliseconds that a user waits for an answer to a submission or a cancellation. */
export const SUBMIT_DEADLINE_MS = 5000;
/** Milliseconds that a user waits for an answer to a poll. */
export const POLL_DEADLINE_MS = 2000;
/**
 * Milliseconds within which the first round of queries to all nodes is sent (the fault `close looks`). Each
 * later round has as much more time.
 */
export const QUERY_ALL_MS = 15;
/** Rounds of queries to all nodes (the fault `close looks`). */
export const QUERY_ALL_ROUNDS = 3;
/** One in this many users who query all nodes about an open job cancels the job within `QUERY_ALL_MS`. */
export const CANCEL_ONE_IN = 5;
/** Milliseconds within which users cancel many jobs together (the fault `cancel now`). */
export const CANCEL_TOGETHER_MS = 200;
/** Machines of these jobs that hang at most (the fault `cancel now`). */
export const CANCEL_HANGS_MAX = 8;
/** Seconds that a job's first task takes, at least, for the job's tasks to count as long (`cancel now`). */
export const LONG_TASK_S = 20;
/** Average milliseconds between requests that users should not send (the fault `odd requests`). */
export const UNEXPECTED_REQUEST_MS = 700;
/** Approximate milliseconds between polls. */
export const POLL_MS = 5000;
/** Milliseconds before a request is retried, at least. */
export const RETRY_MS = 1000;
/** Milliseconds before a request is retried, at most, if a Retry-After header asks for more. */
export const RETRY_AFTER_MAX_MS = 30_000;
/** Milliseconds for which a user's first submission of a job is retried. */
export const RETRY_TOTAL_MS = 60_000;
/** Milliseconds between the load balancer's probes of a node. */
export const PROBE_MS = 1000;
/** Milliseconds that the load balancer waits for the answer to a probe. */
export const PROBE_DEADLINE_MS = 1000;
/**
 * Milliseconds after which the load balancer tries another node if one neither accepts nor refuses a
 * connection.
 */
export const CONNECT_DEADLINE_MS = 500;
/**
 * Milliseconds for which every poll of a job fails, while most polls are answered, before it counts as
 * forgotten.
 */
export const FORGOTTEN_MS = 90_000;
/**
 * Milliseconds without an answer about a job and without faults after which it counts as forgotten in any
 * case.
 */
export const FORGOTTEN_FAULT_FREE_MS = 75_000;
/** Polls of a job that must have failed within `FORGOTTEN_MS`: fewer prove nothing. */
export const FORGOTTEN_POLLS = 6;

/**
 * Milliseconds for which the load balancer skips a node after its first ejection or after failed connections.
 */
export const EJECTION_MS = 3000;
/** Limit in milliseconds of the ejection time, which doubles with each repeated ejection. */
export const EJECTION_MAX_MS = 60_000;
/** Milliseconds since the last ejection within which another counts as repeated. */
export const EJECTION_WINDOW_MS = 120_000;

// --- controllers and runs ---
/** Wall clock at the start of a run, in milliseconds since 1970. Any value works. */
export const EPOCH_MS = 1_700_000_000_000;
/** Milliseconds from the start of a process until it serves requests. */
export const START_MS = 900;
/** Milliseconds after which the platform restarts a controller that ended (DEPLOY: about 6 s). */
export const RESTART_MS = 6000;
/** Milliseconds within which a copy of a delivered message may arrive. */
export const DUPLICATE_DELAY_MS = 60_000;
/** Milliseconds at most from a restart to the next end of a controller that ends several times in a row. */
export const CRASH_GAP_MS = 4000;
/** Milliseconds for which each controller is down in a rolling restart. */
export const ROLLING_MS = 2500;
/** Milliseconds within which the controllers of a run start. */
export const START_SPREAD_MS = 2500;
/** Milliseconds of virtual time between two checks whether a run has ended. */
export const RUN_STEP_MS = 1000;
/** Milliseconds after which a user polls a job that no user has submitted. */
export const UNKNOWN_JOB_ASKED_MS = 20_000;
/**
 * Seconds from the submission of a job that never ends by itself to its cancellation, unless its scenario
 * sets a time.
 */
export const CANCEL_ENDLESS_S = 40;
/** Milliseconds between attempts to cancel such a job after all faults have ended. */
export const CANCEL_ENDLESS_INTERVAL_MS = 10_000;
/** Virtual seconds before the first job, while the controllers start. */
export const WARM_UP_S = 12;
/**
 * Virtual seconds without faults and without a start or end of a task after which an open job counts as
 * stuck.
 */
export const NO_PROGRESS_S = 420;
/**
 * Virtual seconds after which a run ends in any case: several times what the longest work on few CPUs takes.
 */
export const RUN_MAX_S = 10_000;
/**
 * Jobs that a class or team must have for the rule `unserved` to apply: one fault may delay most of fewer
 * jobs.
 */
export const SERVED_SHARE_MIN_JOBS = 12;
/** Share of a class's jobs that count as its largest, by the CPUs that they request in total. */
export const LARGEST_JOBS_SHARE = 0.1;
/** Jobs that count as a class's largest at least. */
export const LARGEST_JOBS_MIN = 2;
/** Milliseconds after its submission within which one of the largest jobs has to start. */
export const LARGEST_JOBS_START_MS = 240_000;
/**
 * Share of calls above a limit that breaks no rule: several processes may start together, each with a full
 * bucket.
 */
export const TOLERATED_OVER_LIMIT_SHARE = 0.03;
/** Calls above a limit that break no rule, whatever their share. */
export const TOLERATED_OVER_LIMIT_CALLS = 60;

// --- randomized testing ---
/** Milliseconds that the shrinking of one failing scenario may take. */
export const SHRINK_MS = 60_000;
/** Failing scenarios that are shrunk; the others are listed only. */
export const SHRUNK_MAX = 3;

// --- invariant checker ---
/**
 * Milliseconds without faults that a job may be pending while a machine can run it within its team's quota.
 */
export const IDLE_WAIT_MS = 90_000;
/** CPUs or gigabytes by which rounding may change sums. */
export const ROUNDING = 1e-6;
