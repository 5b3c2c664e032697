/** The mutants of the scheduler's safety checks. */
import type * as Explorer from '../src/randomized-testing.ts';

/** A fault put into the scheduler: a piece of its source and the text that replaces it. */
export interface Mutant {
  name: string;
  file: string;
  find: string;
  put: string;
  /**
   * The size of random scenarios that detects the mutant soonest, or the scripted scenario that detects it.
   */
  detectedBy: { size: Explorer.SizeName } | { scenario: string };
}

export const mutants: Mutant[] = [
  {
    name: 'fencing token not incremented',
    file: 'coordination/leadership/leadership-writer.ts',
    find: 'fencingToken: (before?.fencingToken ?? 0) + 1',
    put: 'fencingToken: before?.fencingToken ?? 1',
    detectedBy: { size: 'strangers' },
  },
  {
    name: 'held tasks released at takeover',
    file: 'coordination/shard-leader.ts',
    find: 'new Slice(assignment, true)',
    put: 'new Slice(assignment, false)',
    detectedBy: { size: 'storm' },
  },
  {
    name: 'worker lease computed without clock drift and margin',
    file: 'coordination/workers/worker-lease.ts',
    find: 'settings.leaseMs * (1 + CLOCK_DRIFT) + LEASE_MARGIN_MS',
    put: 'settings.leaseMs',
    detectedBy: { size: 'silence' },
  },
  {
    name: 'a forget command sent before the result is persisted',
    file: 'coordination/workers/worker-commands.ts',
    find: 'if (!this.mayForget(ended)) continue;',
    put: '',
    detectedBy: { size: 'strangers' },
  },
  {
    name: 'leader lease not checked',
    file: 'leader-lease.ts',
    find: 'return this.clock.now() - this.watchCache.confirmedAt < this.durationMs;',
    put: 'return true;',
    // In random scenarios, peers mostly notify the leader of a cancellation before it can miss it.
    detectedBy: {
      scenario: 'a refused leader, a cancellation at another node, a store outage for all nodes',
    },
  },
  {
    name: 'quota not reserved during its transfer',
    file: 'coordination/quota/quota-rebalancer.ts',
    find: 'shard.usage.reserveTransfer(team, amounts);',
    put: '',
    detectedBy: { size: 'storm' },
  },
  {
    name: 'spot flag ignored',
    file: 'coordination/scheduling/placement-constraints.ts',
    find: '(spec.spot || !machine.spot)',
    put: 'true',
    detectedBy: { size: 'small' },
  },
  {
    name: 'poll answered from a stale watch cache',
    file: 'coordination/jobs/job-state-reader.ts',
    find: 'await watchCache.confirmWithin(POLL_CONFIRM_MS);',
    put: 'true;',
    detectedBy: {
      scenario: 'users query all nodes, a leader is partitioned from its peers and refused',
    },
  },
  {
    name: 'poll answered from a stale watch cache, with users querying all nodes',
    file: 'coordination/jobs/job-state-reader.ts',
    find: 'await watchCache.confirmWithin(POLL_CONFIRM_MS);',
    put: 'true;',
    detectedBy: { scenario: 'users query all nodes, seed 4' },
  },
  {
    name: 'a completion without a version precondition',
    file: 'coordination/jobs/job-completion.ts',
    find: '[{ key: openJobKey(id), version }],',
    put: '[],',
    detectedBy: { scenario: 'a cancellation, a poll and a submission as the last task completes' },
  },
  {
    name: 'an unanswered quota transfer treated as rejected',
    file: 'coordination/quota/quota-rebalancer.ts',
    find: 'this.unresolved.set(`${shard.name}/${team}`, transfer);',
    put: 'shard.usage.reserveTransfer(team, null);',
    detectedBy: { scenario: 'a quota transfer whose response does not reach the giving node' },
  },
  {
    name: 'cancelled tasks left on their machines',
    file: 'coordination/workers/task-attempts.ts',
    find: 'if (attempt.slice !== slice) continue;',
    put: 'if (attempt.slice !== null) continue;',
    detectedBy: { scenario: 'jobs cancelled during a takeover' },
  },
  {
    name: 'zone constraint ignored when tasks are assigned to shards',
    file: 'coordination/jobs/shard-assignment.ts',
    find: 'const inOneShard = spec.oneZone || (spec.spread && isConfinedToOneZone(spec, zones));',
    put: 'const inOneShard = false;',
    detectedBy: { size: 'storm' },
  },
  {
    name: 'tasks on an unreconciled machine not counted',
    file: 'coordination/quota/team-usage.ts',
    find: 'if (left && !machine.unreconciled) continue;',
    put: 'if (left) continue;',
    detectedBy: { size: 'strangers' },
  },
  {
    name: 'an unanswered migration treated as rejected',
    file: 'coordination/scheduling/pending-task-migration.ts',
    find: "if (attempt === 'retry' || !(error instanceof RequestRejected)) {",
    put: "if (attempt === 'retry') {",
    detectedBy: { size: 'strangers' },
  },
  {
    name: 'a migrating task adopted from a report',
    file: 'coordination/workers/reported-tasks.ts',
    find: '!slice.isMigrating(position);',
    put: 'true;',
    detectedBy: { scenario: 'a late report of "running", and the migration is committed' },
  },
  {
    name: 'a one-zone job migrated to another zone while some of its tasks run',
    file: 'coordination/scheduling/migration-constraints.ts',
    find: 'if (spec.oneZone && migratable < unsettledIn(known, () => true)) return 0;',
    put: '',
    detectedBy: {
      scenario: 'one-zone jobs in a zone that can run only some of their tasks, next to an idle zone',
    },
  },
  {
    name: 'a spread job migrated to a zone that already has half of it',
    file: 'coordination/scheduling/migration-constraints.ts',
    find: 'Math.max(0, maxInZone(spec) - unsettledIn(known, (shard) => zoneOf(shard) === zone))',
    put: 'spec.tasks',
    detectedBy: { scenario: 'jobs spread over two zones, one of which loses all its machines' },
  },
  {
    name: 'all tasks of a spread job started in its only zone',
    file: 'coordination/scheduling/scheduling-round.ts',
    find: 'if (remainingStarts <= 0) break;',
    put: '',
    detectedBy: { scenario: 'spread jobs confined to one zone' },
  },
  {
    name: 'low-priority work held back forever',
    file: 'coordination/scheduling/low-priority-throttle.ts',
    find: 'return now - this.lastHoldAt < LOW_PRIORITY_HOLD_MS;',
    put: 'return true;',
    detectedBy: { scenario: 'more work than capacity over slow links' },
  },
  {
    name: 'quota precedence not shortened with the number of shards',
    file: 'coordination/quota/quota-precedence.ts',
    find: 'Math.min(QUOTA_PRECEDENCE_MS, QUOTA_ROTATION_MS / Math.max(1, shardNames.length - 1))',
    put: 'QUOTA_PRECEDENCE_MS',
    detectedBy: { scenario: 'a small task and large ones below a team limit, in five shards, seed 2' },
  },
  {
    name: 'free capacity on busy machines not published',
    file: 'coordination/scheduling/machine-pools.ts',
    find: '(pool.freeCapacity ??= []).push({ ...free })',
    put: 'void free',
    detectedBy: { scenario: 'a shard full of long tasks, next to one with free capacity on busy machines' },
  },
  {
    name: 'tasks assigned to a machine without heartbeats',
    file: 'coordination/scheduling/schedulable-machines.ts',
    find: 'now - machine.lastHeartbeatAt < heartbeatIntervalMs',
    put: 'now - machine.lastContactAt < heartbeatIntervalMs',
    detectedBy: { scenario: 'machines whose heartbeats reach no controller' },
  },
  {
    name: 'tasks assigned to a machine before its record is persisted',
    file: 'storage/machine.ts',
    find: 'persisted: false,',
    put: 'persisted: true,',
    detectedBy: { scenario: 'new machines up within two seconds, late writes, and the leader stops' },
  },
  {
    name: 'tasks on an unreconciled machine not counted, with every team at its limit',
    file: 'coordination/quota/team-usage.ts',
    find: 'if (left && !machine.unreconciled) continue;',
    put: 'if (left) continue;',
    detectedBy: { scenario: 'every team at its limit, cancelled jobs on partitioned machines' },
  },
  {
    name: 'a heartbeat with a stale fencing token accepted',
    file: 'coordination/workers/heartbeat-handler.ts',
    find: 'if (heartbeat.fencingToken < this.shard.fencingToken) {',
    put: 'if (heartbeat.fencingToken < 0) {',
    detectedBy: { scenario: 'old heartbeats reach every controller during a takeover, seed 3' },
  },
  {
    name: 'a heartbeat with an old sequence number accepted',
    file: 'coordination/workers/heartbeat-handler.ts',
    find: 'if (heartbeat.agentEpoch === machine.agentEpoch && heartbeat.sequence <= machine.sequence) return false;',
    put: '',
    detectedBy: { scenario: 'duplicated heartbeats arrive after newer ones' },
  },
  {
    name: 'a cancelled task not counted against its team’s limit',
    file: 'coordination/workers/task-attempts.ts',
    find: 'else needsStopCommand = true;',
    put: 'else { needsStopCommand = true; this.detach(machine, attempt); }',
    detectedBy: { scenario: 'every team at its limit, cancelled jobs on frozen machines' },
  },
  {
    name: 'held tasks released at takeover, with a zone cut off',
    file: 'coordination/shard-leader.ts',
    find: 'new Slice(assignment, true)',
    put: 'new Slice(assignment, false)',
    detectedBy: { scenario: 'a zone partitioned for longer than a lease' },
  },
  {
    name: 'a new incarnation of a node not distinguished',
    file: 'coordination/leadership/membership.ts',
    find: 'return this.nodes.get(record.leader)?.incarnation === record.incarnation;',
    put: 'return this.nodes.has(record.leader);',
    detectedBy: { scenario: 'a node that restarts within a fraction of a second' },
  },
  {
    name: 'a repeated submission accepted twice',
    file: 'coordination/jobs/job-submission.ts',
    find: '[key, jobKey(spec.id)].map',
    put: '[key].map',
    detectedBy: { size: 'returns' },
  },
  {
    name: 'a result that is known forgotten before it is persisted',
    file: 'coordination/workers/worker-commands.ts',
    find: 'slice.persisted.has(position)',
    put: 'slice.settled.has(position)',
    detectedBy: { size: 'returns' },
  },
  {
    name: 'no stop commands in the response to a machine of the former leader',
    file: 'coordination/workers/heartbeat-handler.ts',
    find: `heartbeat.fencingToken < this.shard.fencingToken
      ? [...due, ...reportedTasks.stopCommandsFor(heartbeat)]
      : due`,
    put: 'due',
    detectedBy: { scenario: 'the first response to workers that stayed with a refused leader' },
  },
  {
    name: 'no stop commands in the response to an old heartbeat',
    file: 'coordination/workers/heartbeat-handler.ts',
    find: 'if (!isNew) return reportedTasks.stopCommandsFor(heartbeat);',
    put: 'if (!isNew) return [];',
    detectedBy: { scenario: 'a response to a stale heartbeat' },
  },
  {
    name: 'a worker lease renewed while a launch command in flight may start a cancelled task',
    file: 'coordination/workers/heartbeat-handler.ts',
    find: 'if (attempts.mayLaunchCancelledTask(machine)) return null;',
    put: '',
    detectedBy: { scenario: 'a launch command delayed beyond the cancellation' },
  },
  {
    name: 'tasks of the former leader on an unreachable machine treated as terminated at once',
    file: 'coordination/workers/heartbeat-handler.ts',
    find: 'machine.unreconciled && isFormerLeaseExpired(machine, clock.now(), settings)',
    put: 'machine.unreconciled',
    detectedBy: { scenario: 'workers that the new leader cannot reach' },
  },
  {
    name: 'tasks that no machine of their shard may run do not migrate while quota is lacking',
    file: 'coordination/scheduling/scheduling-round.ts',
    find: "if (reason !== 'quota') return reason === 'capacity';",
    put: "if (reason !== '') return reason === 'capacity';",
    detectedBy: {
      scenario: 'tasks without a machine in their shard, their team near its limit, seed 1',
    },
  },
  {
    name: 'a unanimous read accepts a node without the record, whatever its earlier processes reported',
    file: 'coordination/leadership/unreported-end.ts',
    find: "(observation.kind === 'none' && observation.forgottenEndsUpTo <= lastOpenAt)",
    put: "observation.kind === 'none'",
    detectedBy: { scenario: 'a cancellation missed by the leader, confirmed long before that node restarts' },
  },
  {
    name: 'a new process that assumes that earlier processes of its node reported no end',
    file: 'coordination/job-view.ts',
    find: 'evicted > unreadUpTo ? evicted : unreadUpTo;',
    put: 'evicted;',
    detectedBy: { scenario: 'a completion told long before that node restarts, before a store outage' },
  },
  {
    name: 'a peer that knows the end of a job does not answer for the others',
    file: 'coordination/jobs/job-requests.ts',
    find: 'if (known) return this.reportable(jobId, known);',
    put: '',
    detectedBy: { scenario: 'a job whose end one node knows, polled at the others in a store outage' },
  },
  {
    name: 'a unanimous read never accepts a node that has read nothing since its start',
    file: 'coordination/leadership/unreported-end.ts',
    find: "observation.kind === 'unread' && observation.forgottenEndsUpTo <= lastOpenAt",
    put: 'false',
    detectedBy: { scenario: 'restarts in a store outage, with jobs polled throughout' },
  },
  {
    name: 'a unanimous read that ignores that a majority may have known the end',
    file: 'coordination/leadership/unreported-end.ts',
    find: 'maxKnowing < majority &&',
    put: '',
    detectedBy: { scenario: 'a cancellation told by a majority whose nodes restart in a store outage' },
  },
  {
    name: 'ends not acknowledged in the record of a node whose peers are silent',
    file: 'coordination/leadership/node-registration.ts',
    find: 'endReporting.hasSilentPeer ? watchCache.currentRevision : null',
    put: 'null',
    detectedBy: { scenario: 'a job that ends while controllers reach only the store' },
  },
  {
    name: 'read leases that never expire',
    file: 'coordination/leadership/peer-read-leases.ts',
    find: 'return this.context.clock.now() - grantedAt >= READ_LEASE_MS;',
    put: 'return grantedAt === -Infinity;',
    detectedBy: { scenario: 'a completion told by a node that then restarts, in a store outage' },
  },
  {
    name: 'an end reported before a majority knows it, while read leases are valid',
    file: 'coordination/jobs/end-acknowledgements.ts',
    find: 'return !end || this.clock.now() - end.learnedAt >= REPORT_WITHOUT_MAJORITY_MS;',
    put: 'return true;',
    detectedBy: {
      scenario: 'a completion that a node has told nobody before it restarts in a store outage',
    },
  },
  {
    name: 'final records that no controller has reported are never read',
    file: 'coordination/controller.ts',
    find: '() => finalRecords.readMissing()',
    put: '() => undefined',
    detectedBy: {
      scenario: 'an unanswered cancellation and long after it a restart, seconds before a store outage',
    },
  },
  {
    name: 'final records that were committed before the start are never read',
    file: 'coordination/watch-dispatcher.ts',
    find: 'void recentEnds.read(watchCache.firstRevision);',
    put: '{ /* not read */ }',
    detectedBy: { scenario: 'a job that ends before its only controller restarts, then a store outage' },
  },
  {
    name: 'a new process that assumes that it has read all ends before its start',
    file: 'coordination/jobs/recent-ends-reader.ts',
    find: 'this.readAfter = newestDropped ?? revision;',
    put: 'this.readAfter = 0;',
    detectedBy: { scenario: 'a completion told long before that node restarts, before a store outage' },
  },
  {
    name: 'a unanimous read without the revisions after which deleted jobs ended',
    file: 'coordination/job-view.ts',
    find: 'endedAfter: deletedJobs.endedAfter(job)',
    put: 'endedAfter: 0',
    detectedBy: { scenario: 'an unanswered cancellation, then a store outage for all nodes' },
  },
  {
    name: 'a record page written without a version precondition',
    file: 'coordination/reconciliation/shard-records.ts',
    find: 'const conditions = [this.leadershipPrecondition(), { key: page.key, version }];',
    put: 'const conditions = [this.leadershipPrecondition()];',
    detectedBy: { scenario: 'writes to live/progress/ applied late' },
  },
  {
    name: 'a new leader that ignores the persisted results',
    file: 'storage/slice.ts',
    find: 'this.settled = new TaskSet(assignment.count, assignment.settled);',
    put: 'this.settled = new TaskSet(assignment.count);',
    detectedBy: { scenario: 'results recorded across several leader changes' },
  },
];
