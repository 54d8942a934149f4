import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {createVirtualClock} from '@skylarkfield/base';
import type {CustomerConfig} from '../contracts.js';
import {createQuotas} from '../quotas.js';

const WINDOW_MS = 8_000;
const OVERDUE_MS = 700;

const customer: CustomerConfig = {
  name: 'chain',
  keys: ['k'],
  priority: undefined,
  quota: {unit: 'tokens', perSecond: 1_000, burst: 1_000, plainTokens: 1},
};

/** Creates the quotas of an entry that hears six peers. */
function createQuotasWithPeers() {
  const clock = createVirtualClock();
  const quotas = createQuotas(clock, WINDOW_MS);
  quotas.setReportingPeers(1, 7, OVERDUE_MS);
  quotas.stateOf(customer);
  clock.advanceSync(2 * WINDOW_MS);
  return {quotas, level: () => quotas.stateOf(customer)!.level};
}

describe('quotas and the number of peers', () => {
  // Guards against customers that pay for every entry that leaves in a rollout.
  it('charge nothing for peers that leave in an orderly way', () => {
    const {quotas, level} = createQuotasWithPeers();
    const before = level();
    for (const entryCount of [6, 5, 2, 1]) {
      quotas.setReportingPeers(1, entryCount, OVERDUE_MS);
    }
    assert.equal(level(), before);
  });

  it('charge nothing for a peer that joins and is not heard yet', () => {
    const {quotas, level} = createQuotasWithPeers();
    const before = level();
    quotas.setReportingPeers(6 / 7, 8, OVERDUE_MS);
    assert.equal(level(), before);
  });

  it('charge the refill for peers that fall silent, also while others leave', () => {
    const {quotas, level} = createQuotasWithPeers();
    const before = level();
    // Two of six peers leave, one more falls silent.
    quotas.setReportingPeers(3 / 4, 5, OVERDUE_MS);
    const refillPerMs = 9_000 / WINDOW_MS;
    assert.equal(level(), Math.round(before - (refillPerMs * OVERDUE_MS) / 5));
  });
});
