/** Every constant of the emulator, with its unit and its reason. What a deployment or a scenario sets is never here. */

// --- network ---
/** Milliseconds of a packet within a zone; the fleet's deployments state about this. */
export const SAME_ZONE_MS = 0.5;
/** Milliseconds of a packet between zones, or to a regional host. */
export const CROSS_ZONE_MS = 0.8;
/** Ratio by which a packet's time varies. */
export const PACKET_JITTER = 0.25;
/** Share of packets that are lost and sent again. */
export const PACKET_LOSS = 0.0003;
/** Milliseconds until a lost packet is sent again. */
export const RETRANSMIT_MS = 200;
/** Milliseconds an idle connection stays open; later a call has to open another. */
export const IDLE_CONNECTION_MS = 20_000;
/** Milliseconds of a partition after which a connection with something on its way is given up by its ends. */
export const CONNECTION_LIFE_MS = 15_000;
/** Messages that a partition queues at most; beyond it the oldest are lost, since sockets' buffers are finite. */
export const PARTITION_QUEUE_MAX = 20_000;

/** Milliseconds by which commands and answers to workers are delayed where they are: from, and below. */
export const COMMAND_DELAY_MS: [number, number] = [500, 8000];
/** Milliseconds after which the first late copies of heartbeats arrive. */
export const LATE_HEARTBEAT_MS = 2000;
/** Worker leases within which the last late copies of heartbeats arrive. */
export const LATE_HEARTBEAT_LEASES = 2.5;

/** Milliseconds from a new leader's record within which recorded copies of heartbeats reach the controllers. */
export const HEARTBEAT_REPLAY_MS = 1500;

// --- clocks ---
/** Ratio. By how much a steady clock may be off (PROTOCOL, first page). */
export const CLOCK_DRIFT = 0.0005;

// --- key-value store (PROTOCOL, "Controller nodes -> state service") ---
/** Changes that the store keeps for watches. */
export const WATCH_HISTORY = 10_000;
/** Items of a list's response at most. */
export const LIST_ITEMS = 1000;
/** Bytes of a list's response at most; one item is always sent. */
export const LIST_BYTES = 512 * 1024;
/** Bytes of a transaction at most. */
export const TXN_BYTES = 64 * 1024;
/** Bytes of a key at most. */
export const KEY_BYTES = 200;
/** Milliseconds by which a lease may end late. */
export const LEASE_LATE_MS = 100;
/** Milliseconds that an answer usually takes. */
export const STORE_LATENCY_MS = 5;
/** Milliseconds that a slow answer takes. */
export const STORE_SLOW_LATENCY_MS = 300;
/** Share of slow answers. */
export const STORE_SLOW_SHARE = 0.002;
/** Milliseconds between snapshots of the store's data to which a loss may go back. */
export const SNAPSHOT_INTERVAL_MS = 1000;
/** Snapshots that are kept. */
export const SNAPSHOTS_MAX = 120;
/** Revisions that are skipped by a loss after which they go on beyond all that were used. */
export const REVISION_JUMP = 5000;
/** Milliseconds for which a transaction without an answer may still be applied. */
export const LATE_TRANSACTION_MS = 30_000;
/** Milliseconds after which a late write is carried out, mostly after newer ones: from, and below. */
export const LATE_WRITE_MS: [number, number] = [2000, 12_000];

// --- cloud (PROTOCOL, "Controller nodes -> cloud") ---
/** Machines in a rental at most. */
export const RENTAL_MAX = 50;
/** Machines in a return at most. */
export const RETURN_MAX = 100;
/** Machines in one page of the list at most. */
export const MACHINE_LIST_MAX = 500;
/** Seconds' worth of calls that a burst may have. */
export const CLOUD_BURST_S = 2;
/** Milliseconds that an answer takes on average. */
export const CLOUD_LATENCY_MS = 200;
/** Milliseconds for which a machine that died stays listed as running. */
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
/** Milliseconds after which it tries the next node. */
export const NEXT_NODE_MS = 1000;
/** Ratio by which the interval of heartbeats varies. */
export const HEARTBEAT_JITTER = 0.25;
/** Ratio by which the speed of machines of a type varies. */
export const SPEED_JITTER = 0.1;
/** Milliseconds after which a task fails on a machine that fails everything. */
export const TASK_FAILURE_MS = 400;

