import { build, type Plugin } from 'esbuild';
import { readFile } from 'node:fs/promises';
import { fileURLToPath } from 'node:url';
import { Worker } from 'node:worker_threads';
import type * as Explorer from '../src/randomized-testing.ts';

/** A change of the scheduler's own safety, as a piece of its source and what stands in its place. */
export interface Mutant {
  name: string;
  file: string;
  find: string;
  put: string;
  /** The kind of days on which it shows soonest, or the story that is told of what it takes away. */
  detectedBy: { size: Explorer.SizeName } | { scenario: string };
}

const root = fileURLToPath(new URL('../../..', import.meta.url));

/** Builds the explorer with a mutated scheduler. Throws where the source no longer has the piece exactly once. */
async function buildMutant(mutant: Mutant): Promise<string> {
  let replaced = 0;
  const plugin: Plugin = {
    name: 'mutant',
    setup: (setup) => {
      setup.onLoad({ filter: /scheduler\/src\/.*\.ts$/ }, async ({ path }) => {
        const source = await readFile(path, 'utf8');
        if (!path.endsWith(mutant.file)) return { contents: source, loader: 'ts' };
        const pieces = source.split(mutant.find);
        replaced += pieces.length - 1;
        return { contents: pieces.join(mutant.put), loader: 'ts' };
      });
    },
  };
  const outfile = `${root}/target/mutants/${mutant.name.replaceAll(/\W+/g, '-')}.cjs`;
  await build({
    entryPoints: [
      `${root}/packages/emulator/${'size' in mutant.detectedBy ? 'src/randomized-testing.ts' : 'test/leader-fault-scenarios.ts'}`,
    ],
    bundle: true,
    platform: 'node',
    target: 'node20',
    format: 'cjs',
    logLevel: 'error',
    outfile,
    plugins: [plugin],
  });
  if (replaced !== 1)
    throw new Error(`${mutant.name}: its piece stands ${String(replaced)} times in ${mutant.file}`);
  return outfile;
}

/** Runs in a thread of its own, so that mutants are played side by side. */
const detectionScript = `
const { parentPort, workerData } = require('node:worker_threads');
const { runSeededScenario, scenarioSeed, scenarios } = require(workerData.outfile);
(async () => {
  if (workerData.scenario) {
    const [violation] = await scenarios[workerData.scenario]();
    return parentPort.postMessage(violation ? { rule: violation.rule, runs: 1 } : null);
  }
  for (let number = 0; number < workerData.maxRuns; number++) {
    const { outcome } = await runSeededScenario(workerData.size, scenarioSeed(1, number));
    // A broken rule, and not only work that goes on too slowly.
    const violation = outcome.violations.find((v) => v.rule !== 'stuck');
    if (violation) return parentPort.postMessage({ rule: violation.rule, runs: number + 1 });
  }
  parentPort.postMessage(null);
})();`;

/** The rule that the mutant broke and the days that took, or null where none was broken in so many days. */
export async function detect(
  mutant: Mutant,
  maxRuns: number,
): Promise<{ rule: string; runs: number } | null> {
  const outfile = await buildMutant(mutant);
  const worker = new Worker(detectionScript, {
    eval: true,
    workerData: { outfile, ...mutant.detectedBy, maxRuns },
  });
  try {
    return await new Promise((resolve, reject) => {
      worker.once('message', resolve);
      worker.once('error', reject);
    });
  } finally {
    await worker.terminate();
  }
}

