import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {createVirtualClock} from '@skylarkfield/base';
import {createStallTimer} from '../stallTimer.js';

const TIMEOUT_MS = 1_200;

function startTimer({hasTimeout = true} = {}) {
  const clock = createVirtualClock();
  const silentTimesMs: number[] = [];
  const timer = createStallTimer({
    clock,
    timeoutMs: hasTimeout ? TIMEOUT_MS : undefined,
    onDidStall: ({silentMs}) => silentTimesMs.push(silentMs),
  });
  return {clock, timer, silentTimesMs};
}

describe('stall timer', () => {
  it('fires after the timeout without data, and again at intervals', async () => {
    const {clock, timer, silentTimesMs} = startTimer();
    await clock.advance(TIMEOUT_MS - 1);
    assert.deepEqual(silentTimesMs, []);
    await clock.advance(401);
    assert.deepEqual(silentTimesMs, [1_200, 1_400, 1_600]);
    assert.ok(timer.isStalled());
  });

  it('waits for the whole timeout again after data', async () => {
    const {clock, timer, silentTimesMs} = startTimer();
    await clock.advance(TIMEOUT_MS);
    timer.recordActivity();
    assert.ok(!timer.isStalled());
    await clock.advance(TIMEOUT_MS - 1);
    assert.deepEqual(silentTimesMs, [1_200]);
    await clock.advance(1);
    assert.deepEqual(silentTimesMs, [1_200, 1_200]);
  });

  // Guards against taking a caller that reads slowly for a silent endpoint.
  it('does not fire while the endpoint is not read from', async () => {
    const {clock, timer, silentTimesMs} = startTimer();
    timer.pause();
    await clock.advance(5 * TIMEOUT_MS);
    assert.ok(!timer.isStalled());
    timer.resume();
    await clock.advance(TIMEOUT_MS - 1);
    assert.deepEqual(silentTimesMs, []);
    await clock.advance(1);
    assert.deepEqual(silentTimesMs, [1_200]);
  });

  // Guards against hedges of responses that waited in the socket of a paused process.
  it('starts again after a pause of this process', async () => {
    const {clock, silentTimesMs} = startTimer();
    clock.jump(5_000);
    await clock.advance(TIMEOUT_MS - 1);
    assert.deepEqual(silentTimesMs, []);
  });

  it('does not fire after it was disposed by its own call', async () => {
    const clock = createVirtualClock();
    let count = 0;
    const timer = createStallTimer({
      clock,
      timeoutMs: TIMEOUT_MS,
      onDidStall() {
        count += 1;
        timer.dispose();
      },
    });
    await clock.advance(5 * TIMEOUT_MS);
    assert.equal(count, 1);
  });

  // Guards against hedges of calls that have ended while their callers read slowly.
  it('does not start again if it is resumed after it was disposed', async () => {
    const {clock, timer, silentTimesMs} = startTimer();
    timer.pause();
    timer.dispose();
    timer.resume();
    await clock.advance(5 * TIMEOUT_MS);
    assert.deepEqual(silentTimesMs, []);
  });

  it('never fires without a timeout', async () => {
    const {clock, silentTimesMs} = startTimer({hasTimeout: false});
    await clock.advance(5 * TIMEOUT_MS);
    assert.deepEqual(silentTimesMs, []);
  });
});