// --- users (PROTOCOL, "Users -> controller nodes") ---
/** Milliseconds that a user waits for an answer to a submission or a cancellation. */
export const SUBMIT_DEADLINE_MS = 5000;
/** Milliseconds that a user waits for an answer to a poll. */
export const POLL_DEADLINE_MS = 2000;
/** Milliseconds within which all nodes are asked after an answer said something new of a job; grows by the round. */
export const QUERY_ALL_MS = 15;
/** Times that all nodes are asked then. */
export const QUERY_ALL_ROUNDS = 3;
/** One in so many of the users who ask all nodes about an open job cancels it at once. */
export const CANCEL_ONE_IN = 5;
/** Milliseconds within which many jobs are cancelled together. */
export const CANCEL_TOGETHER_MS = 200;
/** Machines that hang with them at most. */
export const CANCEL_HANGS_MAX = 8;
/** Seconds that a job's tasks run at least for it to have long to go. */
export const LONG_TASK_S = 20;
/** Milliseconds between odd requests. */
export const UNEXPECTED_REQUEST_MS = 700;
/** Milliseconds between polls, roughly. */
export const POLL_MS = 5000;
/** Milliseconds before a submission is tried again, at least. */
export const RETRY_MS = 1000;
/** The same, at most, where a Retry-After asks for more. */
export const RETRY_AFTER_MAX_MS = 30_000;
/** Milliseconds for which a submission is tried again and again. */
export const RETRY_TOTAL_MS = 60_000;
/** Milliseconds between the load balancer's probes of a node. */
export const PROBE_MS = 1000;
/** Milliseconds that the load balancer waits for the answer to a probe. */
export const PROBE_DEADLINE_MS = 1000;
/** Milliseconds after which it tries another node, where one neither accepts nor refuses a connection. */
export const CONNECT_DEADLINE_MS = 500;
/** Milliseconds for which every poll of a job must fail, while most others are answered, for it to count as forgotten. */
export const FORGOTTEN_MS = 90_000;
/** Milliseconds without an answer about a job, all faults over, after which it is forgotten however others fare. */
export const FORGOTTEN_FAULT_FREE_MS = 75_000;
/** Polls of a job that must have failed in that time: fewer prove nothing. */
export const FORGOTTEN_POLLS = 6;

/** Milliseconds that a node stays out after its first ejection, or is skipped after failed connections. */
export const EJECTION_MS = 3000;
/** The most to which that time is doubled by repeated ejections. */
export const EJECTION_MAX_MS = 60_000;
/** Milliseconds since the last ejection within which another counts as repeated. */
export const EJECTION_WINDOW_MS = 120_000;

// --- controllers and runs ---
/** Milliseconds since 1970 of the wall clock at the begin of a run; any will do. */
export const EPOCH_MS = 1_700_000_000_000;
/** Milliseconds from a process's start until it serves. */
export const START_MS = 900;
/** Milliseconds after which the platform starts a controller that ended again (DEPLOY: about 6 s). */
export const RESTART_MS = 6000;
/** Milliseconds within which a copy of a message that was delivered may be delivered again. */
export const DUPLICATE_DELAY_MS = 60_000;
/** Milliseconds from its return to the next end of a controller that ends several times in a row, at most. */
export const CRASH_GAP_MS = 4000;
/** Milliseconds for which each controller is away where all are restarted one after another. */
export const ROLLING_MS = 2500;
/** Milliseconds within which the controllers of a run start. */
export const START_SPREAD_MS = 2500;
/** Milliseconds of virtual time between two checks whether a run is over. */
export const RUN_STEP_MS = 1000;
/** Milliseconds after which a user asks about a job that nobody has submitted. */
export const UNKNOWN_JOB_ASKED_MS = 20_000;
/** Seconds after its submission that a job which never ends by itself is cancelled, where nothing else is drawn. */
export const CANCEL_ENDLESS_S = 40;
/** Milliseconds between attempts to cancel such a job once faults are over. */
export const CANCEL_ENDLESS_INTERVAL_MS = 10_000;
/** Virtual seconds before the first job, while the controllers come up. */
export const WARM_UP_S = 12;
/** Virtual seconds without a task starting or ending, all faults over, after which a pending job counts as stuck. */
export const NO_PROGRESS_S = 420;
/** Virtual seconds after which a run is ended all the same: several times what the longest work on few CPUs takes. */
export const RUN_MAX_S = 10_000;
/** Jobs of a class or team from which half of them must be served: of fewer, one fault may hold up most. */
export const SERVED_SHARE_MIN_JOBS = 12;
/** Share of a class's jobs, by the CPUs they ask for in all, that are its largest. */
export const LARGEST_JOBS_SHARE = 0.1;
/** Jobs that count as a class's largest at the least. */
export const LARGEST_JOBS_MIN = 2;
/** Milliseconds from its submission within which one of them has to begin. */
export const LARGEST_JOBS_START_MS = 240_000;
/** Share of calls above a limit that breaks no rule: processes that start have full buckets each, maybe at once. */
export const TOLERATED_OVER_LIMIT_SHARE = 0.03;
/** Calls above a limit that break no rule whatever their share. */
export const TOLERATED_OVER_LIMIT_CALLS = 60;

// --- randomized testing ---
/** Milliseconds that the shrinking of one failing scenario may take. */
export const SHRINK_MS = 60_000;
/** Failing scenarios that are shrunk; the others are listed only. */
export const SHRUNK_MAX = 3;

// --- invariant checker ---
/** Milliseconds, all faults over, that a job may be pending beside room for it within its team's quota. */
export const IDLE_WAIT_MS = 90_000;
/** CPUs or gigabytes by which sums may be off by rounding. */
export const ROUNDING = 1e-6;
