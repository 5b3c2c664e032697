/**
 * Every constant of the service, with its unit and its reason. What a deployment sets (lease, report
 * interval, limits) is never here; it is read from the settings file.
 */

// --- protocol limits ---
/** Bytes. The protocol's limit of a request body. */
export const MAX_BODY_BYTES = 64 * 1024;
/** Tasks. The protocol's limit of a job. */
export const MAX_TASKS = 100_000;
/** Characters. Longest text field taken in a submission; keeps a job's record well below a value's limit. */
export const MAX_TEXT_LENGTH = 400;
/** Items. Longest list of machine types taken in a submission, for the same reason. */
export const MAX_MACHINE_TYPES = 64;
/** Machines. The most the cloud takes in one return. */
export const TERMINATE_BATCH = 100;
/** Machines. The most the cloud rents in one request. */
export const SCALE_OUT_BATCH = 50;
/** Machines. The most the cloud lists in one response. */
export const CLOUD_PAGE_SIZE = 500;
/** Items. The most the state service lists in one response. */
export const STORE_PAGE_SIZE = 1000;
/** Ratio. By how much two steady clocks may differ: 0.05% each way, doubled for two machines. */
export const CLOCK_DRIFT = 0.001;

// --- attempts ---
/** Attempts one token can number before they would run into the next token's. */
export const ATTEMPTS_PER_TOKEN = 2 ** 20;

// --- state service ---
/** Milliseconds a call may take before it counts as unanswered; answers normally take under 10 ms. */
export const STORE_DEADLINE_MS = 1000;
/** Milliseconds a follow waits for changes. Short, because its return is our proof of contact. */
export const WATCH_HOLD_MS = 1500;
/** Share of a node's requests that follows may take in a stream of changes; users' reads need the rest. */
export const WATCH_REQUEST_SHARE = 0.25;
/** Milliseconds a node's lease lives. Longer costs time after a crash, shorter costs false takeovers. */
export const NODE_LEASE_MS = 4000;
/** Milliseconds between extensions of the node's lease: three tries before it runs out. */
export const NODE_LEASE_RENEWAL_MS = 1000;
/** Milliseconds before a failed call is tried again, before jitter. */
export const RETRY_MS = 250;
/** Pages. More pages than any deployment has; ends a list that never ends. */
export const MAX_LIST_PAGES = 10_000;
/** Ratio of the request and change limits that all nodes together plan to use. */
export const STORE_LIMIT_SHARE = 0.85;
/** Milliseconds a user's request may wait for its turn at the state service before it is refused. */
export const USER_QUEUE_MS = 300;
/** Bytes of a value left beside the bits of a slice's tasks. */
export const SLICE_RECORD_OVERHEAD_BYTES = 4096;

// --- ownership ---
/** Milliseconds between looks at who owns what. */
export const LEADERSHIP_TICK_MS = 200;
/** Milliseconds each lower-ranked candidate waits longer before it takes a part over. */
export const FAILOVER_STEP_MS = 1500;
/**
 * Milliseconds for which a node that has just come up takes over its own parts only. Where all controllers
 * end at once, the first to be back would take everything, and have no processor time for any of it.
 */
export const STARTUP_SETTLE_MS = 4000;
/**
 * Milliseconds that a node which is still asking the machines of one part waits before it takes another that is
 * not its own: a node that ended is often back by then, and one that takes all at once serves none of them.
 */
export const FAILOVER_BACKOFF_MS = 10_000;
/** Milliseconds a zone's own node must have been up before a part is handed back to it. */
export const HANDBACK_DELAY_MS = 3000;
/** Milliseconds between looks at whether this process is late. */
export const LAG_SAMPLE_MS = 100;
/** Milliseconds after its time at which a timer counts as late: several such waits stay within a call's deadline. */
export const LAG_THRESHOLD_MS = 250;
/** Milliseconds without lateness after which a node has processor time for more than what reaches it. */
export const LAG_FREE_MS = 500;
/** Milliseconds between tries to reach a part that could not be reached. */
export const REACHABILITY_PROBE_MS = 2000;
/** Milliseconds within which every node that is up has tried to reach a part that its owner does not: two such tries. */
export const REACHABILITY_SETTLED_MS = 2 * REACHABILITY_PROBE_MS + 2000;
/** Machines asked in such a try. */
export const REACHABILITY_SAMPLE = 3;
/** Milliseconds of safety added to every reckoning of when a worker's lease is over. */
export const LEASE_MARGIN_MS = 1500;

