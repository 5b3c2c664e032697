import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { readCommands } from '../src/protocol/wire.ts';
import { ScenarioCluster } from './refused-leader.ts';
import { LogLines } from './test-cluster.ts';

interface StoredLeadership {
  owner: string;
  token: number;
  tokens?: number;
  layout: string;
}

/** The tokens of calls with launches, in the order of sending. */
function recordLaunchTokens(cluster: ScenarioCluster): number[] {
  const tokens: number[] = [];
  cluster.network.commandDelayMs = (_, body): number => {
    const call = readCommands(body, true);
    if (call?.commands.some(({ op }) => op === 'launch')) tokens.push(call.fencingToken);
    return 0;
  };
  return tokens;
}

describe('a leadership record of the previous version, which gives its leader a single fencing token', () => {
  it('leads to a leader that launches by no call under this token, and takes a range of tokens at once', async () => {
    const logs = new LogLines();
    const cluster = new ScenarioCluster({ zones: ['a'], nodes: ['a'] }, logs.of);
    logs.now = (): number => cluster.time.now;
    await cluster.begin();
    const launchTokens = recordLaunchTokens(cluster);
    for (let n = 0; n < 40; n++) {
      cluster.submit({ id: `j-${String(n)}`, tasks: 1, cores: 1 }, 3);
      await cluster.run(0.5);
    }
    const shard = cluster.shards[0] ?? '';
    const key = `live/part/${shard}`;
    const former = cluster.store.read(key) as StoredLeadership;
    const { owner, layout } = former;
    const shown = [...cluster.workers.values()].map((worker) => worker.fencingToken);
    assert.ok(shown.some((token) => token > 1));
    const { incarnation } = cluster.store.read(`live/node/${owner}`) as { incarnation: string };
    const token = former.token + 1;
    assert.ok(shown.every((each) => each < token));
    void cluster.writeRecord(key, { owner, incarnation, token, layout });
    const renewedFrom = cluster.time.now / 1000;
    for (let n = 40; n < 80; n++) {
      cluster.submit({ id: `j-${String(n)}`, tasks: 1, cores: 1 }, 3);
      await cluster.run(0.5);
    }
    await cluster.run(60);
    const renewed = cluster.store.read(key) as StoredLeadership;
    assert.equal(renewed.token, token + (renewed.tokens ?? 0), 'one more leadership');
    assert.ok((renewed.tokens ?? 0) > 1);
    const renewals = logs.lines.filter(
      ({ atS, fields }) => atS >= renewedFrom && Object.values(fields).includes('fencing tokens used up'),
    );
    assert.equal(renewals.length, 1);
    assert.ok(!launchTokens.includes(token));
    assert.ok(launchTokens.some((each) => each > token));
    cluster.assertAllDone();
  });
});
