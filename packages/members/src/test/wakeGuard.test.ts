import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {virtualClock} from '@skylarkfield/base';
import {createWakeGuard} from '../wakeGuard.js';

const PAUSE_MS = 2_500;

describe('wake guard', () => {
  // A stopped process goes on in the middle of whatever it did. Its leases have
  // lapsed meanwhile; acting on them runs an order twice.
  it('sees the gap before its own timer has run', () => {
    const clock = virtualClock();
    const guard = createWakeGuard(clock, PAUSE_MS);
    clock.pause(PAUSE_MS + 1);
    assert.equal(guard.isCurrent(), false);
  });

  it('stays out after the timer has run, until something answers', () => {
    const clock = virtualClock();
    const guard = createWakeGuard(clock, PAUSE_MS);
    clock.pause(60_000);
    assert.equal(guard.tick(), 60_000);
    assert.equal(guard.tick(), 0);
    assert.equal(guard.isCurrent(), false);
    guard.confirm(clock.now());
    assert.equal(guard.isCurrent(), true);
  });

  it('does not take an answer to an older question for news', () => {
    // The answer to a question asked before the pause waits in the socket and
    // is the first thing read on waking.
    const clock = virtualClock();
    const guard = createWakeGuard(clock, PAUSE_MS);
    const askedAt = clock.now();
    clock.pause(60_000);
    guard.tick();
    guard.confirm(askedAt);
    assert.equal(guard.isCurrent(), false);
  });

  it('does not count a short stall', () => {
    const clock = virtualClock();
    const guard = createWakeGuard(clock, PAUSE_MS);
    clock.pause(PAUSE_MS);
    assert.equal(guard.isCurrent(), true);
    assert.equal(guard.tick(), 0);
  });
});
