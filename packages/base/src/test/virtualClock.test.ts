import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {scheduleRepeatedly, sleep, createVirtualClock} from '../index.js';

describe('virtual clock', () => {
  it('runs timers in order of their due time', async () => {
    const clock = createVirtualClock();
    const firedTimers: string[] = [];
    clock.after(20, () => firedTimers.push('late'));
    clock.after(10, () => firedTimers.push('early'));
    await clock.advance(30);
    assert.deepEqual(firedTimers, ['early', 'late']);
    assert.equal(clock.now(), 30);
  });

  it('repeats an interval timer until it is disposed', async () => {
    const clock = createVirtualClock();
    let calls = 0;
    const timer = scheduleRepeatedly(clock, 10, () => (calls += 1));
    await clock.advance(35);
    timer.dispose();
    await clock.advance(100);
    assert.equal(calls, 3);
  });

  it('rejects a sleep whose signal aborts', async () => {
    const clock = createVirtualClock();
    const controller = new AbortController();
    const sleepPromise = sleep(clock, 1000, controller.signal);
    controller.abort();
    await assert.rejects(sleepPromise, {kind: 'cancelled'});
  });
});