/** Machines whose part is kept in memory; above the machines of any deployment, names of gone ones included. */
export const SHARD_CACHE_SIZE = 20_000;

// --- workers ---
/** Milliseconds a direct command may take before its outcome counts as unknown. */
export const COMMAND_DEADLINE_MS = 1500;
/** Milliseconds between tries to fence a machine that did not answer; doubles each time. */
export const FENCING_RETRY_MS = 200;
/** Milliseconds. The longest pause between such tries: a part that is cut off must not keep its owner busy. */
export const FENCING_RETRY_MAX_MS = 5000;
/** How often the pause doubles at the most; more doublings would only exceed the longest pause again. */
export const FENCING_RETRY_DOUBLINGS = 10;
/**
 * Machines that a node asks to accept it as their new owner, for each second of processor time it has: at about
 * a millisecond each (a connection, a call, a report), that is half of its time. Hundreds at once take it for
 * so long that it loses its own lease, and the parts go round; those asked late often report before.
 */
export const FENCING_CALLS_PER_CPU_S = 500;
/**
 * Milliseconds a new owner waits for machines to report before it asks them. Where the owner before is gone they
 * try the others every second, and only a report renews a lease: asking meanwhile takes the time to answer them.
 */
export const FENCING_DELAY_MS = 1000;
/** Machines not fenced yet up to which a part counts as taken over: a few that are gone must not hold others up. */
export const UNFENCED_TOLERATED = 12;
/** Tries to fence a machine after which it is returned, if most of the part's machines have been fenced. */
export const FENCING_ATTEMPTS = 2;
/** The session that a worker begins with. */
export const FIRST_AGENT_EPOCH = 1;
/**
 * Milliseconds for which the order to forget a finished task waits for another order to travel with: carried out
 * alone, it is a change that the machine reports by itself, a report more for every task.
 */
export const FORGET_DELAY_MS = 20_000;
/** Finished tasks of a machine that are forgotten at once: each one makes every report of it longer. */
export const FORGET_BATCH = 12;
/** Milliseconds a report may wait for a part that is just being taken over; workers give up after 4 s. */
export const HEARTBEAT_HOLD_MS = 1500;
/** Report intervals of silence after which a machine is asked directly. */
export const SILENT_HEARTBEATS = 1.8;
/** Report intervals of silence after which an unanswering machine is returned. */
export const LOST_HEARTBEATS = 2.4;
/** Names of gone machines that a part's owner remembers; late copies of reports come minutes later at the most. */
export const TERMINATED_REMEMBERED = 2000;
/** Share of a part's machines above which silence is laid to the owner: while others are heard, it is theirs. */
export const SILENT_SHARE_OF_SHARD = 0.8;
/**
 * Shares of a part's machines heard shortly before a question, and around the time in which it was asked in vain, from
 * which a machine that does not answer is lost and not cut off: a fifth is far above none, and a few are heard in the
 * time of a call even where half of the part has died.
 */
export const HEARD_BEFORE_SHARE = 0.2;
export const HEARD_DURING_SHARE = 0.04;
/** Milliseconds for which the machines of a part that no node reaches are kept; several times what a boot takes. */
export const PARTITION_KEEP_MS = 180_000;
/** Silent machines of a part asked at once; of a part that is cut off there are hundreds, and each call hangs. */
export const PROBE_BATCH = 20;
/** Machines that may fall silent together whatever the share; a part as small as that has no others to be heard. */
export const SILENT_TOLERATED = 2;
/** Milliseconds a machine gets no new tasks after the first task that failed on it; doubles each time. */
export const WORKER_BACKOFF_MS = 4000;
/** How often that pause doubles at the most. */
export const WORKER_BACKOFF_DOUBLINGS = 5;
/**
 * What speaks against a machine, from which it is drained and returned: each failure of a sound job two, a job that has
 * failed nowhere else one, both since its last result. Two jobs that begin with a mistake on one machine are too few.
 */
