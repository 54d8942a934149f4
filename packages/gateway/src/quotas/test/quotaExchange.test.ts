import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {
  createSilentLogger,
  createVirtualClock,
  seededRandom,
} from '@skylarkfield/base';
import {createMemoryNetwork} from '@skylarkfield/protocol';
import {createQuotas, type CustomerConfig} from '@skylarkfield/traffic';
import {createQuotaExchange} from '../quotaExchange.js';

const WINDOW_MS = 8_000;
const IDS = ['a', 'b', 'c', 'd', 'e'];

const customer: CustomerConfig = {
  name: 'chain',
  keys: ['k'],
  priority: undefined,
  quota: {unit: 'tokens', perSecond: 1_000, burst: 1_000, plainTokens: 1},
};

/** Creates entries that have run for a long time and know each other. */
function createEntries() {
  const clock = createVirtualClock();
  const net = createMemoryNetwork({clock, random: seededRandom(1)});
  const silentIds = new Set<string>();
  const entries = IDS.map(id => {
    const {network} = net.start(id);
    network.setPeers(
      IDS.map(peer => ({id: peer, incarnation: 0, url: `memory://${peer}`})),
    );
    const quotas = createQuotas(clock, WINDOW_MS);
    const exchange = createQuotaExchange({
      clock,
      log: createSilentLogger(),
      self: id,
      incarnation: 1,
      quotaWindowMs: WINDOW_MS,
      network,
      membership: {
        members: () => [],
        onDidChange: () => ({dispose: () => {}}),
      },
      plan: () => ({
        targets: new Map(),
        activeRelayId: undefined,
        coordinatorIds: IDS,
        coordinatorGroups: [IDS],
        relayIds: [],
      }),
      policy: {findCustomer: () => customer},
      quotas,
      peerReports: {
        reportAgeMs: () => 300,
        isSilent: peer => silentIds.has(peer),
      },
      peerVisibility: {isEntryCountKnown: () => true},
    });
    return {id, quotas, exchange};
  });
  clock.advanceSync(2 * WINDOW_MS);

  /** Lets an entry decide on a request; waits for messages and time limits. */
  async function consume(id: string, amount: number) {
    const entry = entries.find(candidate => candidate.id === id)!;
    const grant = entry.exchange.consume(customer, amount);
    let isSettled = false;
    void grant.finally(() => (isSettled = true));
    while (!isSettled) {
      await new Promise(resolve => setImmediate(resolve));
      clock.advanceSync(1);
    }
    return grant;
  }

  return {net, clock, silentIds, consume};
}

describe('exchange of quotas', () => {
  it('lets the same entry decide for all', async () => {
    const {consume} = createEntries();
    const deciders = new Set<string>();
    for (const id of IDS) {
      const {outcome, decidedBy} = await consume(id, 10);
      assert.equal(outcome, 'granted');
      deciders.add(decidedBy);
    }
    assert.equal(deciders.size, 1);
  });

  it('rejects for all entries once the quota is exhausted, with a time to retry', async () => {
    const {consume} = createEntries();
    await consume('a', 1_500);
    for (const id of IDS) {
      const {outcome, retryAfterMs} = await consume(id, 10);
      assert.equal(outcome, 'exhausted');
      assert.ok(retryAfterMs > 0, `${retryAfterMs}`);
    }
  });

  it('returns a refund to the entry that made the charge', async () => {
    const {consume, clock} = createEntries();
    const other = IDS.find(id => id !== 'a')!;
    for (const id of ['a', other]) {
      const grant = await consume(id, 1_500);
      assert.equal(grant.outcome, 'granted');
      grant.refund();
      clock.advanceSync(10);
    }
  });

  // Guards against a customer that is rejected while its owner is stopped.
  it('asks a stand-in if the owner does not answer', async () => {
    const {net, consume} = createEntries();
    const {decidedBy: owner} = await consume('a', 10);
    net.pause(owner);
    const asker = IDS.find(id => id !== owner)!;
    const {outcome, decidedBy} = await consume(asker, 10);
    assert.equal(outcome, 'granted');
    assert.notEqual(decidedBy, owner);
  });

  // Guards against each entry granting a burst while none reaches the owner.
  it('counts at a stand-in what the owner may have granted unseen', async () => {
    const {net, consume} = createEntries();
    const {decidedBy: owner} = await consume('a', 10);
    net.pause(owner);
    const asker = IDS.find(id => id !== owner)!;
    let granted = 0;
    for (let index = 0; index < 200; index++) {
      const {outcome} = await consume(asker, 100);
      granted += outcome === 'granted' ? 100 : 0;
    }
    // The owner may grant a burst and the refill of 300 ms meanwhile.
    assert.ok(granted <= 9_000 - 1_000, `${granted}`);
  });
});
