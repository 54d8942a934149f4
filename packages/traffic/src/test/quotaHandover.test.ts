import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {createVirtualClock} from '@skylarkfield/base';
import type {Quota} from '../contracts.js';
import {createQuotaAccount} from '../quotaAccount.js';
import {createQuotaFleet} from './quotaFleet.js';

const WINDOW_MS = 8_000;
const STEP_MS = 10;
const ENTRY_COUNT = 58;
const GROUP_COUNT = 8;

const quota: Quota = {
  unit: 'tokens',
  perSecond: 1_000,
  burst: 1_000,
  plainTokens: 1,
};
const ALLOWANCE = 9_000;

/** Creates an account of an entry that starts now. */
function createAccount(clock: ReturnType<typeof createVirtualClock>) {
  const startedAtMs = clock.now();
  const account = createQuotaAccount({
    clock,
    windowMs: WINDOW_MS,
    startedAtMs,
    quota,
  });

  /** Requests an amount in each step; returns what is granted. */
  function request(spanMs: number, amount: number): number {
    let granted = 0;
    for (let atMs = 0; atMs < spanMs; atMs += STEP_MS) {
      account.refill(quota, 1);
      const terms = {fraction: 1, isShared: false, unreportedMs: []};
      granted += account.tryCharge(amount, terms) ? amount : 0;
      clock.advanceSync(STEP_MS);
    }
    return granted;
  }

  return {account, request};
}

describe('handover of a quota', () => {
  // Guards against a new owner that assumes a used quota of an idle customer.
  it('lets a new owner grant what the previous one would', () => {
    const clock = createVirtualClock();
    const previous = createAccount(clock);
    clock.advanceSync(2 * WINDOW_MS);
    previous.request(WINDOW_MS, 7);
    const next = createAccount(clock);
    previous.account.refill(quota, 1);
    next.account.adopt(previous.account.content(), 0);
    assert.equal(next.request(2_000, 7), (2_000 / STEP_MS) * 7);
  });

  it('keeps the usage of a customer that has used its quota', () => {
    const clock = createVirtualClock();
    const previous = createAccount(clock);
    clock.advanceSync(2 * WINDOW_MS);
    const before = previous.request(4_000, 100);
    const next = createAccount(clock);
    previous.account.refill(quota, 1);
    next.account.adopt(previous.account.content(), 0);
    const after = next.request(WINDOW_MS - 4_000, 100);
    assert.ok(before + after <= ALLOWANCE + 100, `${before} + ${after}`);
  });

  it('counts what the new owner granted before the answer', () => {
    const clock = createVirtualClock();
    const previous = createAccount(clock);
    clock.advanceSync(2 * WINDOW_MS);
    previous.account.refill(quota, 1);
    const content = previous.account.content();
    const next = createAccount(clock);
    const granted = next.request(100, 10);
    next.account.refill(quota, 1);
    next.account.adopt(content, 100);
    const {level, used} = next.account.state(1);
    assert.ok(level <= content.level - granted, `${level}`);
    assert.ok(used >= granted, `${used}`);
  });

  it('does not replace an account that shows less usage', () => {
    const clock = createVirtualClock();
    const next = createAccount(clock);
    clock.advanceSync(2 * WINDOW_MS);
    next.account.refill(quota, 1);
    const before = next.account.state(1);
    const previous = createAccount(clock);
    next.account.adopt(previous.account.content(), 0);
    assert.deepEqual(next.account.state(1), before);
  });

  // Guards against rollouts in which most owners are new ones.
  it('grants most requests below a quota while all entries restart in turn twice', async () => {
    const fleet = createQuotaFleet({
      entryCount: ENTRY_COUNT,
      quota: {perSecond: 180_000, burst: 180_000},
      isJoinAwaited: true,
      reportDelayMs: 300,
    });
    const load = {seconds: 1, factor: 0.8};
    await fleet.send({seconds: 9, factor: 0.55});
    fleet.totals();
    for (let step = 0; step < 2 * (GROUP_COUNT + 1); step++) {
      const group = Array.from(
        {length: ENTRY_COUNT},
        (_, index) => index,
      ).filter(
        index =>
          Math.floor((index * GROUP_COUNT) / ENTRY_COUNT) ===
          step % (GROUP_COUNT + 1),
      );
      fleet.roll(group);
      await fleet.send(load);
    }
    await fleet.send({...load, seconds: 9});
    const {granted, requested} = fleet.totals();
    const fraction = granted / requested;
    assert.ok(fraction > 0.97, `${fraction}`);
  });
});
