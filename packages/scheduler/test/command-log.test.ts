import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { COMMAND_COUNTS_MS } from '../src/constants.ts';
import { CommandLog } from '../src/coordination/workers/command-log.ts';
import { MachineTokens } from '../src/coordination/workers/machine-tokens.ts';
import type { Command } from '../src/protocol/workers.ts';
import type { WatchCache } from '../src/storage/watch-cache.ts';
import { machine as buildMachine } from './support/builders.ts';
import { FakeClock, silentLog } from './support/fakes.ts';

const LEADER_LEASE_MS = 9000;
const CONFIRMED_AGO_MS = 400;

interface Line {
  level: string;
  message: string;
  fields: object;
}

describe('the log of commands to machines', () => {
  const launch: Command = { op: 'launch', task: 'j-1/0', attempt: 7 };
  const forget: Command = { op: 'forget', task: 'j-1/1', attempt: 3 };

  async function startLog(): Promise<{
    clock: FakeClock;
    lines: Line[];
    tokens: MachineTokens;
    commandLog: CommandLog;
  }> {
    const clock = new FakeClock();
    await clock.advance(CONFIRMED_AGO_MS);
    const lines: Line[] = [];
    const log = {
      ...silentLog,
      debug: (fields: object, message: string) => void lines.push({ level: 'debug', message, fields }),
      info: (fields: object, message: string) => void lines.push({ level: 'info', message, fields }),
    };
    const watchCache = { confirmedAt: clock.now() - CONFIRMED_AGO_MS } as unknown as WatchCache;
    const tokens = new MachineTokens({ first: 1, last: 9 });
    const context = { clock, leaderLeaseMs: LEADER_LEASE_MS, log, watchCache };
    return { clock, lines, tokens, commandLog: new CommandLog(context, 'a', tokens) };
  }

  it('says for each message what was sent where, under which token, and what allowed it', async () => {
    const { lines, commandLog } = await startLog();
    const machine = buildMachine('m');
    Object.assign(machine, { fencingToken: 4, agentEpoch: 2, sequence: 12 });
    commandLog.recordSent(machine, 'call', [launch, forget]);
    commandLog.recordSent(machine, 'reply', []);
    commandLog.recordNotExecuted(machine, 4, 'rejected');
    const where = { shard: 'a', machine: 'm' };
    const sent = {
      ...where,
      route: 'call',
      fencingToken: 4,
      agentEpoch: 2,
      sequence: 12,
      storeConfirmedAgoMs: CONFIRMED_AGO_MS,
      leaderLeaseLeftMs: LEADER_LEASE_MS - CONFIRMED_AGO_MS,
      commands: [launch, forget],
    };
    assert.deepEqual(lines, [
      { level: 'debug', message: 'commands sent', fields: sent },
      {
        level: 'debug',
        message: 'call not executed',
        fields: { ...where, fencingToken: 4, outcome: 'rejected' },
      },
    ]);
  });

  it('counts commands, calls that were not executed and raised tokens once a minute, and not while idle', async () => {
    const { clock, lines, tokens, commandLog } = await startLog();
    const machine = buildMachine('m');
    commandLog.recordSent(machine, 'call', [launch, forget]);
    commandLog.recordSent(machine, 'reply', [launch, { op: 'stop', task: 'j-1/0', attempt: 7, graceS: 0 }]);
    commandLog.recordNotExecuted(machine, 4, 'unknown');
    tokens.raise(machine);
    const counts = (): object[] => lines.filter(({ level }) => level === 'info').map(({ fields }) => fields);
    commandLog.logCountsIfDue();
    assert.deepEqual(counts(), []);
    await clock.advance(COMMAND_COUNTS_MS);
    commandLog.logCountsIfDue();
    const commands = { launchesInCalls: 1, launchesInReplies: 1, stops: 1, forgets: 1 };
    const calls = { callsRejected: 0, callsUnanswered: 1 };
    assert.deepEqual(counts(), [{ shard: 'a', ...commands, ...calls, tokensRaised: 1 }]);
    await clock.advance(COMMAND_COUNTS_MS);
    commandLog.logCountsIfDue();
    assert.equal(counts().length, 1);
  });
});
