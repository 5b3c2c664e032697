import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { ATTEMPTS_PER_TOKEN, MAX_FENCING_TOKEN, TOKENS_PER_LEADERSHIP } from '../src/constants.ts';
import { LeadershipWriter } from '../src/coordination/leadership/leadership-writer.ts';
import type { KeyValueStore } from '../src/storage/key-value-store.ts';
import type { Write } from '../src/protocol/key-value.ts';
import { type FencingTokens, fencingTokensOf, isDirectSuccessor } from '../src/storage/fencing-tokens.ts';
import { decodeLiveRecord } from '../src/storage/record-codec.ts';
import type { LeadershipRecord } from '../src/storage/records.ts';
import type { WatchCache } from '../src/storage/watch-cache.ts';
import { silentLog } from './support/fakes.ts';

const KEY = 'live/part/a.0';
const SUCCESSOR = { leader: 'node-a', incarnation: 'f00d' };

/** A stored leadership record. */
interface StoredLeadership {
  owner: string;
  incarnation: string;
  token: number;
  layout: string;
  tokens?: number;
}

function decode(stored: object | null): LeadershipRecord | null {
  const read = stored && decodeLiveRecord(KEY, stored);
  return read?.kind === 'leadership' ? read.record : null;
}

/** The record that this version writes after the stored one; null if it writes none. */
async function writtenByThisVersion(before: object | null): Promise<StoredLeadership | null> {
  let written: object | null = null;
  const store = {
    compareAndSwap: (_: unknown, [write]: Write[]) => {
      if (write?.op === 'put') written = write.value;
      return Promise.resolve({ kind: 'committed', revision: 1 });
    },
  } as unknown as KeyValueStore;
  const watchCache = { version: () => 1 } as unknown as WatchCache;
  const writer = new LeadershipWriter(store, watchCache, 'map', silentLog);
  const change = { shard: 'a.0', successor: SUCCESSOR, unchangedNode: null, reason: 'failover' as const };
  await writer.write({ ...change, before: decode(before) });
  return written;
}

/** The record that the version before ranges of tokens writes after the stored one. */
const writtenByPreviousVersion = (before: { token: number } | null): StoredLeadership => ({
  owner: 'node-b',
  incarnation: 'beef',
  token: (before?.token ?? 0) + 1,
  layout: 'map',
});

/** The tokens that a leader of this version may show to machines, from the stored record alone. */
function tokensOfThisVersion(stored: object): FencingTokens {
  const record = decode(stored);
  assert.ok(record);
  return fencingTokensOf(record);
}

/** The only token that a leader of the previous version shows to machines. */
const tokensOfPreviousVersion = ({ token }: StoredLeadership): FencingTokens => ({
  first: token,
  last: token,
});

describe('fencing tokens of successive leaderships', () => {
  it('begin at 1 and follow one another without a gap', async () => {
    const first = await writtenByThisVersion(null);
    assert.ok(first);
    assert.deepEqual(tokensOfThisVersion(first), { first: 1, last: TOKENS_PER_LEADERSHIP });
    const second = await writtenByThisVersion(first);
    assert.ok(second);
    assert.ok(isDirectSuccessor(TOKENS_PER_LEADERSHIP, tokensOfThisVersion(second)));
    const third = await writtenByThisVersion(second);
    assert.ok(third);
    assert.ok(!isDirectSuccessor(TOKENS_PER_LEADERSHIP, tokensOfThisVersion(third)));
  });

  it('stay above all tokens shown before, whichever version writes and leads, in upgrades and rollbacks', async () => {
    const versions = ['this', 'previous'] as const;
    // Each leadership is written by one version, and led by either: a handover names another node.
    for (let order = 0; order < 2 ** 8; order++) {
      let stored: StoredLeadership | null = null;
      let highestShown = 0;
      let highestAttempt = 0;
      for (let turn = 0; turn < 4; turn++) {
        const writer = versions[(order >> (2 * turn)) & 1];
        const leader = versions[(order >> (2 * turn + 1)) & 1];
        stored = writer === 'this' ? await writtenByThisVersion(stored) : writtenByPreviousVersion(stored);
        assert.ok(stored);
        const tokens = leader === 'this' ? tokensOfThisVersion(stored) : tokensOfPreviousVersion(stored);
        assert.ok(tokens.first > highestShown, `order ${String(order)}, turn ${String(turn)}`);
        assert.ok(tokens.first * ATTEMPTS_PER_TOKEN + 1 > highestAttempt, 'no attempt number is used twice');
        highestShown = tokens.last;
        highestAttempt = tokens.first * ATTEMPTS_PER_TOKEN + ATTEMPTS_PER_TOKEN - 1;
      }
    }
  });

  it('end where attempt numbers would not be exact any more: no leadership is written', async () => {
    const last = { ...writtenByPreviousVersion(null), token: MAX_FENCING_TOKEN - TOKENS_PER_LEADERSHIP };
    assert.equal((await writtenByThisVersion(last))?.token, MAX_FENCING_TOKEN);
    assert.ok(Number.isSafeInteger(MAX_FENCING_TOKEN * ATTEMPTS_PER_TOKEN + ATTEMPTS_PER_TOKEN - 1));
    assert.equal(await writtenByThisVersion({ ...last, token: last.token + 1 }), null);
  });
});
