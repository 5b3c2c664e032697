/** Every constant of the emulator, with its unit and its reason. What a deployment or a day sets is never here. */

// --- network ---
/** Milliseconds of a packet within a zone, and between zones; the fleet's deployments state about these. */
export const SAME_ZONE_MS = 0.5;
export const CROSS_ZONE_MS = 0.8;
/** Ratio by which a packet's time varies. */
export const PACKET_JITTER = 0.25;
/** Share of packets that are lost and sent again, and milliseconds until they are. */
export const PACKET_LOSS = 0.0003;
export const RESEND_MS = 200;
/** Milliseconds an idle connection stays open; later a call has to open another. */
export const IDLE_CONNECTION_MS = 20_000;
/** Milliseconds of a cut after which a connection with something on its way is given up by its ends. */
export const CONNECTION_LIFE_MS = 15_000;
/** Messages that cuts hold back at the most; the oldest are lost beyond it, as a full socket's buffer would. */
export const PARTITION_QUEUE_MAX = 20_000;

/** Milliseconds for which orders and answers that are held up are, from and to. */
export const COMMAND_DELAY_MS: [number, number] = [500, 8000];
/** Milliseconds after which the first late copies of reports arrive, and leases within which the last do. */
export const LATE_HEARTBEAT_MS = 2000;
export const LATE_HEARTBEAT_LEASES = 2.5;

/** Milliseconds from a new leader's record within which kept copies of reports reach the controllers. */
export const HEARTBEAT_REPLAY_MS = 1500;

// --- clocks ---
/** Ratio. By how much a steady clock may be off (PROTOCOL, first page). */
export const CLOCK_DRIFT = 0.0005;

// --- state service (PROTOCOL, "Controller nodes -> state service") ---
/** Changes that the service keeps for those who follow. */
export const WATCH_HISTORY = 10_000;
/** Items and bytes of a list's response at the most. */
export const LIST_ITEMS = 1000;
export const LIST_BYTES = 512 * 1024;
/** Bytes of a transaction, and bytes of a key. */
export const TXN_BYTES = 64 * 1024;
export const KEY_BYTES = 200;
/** Milliseconds a lease may end late. */
export const LEASE_LATE_MS = 100;
/** Milliseconds an answer takes, and now and then. */
export const STORE_LATENCY_MS = 5;
export const STORE_SLOW_LATENCY_MS = 300;
export const STORE_SLOW_SHARE = 0.002;
/** Milliseconds between copies of the state service's data to which a loss may go back, and how many are kept. */
export const SNAPSHOT_INTERVAL_MS = 1000;
export const SNAPSHOTS_MAX = 120;
/** Changes by which revisions go beyond those told before a loss, where they do. */
export const REVISION_JUMP = 5000;
/** Milliseconds for which a transaction without an answer may still be applied. */
export const LATE_TRANSACTION_MS = 30_000;
/** Milliseconds after which a late write of the hunt sites' days is carried out: from, and at most. */
export const LATE_WRITE_MS: [number, number] = [2000, 12_000];

// --- cloud (PROTOCOL, "Controller nodes -> cloud") ---
/** Machines at most in a rental, in a return, and in one page of the list. */
export const RENTAL_MAX = 50;
export const RETURN_MAX = 100;
export const MACHINE_LIST_MAX = 500;
/** Seconds' worth of calls that a burst may have. */
export const CLOUD_BURST_S = 2;
/** Milliseconds an answer takes. */
export const CLOUD_MS = 200;
/** Milliseconds for which a machine that died stays listed as running. */
export const DEAD_LISTED_MS = 30_000;
/** Share of machines that take several times as long to boot, and share that come up at once. */
export const BOOT_SLOW = 0.03;
export const BOOT_QUICK = 0.02;

// --- workers (PROTOCOL, "Workers -> controller nodes") ---
/** Milliseconds between two reports at least. */
export const HEARTBEAT_GAP_MS = 500;
/** Milliseconds a worker waits for an answer, and before it tries the next node. */
export const HEARTBEAT_DEADLINE_MS = 4000;
export const NEXT_NODE_MS = 1000;
/** Ratio by which the interval of reports varies, and the speed of machines of a type. */
export const HEARTBEAT_JITTER = 0.25;
export const SPEED_JITTER = 0.1;
/** Milliseconds after which a task fails on a machine that fails everything. */
export const TASK_FAILURE_MS = 400;

