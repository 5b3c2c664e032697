import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { RateLimiter } from '../src/transport/rate-limiter.ts';
import { FakeClock } from './support/fakes.ts';

describe('rate limiter', () => {
  it('allows a burst, then the rate', () => {
    const clock = new FakeClock();
    const pace = new RateLimiter(clock, 10, 2);
    pace.take(1);
    pace.take(1);
    assert.equal(pace.delayMs(1), 100);
    assert.equal(pace.delayMs(5), 200, 'a call dearer than the bucket passes when it is full');
  });
});
