import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { COMMAND_DEADLINE_MS, REPLY_DELIVERY_MS } from '../src/constants.ts';
import type { ShardLeadership } from '../src/coordination/shard-leadership.ts';
import { MachineTokens } from '../src/coordination/workers/machine-tokens.ts';
import { WorkerCommands } from '../src/coordination/workers/worker-commands.ts';
import type { Attempt } from '../src/storage/attempt.ts';
import type { Command } from '../src/protocol/workers.ts';
import {
  decodedJobSpec,
  machine as buildMachine,
  startAttempt,
  type WritableMachine,
} from './support/builders.ts';
import { FakeClock } from './support/fakes.ts';

const FIRST = 10;

/** The commands for a machine of a leader with the tokens from `FIRST` to `last`. */
class CommandsUnderTest {
  readonly clock = new FakeClock();
  readonly machine: WritableMachine;
  readonly commands: WorkerCommands;
  private attempts = 0;

  constructor(last = 1000) {
    this.machine = buildMachine('m');
    this.machine.fencingToken = FIRST;
    this.machine.fenced = true;
    this.machine.persisted = true;
    const context = { clock: this.clock, isResultNeeded: () => false };
    const leadership = { hasLeaderLease: () => true } as unknown as ShardLeadership;
    this.commands = new WorkerCommands(context, leadership, new MachineTokens({ first: FIRST, last }));
  }

  newAttempt(): Attempt {
    const attempt = startAttempt(this.machine, decodedJobSpec(), ++this.attempts);
    return Object.assign(attempt, { phase: 'new', state: 'fetching' });
  }

  /** The attempt ends with an error: it is to be forgotten. */
  end(attempt: Attempt): void {
    const { key, task, number } = attempt;
    this.machine.attempts.delete(key);
    const ended = { task, number, reason: 'error' as const, slice: null, position: 0 };
    this.machine.endedAttempts.set(key, { ...ended, endReportedAt: this.clock.now() });
  }

  inReply(): string[] {
    return names(this.commands.commandsForReply(this.machine));
  }

  inCall(): string[] {
    return names(this.commands.commandsForCall(this.machine));
  }
}

const names = (commands: Command[]): string[] =>
  commands.map(({ op, attempt }) => `${op} ${String(attempt)}`);

describe('fencing tokens of a machine', () => {
  it('a reply that forgets an attempt has a higher token than every call with a launch', () => {
    const test = new CommandsUnderTest();
    const attempt = test.newAttempt();
    assert.deepEqual(test.inCall(), ['launch 1']);
    test.commands.resolveLaunches(test.machine, [attempt.key]);
    test.end(attempt);
    assert.deepEqual(test.inReply(), ['forget 1']);
    assert.equal(test.machine.fencingToken, FIRST + 1);
    assert.deepEqual(test.inReply(), ['forget 1'], 'repeated until the worker lists the attempt no more');
    assert.equal(test.machine.fencingToken, FIRST + 1, 'no call with a launch was sent under this token');
  });

  it('an attempt that was launched in a reply is forgotten under the same token', () => {
    const test = new CommandsUnderTest();
    const attempt = test.newAttempt();
    assert.deepEqual(test.inReply(), ['launch 1']);
    test.end(attempt);
    assert.deepEqual(test.inReply(), ['forget 1']);
    assert.equal(test.machine.fencingToken, FIRST);
  });

  it('a call forgets under a higher token once the last reply has been delivered, and leaves it to the next reply before', async () => {
    const test = new CommandsUnderTest();
    await test.clock.advance(10_000);
    const first = test.newAttempt();
    test.inCall();
    test.end(first);
    test.machine.lastHeartbeatAt = test.clock.now();
    const second = test.newAttempt();
    assert.deepEqual(test.inCall(), ['launch 2']);
    assert.equal(test.machine.fencingToken, FIRST);
    test.end(second);
    await test.clock.advance(REPLY_DELIVERY_MS + 1);
    test.newAttempt();
    assert.deepEqual(test.inCall(), ['launch 3', 'forget 1', 'forget 2']);
    assert.equal(test.machine.fencingToken, FIRST + 1);
    assert.equal(test.machine.launchCallToken, FIRST + 1);
  });

  it('a reply does not raise the token while a call with a launch is on its way, unless its task must not start', () => {
    const test = new CommandsUnderTest();
    test.end(test.newAttempt());
    const attempt = test.newAttempt();
    test.inCall();
    test.machine.commandInFlight = true;
    test.commands.fenceUnansweredLaunches(test.machine);
    assert.deepEqual(test.inReply(), ['launch 2']);
    assert.equal(test.machine.fencingToken, FIRST);
    attempt.stopping = true;
    test.commands.fenceUnansweredLaunches(test.machine);
    assert.equal(test.machine.fencingToken, FIRST + 1);
    assert.deepEqual(names(test.commands.stopCommandsForUnansweredLaunches(test.machine)), ['stop 2']);
  });

  it('an unanswered call is fenced by the next reply, which repeats its launches', async () => {
    const test = new CommandsUnderTest();
    test.newAttempt();
    assert.deepEqual(test.inCall(), ['launch 1']);
    await test.clock.advance(COMMAND_DEADLINE_MS);
    test.commands.fenceUnansweredLaunches(test.machine);
    assert.deepEqual(test.inReply(), ['launch 1']);
    assert.equal(test.machine.fencingToken, FIRST + 1);
    test.commands.fenceUnansweredLaunches(test.machine);
    assert.equal(test.machine.fencingToken, FIRST + 1, 'raised once for a call');
  });

  it('under the last token calls carry no launches, and replies launch and forget', () => {
    const test = new CommandsUnderTest(FIRST + 1);
    const first = test.newAttempt();
    assert.deepEqual(test.inCall(), ['launch 1']);
    test.end(first);
    assert.deepEqual(test.inReply(), ['forget 1']);
    assert.equal(test.machine.fencingToken, FIRST + 1);
    const second = test.newAttempt();
    assert.deepEqual(test.inCall(), []);
    assert.deepEqual(test.inReply(), ['launch 2', 'forget 1']);
    test.end(second);
    assert.deepEqual(test.inReply(), ['forget 1', 'forget 2']);
    assert.equal(test.machine.fencingToken, FIRST + 1);
  });

  it('a reported token of the same leadership that this leader does not know of covers launches by calls', () => {
    const tokens = new MachineTokens({ first: FIRST, last: 1000 });
    const { machine } = new CommandsUnderTest();
    tokens.observe(machine, FIRST + 5);
    assert.equal(machine.fencingToken, FIRST + 5);
    assert.ok(tokens.mayExecuteCopy(machine));
    tokens.observe(machine, FIRST + 2);
    tokens.observe(machine, 1001);
    assert.equal(machine.fencingToken, FIRST + 5);
    tokens.observe(machine, 1000);
    assert.deepEqual([tokens.canRaise(machine), tokens.mayExecuteCopy(machine)], [false, false]);
    assert.deepEqual(
      [9, 10, 1000, 1001].map((token) => tokens.isOwn(token)),
      [false, true, true, false],
    );
    assert.deepEqual(
      [9, 10, 1000, 1001].map((token) => tokens.isEarlier(token)),
      [true, false, false, false],
    );
    assert.deepEqual(
      [9, 10, 1000, 1001].map((token) => tokens.isLater(token)),
      [false, false, false, true],
    );
  });
});