// --- users (PROTOCOL, "Users -> controller nodes") ---
/** Milliseconds that a user waits for an answer to a submission or a cancellation, and to a poll. */
export const SUBMIT_DEADLINE_MS = 5000;
export const POLL_DEADLINE_MS = 2000;
/** Milliseconds within which users who look closely ask all nodes, and how many times in a row they do. */
export const QUERY_ALL_MS = 15;
export const QUERY_ALL_ROUNDS = 3;
/** One in so many of those who look closely at an acceptance cancels at once. */
export const CANCEL_ONE_IN = 5;
/** Milliseconds within which many jobs are called off together, and machines that hang with them at the most. */
export const CANCEL_TOGETHER_MS = 200;
export const CANCEL_HANGS_MAX = 8;
/** Seconds that a job's tasks run at least for it to have long to go. */
export const LONG_TASK_S = 20;
/** Milliseconds between odd requests. */
export const ODD_REQUEST_MS = 700;
/** Milliseconds between polls, roughly. */
export const POLL_MS = 5000;
/** Milliseconds before a submission is tried again: at least, at most if the service asks for more, and in all. */
export const RETRY_MS = 1000;
export const RETRY_AFTER_MAX_MS = 30_000;
export const RETRY_TOTAL_MS = 60_000;
/** Milliseconds between the load balancer's probes of a node, and its deadlines. */
export const PROBE_MS = 1000;
export const PROBE_DEADLINE_MS = 1000;
export const CONNECT_DEADLINE_MS = 500;
/** Milliseconds for which every poll of a job must fail, while most others are answered, for it to count as forgotten. */
export const FORGOTTEN_MS = 90_000;
/** Milliseconds without an answer about a job, all troubles over, after which it is forgotten however others fare. */
export const FORGOTTEN_FAULT_FREE_MS = 75_000;
/** Polls of a job that must have failed in that time: fewer prove nothing. */
export const FORGOTTEN_POLLS = 6;

/** Milliseconds a node stays out after its first removal, the most it doubles to, and within what time it does. */
export const EJECTION_MS = 3000;
export const EJECTION_MAX_MS = 60_000;
export const EJECTION_WINDOW_MS = 120_000;

// --- controllers and days ---
/** Milliseconds. The time of day at the day's begin; any will do. */
export const EPOCH_MS = 1_700_000_000_000;
/** Milliseconds from a process's start until it serves. */
export const START_MS = 900;
/** Milliseconds after which the platform starts a controller that ended again (DEPLOY: about 6 s). */
export const RESTART_MS = 6000;
/** Milliseconds within which a copy of a message that was delivered may be delivered again. */
export const DUPLICATE_DELAY_MS = 60_000;
/** Milliseconds from its return to the next end of a controller that ends several times in a row, at most. */
export const CRASH_GAP_MS = 4000;
/** Milliseconds for which a controller that is restarted in order is away. */
export const ROLLING_MS = 2500;
/** Milliseconds within which the controllers of a run start. */
export const START_SPREAD_MS = 2500;
/** Milliseconds of virtual time between two looks at whether a run is over. */
export const RUN_STEP_MS = 1000;
/** Milliseconds after which a user asks about a job that nobody has submitted. */
export const UNKNOWN_JOB_ASKED_MS = 20_000;
/** Seconds after its submission that a job which never ends by itself is cancelled, where nothing else is drawn. */
export const CANCEL_ENDLESS_S = 40;
/** Milliseconds between attempts to cancel such a job once faults are over. */
export const CANCEL_ENDLESS_EVERY_MS = 10_000;
/** Virtual seconds before the first job, while the controllers come up. */
export const WARM_UP_S = 12;
/** Virtual seconds without a task starting or ending, all faults over, after which a job that waits waits for ever. */
export const QUIET_S = 420;
/** Virtual seconds after which a day is ended all the same: several times what the longest work on few CPUs takes. */
export const RUN_MAX_S = 10_000;
/** Jobs of a class or team from which half of them must be served: of fewer, one fault may hold up most. */
export const UNSERVED_FEW = 12;
/** Share of a class's jobs, by the CPUs they ask for in all, that are its largest; and milliseconds in which they begin. */
export const LARGEST_SHARE = 0.1;
/** Jobs that count as a class's largest at the least. */
export const LARGEST_FEW = 2;
export const LARGEST_BEGIN_MS = 240_000;
/** Calls above a limit that are let pass: processes that start have full buckets each, and may start together. */
export const OVER_LIMIT_SHARE = 0.03;
export const OVER_LIMIT_FEW = 60;

// --- explorer ---
/** Milliseconds that the shrinking of one failing day may take. */
export const SHRINK_MS = 60_000;
/** Failing days that are shrunk; the others are listed only. */
export const SHRUNK_MAX = 3;

// --- judging ---
/** Milliseconds, all troubles over, that a job may wait beside room for it with its team under its limit. */
export const IDLE_WAIT_MS = 90_000;
/** CPUs. What sums of amounts may be off by rounding. */
export const ROUNDING = 1e-6;
