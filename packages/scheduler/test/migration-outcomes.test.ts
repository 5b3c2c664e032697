import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { FORGET_DELAY_MS, PROGRESS_MS } from '../src/constants.ts';
import type { ShardContext } from '../src/coordination/shard-context.ts';
import { ShardLeader } from '../src/coordination/shard-leader.ts';
import type { Write } from '../src/protocol/key-value.ts';
import type { Command, Heartbeat, ReportedTask } from '../src/protocol/workers.ts';
import { readSettings } from '../src/settings.ts';
import { Slice, type SliceAssignment } from '../src/storage/slice.ts';
import { TaskSet } from '../src/storage/task-set.ts';
import { decodedJobSpec, machineType, platformSettings } from './support/builders.ts';
import { FakeClock, silentLog } from './support/fakes.ts';

const TASKS = 6;
const MIGRATING = 4;
const STAYING = TASKS - MIGRATING;
/** A task that migrates. */
const REPORTED = 4;
const FENCING_TOKEN = 3;
const TOKENS = { first: FENCING_TOKEN, last: FENCING_TOKEN };
const slice: SliceAssignment = {
  name: 'a/j-1/0',
  spec: decodedJobSpec({ pratiche: TASKS }),
  at: 0,
  from: 0,
  count: TASKS,
  settled: '',
};

type Report = 'running' | 'done' | 'failed';
const task = `j-1/${String(REPORTED)}`;
const reportedTasks: Record<Report, ReportedTask> = {
  running: { task, attempt: 1, state: 'running', reason: null },
  done: { task, attempt: 1, state: 'ended', reason: 'done' },
  failed: { task, attempt: 1, state: 'ended', reason: 'error' },
};

/** A leader of a shard whose slice has pending tasks only, the last of which are migrating. */
class MigratingShard {
  readonly clock = new FakeClock();
  readonly shard: ShardLeader;
  readonly slice: Slice;
  /** The recorded progress of the slice, as an encoded `TaskSet`. */
  recorded = '';
  /** Whether the result is needed by another shard, according to the records. */
  isResultNeeded = true;
  private sequence = 0;
  private agentEpoch = 1;

  constructor() {
    this.shard = new ShardLeader('a', TOKENS, this.context(), new AbortController().signal, {
      machines: [],
      progress: [],
      slices: [slice],
    });
    const built = this.shard.slices.get(slice.name);
    assert.ok(built);
    this.slice = built;
    this.slice.beginMigration(MIGRATING);
  }

  private context(): ShardContext {
    let revision = 10;
    const store = {
      compareAndSwap: (_conditions: unknown, writes: Write[]) => {
        for (const write of writes) if (write.op === 'put') this.onPut(write.key, write.value);
        return Promise.resolve({ kind: 'committed', revision: revision++ });
      },
    };
    return {
      clock: this.clock,
      wallClock: () => this.clock.now(),
      log: silentLog,
      store,
      settings: readSettings(platformSettings),
      watchCache: { version: () => 5, confirmedAt: 0 },
      quotas: { hasQuota: () => false },
      failingJobs: { isFailing: () => false },
      jobOrder: () => new Map(),
      typeOf: () => machineType,
      // Nothing is started, so that the tasks stay in the states that the test looks at.
      hasLeaderLease: () => false,
      leaderLeaseMs: 0,
      onSliceDone: () => false,
      isResultNeeded: () => this.isResultNeeded,
      laggedSince: () => false,
    } as unknown as ShardContext;
  }

  private onPut(key: string, value: object): void {
    if (key.startsWith('live/progress/'))
      this.recorded = (value as { settled: Record<string, string> }).settled[slice.name] ?? '';
  }

