/**
 * The constants of the service, each with its unit and its reason. What a deployment sets (lease, heartbeat
 * interval, limits) is never here; it is read from the settings.
 */

// --- limits of the protocol ---
/** Bytes. The protocol's limit for a request body. */
export const MAX_BODY_BYTES = 64 * 1024;
/** Tasks. The protocol's limit for a job. */
export const MAX_TASKS = 100_000;
/** Characters. Longest text field of a submission; keeps a job's record well below the limit for a value. */
export const MAX_TEXT_LENGTH = 400;
/** Items. Longest list of machine types in a submission, for the same reason. */
export const MAX_MACHINE_TYPES = 64;
/** Machines. The most that the cloud terminates in one request. */
export const TERMINATE_BATCH = 100;
/** Machines. The most that the cloud creates in one request. */
export const SCALE_OUT_BATCH = 50;
/** Machines. The most that the cloud lists in one response. */
export const CLOUD_PAGE_SIZE = 500;
/** Items. The most that the key-value store lists in one response. */
export const STORE_PAGE_SIZE = 1000;
/** Ratio. By how much two steady clocks may differ: 0.05% each way, doubled for two machines. */
export const CLOCK_DRIFT = 0.001;

// --- attempts ---
/** Attempts that one fencing token can number before they would run into the next token's. */
export const ATTEMPTS_PER_TOKEN = 2 ** 20;

// --- key-value store ---
/** Milliseconds that a call may take before it counts as unanswered; answers normally take under 10 ms. */
export const STORE_DEADLINE_MS = 1000;
/**
 * Milliseconds for which a watch waits for changes. Short, because its answer is the controller's proof of
 * contact.
 */
export const WATCH_HOLD_MS = 1500;
/**
 * Share of a controller's requests that watches may take in a stream of changes; users' reads need the rest.
 */
export const WATCH_REQUEST_SHARE = 0.25;
/**
 * Milliseconds that a controller's lease lasts. Longer costs time after a crash, shorter costs needless
 * failovers.
 */
export const NODE_LEASE_MS = 4000;
/** Milliseconds between renewals of the controller's lease: three tries before it expires. */
export const NODE_LEASE_RENEWAL_MS = 1000;
/** Milliseconds before a failed call is tried again, before jitter. */
export const RETRY_MS = 250;
/** Pages read of one list at most: more than any deployment has; ends a list that would never end. */
export const MAX_LIST_PAGES = 10_000;
/** Share of the limits of requests and writes that all controllers together plan to use. */
export const STORE_LIMIT_SHARE = 0.85;
/** Divisor. Of a burst, background calls leave one part in so many to calls of users and of leadership. */
export const BACKGROUND_RESERVE_DIVISOR = 3;
/** Milliseconds that a user's request may wait for its turn at the key-value store before it is refused. */
export const USER_QUEUE_MS = 300;
/** Bytes of a value that the bits of a slice's tasks leave for the page's other text. */
export const SLICE_RECORD_OVERHEAD_BYTES = 4096;

// --- leadership ---
/** Milliseconds between checks of who leads which shard. */
export const LEADERSHIP_TICK_MS = 200;
/** Milliseconds that each lower-ranked candidate waits longer before it takes over a shard. */
export const FAILOVER_STEP_MS = 1500;
/**
 * Milliseconds for which a controller that has just started takes over its own shards only. Where all
 * controllers end at once, the first to be back would take everything, and have no processor time for any of
 * it.
 */
export const STARTUP_SETTLE_MS = 4000;
/**
 * Milliseconds for which a controller that is still fencing the machines of one shard waits before it takes
 * another that is not its own: a controller that ended is often back by then, and one that takes all at once
 * serves none of them.
 */
export const FAILOVER_BACKOFF_MS = 10_000;
/** Milliseconds that a zone's own controller must have been up before a shard is handed back to it. */
export const HANDBACK_DELAY_MS = 3000;
/** Milliseconds between samples of the event-loop lag. */
export const LAG_SAMPLE_MS = 100;
/** Milliseconds from which a timer counts as late: several such delays still fit within a call's deadline. */
export const LAG_THRESHOLD_MS = 250;
/** Milliseconds without event-loop lag before a controller has processor time for more than its answers. */
export const LAG_FREE_MS = 500;
/** Milliseconds between probes of a shard that could not be reached. */
export const REACHABILITY_PROBE_MS = 2000;
/**
 * Milliseconds within which every controller that is up has probed a shard that its leader cannot reach: two
 * probes.
 */
