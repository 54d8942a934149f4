import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {createVirtualClock} from '../virtualClock.js';
import {throttle} from '../throttle.js';

describe('throttle', () => {
  // Thousands of endpoints that register one after the other would make each
  // entry rebuild its view of all endpoints for each of them.
  it('runs at once, then at most once in an interval, and never drops the last call', () => {
    const clock = createVirtualClock();
    const runTimes: number[] = [];
    const run = throttle(clock, 100, () => runTimes.push(clock.now()));
    const startedAt = clock.now();
    for (let call = 0; call < 25; call++) {
      run();
      clock.advanceSync(10);
    }
    clock.advanceSync(1_000);
    run();
    assert.deepEqual(
      runTimes.map(at => at - startedAt),
      [0, 100, 200, 300, 1_250],
    );
  });
});
