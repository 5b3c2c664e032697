import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { Slice } from '../src/storage/slice.ts';
import { decodedJobSpec } from './support/builders.ts';

const TASKS = 6;
const MIGRATING = 2;
const LAST = TASKS - 1;
/** Time of the clock, in milliseconds. */
const BACKOFF_UNTIL = 1000;

const newSlice = (unreconciled = false): Slice =>
  new Slice(
    { name: 'a/j-1/0', spec: decodedJobSpec({ pratiche: TASKS }), at: 0, from: 0, count: TASKS, settled: '' },
    unreconciled,
  );

/** The states of the task at a position; there must be exactly one. */
function statesOf(slice: Slice, position: number): string[] {
  return [
    ...(slice.settled.has(position) ? ['settled'] : []),
    ...(slice.unreconciled.has(position) ? ['unreconciled'] : []),
    ...slice.pending.filter((each) => each === position).map(() => 'pending'),
    ...slice.backingOff.filter((each) => each.position === position).map(() => 'backing off'),
    ...(slice.placed.has(position) ? ['placed'] : []),
    ...(slice.isMigrating(position) ? ['migrating'] : []),
  ];
}

function assertOneStateEach(slice: Slice): void {
  for (let position = 0; position < slice.count; position++)
    assert.equal(
      statesOf(slice, position).length,
      1,
      `${String(position)}: ${statesOf(slice, position).join()}`,
    );
  const beyond = [...slice.pending, ...slice.placed.keys(), ...slice.unreconciled].filter(
    (position) => position >= slice.count,
  );
  assert.deepEqual(beyond, [], 'no task beyond the end of the slice has a state');
}

/** A slice whose last task is in the state, for each state in which a result may find a task. */
const slicesByState: Record<string, () => Slice> = {
  unreconciled: () => newSlice(true),
  pending: () => newSlice(),
  placed: () => {
    const slice = newSlice();
    slice.place(LAST, 'attempt');
    return slice;
  },
  'backing off': () => {
    const slice = newSlice();
    slice.place(LAST, 'attempt');
    slice.unplace(LAST, 'attempt', BACKOFF_UNTIL);
    return slice;
  },
  settled: () => {
    const slice = newSlice();
    slice.settle(LAST);
    return slice;
  },
  migrating: () => {
    const slice = newSlice();
    slice.beginMigration(MIGRATING);
    return slice;
  },
};

// Guards against `not_done` (docs/incidents/results-during-a-migration.md).
describe('a task of a slice', () => {
  for (const [state, build] of Object.entries(slicesByState)) {
    it(`that is ${state} is in exactly one state after its result`, () => {
      const slice = build();
      assert.deepEqual(statesOf(slice, LAST), [state]);
      assert.equal(slice.settle(LAST), state !== 'migrating');
      assertOneStateEach(slice);
      assert.deepEqual(statesOf(slice, LAST), [state === 'migrating' ? 'migrating' : 'settled']);
    });
  }

  // Its result, recorded or not, was dropped with the end of the slice if the task then migrated.
  it('with a result that arrives during its backoff neither starts nor migrates after it', () => {
    const slice = slicesByState['backing off']?.() ?? newSlice();
    slice.settle(LAST);
    slice.endBackoffs(BACKOFF_UNTIL);
    assertOneStateEach(slice);
    assert.deepEqual([slice.pending.includes(LAST), slice.migratable], [false, 0]);
  });

  it('with a result is settled once its migration was refused, and the others are pending', () => {
    const slice = newSlice();
    slice.beginMigration(MIGRATING);
    slice.settle(LAST);
    assert.equal(slice.endMigration(TASKS), true);
    assertOneStateEach(slice);
    assert.deepEqual([statesOf(slice, LAST), statesOf(slice, LAST - 1)], [['settled'], ['pending']]);
  });

  it('with a result leaves no trace in the slice once it has migrated', () => {
    const slice = newSlice();
    for (let position = 0; position < TASKS - MIGRATING - 1; position++) slice.settle(position);
    slice.beginMigration(MIGRATING);
    slice.settle(LAST);
    assert.equal(slice.endMigration(TASKS - MIGRATING), false);
    assertOneStateEach(slice);
    assert.equal(slice.settled.size, TASKS - MIGRATING - 1);
    assert.equal(slice.settled.full, false, 'one of the remaining tasks has no result');
    // A later migration of this slice, or of none, does not bring the result back.
    assert.equal(slice.endMigration(TASKS - MIGRATING), false);
    assert.equal(slice.settled.size, TASKS - MIGRATING - 1);
  });
});
