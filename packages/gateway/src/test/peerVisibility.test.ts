import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {virtualClock} from '@skylarkfield/base';
import {createPeerVisibility} from '../peerVisibility.js';

/** An entry that has just started, with what the platform and peers tell it. */
function setUp() {
  const clock = virtualClock();
  const told: {entryCount: number | undefined; heard: number} = {
    entryCount: undefined,
    heard: 0,
  };
  let known: readonly [number, number] | undefined;
  const share = createPeerVisibility({
    clock,
    membership: {entryCount: () => told.entryCount},
    reports: {visiblePeers: () => told.heard},
    onDidRefresh: (heardFraction, entryCount) => {
      known = [heardFraction, entryCount];
    },
  });
  return {clock, told, share, known: () => known};
}

describe('share of the fleet', () => {
  // Guards against a new process that takes itself for the whole fleet.
  it('counts entries that were listed before any of them is heard', () => {
    const {told, share, known} = setUp();
    assert.ok(!share.isKnown());
    told.entryCount = 9;
    assert.ok(share.isKnown());
    assert.deepEqual(known(), [0, 9]);
    told.heard = 4;
    share.refresh();
    assert.deepEqual(known(), [0.5, 9]);
  });

  it('counts an entry that nobody was told of as the only one after a while', () => {
    const {clock, share, known} = setUp();
    clock.advanceSync(899);
    assert.ok(!share.isKnown());
    clock.advanceSync(1);
    assert.ok(share.isKnown());
    assert.deepEqual(known(), [1, 1]);
  });
});
