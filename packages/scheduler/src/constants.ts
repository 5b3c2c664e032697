/**
 * The constants of the service, each with its unit. Values that a deployment sets (worker lease, heartbeat
 * interval, limits) are read from the settings instead.
 */

// --- limits of the protocol ---
/** Bytes. The protocol's limit for a request body. */
export const MAX_BODY_BYTES = 64 * 1024;
/** Tasks. The protocol's limit for a job. */
export const MAX_TASKS = 100_000;
/**
 * Characters. Longest text field of a submission. It keeps a job's record well below the limit for a value.
 */
export const MAX_TEXT_LENGTH = 400;
/** Items. Longest list of machine types in a submission, for the same reason. */
export const MAX_MACHINE_TYPES = 64;
/** Machines. The maximum that the cloud terminates in one request. */
export const TERMINATE_BATCH = 100;
/** Machines. The maximum that the cloud creates in one request. */
export const SCALE_OUT_BATCH = 50;
/** Machines. The maximum that the cloud lists in one response. */
export const CLOUD_PAGE_SIZE = 500;
/** Items. The maximum that the key-value store lists in one response. */
export const STORE_PAGE_SIZE = 1000;
/** Ratio. Maximum difference in rate of two monotonic clocks: 0.05% each way, doubled for two machines. */
export const CLOCK_DRIFT = 0.001;

// --- attempts ---
/** Attempt numbers that belong to one fencing token; the numbers of the next token follow. */
export const ATTEMPTS_PER_TOKEN = 2 ** 20;

// --- fencing tokens ---
/** Fencing tokens that belong to one leadership of a shard; those of the next leadership follow. */
export const TOKENS_PER_LEADERSHIP = 2 ** 16;
/** The highest fencing token whose attempt numbers are all safe integers. */
export const MAX_FENCING_TOKEN = 2 ** 33 - 1;

// --- key-value store ---
/** Milliseconds after which a call without an answer has timed out; answers normally take under 10 ms. */
export const STORE_DEADLINE_MS = 1000;
/**
 * Milliseconds that a watch waits for changes. Short, as each answer to a watch renews the controller's proof
 * of contact.
 */
export const WATCH_HOLD_MS = 1500;
/**
 * Share of a controller's requests that watches may use while changes keep coming. Users' reads need the
 * rest.
 */
export const WATCH_REQUEST_SHARE = 0.25;
/**
 * Milliseconds. Duration of a controller's lease. Longer delays failover; shorter causes needless failovers.
 */
export const NODE_LEASE_MS = 4000;
/** Milliseconds between renewals of the controller's lease, so that three are tried before it expires. */
export const NODE_LEASE_RENEWAL_MS = 1000;
/** Milliseconds before a failed call is retried, without jitter. */
export const RETRY_MS = 250;
/** Pages. Maximum read for one list. More than any deployment has; it stops a list that never ends. */
export const MAX_LIST_PAGES = 10_000;
/** Share of the store's request and write limits that all controllers together use. */
export const STORE_LIMIT_SHARE = 0.85;
/** Divisor of a burst. It gives the part that background calls leave to user and leadership calls. */
export const BACKGROUND_RESERVE_DIVISOR = 3;
/** Milliseconds that a user's request may wait for its turn at the key-value store before it is rejected. */
export const USER_QUEUE_MS = 300;
/** Bytes of a value that are reserved for the text of a progress page other than the set of settled tasks. */
export const SLICE_RECORD_OVERHEAD_BYTES = 4096;

// --- leadership ---
/** Milliseconds between checks of which controller leads which shard. */
export const LEADERSHIP_TICK_MS = 200;
/**
 * Milliseconds that each candidate waits longer than the one ranked above it before it takes over a shard.
 */
export const FAILOVER_STEP_MS = 1500;
/**
 * Milliseconds after its start during which a controller takes over its own shards only. After all
 * controllers stop at once, the first to restart would otherwise take over every shard and lack the processor
 * time to serve them.
 */
export const STARTUP_SETTLE_MS = 4000;
/**
 * Milliseconds that a controller waits before it takes over another controller's shard while it is still
 * fencing the machines of a shard that it leads. A terminated controller has often restarted by then, and a
 * controller that takes over all shards at once serves none of them.
 */
