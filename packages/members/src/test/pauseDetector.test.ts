import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {createVirtualClock} from '@skylarkfield/base';
import {createPauseDetector} from '../pauseDetector.js';

const PAUSE_MS = 2_500;

describe('pause detector', () => {
  // A suspended process resumes in the middle of its work after its leases have
  // expired; continuing this work would run an order twice.
  it('detects a pause before the timer has run', () => {
    const clock = createVirtualClock();
    const detector = createPauseDetector(clock, PAUSE_MS);
    clock.jump(PAUSE_MS + 1);
    assert.equal(detector.isCurrent(), false);
  });

  it('is not current after a pause until a response arrives', () => {
    const clock = createVirtualClock();
    const detector = createPauseDetector(clock, PAUSE_MS);
    clock.jump(60_000);
    assert.equal(detector.tick(), 60_000);
    assert.equal(detector.tick(), 0);
    assert.equal(detector.isCurrent(), false);
    detector.recordResponse(clock.now());
    assert.equal(detector.isCurrent(), true);
  });

  it('ignores the response to a request sent before the pause', () => {
    // The response waits in the socket buffer during the pause and is the first
    // data read after the pause.
    const clock = createVirtualClock();
    const detector = createPauseDetector(clock, PAUSE_MS);
    const requestedAt = clock.now();
    clock.jump(60_000);
    detector.tick();
    detector.recordResponse(requestedAt);
    assert.equal(detector.isCurrent(), false);
  });

  it('does not count a gap within the threshold as a pause', () => {
    const clock = createVirtualClock();
    const detector = createPauseDetector(clock, PAUSE_MS);
    clock.jump(PAUSE_MS);
    assert.equal(detector.isCurrent(), true);
    assert.equal(detector.tick(), 0);
  });
});