export const REACHABILITY_SETTLED_MS = 2 * REACHABILITY_PROBE_MS + 2000;
/** Machines called in one probe of a shard. */
export const REACHABILITY_SAMPLE = 3;
/** Milliseconds of safety added to every calculation of when a worker lease has expired. */
export const LEASE_MARGIN_MS = 1500;

/**
 * Machines whose shard is kept in memory, so that it isn't computed again; more than any deployment has,
 * former machines included.
 */
export const SHARD_CACHE_SIZE = 20_000;

// --- workers ---
/** Milliseconds that a direct command may take before its outcome counts as unknown. */
export const COMMAND_DEADLINE_MS = 1500;
/** Milliseconds between tries to fence a machine that did not answer; doubles each time. */
export const FENCING_RETRY_MS = 200;
/**
 * Milliseconds. The longest delay between such tries: a shard that is cut off must not keep its leader busy.
 */
export const FENCING_RETRY_MAX_MS = 5000;
/** Doublings of that delay that are computed at most; the longest delay is reached well before. */
export const FENCING_RETRY_DOUBLINGS = 10;
/**
 * Machines that a controller calls to fence them, for each second of processor time it has: at about a
 * millisecond each (a connection, a call, a heartbeat), that is half of its time. Hundreds at once take it
 * for so long that it loses its own lease, and the shards change their leaders again and again. Machines that
 * are called late have often sent a heartbeat before.
 */
export const FENCING_CALLS_PER_CPU_S = 500;
/**
 * Milliseconds for which a new leader waits for heartbeats before it calls the machines. Where the former
 * leader has ended, workers try the other controllers every second, and only the answer to a heartbeat renews
 * a worker lease: calls in that second would take the processor time for those answers.
 */
export const FENCING_DELAY_MS = 1000;
/**
 * Machines not fenced yet up to which a shard counts as taken over: a few that have ended must not delay the
 * failover of other shards.
 */
export const UNFENCED_TOLERATED = 12;
/**
 * Tries to fence a machine after which it is terminated, if most of the shard's machines have been fenced.
 */
export const FENCING_ATTEMPTS = 2;
/** The agent epoch that a worker starts with. */
export const FIRST_AGENT_EPOCH = 1;
/**
 * Milliseconds for which the command to forget an ended task waits for another command to travel with:
 * carried out alone, it is a change that the worker reports by itself, one heartbeat more for every task.
 */
export const FORGET_DELAY_MS = 20_000;
/** Ended tasks of a machine that are forgotten at once: each one makes every heartbeat of it longer. */
export const FORGET_BATCH = 12;
/**
 * Milliseconds for which the answer to a heartbeat may be delayed while its shard is being taken over;
 * workers give up after 4 s.
 */
export const HEARTBEAT_HOLD_MS = 1500;
/** Heartbeat intervals of silence after which a machine is probed directly. */
export const SILENT_HEARTBEATS = 1.8;
/** Heartbeat intervals of silence after which a machine that does not answer is terminated. */
export const LOST_HEARTBEATS = 2.4;
/**
 * Names of terminated machines that a shard's leader remembers; late copies of heartbeats come minutes later
 * at the most.
 */
export const TERMINATED_REMEMBERED = 2000;
/**
 * Share of a shard's machines above which their silence is put down to the leader's own network; while others
 * are heard, it is put down to the machines.
 */
export const SILENT_SHARE_OF_SHARD = 0.8;
/**
 * Share of a shard's machines that must have been heard shortly before a probe for a machine that does not
 * answer it to count as lost and not as cut off: a fifth is far above none.
 */
export const HEARD_BEFORE_SHARE = 0.2;
/**
 * Share of a shard's machines that must have been heard during the failed probe, for the same: a few are
 * heard in the time of a call even where half of the shard's machines have died.
 */
export const HEARD_DURING_SHARE = 0.04;
/**
 * Milliseconds for which the machines of a shard that no controller reaches are kept; several times what a
 * boot takes.
 */
export const PARTITION_KEEP_MS = 180_000;
/**
 * Silent machines of a shard probed at once; of a shard that is cut off there are hundreds, and each call
 * hangs.
 */
