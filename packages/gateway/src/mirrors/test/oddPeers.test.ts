import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import type {Messages} from '@skylarkfield/protocol';
import type {SyncStatuses} from '../platformView.js';
import {createEndpoint} from './mirroredValues.js';
import {startRestoredFleet} from './restoredFleet.js';

/** Time in which all entries follow a change, in milliseconds. */
const FOLLOW_MS = 4_000;

const REVISIONS = [1e300, -1, 0.5, NaN, '9', undefined];

const VALID_STEP = {kind: 'endpoints', from: 0, to: 2 ** 39, changes: []};
const VALID_STATUS = {
  revision: 1,
  changedAt: 1,
  confirmedAgoMs: 0,
  isReader: false,
};

const ODD_STEPS: readonly unknown[] = [
  ...REVISIONS.map(to => ({...VALID_STEP, to})),
  ...['constructor', '__proto__', 'other', 7].map(kind => ({
    ...VALID_STEP,
    kind,
  })),
  ...[undefined, 7, {}, [null], [{name: 7, revision: 3}]].map(changes => ({
    ...VALID_STEP,
    changes,
  })),
  ...REVISIONS.map(revision => ({
    ...VALID_STEP,
    changes: [{name: 'i-0', revision}],
  })),
];

const ODD_STATUSES: readonly unknown[] = [
  null,
  7,
  ...REVISIONS.flatMap(revision => [
    {...VALID_STATUS, revision},
    {...VALID_STATUS, changedAt: revision},
    {...VALID_STATUS, revision, changedAt: revision},
  ]),
];

describe('odd messages of a peer', () => {
  // Guards against entries that stop following the store because of one peer.
  it('leave mirrors following the store', async () => {
    const {clock, store, network, entries} = await startRestoredFleet(3, 1);
    const peer = network.start('odd');
    peer.network.addHandler('mirrorWanted', () => ({
      revision: 1e300,
      changedAt: 1e300,
      items: [],
    }));
    peer.network.setPeers(
      [...entries.keys()].map(id => ({
        id,
        incarnation: 1,
        url: `memory://${id}`,
      })),
    );
    await clock.advance(FOLLOW_MS);
    for (const step of ODD_STEPS) {
      peer.network.broadcast(
        'mirrorChanges',
        step as Messages['mirrorChanges'],
      );
    }
    await clock.advance(FOLLOW_MS);
    const timestamp = {monotonicMs: clock.now(), wallMs: clock.wall()};
    for (const status of ODD_STATUSES) {
      for (const {view} of entries.values()) {
        view.recordSyncStatuses(
          'odd',
          {endpoints: status} as unknown as SyncStatuses,
          timestamp,
        );
      }
    }
    await clock.advance(FOLLOW_MS);
    store.write('endpoints', 'i-new', createEndpoint('i-new'));
    await clock.advance(FOLLOW_MS);
    for (const [id, {view}] of entries) {
      assert.ok(view.endpoints.get('i-new'), `${id} follows`);
      assert.equal(view.endpoints.items().length, 11, `${id} keeps the others`);
    }
  });
});
