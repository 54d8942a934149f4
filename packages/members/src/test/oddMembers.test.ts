import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import type {MemberUpdate} from '@skylarkfield/protocol';
import {createCluster} from './cluster.js';

const SETTLE_MS = 90_000;

const VALID_OBJECT = {
  incarnation: 1,
  callerUrl: 'http://10.0.0.9:80',
  innerUrl: 'ws://10.0.0.9:81',
  failureDomain: 'domain-1',
  region: 'region-1',
};

const ODD_OBJECTS: Readonly<Record<string, unknown>> = {
  'a-null': null,
  'a-number': 7,
  'a-list': [[[]]],
  'a-name': {...VALID_OBJECT, failureDomain: 'constructor'},
  'a-port': {...VALID_OBJECT, innerUrl: 'ws://10.0.0.9:83088'},
  'a-time': {...VALID_OBJECT, incarnation: 1e300},
  // The object of an entry that starts later.
  m2: 'odd',
};

const VALID_UPDATE = {
  ...VALID_OBJECT,
  id: 'm9',
  sequence: 1,
  load: 0,
  state: 'live',
} as const satisfies Partial<MemberUpdate>;

const ODD_UPDATE = {...VALID_UPDATE, id: 'odd'};
const ODD_UPDATES: Readonly<Record<string, unknown>> = {
  'no object': null,
  'an impossible port': {...ODD_UPDATE, callerUrl: 'http://10.0.0.9:83088'},
  'no URL': {...ODD_UPDATE, innerUrl: ''},
  'the name of a property': {...ODD_UPDATE, id: '__proto__'},
  'an infinite number': {...ODD_UPDATE, load: Infinity},
};

describe('members of other writers', () => {
  // Guards against processes that end, or find no peers, because of one odd member object.
  it('are ignored while the others find each other', async () => {
    const cluster = createCluster();
    for (const [name, value] of Object.entries(ODD_OBJECTS)) {
      cluster.platform.table.put(
        {kind: 'member', name, writeId: name, condition: {type: 'any'}},
        value,
      );
    }
    const ids = ['m1', 'm2', 'm3'];
    ids.forEach(id => cluster.start(id));
    await cluster.clock.advance(SETTLE_MS);
    for (const id of ids) {
      assert.deepEqual(cluster.liveIdsSeenBy(id), ids);
    }
    cluster.platform.table.put(
      {kind: 'member', name: 'm1', writeId: 'w', condition: {type: 'any'}},
      null,
    );
    cluster.crash('m3');
    await cluster.clock.advance(10 * SETTLE_MS);
    const names = cluster.objectNames();
    assert.ok(!names.includes('m3'), 'sweeps go on');
    assert.ok(cluster.platform.table.get('member', 'm1')?.value, 'is restored');
  });

  for (const [name, update] of Object.entries(ODD_UPDATES)) {
    // Guards against heartbeats that are lost because of one update in them.
    it(`do not keep an update from being applied after one with ${name}`, async () => {
      const cluster = createCluster();
      ['m1', 'm2'].forEach(id => cluster.start(id));
      const {network} = cluster.net.start('m3');
      await cluster.clock.advance(SETTLE_MS);
      network.setPeers([{id: 'm1', incarnation: 1, url: 'memory://m1'}]);
      await cluster.clock.advance(1_000);
      network.send('m1', 'heartbeat', {
        incarnation: 1,
        sequence: 1,
        load: 0,
        news: [update as MemberUpdate, VALID_UPDATE],
        digest: 0,
      });
      await cluster.clock.advance(100);
      assert.deepEqual(cluster.liveIdsSeenBy('m1'), ['m1', 'm2', 'm9']);
    });
  }
});