export const PROBE_BATCH = 20;
/**
 * Machines that may fall silent together whatever their share; a shard as small as that has no others to be
 * heard.
 */
export const SILENT_TOLERATED = 2;
/**
 * Milliseconds for which a machine gets no new tasks after the first task that failed on it; doubles each
 * time.
 */
export const WORKER_BACKOFF_MS = 4000;
/** How many times that backoff doubles at most. */
export const WORKER_BACKOFF_DOUBLINGS = 5;
/**
 * Failure score from which a machine is drained and terminated, counted since its last result. Two jobs that
 * begin with a mistake on one machine are too few.
 */
export const FAILURE_SCORE_TO_DRAIN = 3;
/** Score of a failure of a job that is known to be sound. */
export const FAILURE_SCORE_SOUND_JOB = 2;
/** Score of a failure of a job that has failed nowhere else. */
export const FAILURE_SCORE_UNPROVEN_JOB = 1;
/**
 * Machines on which a job's tasks must have failed, with no result and none running on, for it to count as a
 * failing job: fewer may all be defective, and a job with a mistake costs little until then.
 */
export const FAILING_JOB_MACHINES = 3;
/** Failing jobs named in a shard's status at most; a few a minute come, and users cancel them. */
export const FAILING_JOBS_REPORTED = 200;
/**
 * Ratio by which a task must outlive those that failed to count in favour of its job: heartbeats come late.
 */
export const OUTLIVES_FACTOR = 2;
/** Milliseconds by which it must outlive them in addition. */
export const OUTLIVES_MS = 2000;
/** Milliseconds before a task that failed is tried again; doubles up to the limit below. */
export const TASK_RETRY_MS = 500;
/** Doublings of that backoff that are computed at most; the longest backoff is reached well before. */
export const TASK_RETRY_DOUBLINGS = 10;
/** Milliseconds. The longest backoff before a task that failed is tried again. */
export const TASK_RETRY_MAX_MS = 30_000;

// --- progress records ---
/** Milliseconds between writes of a shard's progress; workers keep results until then. */
export const PROGRESS_MS = 2500;
/** Milliseconds between such writes when all tasks of a slice have ended: a user may be waiting for it. */
export const PROGRESS_URGENT_MS = 300;
/** Bytes of a page of small records: every controller reads it again whenever an entry on it changes. */
export const PAGE_BYTES = 8192;
/** Bytes of entries on a page for each kilobyte of a value's limit: a quarter is left for the text around. */
export const PAGE_BYTES_PER_VALUE_KB = 768;
/** Tasks in one character of a recorded set of tasks: base64 has six bits a character. */
export const TASKS_PER_CHARACTER = 6;
/** Bytes of an entry of a progress page beside its name and set of tasks: quotes, colon, comma, padding. */
export const PROGRESS_ENTRY_OVERHEAD_BYTES = 12;
/** Bytes of an entry of a page of machines beside its name and its record: quotes, colon, comma. */
export const MACHINE_ENTRY_OVERHEAD_BYTES = 8;
/**
 * Priority, 0 the highest, from which work is low: what of it need not be recorded at once waits for what the
 * rest leaves of the limits.
 */
export const LOW_PRIORITY = 3;
/**
 * Milliseconds after which any controller ends a job all of whose tasks are settled, if the leader of its
 * first shard has not.
 */
export const COMPLETION_FALLBACK_MS = 2000;