export const FAILURE_SCORE_TO_DRAIN = 3;
export const FAILURE_SCORE_SOUND_JOB = 2;
export const FAILURE_SCORE_UNPROVEN_JOB = 1;
/**
 * Machines on which a job's tasks must have failed, with no result and none running on, to count as failing everywhere:
 * of fewer it may be that they are all faulty, and a job with a mistake costs little until then.
 */
export const FAILING_JOB_MACHINES = 3;
/** Failing jobs that siblings are told of; a few a minute come, and users cancel them. */
export const FAILING_JOBS_REPORTED = 200;
/** Ratio, and milliseconds more, by which a task must outlive those that failed to speak for its job: reports come late. */
export const OUTLIVES_FACTOR = 2;
export const OUTLIVES_MS = 2000;
/** Milliseconds before a task that failed is tried again; doubles to the limit below. */
export const TASK_RETRY_MS = 500;
/** How often that doubles at the most. */
export const TASK_RETRY_DOUBLINGS = 10;
/** Milliseconds. The longest pause before a failing task is tried again. */
export const TASK_RETRY_MAX_MS = 30_000;

// --- bookkeeping of progress ---
/** Milliseconds between records of a part's progress; the workers keep results until then. */
export const PROGRESS_MS = 2500;
/** Milliseconds between such records when all tasks of a slice have ended: a user may be waiting for it. */
export const PROGRESS_URGENT_MS = 300;
/** Bytes of a page of small records: every node reads it again whenever an entry of it changes. */
export const PAGE_BYTES = 8192;
/** Bytes of a page for each kilobyte of a value's limit: a quarter is left for what surrounds the entries. */
export const PAGE_BYTES_PER_VALUE_KB = 768;
/** Tasks in one character of a recorded set of tasks. */
export const TASKS_PER_CHARACTER = 6;
/** Bytes that surround the name and the set of tasks in an entry of a progress page. */
export const PROGRESS_ENTRY_OVERHEAD_BYTES = 12;
/** Bytes that surround the name and the record in an entry of a page of machines. */
export const MACHINE_ENTRY_OVERHEAD_BYTES = 8;
/** Priority, 0 the highest, from which work is low: what of it need not be recorded at once waits for what the rest leaves. */
export const LOW_PRIORITY = 3;
/** Milliseconds after which any node ends a job all of whose tasks are settled, if its first part's owner has not. */
export const COMPLETION_FALLBACK_MS = 2000;

// --- renting ---
/** Milliseconds between looks at how many machines a part needs. */
export const AUTOSCALE_TICK_MS = 1000;
/** Milliseconds a kind of machine is not asked for after the cloud had none. */
export const NO_CAPACITY_MS = 10_000;
/** Milliseconds over which the highest need is remembered. Price is no aim; late work weighs more. */
export const DEMAND_WINDOW_MS = 300_000;
/** Ratio of machines kept to the highest need in the window: bursts come several times as large. */
export const DEMAND_HEADROOM = 2;
/** Milliseconds a machine must have been empty before it is returned as unneeded. */
export const SCALE_IN_IDLE_MS = 300_000;
/** Boot times after which a machine no longer counts as coming. */
export const BOOT_LATE_FACTOR = 1.6;
/** Boot times after which a machine that never came up is deleted. */
export const BOOT_LOST_FACTOR = 3;
/** Milliseconds between reads of the machine list. */
export const MACHINE_LIST_MS = 8000;
/** Milliseconds between reads of the catalogue once it is known; only prices change. */
export const CATALOG_REFRESH_MS = 60_000;
/** Milliseconds a cloud call may take. */
export const CLOUD_DEADLINE_MS = 3000;
/** Ratio of the cloud's limit that all nodes together plan to use. */
export const CLOUD_SHARE = 0.8;
/** Seconds of a node's share of that limit that it may use in one burst. */
export const CLOUD_BURST_S = 2;
/** Requests. Room in the burst that all other requests leave, so that they delay no termination. */
export const TERMINATION_RESERVE = 1;
/** Milliseconds before a request for machines that was refused or got no answer is repeated under its name. */
export const SCALE_OUT_RETRY_MS = 4 * RETRY_MS;
/** Milliseconds before an unconfirmed termination is repeated; shorter, as the machine's tasks wait for it. */
export const TERMINATION_RETRY_MS = 2 * RETRY_MS;