export const FAILOVER_BACKOFF_MS = 10_000;
/** Milliseconds that a zone's own controller must have been running before a shard is handed back to it. */
export const HANDBACK_DELAY_MS = 3000;
/** Milliseconds between samples of the event-loop lag. */
export const LAG_SAMPLE_MS = 100;
/**
 * Milliseconds of delay above which a timer counts as late. Several such delays fit into a call's deadline.
 */
export const LAG_THRESHOLD_MS = 250;
/**
 * Milliseconds without event-loop lag after which a controller does other work besides answering requests.
 */
export const LAG_FREE_MS = 500;
/** Milliseconds between probes of an unreachable shard. */
export const REACHABILITY_PROBE_MS = 2000;
/**
 * Milliseconds within which every running controller has probed a shard that its leader cannot reach: two
 * probes.
 */
export const REACHABILITY_SETTLED_MS = 2 * REACHABILITY_PROBE_MS + 2000;
/** Machines that are called in one probe of a shard. */
export const REACHABILITY_SAMPLE = 3;
/** Milliseconds. Safety margin added whenever the expiry of a worker lease is computed. */
export const LEASE_MARGIN_MS = 1500;

/** Machines whose computed shard is cached. More than any deployment has, former machines included. */
export const SHARD_CACHE_SIZE = 20_000;

// --- workers ---
/** Milliseconds after which a direct command without an answer has an unknown outcome. */
export const COMMAND_DEADLINE_MS = 1500;
/** Milliseconds before the first retry of a fencing call that got no answer; the delay doubles each time. */
export const FENCING_RETRY_MS = 200;
/**
 * Milliseconds. Maximum delay between such retries. A shard behind a partition must not keep its leader busy.
 */
export const FENCING_RETRY_MAX_MS = 5000;
/** Doublings. Maximum computed for the delay; `FENCING_RETRY_MAX_MS` is reached after fewer. */
export const FENCING_RETRY_DOUBLINGS = 10;
/**
 * Fencing calls that a controller makes for each second of processor time it has. Each costs about a
 * millisecond (a connection, a call, a heartbeat), so they use half of its time. Hundreds of calls at once
 * take so long that the controller loses its own lease, and the shards change leaders repeatedly. Machines
 * that are called late have often sent a heartbeat before.
 */
export const FENCING_CALLS_PER_CPU_S = 500;
/**
 * Milliseconds that a new leader waits for heartbeats before it calls the machines. After the former leader
 * has terminated, workers try the other controllers every second. Only the answer to a heartbeat renews a
 * worker lease, and calls in that second would take the processor time for those answers.
 */
export const FENCING_DELAY_MS = 1000;
/**
 * Unfenced machines up to which the takeover of a shard is complete. A few terminated machines must not delay
 * the failover of other shards.
 */
export const UNFENCED_TOLERATED = 12;
/**
 * Fencing calls without an answer after which a machine that leaves a probe unanswered is terminated, if most
 * machines of its shard are fenced.
 */
export const FENCING_ATTEMPTS = 2;
/** The agent epoch that a worker starts with. */
export const FIRST_AGENT_EPOCH = 1;
/**
 * Milliseconds that the command to forget an ended task waits to be sent together with another command. The
 * worker reports each such change. Sent alone, the command would cause an extra heartbeat for every task.
 */
export const FORGET_DELAY_MS = 20_000;
/** Milliseconds between log lines that count a shard's commands to machines. */
export const COMMAND_COUNTS_MS = 60_000;
/** Milliseconds after which the reply to a heartbeat has normally reached its worker. */
export const REPLY_DELIVERY_MS = 500;
/** Ended tasks of a machine above which they are forgotten at once; each lengthens every heartbeat. */
export const FORGET_BATCH = 12;
/**
 * Milliseconds that the answer to a heartbeat may be delayed while its shard is being taken over. Workers
 * time out after 4 s.
 */
export const HEARTBEAT_HOLD_MS = 1500;
/** Heartbeat intervals without contact after which a machine is probed directly. */
export const SILENT_HEARTBEATS = 1.8;
/** Heartbeat intervals without contact after which a machine that does not answer is terminated. */
export const LOST_HEARTBEATS = 2.4;
/**
 * Terminated machines whose names a shard's leader keeps, to reject late copies of their heartbeats. These
 * arrive within minutes.
 */