// --- autoscaling ---
/** Milliseconds between checks of how many machines a shard needs. */
export const AUTOSCALE_TICK_MS = 1000;
/** Milliseconds for which a type of machine is not requested after the cloud had none. */
export const NO_CAPACITY_MS = 10_000;
/** Milliseconds over which the highest demand is remembered. Price is no objective; late work weighs more. */
export const DEMAND_WINDOW_MS = 300_000;
/** Ratio of machines kept to the highest demand in the window: bursts come several times as large. */
export const DEMAND_HEADROOM = 2;
/** Milliseconds for which a machine must have been idle before it is terminated as unneeded. */
export const SCALE_IN_IDLE_MS = 300_000;
/** Boot times after which a machine no longer counts as booting. */
export const BOOT_LATE_FACTOR = 1.6;
/** Boot times after which a machine that never came up is terminated. */
export const BOOT_LOST_FACTOR = 3;
/** Milliseconds between reads of the cloud's list of machines. */
export const MACHINE_LIST_MS = 8000;
/** Milliseconds between reads of the catalog once it is known; only prices change. */
export const CATALOG_REFRESH_MS = 60_000;
/** Milliseconds that a call of the cloud may take. */
export const CLOUD_DEADLINE_MS = 3000;
/** Share of the cloud's limit that all controllers together plan to use. */
export const CLOUD_SHARE = 0.8;
/** Seconds. What a controller's share of that limit allows in this time may come in one burst. */
export const CLOUD_BURST_S = 2;
/** Requests of a burst that all others leave to terminations, so that they delay none. */
export const TERMINATION_RESERVE = 1;
/** Milliseconds before a scale-out request that was refused or got no answer is repeated under its name. */
export const SCALE_OUT_RETRY_MS = 4 * RETRY_MS;
/** Milliseconds before an unconfirmed termination is repeated; shorter, as the machine's tasks wait. */
export const TERMINATION_RETRY_MS = 2 * RETRY_MS;

// --- mesh ---
/** Milliseconds between messages about a shard while nothing notable happens. */
export const PEER_KEEPALIVE_MS = 1000;
/**
 * Milliseconds without a message after which a shard is given no tasks while others are heard: three
 * keepalives.
 */
export const SHARD_STATUS_STALE_MS = 3000;
/** Load, in machines' worth, by which a shard's average must change for a message of its own. */
export const LOAD_REPORT_STEP = 0.1;
/** Load, in machines' worth, that a shard without machines reports: above that of any other. */
export const LOAD_WITHOUT_MACHINES = 1e6;
/**
 * Milliseconds without contact with the key-value store and without a message from any peer, four keepalives,
 * after which a controller reports to the load balancer that it is not ready: it can decide nothing, and
 * reaches nobody who can. A shorter silence is over before the load balancer has acted.
 */
export const ISOLATED_AFTER_MS = 4000;
/** Milliseconds that connecting to a peer may take. */
export const MESH_CONNECT_MS = 2000;
/** Milliseconds before a lost connection to a peer is tried again. */
export const MESH_RETRY_MS = 500;
/**
 * Bytes. The largest frame between peers; a user's request body with its envelope fits with room to spare.
 */
export const MESH_FRAME_BYTES = 1024 * 1024;
/** Bytes of names and bits in the handover of a shard; half of a frame, so that it fits with its encoding. */
export const HANDOVER_BYTES = MESH_FRAME_BYTES / 2;
/** Milliseconds that a peer has to answer a forwarded request. */
export const FORWARDING_DEADLINE_MS = 900;

/**
 * Milliseconds between two rounds of asking all peers for their observations of jobs: one round serves all
 * polls that wait.
 */
export const UNANIMOUS_READ_GAP_MS = 100;
/**
 * Milliseconds that peers have to answer one round: a poll that comes during a round waits for two within its
 * 2 s.
 */
export const UNANIMOUS_READ_DEADLINE_MS = 400;
/** Jobs asked about in one such round; those beyond it go into the next. */
export const UNANIMOUS_READ_BATCH = 500;

// --- quotas ---
/** Milliseconds between transfers of one team's quota from a shard to another. */
export const QUOTA_REBALANCE_MS = 500;
/**
 * Milliseconds for which one shard goes before the others where all lack a team's quota, at most: the run
 * time of a few tasks.
 */
export const QUOTA_PRECEDENCE_MS = 30_000;
/**
 * Milliseconds within which each shard has its turn, however many there are: one that goes before may lack
 * more than there is and keep what it has, and once all faults are over no task may be pending for 90 s
 * beside room (docs/design.md, "Quotas").
 */
export const QUOTA_ROTATION_MS = 60_000;

// --- HTTP ---
/**
 * Milliseconds for which an idle connection is kept, in either direction; users poll and workers send
 * heartbeats every few seconds. Kept longer, the connections to former leaders and users add up to the
 * sockets that a controller may have.
 */
export const KEEP_ALIVE_MS = 20_000;
/** Connections kept open for each outside address. */
export const CLIENT_SOCKETS = 24;
/**
 * Share of the sockets that a controller may have beyond which its own calls leave no connection open: where
 * one leads most shards, each machine sends heartbeats on a connection and may have been called on another,
 * and with the last socket taken neither gets through.
 */