// --- mesh ---
/** Milliseconds between messages about a part when nothing notable happens. */
export const PEER_KEEPALIVE_MS = 1000;
/** Milliseconds without a message after which a part is given no tasks while others are heard: three beats. */
export const SHARD_STATUS_STALE_MS = 3000;
/** Load, in machines' worth. A part's average must move by this for a message of its own. */
export const LOAD_REPORT_STEP = 0.1;
/** Load, in machines' worth, that a part without machines tells: above that of any other. */
export const LOAD_WITHOUT_MACHINES = 1e6;
/**
 * Milliseconds without contact and without a word of any sibling, four beats, after which a node sends users elsewhere:
 * it can decide nothing, and reaches nobody who can. A shorter silence is over before the load balancer has acted.
 */
export const ISOLATED_AFTER_MS = 4000;
/** Milliseconds a connection to a sibling may take. */
export const MESH_CONNECT_MS = 2000;
/** Milliseconds before a lost connection to a sibling is tried again. */
export const MESH_RETRY_MS = 500;
/** Bytes. The largest frame between siblings; a user's body and its envelope fit with room. */
export const MESH_FRAME_BYTES = 1024 * 1024;
/** Bytes of names and bits in a handover of a part; half of a frame, so that it fits with its signs. */
export const HANDOVER_BYTES = MESH_FRAME_BYTES / 2;
/** Milliseconds a sibling has to answer a request passed on to it. */
export const FORWARDING_DEADLINE_MS = 900;

/** Milliseconds between two rounds of asking all siblings to vouch for jobs: one round serves all polls that wait. */
export const UNANIMOUS_READ_GAP_MS = 100;
/** Milliseconds that siblings have to answer one: a poll that comes during a round waits for two within its 2 s. */
export const UNANIMOUS_READ_DEADLINE_MS = 400;
/** Jobs asked about in one such round; those beyond it have the next. */
export const UNANIMOUS_READ_BATCH = 500;

// --- limits of teams ---
/** Milliseconds between shifts of one team's limit from a part to another. */
export const QUOTA_REBALANCE_MS = 500;
/** Milliseconds for which one part goes before the others where all lack a team's share, at most: a few tasks' run. */
export const QUOTA_PRECEDENCE_MS = 30_000;
/**
 * Milliseconds within which each part has its turn, however many there are: one that goes before may lack more than there
 * is and hold on to it, and once troubles are over nobody may wait for 90 s beside room (LATER.md of the hunt sites).
 */
export const QUOTA_ROTATION_MS = 60_000;

// --- HTTP ---
/**
 * Milliseconds an idle connection is kept, in either direction; users poll and workers report every few seconds.
 * Kept longer, the connections of former owners and users add up to the sockets a controller may have.
 */
export const KEEP_ALIVE_MS = 20_000;
/** Connections kept open per outside address. */
export const CLIENT_SOCKETS = 24;
/**
 * Share of the sockets that a controller may have beyond which its own calls leave no connection open: where one owns
 * most parts, each machine reports on a connection and may have been called on another, and with the last socket taken
 * neither gets through.
 */
