import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {createVirtualClock} from '@skylarkfield/base';
import {createEventIntervalMeter} from '../eventIntervalObserver.js';

function setUp() {
  const clock = createVirtualClock();
  const intervals: number[] = [];
  const meter = createEventIntervalMeter(clock, intervalMs =>
    intervals.push(intervalMs),
  );
  function sendEvents(count: number, intervalMs: number, slowness?: number) {
    for (let event = 0; event < count; event++) {
      meter.recordEvent(slowness);
      clock.advanceSync(intervalMs);
    }
  }
  return {meter, intervals, sendEvents};
}

describe('event interval meter', () => {
  // Guards against evidence that arrives last, or never, from the slowest streams.
  it('reports the interval before the stream ends, and once', () => {
    const {meter, intervals, sendEvents} = setUp();
    sendEvents(8, 300);
    assert.deepEqual(intervals, [300]);
    sendEvents(8, 10);
    meter.recordEnd();
    assert.deepEqual(intervals, [300]);
  });

  // Guards against rolling back a version because its hosts were slow for a moment.
  it('reports the interval without the slowness of the host', () => {
    const {intervals, sendEvents} = setUp();
    sendEvents(8, 100, 2);
    assert.deepEqual(intervals, [50]);
  });

  // Guards against intervals of streams too short to tell their speed.
  it('reports a stream that ended early if it had enough events', () => {
    const long = setUp();
    long.sendEvents(3, 50);
    long.meter.recordEnd();
    assert.deepEqual(long.intervals, [50]);
    const short = setUp();
    short.sendEvents(2, 50);
    short.meter.recordEnd();
    assert.deepEqual(short.intervals, []);
  });
});