export const IDLE_SOCKETS_SHARE = 0.2;
/** Seconds after which a user should try again when the service cannot decide yet. */
export const RETRY_AFTER_S = 1;

// --- jobs ---
/** Finished jobs whose final status is kept in memory to answer polls without a read. */
export const FINISHED_JOBS_CACHED = 20_000;
/** Milliseconds without proof of contact after which a peer is asked before the key-value store. */
export const STORE_CONTACT_STALE_MS = 3000;
/**
 * Milliseconds for which a poll waits for the watch that serves it before its job is read by itself; users
 * wait for 2 s. A watch in a stream of changes is back within 0.2 s.
 */
export const POLL_CONFIRM_MS = 400;
/**
 * Groups in which the tasks of a very large job are assigned to shards, so that it does not block the event
 * loop.
 */
export const SHARDING_GROUPS = 1000;
/** Tries of a cancellation against a job that ends at the same time. */
export const CANCEL_ATTEMPTS = 3;
/** Milliseconds for which a machine may be listed as running without a heartbeat before it is terminated. */
export const NEVER_REPORTED_MS = 45_000;
/** Milliseconds after which a machine that no list shows counts as ended, beyond twice the list's lag. */
export const UNLISTED_MS = 20_000;

// --- scheduling rounds ---
/**
 * Milliseconds from one scheduling round to the next at least; what happens in between is scheduled together.
 */
export const SCHEDULING_GAP_MS = 20;

// --- migration ---
/**
 * Milliseconds between checks of which pending tasks another shard has room for; one migration each, as each
 * is a write.
 */
export const MIGRATION_TICK_MS = 1000;
/**
 * Milliseconds for which tasks must have found no room before they migrate to idle machines: most are placed
 * sooner.
 */
export const MIGRATE_TO_IDLE_AFTER_MS = 2000;
/**
 * Milliseconds after which tasks leave a shard for one that has no idle machine: because this one has no
 * machine for them at all, or that one has room beside other tasks. Most machines have booted, and most tasks
 * are placed, sooner.
 */
export const MIGRATE_TO_SHARED_AFTER_MS = 20_000;
/**
 * Machines of a pool whose free capacity a shard's leader reports: a migration fills a few, and the next
 * message has new ones.
 */
export const FREE_CAPACITY_REPORTED = 4;
/** Slices of a job up to which its tasks migrate: the job's record stays well below the limit for a value. */
export const MAX_SLICES = 48;

// --- low priority ---
/**
 * Seconds of a task's estimated run time up to which it is short: longer ones are not reported often enough
 * to matter.
 */
export const SHORT_TASK_S = 20;
/**
 * Short tasks of low priority that a controller starts, for each second of processor time it has: each is
 * reported twice or more, several to a heartbeat of a millisecond, so at this pace they take half of its
 * time. Thousands of a few seconds at once have every machine send two heartbeats a second: the controller
 * handles none of them in time, and worker leases expire.
 */
export const LOW_PRIORITY_STARTS_PER_CPU_S = 400;
/**
 * Milliseconds for which work of low priority starts nothing in a shard when other work begins to find no
 * room there: thousands of tiny tasks, each ended one followed by the next, would leave no room for a larger
 * task.
 */
export const LOW_PRIORITY_HOLD_MS = 4000;
/**
 * Milliseconds from one such hold to the next at least: in a backlog, in which new work finds no room every
 * second, low priority would never start again.
 */
export const LOW_PRIORITY_HOLD_GAP_MS = 20_000;

// --- serving order ---
/** Milliseconds for which the serving order of pending jobs is kept before it is computed again. */
export const SERVING_ORDER_MS = 300;
/**
 * Ratio to the estimated run time below which no run is expected: an objective missed even so is given up.
 */
export const OPTIMISTIC_RUN_RATIO = 0.6;
/** Milliseconds of slack below which a pending job may preempt work of lower priority. */
export const PREEMPT_SLACK_MS = 8000;
/** Milliseconds allowed for fetching an image and for the messages around a task. */
export const TASK_OVERHEAD_MS = 6000;
/** Milliseconds. A job without an objective and without a deadline is served as if it had so long. */
export const DEFAULT_OBJECTIVE_MS = 300_000;
/**
 * Milliseconds after its submission from which a job goes before the others of its level, so that none starves.
 */
export const STARVATION_MS = 900_000;
