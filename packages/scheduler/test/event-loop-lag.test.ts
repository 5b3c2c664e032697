import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { LAG_THRESHOLD_MS, LAG_SAMPLE_MS } from '../src/constants.ts';
import { EventLoopLag } from '../src/transport/event-loop-lag.ts';

describe('event-loop lag', () => {
  it('is detected when a timer fires later than the threshold, and ends when timers fire on time again', async () => {
    let now = 0;
    let delay = 0;
    const end = new AbortController();
    const sleepers: (() => void)[] = [];
    const clock = {
      now: () => now,
      sleep: () => new Promise<void>((resolve) => sleepers.push(resolve)),
      defer: () => {},
    };
    const eventLoopLag = new EventLoopLag(clock);
    void eventLoopLag.run(end.signal);
    const fireTimers = async (): Promise<void> => {
      now += LAG_SAMPLE_MS + delay;
      for (const wake of sleepers.splice(0)) wake();
      await new Promise((resolve) => setImmediate(resolve));
    };
    await fireTimers();
    assert.equal(eventLoopLag.laggedSince(0), false);
    delay = LAG_THRESHOLD_MS + 1;
    await fireTimers();
    assert.equal(eventLoopLag.laggedSince(0), true);
    delay = 0;
    const after = now + 1;
    await fireTimers();
    assert.equal(eventLoopLag.laggedSince(after), false);
    end.abort();
    await fireTimers();
  });
});