export const TERMINATED_REMEMBERED = 2000;
/**
 * Share of a shard's machines above which missing heartbeats are attributed to the leader's own network.
 * Below it, while other machines still send heartbeats, they are attributed to the silent machines.
 */
export const SILENT_SHARE_OF_SHARD = 0.8;
/**
 * Share of a shard's machines that must have contacted the leader shortly before a probe. Only then is a
 * machine that does not answer the probe lost rather than partitioned. A fifth is clearly more than none.
 */
export const HEARD_BEFORE_SHARE = 0.2;
/**
 * Share of a shard's machines that must have contacted the leader during the failed probe or within
 * `COMMAND_DEADLINE_MS` before it, for the same reason. A few do so within the time of a call even when half
 * of the shard's machines have failed.
 */
export const HEARD_DURING_SHARE = 0.04;
/**
 * Milliseconds that the machines of a shard that no controller reaches are kept: several times the boot time.
 */
export const PARTITION_KEEP_MS = 180_000;
/**
 * Silent machines of a shard that are probed at once. A partitioned shard has hundreds, and each call to one
 * hangs.
 */
export const PROBE_BATCH = 20;
/**
 * Machines that may become silent together regardless of their share: a shard this small has no other
 * machines that could send heartbeats.
 */
export const SILENT_TOLERATED = 2;
/** Milliseconds that a machine gets no new tasks after the first failed task; doubles with each failure. */
export const WORKER_BACKOFF_MS = 4000;
/** Doublings. Maximum for that backoff. */
export const WORKER_BACKOFF_DOUBLINGS = 5;
/**
 * Failure score, counted since a machine's last result, from which the machine is drained and terminated. Two
 * faulty jobs that fail on one machine do not reach it.
 */
export const FAILURE_SCORE_TO_DRAIN = 3;
/** Score of a failure of a job that is known to work. */
export const FAILURE_SCORE_SOUND_JOB = 2;
/** Score of all failures together of a job that has failed on no other machine. */
export const FAILURE_SCORE_UNPROVEN_JOB = 1;
/**
 * Machines on which tasks of a job must have failed before the job counts as failing. A job that has a
 * result, or a task that has outlived the failed ones, does not count. Fewer machines may all be defective,
 * and a faulty job costs little until then.
 */
export const FAILING_JOB_MACHINES = 3;
/** Failing jobs. Maximum listed in a shard's status. A few appear each minute, and users cancel them. */
export const FAILING_JOBS_REPORTED = 200;
/**
 * Ratio by which a task must run longer than the failed tasks of its job to have outlived them, as heartbeats
 * may be late.
 */
export const OUTLIVES_FACTOR = 2;
/** Milliseconds that are added to that ratio of the failed tasks' run time. */
export const OUTLIVES_MS = 2000;
/** Milliseconds before a failed task is retried; doubles up to `TASK_RETRY_MAX_MS`. */
export const TASK_RETRY_MS = 500;
/** Doublings. Maximum computed for that backoff; `TASK_RETRY_MAX_MS` is reached after fewer. */
export const TASK_RETRY_DOUBLINGS = 10;
/** Milliseconds. Maximum backoff before a failed task is retried. */
export const TASK_RETRY_MAX_MS = 30_000;

// --- progress records ---
/** Milliseconds between writes of a shard's progress; workers keep results until then. */
export const PROGRESS_MS = 2500;
/** Milliseconds between such writes when all tasks of a slice have ended, as a user may be waiting for it. */
export const PROGRESS_URGENT_MS = 300;
/**
 * Bytes of a page of small records. Every controller reads the page again whenever one of its entries
 * changes.
 */
export const PAGE_BYTES = 8192;
/** Bytes of entries on a page for each kilobyte of a value's limit; a quarter is left for other text. */
export const PAGE_BYTES_PER_VALUE_KB = 768;
/** Tasks in one character of a recorded set of tasks: base64 has six bits a character. */
export const TASKS_PER_CHARACTER = 6;
/** Bytes of an entry of a progress page beside its name and set of tasks: quotes, colon, comma, padding. */
export const PROGRESS_ENTRY_OVERHEAD_BYTES = 12;
/** Bytes of an entry of a page of machines beside its name and its record: quotes, colon, comma. */
export const MACHINE_ENTRY_OVERHEAD_BYTES = 8;
/**
 * Priority, 0 the highest, from which on work has low priority. Its records that are not urgent use only what
 * the other writes leave of the limits.
 */
