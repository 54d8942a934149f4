import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {scheduleRepeatedly, systemClock} from '../clock.js';
import {createContainedClock} from '../containedClock.js';
import {createVirtualClock} from '../virtualClock.js';

describe('contained clock', () => {
  // Guards against processes that end because one of their tasks throws.
  it('goes on with a repeated task that throws', async () => {
    const virtualClock = createVirtualClock();
    const errors: unknown[] = [];
    const clock = createContainedClock(virtualClock, error =>
      errors.push(error),
    );
    let callCount = 0;
    scheduleRepeatedly(clock, 100, () => {
      callCount += 1;
      if (callCount === 1) {
        throw new Error('odd');
      }
    });
    await virtualClock.advance(350);
    assert.equal(callCount, 3);
    assert.deepEqual(errors.map(String), ['Error: odd']);
  });
});

describe('system clock', () => {
  // Guards against timers with a long delay that fire at once, again and again.
  for (const delayMs of [2 ** 31, 1e300, Infinity]) {
    it(`does not call back at once for a delay of ${delayMs} ms`, async () => {
      const clock = systemClock();
      const timer = clock.after(delayMs, () => assert.fail('called back'));
      await new Promise(resolve => setTimeout(resolve, 20));
      timer.dispose();
    });
  }

  // Guards against a process that is busy because a timer is far away.
  it('does not wake up all the time for a timer that is far away', async t => {
    const setTimer = t.mock.method(globalThis, 'setTimeout');
    const timer = systemClock().after(1e300, () => {});
    const [call] = setTimer.mock.calls;
    assert.ok(call!.arguments[1]! <= 2 ** 31 - 1);
    timer.dispose();
  });
});