  /** A heartbeat with these tasks; `fencingToken` is the highest one that the worker has seen. */
  heartbeat(tasks: ReportedTask[], fencingToken = FENCING_TOKEN): Command[] {
    const heartbeat: Heartbeat = {
      machine: 'm',
      endpoint: 'x:1',
      type: 'small',
      zone: 'a',
      spot: false,
      agentEpoch: this.agentEpoch,
      sequence: ++this.sequence,
      fencingToken,
      preemptionNoticeS: null,
      tasks,
    };
    return this.shard.onHeartbeat(heartbeat).commands;
  }

  /** The first heartbeat of the worker's next agent epoch, in which nothing is on the machine. */
  heartbeatOfNextEpoch(): Command[] {
    this.agentEpoch++;
    return this.heartbeat([]);
  }

  /** Advances the clock until all progress is recorded and all forget commands are due. */
  async settleDown(tasks: ReportedTask[]): Promise<Command[]> {
    await this.clock.advance(PROGRESS_MS);
    this.shard.records.recordProgress();
    await this.clock.advance(FORGET_DELAY_MS);
    return this.heartbeat(tasks);
  }

  /** The recorded positions, as a controller counts them that takes the slice to have so many tasks. */
  recordedPositions(count = TASKS): number[] {
    const set = new TaskSet(count, this.recorded);
    return Array.from({ length: count }, (_, position) => position).filter((position) => set.has(position));
  }

  /** The watch cache shows the job's record after the migration, or after another change, with so many tasks. */
  showRecord(count: number): void {
    this.shard.setSlice({ ...slice, count });
  }
}

/** How a migration may end without effect, or be given up for good. */
const refusals: Record<string, (migrating: MigratingShard) => void> = {
  'is refused': ({ shard, slice: refused }) => shard.onMigrationRefused(refused),
  'has failed, since another controller changed the record': (migrating) => migrating.showRecord(TASKS),
};

/** The tokens of a report: this leader's, or that of a former one if it is from before fencing. */
const tokens = { 'this leader': FENCING_TOKEN, 'a former leader': FENCING_TOKEN - 1 };

for (const [source, token] of Object.entries(tokens)) {
  // Guards against `not_done` (docs/incidents/results-during-a-migration.md).
  describe(`a result of a migrating task, in a status under the token of ${source}`, () => {
    for (const [outcome, refuse] of Object.entries(refusals)) {
      it(`counts once the migration ${outcome}, and the worker keeps it until it is recorded`, async () => {
        const migrating = new MigratingShard();
        migrating.heartbeat([reportedTasks.done], token);
        assert.deepEqual(await migrating.settleDown([reportedTasks.done]), []);
        assert.deepEqual(
          migrating.recordedPositions(),
          [],
          'nothing is recorded before the outcome is known',
        );
        assert.ok(migrating.slice.isMigrating(REPORTED));
        refuse(migrating);
        assert.deepEqual([...migrating.slice.pending].sort(), [0, 1, 2, 3, 5]);
        assert.deepEqual(await migrating.settleDown([reportedTasks.done]), [
          { op: 'forget', task, attempt: 1 },
        ]);
        assert.deepEqual(migrating.recordedPositions(), [REPORTED]);
      });
    }

    it('is in no record once the task has migrated', async () => {
      const migrating = new MigratingShard();
      migrating.heartbeat([reportedTasks.done], token);
      migrating.showRecord(STAYING);
      await migrating.settleDown([reportedTasks.done]);
      migrating.heartbeat([{ task: 'j-1/0', attempt: 2, state: 'ended', reason: 'done' }]);
      await migrating.settleDown([]);
      assert.deepEqual(migrating.recordedPositions(), [0]);
      assert.equal(migrating.slice.settled.full, false);
      assert.equal(migrating.slice.isMigrating(REPORTED), false);
    });
  });
}

