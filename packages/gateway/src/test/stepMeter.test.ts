import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {virtualClock} from '@skylarkfield/base';
import {createStepMeter} from '../stepMeter.js';

describe('step meter', () => {
  it('shows the steps of an answer, not the prompts that are read between them', () => {
    // Beside an answer the engine reads others' long prompts, and a gap of 15 ms
    // becomes one of 70 ms. Taken for steps, these would make the engine look
    // so slow that twice the endpoints were ordered.
    const clock = virtualClock();
    const steps = createStepMeter(clock);
    for (let index = 0; index < 20; index++) {
      steps.noteEvent();
      clock.advanceSync(index % 2 === 0 ? 15 : 70);
    }
    assert.equal(steps.eventIntervalMs(), 15);
    assert.equal(steps.eventCount(), 20);
  });

  it('divides a gap among events that were read together', () => {
    // A busy entry reads two events in one turn. A gap of nothing between them
    // would make the engine look infinitely fast.
    const clock = virtualClock();
    const steps = createStepMeter(clock);
    for (let index = 0; index < 5; index++) {
      steps.noteEvent();
      steps.noteEvent();
      clock.advanceSync(30);
    }
    assert.ok(steps.eventIntervalMs()! >= 10, `${steps.eventIntervalMs()}`);
  });

  it('knows nothing before the second event', () => {
    const steps = createStepMeter(virtualClock());
    steps.noteEvent();
    assert.equal(steps.eventIntervalMs(), undefined);
  });
});
