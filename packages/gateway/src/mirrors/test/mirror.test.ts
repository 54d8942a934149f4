import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {createSilentLogger, createVirtualClock} from '@skylarkfield/base';
import {currentTimestamp} from '@skylarkfield/traffic';
import {createMirror} from '../mirror.js';

function setUp() {
  const clock = createVirtualClock();
  const createReplica = () =>
    createMirror<string>({kind: 'endpoints', clock, log: createSilentLogger()});
  return {clock, createReplica};
}

function createItem(name: string, revision: number, value = name) {
  return {name, revision, value};
}

describe('mirror', () => {
  it('returns a step that applies its changes to another mirror', () => {
    const {clock, createReplica} = setUp();
    const reader = createReplica();
    const replica = createReplica();
    reader.applyListing(
      {revision: 5, items: [createItem('a', 2), createItem('b', 5)]},
      currentTimestamp(clock),
    );
    replica.applyCopy(reader.copy());
    const step = reader.applyChanges(
      {
        revision: 9,
        changes: [
          {name: 'a', item: undefined},
          {name: 'c', item: createItem('c', 8)},
        ],
      },
      currentTimestamp(clock),
    );
    assert.ok(step !== undefined && replica.applyStep(step));
    assert.deepEqual(replica.items(), reader.items());
    assert.equal(replica.get('a'), undefined);
    assert.equal(replica.get('c'), 'c');
  });

  it('rejects a step if an earlier step is missing', () => {
    // The message with the step from revision 5 to 7 was lost. If the following
    // step were applied, an endpoint that the lost message reported as draining
    // would remain in use.
    const {clock, createReplica} = setUp();
    const mirror = createReplica();
    mirror.applyListing({revision: 5, items: []}, currentTimestamp(clock));
    assert.ok(!mirror.applyStep({from: 7, to: 9, changes: []}));
    assert.equal(mirror.revision(), 5);
  });

  // Guards against accepting a revoked key because the mirror was confirmed by
  // a stale listing.
  it('does not confirm itself by a listing that may be stale', () => {
    const {clock, createReplica} = setUp();
    const mirror = createReplica();
    mirror.applyListing({revision: 5, items: [createItem('a', 2)]}, undefined);
    assert.ok(mirror.isLoaded());
    assert.equal(mirror.get('a'), 'a');
    assert.equal(mirror.ageMs(), Infinity);
    mirror.applyChanges({revision: 6, changes: []}, currentTimestamp(clock));
    assert.equal(mirror.ageMs(), 0);
  });

  it('ignores objects and copies that are older than its own', () => {
    const {clock, createReplica} = setUp();
    const mirror = createReplica();
    mirror.applyListing(
      {revision: 9, items: [createItem('a', 9, 'new')]},
      currentTimestamp(clock),
    );
    mirror.applyStep({from: 3, to: 10, changes: [createItem('a', 4, 'old')]});
    mirror.applyCopy({
      revision: 6,
      changedAt: 6,
      items: [createItem('a', 6, 'old')],
    });
    mirror.applyStep({from: 3, to: 11, changes: [{name: 'a', revision: 8}]});
    assert.equal(mirror.get('a'), 'new');
  });

  it('removes objects that a newer listing lacks', () => {
    // The store was compacted while an endpoint was removed, so only the
    // absence of the endpoint from the listing shows its removal.
    const {clock, createReplica} = setUp();
    const mirror = createReplica();
    mirror.applyListing(
      {revision: 5, items: [createItem('a', 2)]},
      currentTimestamp(clock),
    );
    mirror.applyListing({revision: 8, items: []}, currentTimestamp(clock));
    assert.equal(mirror.get('a'), undefined);
  });

  it('is confirmed by a peer only if it has all changes of the peer', () => {
    const {clock, createReplica} = setUp();
    const mirror = createReplica();
    mirror.applyListing({revision: 5, items: []}, currentTimestamp(clock));
    clock.advanceSync(4_000);
    const syncStatus = {confirmedAgoMs: 100, isReader: true};
    const now = currentTimestamp(clock);
    assert.ok(
      !mirror.confirmByPeer({...syncStatus, revision: 9, changedAt: 7}, now),
    );
    assert.equal(mirror.ageMs(), 4_000);
    assert.ok(
      mirror.confirmByPeer({...syncStatus, revision: 9, changedAt: 4}, now),
    );
    assert.equal(mirror.ageMs(), 0);
  });
});
