import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {toDisposable, createVirtualClock} from '@skylarkfield/base';
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

/** Starts the digests of an entry behind two relays; counts those to each. */
function startTestDigests() {
  const clock = createVirtualClock();
  const sentCounts: Record<string, number> = {first: 0, second: 0};
  let receive: (peer: string, digest: Digest) => void = () => {};
  const network = {
    send(to: string) {
      sentCounts[to] = (sentCounts[to] ?? 0) + 1;
      return true;
    },
    addHandler(_: string, handler: typeof receive) {
      receive = handler;
      return toDisposable(() => {});
    },
  } as unknown as PeerNetwork;
  const plan: RelayPlan = {
    targets: new Map([
      ['first', 'own'],
      ['second', 'own'],
    ]),
    activeRelayId: undefined,
    coordinatorIds: [],
    coordinatorGroups: [],
    relayIds: ['first', 'second'],
  };
  startDigests({
    network,
    clock,
    self: {failureDomain: 'a', incarnation: 1},
    plan: () => plan,
    takeSnapshot: () => () => CONTENT,
    onDidReceive: () => {},
  });
  return {
    sentCounts,
    async runTicks(ticks: number, isFirstAlive: boolean) {
      sentCounts['first'] = 0;
      sentCounts['second'] = 0;
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
  it('go to the standby relay at a third of the rate while the active relay is alive', async () => {
    const {sentCounts, runTicks} = startTestDigests();
    await runTicks(12, true);
    assert.deepEqual(sentCounts, {first: 12, second: 4});
  });

  // Guards against a standby relay that takes over with stale data of the
  // entries that report to it.
  it('go to the standby relay at the full rate after the active relay became unreachable', async () => {
    const {sentCounts, runTicks} = startTestDigests();
    await runTicks(6, true);
    await runTicks(4, false);
    await runTicks(6, false);
    assert.deepEqual(sentCounts, {first: 6, second: 6});
  });
});
