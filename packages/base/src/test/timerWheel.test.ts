import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {createVirtualClock} from '../virtualClock.js';
import {createTimerWheel} from '../timerWheel.js';

function setUp() {
  const clock = createVirtualClock();
  let wakeUpCount = 0;
  const wheel = createTimerWheel({
    slotMs: 50,
    now: clock.now,
    arm: (delayMs, callback) =>
      clock.after(delayMs, () => {
        wakeUpCount += 1;
        callback();
      }),
  });
  return {clock, wheel, getWakeUpCount: () => wakeUpCount};
}

describe('timer wheel', () => {
  it('never calls back early, and less than a slot late', async () => {
    const {clock, wheel} = setUp();
    const delaysMs: number[] = [];
    for (const dueMs of [1, 49, 50, 51, 299, 1_000]) {
      wheel.schedule(dueMs, () => delaysMs.push(clock.now() - dueMs));
    }
    await clock.advance(2_000);
    assert.equal(delaysMs.length, 6);
    assert.ok(
      delaysMs.every(ms => ms >= 0 && ms < 50),
      delaysMs.join(' '),
    );
  });

  it('wakes up once for all timers of a slot', async () => {
    const {clock, wheel, getWakeUpCount} = setUp();
    let firedCount = 0;
    for (let dueMs = 101; dueMs <= 150; dueMs++) {
      wheel.schedule(dueMs, () => (firedCount += 1));
    }
    await clock.advance(1_000);
    assert.equal(firedCount, 50);
    assert.equal(getWakeUpCount(), 1);
  });

  it('does not call disposed timers, even in the slot that is firing', async () => {
    const {clock, wheel} = setUp();
    const firedTimers: string[] = [];
    const secondTimer = {dispose: () => {}};
    wheel.schedule(100, () => {
      firedTimers.push('first');
      secondTimer.dispose();
    });
    const timer = wheel.schedule(100, () => firedTimers.push('second'));
    secondTimer.dispose = () => timer.dispose();
    wheel.schedule(200, () => firedTimers.push('disposed')).dispose();
    await clock.advance(1_000);
    assert.deepEqual(firedTimers, ['first']);
  });

  it('fires a timer that is due before the earliest scheduled timer', async () => {
    const {clock, wheel} = setUp();
    const firedAtMs: number[] = [];
    wheel.schedule(5_000, () => firedAtMs.push(5_000));
    wheel.schedule(100, () => {
      firedAtMs.push(clock.now());
      wheel.schedule(clock.now() + 100, () => firedAtMs.push(clock.now()));
    });
    await clock.advance(6_000);
    assert.deepEqual(firedAtMs, [100, 200, 5_000]);
  });
});