export const LOW_PRIORITY = 3;
/**
 * Milliseconds after which any controller completes a job whose tasks are all settled, if the leader of its
 * first shard has not.
 */
export const COMPLETION_FALLBACK_MS = 2000;

// --- autoscaling ---
/** Milliseconds between checks of how many machines a shard needs. */
export const AUTOSCALE_TICK_MS = 1000;
/** Milliseconds for which a machine type is not requested after the cloud had no capacity for it. */
export const NO_CAPACITY_MS = 10_000;
/** Milliseconds. Window for the peak demand. Price is not an objective; late work matters more. */
export const DEMAND_WINDOW_MS = 300_000;
/** Ratio of machines kept to the peak demand in the window. Bursts are several times as large. */
export const DEMAND_HEADROOM = 2;
/** Milliseconds that a machine must have been idle before scale-in terminates it. */
export const SCALE_IN_IDLE_MS = 300_000;
/** Boot times after which a machine is no longer treated as booting. */
export const BOOT_LATE_FACTOR = 1.6;
/**
 * Boot times after which a machine is terminated that has sent no heartbeat and is not listed as running.
 */
export const BOOT_LOST_FACTOR = 3;
/** Milliseconds between reads of the cloud's list of machines. */
export const MACHINE_LIST_MS = 8000;
/** Milliseconds between reads of the catalog after the first; only prices change. */
export const CATALOG_REFRESH_MS = 60_000;
/** Milliseconds after which a call to the cloud times out. */
export const CLOUD_DEADLINE_MS = 3000;
/** Share of the cloud's request limit that all controllers together use. */
export const CLOUD_SHARE = 0.8;
/** Seconds of a controller's share of that limit that one burst may use. */
export const CLOUD_BURST_S = 2;
/** Requests of a burst that are reserved for terminations, so that other requests do not delay them. */
export const TERMINATION_RESERVE = 1;
/**
 * Milliseconds before a scale-out request that was rejected or got no answer is retried under the same name.
 */
export const SCALE_OUT_RETRY_MS = 4 * RETRY_MS;
/** Milliseconds before an unconfirmed termination is retried; shorter, as the machine's tasks wait for it. */
export const TERMINATION_RETRY_MS = 2 * RETRY_MS;

// --- mesh ---
/**
 * Milliseconds between keepalives to a peer, and between status messages about a shard that does not change.
 */
export const PEER_KEEPALIVE_MS = 1000;
/**
 * Milliseconds without a status message after which a shard gets no tasks while other shards still send
 * messages: three keepalives.
 */
export const SHARD_STATUS_STALE_MS = 3000;
/** Load, in fully booked machines, by which a shard's average must change to be reported at once. */
export const LOAD_REPORT_STEP = 0.1;
/** Load, in fully booked machines, that a shard without machines reports: above that of any other shard. */
export const LOAD_WITHOUT_MACHINES = 1e6;
/**
 * Milliseconds without contact with the key-value store and without a message from any peer (four keepalives)
 * after which a controller reports to the load balancer that it is not ready. It can decide nothing then, and
 * reaches no controller that can. A shorter interruption is over before the load balancer reacts.
 */
export const ISOLATED_AFTER_MS = 4000;
/** Milliseconds after which connecting to a peer times out. */
export const MESH_CONNECT_MS = 2000;
/** Milliseconds before a controller reconnects to a peer. */
export const MESH_RETRY_MS = 500;
/** Bytes. Maximum frame between peers. A user's request body and its envelope fit easily. */
export const MESH_FRAME_BYTES = 1024 * 1024;
/**
 * Bytes of slice names and task sets in the handover of a shard; half of a frame, to leave room for encoding.
 */
export const HANDOVER_BYTES = MESH_FRAME_BYTES / 2;
/** Milliseconds after which a forwarded request times out. */
export const FORWARDING_DEADLINE_MS = 900;

/**
 * Milliseconds between rounds of asking all peers for their observations of jobs. A round serves all waiting
 * polls.
 */
