import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {createVirtualClock} from '@skylarkfield/base';
import {createPeerVisibility} from '../peerVisibility.js';

/** Creates the peer visibility of an entry that has just started. */
function setUp() {
  const clock = createVirtualClock();
  const peers: {entryCount: number | undefined; visible: number} = {
    entryCount: undefined,
    visible: 0,
  };
  let lastRefresh: readonly [number, number] | undefined;
  const visibility = createPeerVisibility({
    clock,
    membership: {entryCount: () => peers.entryCount},
    reports: {visiblePeerCount: () => peers.visible},
    onDidRefresh: (visibleFraction, entryCount) => {
      lastRefresh = [visibleFraction, entryCount];
    },
  });
  return {clock, peers, visibility, lastRefresh: () => lastRefresh};
}

describe('peer visibility', () => {
  // Guards against a new process that considers itself the only entry of the
  // fleet.
  it('counts the entries of the membership before any entry reports', () => {
    const {peers, visibility, lastRefresh} = setUp();
    assert.ok(!visibility.isEntryCountKnown());
    peers.entryCount = 9;
    assert.ok(visibility.isEntryCountKnown());
    assert.deepEqual(lastRefresh(), [0, 9]);
    peers.visible = 4;
    visibility.refresh();
    assert.deepEqual(lastRefresh(), [0.5, 9]);
  });

  it('counts an entry without peers as the only one after the join timeout', () => {
    const {clock, visibility, lastRefresh} = setUp();
    clock.advanceSync(899);
    assert.ok(!visibility.isEntryCountKnown());
    clock.advanceSync(1);
    assert.ok(visibility.isEntryCountKnown());
    assert.deepEqual(lastRefresh(), [1, 1]);
  });
});
