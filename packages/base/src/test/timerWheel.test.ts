import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {virtualClock} from '../virtualClock.js';
import {createTimerWheel} from '../timerWheel.js';

function setUp() {
  const clock = virtualClock();
  let wakes = 0;
  const wheel = createTimerWheel({
    slotMs: 50,
    now: clock.now,
    arm: (delayMs, callback) =>
      clock.after(delayMs, () => {
        wakes += 1;
        callback();
      }),
  });
  return {clock, wheel, wakes: () => wakes};
}

describe('timer wheel', () => {
  it('calls back never early, and at most a slot late', async () => {
    const {clock, wheel} = setUp();
    const late: number[] = [];
    for (const due of [1, 49, 50, 51, 299, 1_000]) {
      wheel.at(due, () => late.push(clock.now() - due));
    }
    await clock.advance(2_000);
    assert.equal(late.length, 6);
    assert.ok(
      late.every(ms => ms >= 0 && ms < 50),
      late.join(' '),
    );
  });

  it('wakes once for all that is due in a slot', async () => {
    const {clock, wheel, wakes} = setUp();
    let fired = 0;
    for (let due = 101; due <= 150; due++) {
      wheel.at(due, () => (fired += 1));
    }
    await clock.advance(1_000);
    assert.equal(fired, 50);
    assert.equal(wakes(), 1);
  });

  it('forgets what was disposed, also in the slot that fires', async () => {
    const {clock, wheel} = setUp();
    const fired: string[] = [];
    const second = {dispose: () => {}};
    wheel.at(100, () => {
      fired.push('first');
      second.dispose();
    });
    const timer = wheel.at(100, () => fired.push('second'));
    second.dispose = () => timer.dispose();
    wheel.at(200, () => fired.push('gone')).dispose();
    await clock.advance(1_000);
    assert.deepEqual(fired, ['first']);
  });

  it('takes a timer that is due sooner than the one it waits for', async () => {
    const {clock, wheel} = setUp();
    const fired: number[] = [];
    wheel.at(5_000, () => fired.push(5_000));
    wheel.at(100, () => {
      fired.push(clock.now());
      wheel.at(clock.now() + 100, () => fired.push(clock.now()));
    });
    await clock.advance(6_000);
    assert.deepEqual(fired, [100, 200, 5_000]);
  });
});
