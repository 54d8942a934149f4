import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {virtualClock} from '@skylarkfield/base';
import {createPauseDetector} from '../pauseDetector.js';

const PAUSE_MS = 2_500;

describe('pause detector', () => {
  // A suspended process resumes in the middle of its work after its leases have
  // expired; acting on them would run an order twice.
  it('detects the gap before its own timer has run', () => {
    const clock = virtualClock();
    const detector = createPauseDetector(clock, PAUSE_MS);
    clock.jump(PAUSE_MS + 1);
    assert.equal(detector.isCurrent(), false);
  });

  it('stays stale after the timer has run until a response arrives', () => {
    const clock = virtualClock();
    const detector = createPauseDetector(clock, PAUSE_MS);
    clock.jump(60_000);
    assert.equal(detector.tick(), 60_000);
    assert.equal(detector.tick(), 0);
    assert.equal(detector.isCurrent(), false);
    detector.confirm(clock.now());
    assert.equal(detector.isCurrent(), true);
  });

  it('ignores the response to a request sent before the pause', () => {
    // That response waits in the socket buffer during the pause and is the
    // first data read afterwards.
    const clock = virtualClock();
    const detector = createPauseDetector(clock, PAUSE_MS);
    const requestedAt = clock.now();
    clock.jump(60_000);
    detector.tick();
    detector.confirm(requestedAt);
    assert.equal(detector.isCurrent(), false);
  });

  it('ignores a gap within the threshold', () => {
    const clock = virtualClock();
    const detector = createPauseDetector(clock, PAUSE_MS);
    clock.jump(PAUSE_MS);
    assert.equal(detector.isCurrent(), true);
    assert.equal(detector.tick(), 0);
  });
});
