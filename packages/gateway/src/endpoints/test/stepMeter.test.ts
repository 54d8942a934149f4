import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {createVirtualClock} from '@skylarkfield/base';
import {createStepMeter} from '../stepMeter.js';

describe('step meter', () => {
  it('measures decode steps, excluding the prompts processed between them', () => {
    // While the engine processes long prompts of other requests, an interval of
    // 15 ms between events grows to 70 ms. If the long intervals counted as
    // decode steps, the engine would seem so slow that twice as many endpoints
    // as needed would be ordered.
    const clock = createVirtualClock();
    const steps = createStepMeter(clock);
    for (let index = 0; index < 20; index++) {
      steps.recordEvent();
      clock.advanceSync(index % 2 === 0 ? 15 : 70);
    }
    assert.equal(steps.eventIntervalMs(), 15);
    assert.equal(steps.eventCount(), 20);
  });

  it('divides the interval among events that were read together', () => {
    // A busy entry reads two events in one turn of the event loop. An interval
    // of zero between these events would make the engine seem infinitely fast.
    const clock = createVirtualClock();
    const steps = createStepMeter(clock);
    for (let index = 0; index < 5; index++) {
      steps.recordEvent();
      steps.recordEvent();
      clock.advanceSync(30);
    }
    assert.ok(steps.eventIntervalMs()! >= 10, `${steps.eventIntervalMs()}`);
  });

  it('returns undefined before the second event', () => {
    const steps = createStepMeter(createVirtualClock());
    steps.recordEvent();
    assert.equal(steps.eventIntervalMs(), undefined);
  });
});
