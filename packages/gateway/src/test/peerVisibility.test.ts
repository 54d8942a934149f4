import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {virtualClock} from '@skylarkfield/base';
import {createPeerVisibility} from '../peerVisibility.js';

/** Creates an entry that has just started. */
function setUp() {
  const clock = virtualClock();
  const peers: {entryCount: number | undefined; visible: number} = {
    entryCount: undefined,
    visible: 0,
  };
  let reported: readonly [number, number] | undefined;
  const visibility = createPeerVisibility({
    clock,
    membership: {entryCount: () => peers.entryCount},
    reports: {visiblePeers: () => peers.visible},
    onDidRefresh: (visibleFraction, entryCount) => {
      reported = [visibleFraction, entryCount];
    },
  });
  return {clock, peers, visibility, reported: () => reported};
}

describe('peer visibility', () => {
  // Guards against a new process that considers itself the whole fleet.
  it('counts listed entries before any of them reports', () => {
    const {peers, visibility, reported} = setUp();
    assert.ok(!visibility.isKnown());
    peers.entryCount = 9;
    assert.ok(visibility.isKnown());
    assert.deepEqual(reported(), [0, 9]);
    peers.visible = 4;
    visibility.refresh();
    assert.deepEqual(reported(), [0.5, 9]);
  });

  it('counts an entry without peers as the only one after the join timeout', () => {
    const {clock, visibility, reported} = setUp();
    clock.advanceSync(899);
    assert.ok(!visibility.isKnown());
    clock.advanceSync(1);
    assert.ok(visibility.isKnown());
    assert.deepEqual(reported(), [1, 1]);
  });
});