export const mutants: Mutant[] = [
  {
    name: 'fencing token ignored',
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
    name: 'lease reckoned without drift and margin',
    file: 'coordination/workers/worker-lease.ts',
    find: 'settings.leaseMs * (1 + CLOCK_DRIFT) + LEASE_MARGIN_MS',
    put: 'settings.leaseMs',
    detectedBy: { size: 'silence' },
  },
  {
    name: 'a forget before its record',
    file: 'coordination/workers/worker-commands.ts',
    find: 'if (slice && !slice.cancelled && !slice.persisted.has(position)) continue;',
    put: '',
    detectedBy: { size: 'strangers' },
  },
  {
    name: 'proof of contact skipped',
    file: 'leader-lease.ts',
    find: 'return this.clock.now() - this.watchCache.confirmedAt < this.durationMs;',
    put: 'return true;',
    // On drawn days siblings mostly tell of a cancellation before it could be missed.
    detectedBy: { scenario: 'a refused leader, a cancellation by another, an outage for all' },
  },
  {
    name: 'share used before commit',
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
    name: 'poll answered from a stale replica',
    file: 'coordination/jobs/job-state-reader.ts',
    find: 'await watchCache.confirmWithin(POLL_CONFIRM_MS);',
    put: 'true;',
    detectedBy: { size: 'strangers' },
  },
  {
    name: 'poll answered from a stale replica, under close looks',
    file: 'coordination/jobs/job-state-reader.ts',
    find: 'await watchCache.confirmWithin(POLL_CONFIRM_MS);',
    put: 'true;',
    detectedBy: { scenario: 'users look closely at all nodes, one of them refused' },
  },
  {
    name: 'an end that does not name the version it ends',
    file: 'coordination/jobs/job-completion.ts',
    find: '[{ key: openJobKey(id), version }],',
    put: '[],',
    detectedBy: { scenario: 'a cancellation, a question and a submission at the end of the last task' },
  },
  {
    name: 'a shift of a limit without an answer taken for refused',
    file: 'coordination/quota/quota-rebalancer.ts',
    find: 'this.unresolved.set(`${shard.name}/${team}`, transfer);',
    put: 'shard.usage.reserveTransfer(team, null);',
    detectedBy: { scenario: 'share of a limit given up by a node that does not hear of it' },
  },
  {
    name: 'cancelled tasks left on their machines',
    file: 'coordination/workers/task-attempts.ts',
    find: 'if (attempt.slice !== slice) continue;',
    put: 'if (attempt.slice !== null) continue;',
    detectedBy: { scenario: 'jobs cancelled while work changes hands' },
  },
  {
    name: 'zone rule forgotten when tasks are shared out',
    file: 'coordination/jobs/shard-assignment.ts',
    find: 'const inOneShard = spec.oneZone || (spec.spread && isConfinedToOneZone(spec, zones));',
    put: 'const inOneShard = false;',
    detectedBy: { size: 'storm' },
  },
  {
    name: 'what could be on a suspect machine not counted',
    file: 'coordination/quota/team-usage.ts',
    find: 'if (left && !machine.unreconciled) continue;',
    put: 'if (left) continue;',
    detectedBy: { size: 'strangers' },
  },
  {
    name: 'a move without an answer taken for refused',
    file: 'coordination/scheduling/pending-task-migration.ts',
    find: "if (attempt === 'retry' || !(error instanceof RequestRejected)) {",
    put: "if (attempt === 'retry') {",
    detectedBy: { size: 'strangers' },
  },
  {
    name: 'a job in one zone moved to another while some of it runs',
    file: 'coordination/scheduling/migration-constraints.ts',
    find: 'if (spec.oneZone && migratable < unsettledIn(known, () => true)) return 0;',
    put: '',
    detectedBy: { scenario: 'jobs in one zone with room for a part of them, beside an idle zone' },
  },
  {
    name: 'a spread job moved to a zone that has its half',
    file: 'coordination/scheduling/migration-constraints.ts',
    find: 'Math.max(0, maxInZone(spec) - unsettledIn(known, (shard) => zoneOf(shard) === zone))',
    put: 'spec.tasks',
    detectedBy: { scenario: 'jobs spread over two zones of which one loses all its machines' },
  },
  {
    name: 'all of a spread job started in its only zone',
    file: 'coordination/scheduling/scheduling-round.ts',
    find: 'if (remainingStarts <= 0) break;',
    put: '',
    detectedBy: { scenario: 'spread jobs that have one zone only' },
  },
  {
    name: 'low work held back for ever',
    file: 'coordination/scheduling/low-priority-throttle.ts',
    find: 'return now - this.lastHoldAt < LOW_PRIORITY_HOLD_MS;',
    put: 'return true;',
    detectedBy: { scenario: 'more work than room over slow links' },
  },
  {
    name: 'turns at a limit that are as long however many parts there are',
    file: 'coordination/quota/quota-precedence.ts',
    find: 'Math.min(QUOTA_PRECEDENCE_MS, QUOTA_ROTATION_MS / Math.max(1, shardNames.length - 1))',
    put: 'QUOTA_PRECEDENCE_MS',
    detectedBy: { scenario: 'a small task beside large ones at a limit, in five parts, 2' },
  },
  {
    name: 'room beside other tasks not told of',
    file: 'coordination/scheduling/machine-pools.ts',
    find: '(pool.freeCapacity ??= []).push({ ...free })',
    put: 'void free',
    detectedBy: { scenario: 'a part full of long tasks, beside one with room on machines that are not idle' },
  },
  {
    name: 'a machine that reports to nobody given tasks',
    file: 'coordination/scheduling/schedulable-machines.ts',
    find: 'now - machine.lastHeartbeatAt < heartbeatIntervalMs',
    put: 'now - machine.lastContactAt < heartbeatIntervalMs',
    detectedBy: { scenario: 'machines that reach no controller' },
  },
  {
    name: 'a machine given work before its record',
    file: 'storage/machine.ts',
    find: 'persisted: false,',
    put: 'persisted: true,',
    detectedBy: { scenario: 'new machines up within two seconds while writes lag, and the leader ends' },
  },
  {
    name: 'what could be on a suspect machine not counted, with every team at its limit',
    file: 'coordination/quota/team-usage.ts',
    find: 'if (left && !machine.unreconciled) continue;',
    put: 'if (left) continue;',
    detectedBy: { scenario: 'every team at its limit, cancelled jobs on machines cut off' },
  },
  {
    name: 'a report of long ago taken for one of now',
    file: 'coordination/workers/heartbeat-handler.ts',
    find: 'if (heartbeat.fencingToken < this.shard.fencingToken) {',
    put: 'if (heartbeat.fencingToken < 0) {',
    detectedBy: { scenario: 'old reports reach every controller as a new leader begins' },
  },
  {
    name: 'an older report taken for a newer one',
    file: 'coordination/workers/heartbeat-handler.ts',
    find: 'if (heartbeat.agentEpoch === machine.agentEpoch && heartbeat.sequence <= machine.sequence) return false;',
    put: '',
    detectedBy: { scenario: 'copies of reports come after newer ones' },
  },
  {
    name: 'a cancelled task that no longer counts against its team’s limit',
    file: 'coordination/workers/task-attempts.ts',
    find: 'else needsStopCommand = true;',
    put: 'else { needsStopCommand = true; this.detach(machine, attempt); }',
    detectedBy: { scenario: 'every team at its limit, cancelled jobs on machines that hang' },
  },
  {
    name: 'held tasks released at takeover, with a zone cut off',
    file: 'coordination/shard-leader.ts',
    find: 'new Slice(assignment, true)',
    put: 'new Slice(assignment, false)',
    detectedBy: { scenario: 'a zone cut off for longer than a lease' },
  },
  {
    name: 'an incarnation not told apart',
    file: 'coordination/leadership/membership.ts',
    find: 'return this.nodes.get(record.leader)?.incarnation === record.incarnation;',
    put: 'return this.nodes.has(record.leader);',
    detectedBy: { scenario: 'a process back within a fraction of a second' },
  },
  {
    name: 'a repeated submission carried out twice',
    file: 'coordination/jobs/job-submission.ts',
    find: '[key, jobKey(spec.id)].map',
    put: '[key].map',
    detectedBy: { size: 'returns' },
  },
  {
    name: 'a result known twice forgotten before its record',
    file: 'coordination/workers/reported-tasks.ts',
    find: 'return { slice, position: slice.position(parsed.index) };',
    put: 'return slice.settled.has(slice.position(parsed.index)) ? null : { slice, position: slice.position(parsed.index) };',
    detectedBy: { size: 'returns' },
  },
  {
    name: 'an answer to a machine of an owner before stops nothing',
    file: 'coordination/workers/heartbeat-handler.ts',
    find: `heartbeat.fencingToken < this.shard.fencingToken
      ? [...due, ...reportedTasks.stopCommandsFor(heartbeat)]
      : due`,
    put: 'due',
    detectedBy: { scenario: 'a first answer to machines that were with a refused leader' },
  },
  {
    name: 'an answer to an old report stops nothing',
    file: 'coordination/workers/heartbeat-handler.ts',
    find: 'if (!isNew) return reportedTasks.stopCommandsFor(heartbeat);',
    put: 'if (!isNew) return [];',
    detectedBy: { scenario: 'an answer to an old copy of a report' },
  },
  {
    name: 'a lease renewed though an order may still start what is cancelled',
    file: 'coordination/workers/heartbeat-handler.ts',
    find: 'if (attempts.mayLaunchCancelledTask(machine)) return null;',
    put: '',
    detectedBy: { scenario: 'an order to start that is held up beyond a cancellation' },
  },
  {
    name: 'what an owner before left on a deaf machine taken for gone at once',
    file: 'coordination/workers/heartbeat-handler.ts',
    find: 'machine.unreconciled && isFormerLeaseExpired(machine, clock.now(), settings)',
    put: 'machine.unreconciled',
    detectedBy: { scenario: 'machines deaf to the next owner' },
  },
  {
    name: 'a node without the record vouches whatever its copy has seen',
    file: 'coordination/leadership/unanimous-read.ts',
    find: "(observation.kind === 'none' && observation.asOf < newest)",
    put: "observation.kind === 'none'",
    detectedBy: { scenario: 'a cancellation unseen by the leader, told by a process that is gone' },
  },
  {
    name: 'a page written whatever its version',
    file: 'coordination/reconciliation/shard-records.ts',
    find: 'const conditions = [this.leadershipPrecondition(), { key: page.key, version }];',
    put: 'const conditions = [this.leadershipPrecondition()];',
    detectedBy: { scenario: 'writes of live/progress/ carried out late' },
  },
  {
    name: 'a new owner that does not go by the recorded results',
    file: 'storage/slice.ts',
    find: 'this.settled = new TaskSet(assignment.count, assignment.settled);',
    put: 'this.settled = new TaskSet(assignment.count);',
    detectedBy: { scenario: 'tasks that end far apart across changes of leader' },
  },
];