export const IDLE_SOCKETS_SHARE = 0.2;
/** Seconds a user is told to wait when the service cannot decide yet. */
export const RETRY_AFTER_S = 1;

// --- jobs ---
/** Jobs over whose final state is kept in memory to answer polls without a read. */
export const FINISHED_JOBS_CACHED = 20_000;
/** Milliseconds without proof of contact after which a sibling is asked before the state service. */
export const STORE_CONTACT_STALE_MS = 3000;
/**
 * Milliseconds a poll waits for the follow that serves it before it is read by itself; users wait 2 s. A follow
 * in a stream of changes is back within 0.2 s.
 */
export const POLL_CONFIRM_MS = 400;
/** Groups in which the tasks of a very large job are shared out, so that it does not hold the process up. */
export const SHARDING_GROUPS = 1000;
/** Tries of a withdrawal against a job that ends at the same time. */
export const CANCEL_ATTEMPTS = 3;
/** Milliseconds a machine may be listed as running without ever reporting before it is returned. */
export const NEVER_REPORTED_MS = 45_000;
/** Milliseconds after which a rented machine that no list shows is taken for gone, beyond twice the list's lag. */
export const UNLISTED_MS = 20_000;

// --- placing ---
/** Milliseconds between two rounds of placing at least; what happens in between is placed together. */
export const SCHEDULING_GAP_MS = 20;

// --- moves ---
/** Milliseconds between looks at which waiting tasks another part has room for; one move each, as each is a change. */
export const MIGRATION_TICK_MS = 1000;
/** Milliseconds for which tasks must have found no room before they move to idle machines: most waits end sooner. */
export const MIGRATE_TO_IDLE_AFTER_MS = 2000;
/**
 * Milliseconds after which tasks leave a part for one that has no idle machine: because this one has none for them at all,
 * or that one has room beside other tasks. Most boots come up, and most waits end, sooner.
 */
export const MIGRATE_TO_SHARED_AFTER_MS = 20_000;
/** Machines of a kind of which a part's owner tells what they have left: a move fills a few, and the next message tells anew. */
export const FREE_CAPACITY_REPORTED = 4;
/** Slices of a job up to which its tasks move: the job's record stays well below a value's limit. */
export const MAX_SLICES = 48;

// --- low priority ---
/** Seconds of a task's estimated run up to which it is short: longer ones are not reported often enough to matter. */
export const SHORT_TASK_S = 20;
/**
 * Short tasks of low priority that a node starts, for each second of processor time it has: each is reported twice or
 * more, several to a report of a millisecond, so at this pace they take half of its time. Thousands of a few seconds at
 * once have every machine report twice a second: the controller hears none of them in time, and their leases end.
 */
export const LOW_PRIORITY_STARTS_PER_CPU_S = 400;
/**
 * Milliseconds for which work of low priority starts nothing in a part when other work begins to find no room there:
 * thousands of tiny tasks, each ended one followed by the next, else leave no room for a larger task. And from one such
 * hold to the next at least: in a backlog, in which new work finds no room every second, it would never start again.
 */
export const LOW_PRIORITY_HOLD_MS = 4000;
export const LOW_PRIORITY_HOLD_GAP_MS = 20_000;

// --- waiting order ---
/** Milliseconds for which the order of the waits is kept before it is reckoned again. */
export const SERVING_ORDER_MS = 300;
/** Ratio of the reckoned run time below which no run is expected: an aim missed even so is given up. */
export const OPTIMISTIC_RUN_RATIO = 0.6;
/** Milliseconds of slack below which a waiting job may stop work of lower priority. */
export const PREEMPT_SLACK_MS = 8000;
/** Milliseconds reckoned for fetching an image and for the messages around a task. */
export const TASK_OVERHEAD_MS = 6000;
/** Milliseconds. A job that no aim and no deadline speaks of is served as if it had so long. */
export const DEFAULT_OBJECTIVE_MS = 300_000;
/** Milliseconds after which a job that missed all its aims goes before the others, so that none starves. */
export const STARVATION_MS = 900_000;
