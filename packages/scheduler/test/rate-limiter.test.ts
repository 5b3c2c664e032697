import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { RateLimiter } from '../src/transport/rate-limiter.ts';
import { FakeClock } from './support/fakes.ts';

describe('rate limiter', () => {
  it('allows a burst, then limits calls to the rate', () => {
    const clock = new FakeClock();
    const limiter = new RateLimiter(clock, 10, 2);
    limiter.take(1);
    limiter.take(1);
    assert.equal(limiter.delayMs(1), 100);
    assert.equal(
      limiter.delayMs(5),
      200,
      'a call that costs more than the bucket holds waits until the bucket is full',
    );
  });
});