// Guards against `ran_twice` (docs/incidents/tasks-placed-during-a-migration.md).
describe('a migrating task that is reported as running, or as ended without a result', () => {
  const stop: Command = { op: 'stop', task, attempt: 1, graceS: 0 };

  it('stays migrating, and its attempt is stopped', () => {
    const migrating = new MigratingShard();
    assert.deepEqual(migrating.heartbeat([reportedTasks.running]), [stop]);
    assert.equal(migrating.slice.placed.size, 0);
    assert.ok(migrating.slice.isMigrating(REPORTED));
  });

  it('stays migrating if the status is from before fencing', () => {
    const migrating = new MigratingShard();
    migrating.heartbeat([reportedTasks.running], tokens['a former leader']);
    assert.equal(migrating.slice.placed.size, 0);
    assert.ok(migrating.slice.isMigrating(REPORTED));
  });

  it('stays migrating if it has ended without a result, before or after such a report', () => {
    for (const first of [reportedTasks.failed, reportedTasks.running]) {
      const migrating = new MigratingShard();
      migrating.heartbeat([first]);
      migrating.heartbeat([reportedTasks.failed]);
      assert.deepEqual([migrating.slice.pending.length, migrating.slice.backingOff.length], [STAYING, 0]);
      assert.ok(migrating.slice.isMigrating(REPORTED));
    }
  });

  it('is not pending in this shard once it has migrated and the worker has lost it', () => {
    const migrating = new MigratingShard();
    migrating.heartbeat([reportedTasks.running]);
    migrating.showRecord(STAYING);
    migrating.heartbeatOfNextEpoch();
    assert.deepEqual([...migrating.slice.pending].sort(), [0, 1]);
  });

  for (const [outcome, refuse] of Object.entries(refusals)) {
    it(`is pending once the migration ${outcome}, before and after the worker has lost it`, () => {
      const migrating = new MigratingShard();
      migrating.heartbeat([reportedTasks.running]);
      refuse(migrating);
      assert.deepEqual([...migrating.slice.pending].sort(), [0, 1, 2, 3, 4, 5]);
      migrating.heartbeatOfNextEpoch();
      assert.deepEqual([...migrating.slice.pending].sort(), [0, 1, 2, 3, 4, 5]);
    });

    it(`has its result once the migration ${outcome}, if it is reported as done next`, async () => {
      const migrating = new MigratingShard();
      migrating.heartbeat([reportedTasks.running]);
      migrating.heartbeat([reportedTasks.done]);
      refuse(migrating);
      assert.deepEqual(await migrating.settleDown([reportedTasks.done]), [
        { op: 'forget', task, attempt: 1 },
      ]);
      assert.deepEqual(migrating.recordedPositions(), [REPORTED]);
    });
  }
});

// A worker that forgets a result before it is recorded loses it, if its task's new shard does not have it.
describe('the result of a task that has migrated', () => {
  for (const [what, count] of Object.entries({ 'its last tasks': STAYING, 'all its tasks': 0 })) {
    for (const arrives of ['before', 'after'] as const) {
      it(`and arrived ${arrives} ${what} had migrated is kept by the worker until it is recorded`, async () => {
        const migrating = new MigratingShard();
        if (arrives === 'before') migrating.heartbeat([reportedTasks.done]);
        migrating.showRecord(count);
        assert.deepEqual(await migrating.settleDown([reportedTasks.done]), []);
        assert.deepEqual(await migrating.settleDown([reportedTasks.done]), []);
        migrating.isResultNeeded = false;
        assert.deepEqual(migrating.heartbeat([reportedTasks.done]), [{ op: 'forget', task, attempt: 1 }]);
      });
    }
  }
});

// A leader that ends in the middle of a migration hands over nothing about tasks that another shard may have.
describe('the handover of a leader', () => {
  for (const result of [false, true]) {
    it(`does not name migrating tasks, ${result ? 'with' : 'without'} a result`, () => {
      const migrating = new MigratingShard();
      if (result) migrating.heartbeat([reportedTasks.done]);
      const notRunning = new TaskSet(TASKS, migrating.shard.tasksNotRunning()[slice.name]);
      assert.deepEqual([notRunning.size, notRunning.has(0), notRunning.has(1)], [STAYING, true, true]);
    });
  }
});