export const UNANIMOUS_READ_GAP_MS = 100;
/**
 * Milliseconds that peers have to answer one round. A poll that arrives during a round waits for two rounds,
 * within its limit of 2 s.
 */
export const UNANIMOUS_READ_DEADLINE_MS = 400;
/** Jobs. Maximum asked about in one such round; further jobs go into the next. */
export const UNANIMOUS_READ_BATCH = 500;

// --- reported ends ---
/**
 * Milliseconds of a read lease, counted from the request for it. Longer than a controller's restart; and users
 * whose polls fail because no majority knows an end wait no longer than this.
 */
export const READ_LEASE_MS = 20_000;
/** Milliseconds between requests that renew the read leases and ask for acknowledgements. */
export const READ_LEASE_RENEWAL_MS = 1000;
/**
 * Milliseconds without a reply of a peer that is up after which this node acknowledges ends in its own record,
 * at a write each second.
 */
export const PEER_SILENT_MS = 2500;
/** Ends. Maximum that a request asks about, and that a reply lists. */
export const END_ACKNOWLEDGEMENT_BATCH = 200;
/** Milliseconds that a user's request waits for peers to acknowledge the end of its job. */
export const END_ACKNOWLEDGEMENT_DEADLINE_MS = 400;
/** Milliseconds between requests to peers while users wait for acknowledgements. */
export const END_ACKNOWLEDGEMENT_GAP_MS = 100;

// --- quotas ---
/** Milliseconds between transfers of one team's quota from a shard to another. */
export const QUOTA_REBALANCE_MS = 500;
/**
 * Milliseconds. Maximum time that one shard takes precedence when all shards lack a team's quota: the run
 * time of a few tasks.
 */
export const QUOTA_PRECEDENCE_MS = 30_000;
/**
 * Milliseconds within which each shard has its turn of precedence, however many shards there are. A shard
 * with precedence that needs more quota than there is keeps what it has. Once all faults have ended, no task
 * may be pending for 90 s while a machine has room for it (docs/design.md, "Quotas").
 */
export const QUOTA_ROTATION_MS = 60_000;

// --- HTTP ---
/**
 * Milliseconds after which an idle connection is closed, whichever side opened it. Users poll and workers
 * send heartbeats every few seconds. With a longer time, connections from workers to their former leaders and
 * from users would use up the sockets that a controller may have.
 */
export const KEEP_ALIVE_MS = 20_000;
/** Connections. Maximum for each address that the controller calls. */
export const CLIENT_SOCKETS = 24;
/**
 * Share of a controller's sockets above which it keeps no idle connections from its own calls. A controller
 * that leads most shards may have two connections with each machine: one for the machine's heartbeats and one
 * from a call to the machine. Once all sockets are in use, neither heartbeats nor calls get through.
 */
export const IDLE_SOCKETS_SHARE = 0.2;
/** Seconds after which a user should retry when the service cannot decide yet. */
export const RETRY_AFTER_S = 1;

// --- jobs ---
/** Finished jobs whose final status is cached, so that polls need no read. */
export const FINISHED_JOBS_CACHED = 20_000;
/**
 * Milliseconds from the deletion of a job's open record until its final record is read, unless a peer reports
 * the end before: several times what a message between controllers takes.
 */
export const FINAL_RECORD_GRACE_MS = 250;
/** Milliseconds between turns in which missing final records are read. */
export const FINAL_RECORD_TICK_MS = 250;
/** Final records that are read in one turn at most. */
export const FINAL_RECORD_READS = 8;
/** Jobs whose final records are still to be read at most. */
export const FINAL_RECORDS_MISSING_MAX = 1000;
/**
 * Revisions before a process's first one whose final records it reads at its start: more than a deployment
 * writes while a controller restarts, and a fifth of the changes that the store keeps.
 */
export const RECENT_ENDS_REVISIONS = 2000;
/** Ends. Maximum of these that a process remembers: as many as a reply to a peer can list. */
export const RECENT_ENDS_MAX = END_ACKNOWLEDGEMENT_BATCH;
/**
 * Jobs that are not open in the watch cache and of which a revision is remembered at which they were open:
 * several minutes of acceptances and ends in a large deployment.
 */
