import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {toDisposable, virtualClock} from '@skylarkfield/base';
import type {Messages, PeerNetwork} from '@skylarkfield/protocol';
import {startDigests, type DigestContent} from '../digests.js';
import type {RelayPlan} from '../relayPlan.js';

type Digest = Messages['digest'];

const syncStatus = {
  revision: 1,
  changedAt: 1,
  confirmedAgoMs: 0,
  isReader: false,
};

const CONTENT: DigestContent = {
  mirrors: {policy: syncStatus, endpoints: syncStatus, rollouts: syncStatus},
  usage: {},
  used: {},
  loads: {},
  work: {},
  outcomes: {},
  entries: 1,
};

/** Creates an entry behind two relays, and counts its digests to each. */
function setUp() {
  const clock = virtualClock();
  const sent: Record<string, number> = {first: 0, second: 0};
  let receive: (peer: string, digest: Digest) => void = () => {};
  const network = {
    send(to: string) {
      sent[to] = (sent[to] ?? 0) + 1;
      return true;
    },
    onDidReceive(_: string, handler: typeof receive) {
      receive = handler;
      return toDisposable(() => {});
    },
  } as unknown as PeerNetwork;
  const plan: RelayPlan = {
    targets: new Map([
      ['first', 'own'],
      ['second', 'own'],
    ]),
    activeRelay: undefined,
    coordinators: [],
    ownRelays: ['first', 'second'],
  };
  startDigests({
    network,
    clock,
    self: {failureDomain: 'a', incarnation: 1},
    plan: () => plan,
    content: () => () => CONTENT,
    onDidReceive: () => {},
  });
  return {
    sent,
    async run(ticks: number, isFirstAlive: boolean) {
      sent['first'] = 0;
      sent['second'] = 0;
      for (let tick = 0; tick < ticks; tick++) {
        if (isFirstAlive) {
          receive('first', {...CONTENT, stamp: tick, wallMs: clock.wall()});
        }
        await clock.advance(300);
      }
    },
  };
}

describe('digests', () => {
  it('go to the standby relay at a third of the rate', async () => {
    const {sent, run} = setUp();
    await run(12, true);
    assert.deepEqual(sent, {first: 12, second: 4});
  });

  // Guards against a standby relay that takes over with stale data of its
  // entries.
  it('go to the second relay at the full rate once the first is unreachable', async () => {
    const {sent, run} = setUp();
    await run(6, true);
    await run(4, false);
    await run(6, false);
    assert.deepEqual(sent, {first: 6, second: 6});
  });
});