export const LAST_OPEN_REVISIONS_REMEMBERED = 5000;
/**
 * Milliseconds without proof of contact after which peers are asked before the key-value store, and no tasks
 * migrate.
 */
export const STORE_CONTACT_STALE_MS = 3000;
/**
 * Milliseconds that a poll waits for the watch before its job is read directly. Users wait for 2 s. While
 * changes keep coming, a watch is answered within 0.2 s.
 */
export const POLL_CONFIRM_MS = 400;
/**
 * Groups in which the tasks of a very large job are assigned to shards, as assigning them one by one would
 * block the event loop.
 */
export const SHARDING_GROUPS = 1000;
/**
 * Maximum transactions tried for a cancellation that conflicts with changes of the job, such as its
 * completion.
 */
export const CANCEL_ATTEMPTS = 3;
/** Milliseconds that a machine may be listed as running without a heartbeat before it is terminated. */
export const NEVER_REPORTED_MS = 45_000;
/**
 * Milliseconds, added to twice the list's lag, that must have passed since a machine was listed. Only then
 * does its absence from the list mean that it has terminated.
 */
export const UNLISTED_MS = 20_000;

// --- scheduling rounds ---
/** Milliseconds. Minimum between scheduling rounds. One round handles all changes since the previous one. */
export const SCHEDULING_GAP_MS = 20;

// --- migration ---
/**
 * Milliseconds between checks of which pending tasks another shard has room for. Each check makes at most one
 * migration, as a migration costs a write.
 */
export const MIGRATION_TICK_MS = 1000;
/**
 * Milliseconds that tasks must have found no room before they migrate to idle machines; most are placed
 * sooner.
 */
export const MIGRATE_TO_IDLE_AFTER_MS = 2000;
/**
 * Milliseconds after which tasks migrate to a shard that has no idle machine, either because their own shard
 * has no machine for them or because the other has room beside other tasks. Most machines have booted, and
 * most tasks are placed, sooner.
 */
export const MIGRATE_TO_SHARED_AFTER_MS = 20_000;
/**
 * Machines of each pool whose free capacity a shard's leader reports. A migration fills a few, and the next
 * message lists others.
 */
export const FREE_CAPACITY_REPORTED = 4;
/**
 * Slices of a job up to which its tasks migrate, so that its record stays well below the limit for a value.
 */
export const MAX_SLICES = 48;

// --- low priority ---
/** Seconds. Maximum estimated run time of a short task. Longer tasks cause too few heartbeats to matter. */
export const SHORT_TASK_S = 20;
/**
 * Short tasks of low priority that a controller starts for each second of processor time it has. Each task is
 * reported twice or more. A heartbeat reports several and costs a millisecond, so this rate uses half of the
 * controller's time. Thousands of tasks of a few seconds at once make every machine send two heartbeats a
 * second; the controller then handles none of them in time, and worker leases expire.
 */
export const LOW_PRIORITY_STARTS_PER_CPU_S = 400;
/**
 * Milliseconds that a shard starts no work of low priority after other work begins to find no room there.
 * Otherwise thousands of tiny tasks, each started as another ends, would leave no room for a larger task.
 */
export const LOW_PRIORITY_HOLD_MS = 4000;
/**
 * Milliseconds. Minimum from the start of one such hold to the start of the next. In a backlog, new work
 * finds no room every second. Without a minimum, work of low priority would never start again.
 */
export const LOW_PRIORITY_HOLD_GAP_MS = 20_000;

// --- serving order ---
/** Milliseconds that the serving order of pending jobs is cached. */
export const SERVING_ORDER_MS = 300;
/**
 * Ratio of the shortest expected run time to the estimated one. An objective that even such a run would miss
 * is disregarded.
 */
export const OPTIMISTIC_RUN_RATIO = 0.6;
/** Milliseconds of slack below which a pending job may preempt tasks of lower priority. */
export const PREEMPT_SLACK_MS = 8000;
/** Milliseconds allowed for fetching an image and for the messages around a task. */
export const TASK_OVERHEAD_MS = 6000;
/** Milliseconds. Default objective of a job that has neither an objective nor a deadline. */
export const DEFAULT_OBJECTIVE_MS = 300_000;
/** Milliseconds from submission after which a job precedes the others of its level, so that none starves. */
export const STARVATION_MS = 900_000;
