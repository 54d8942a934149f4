import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {virtualClock} from '@skylarkfield/base';
import {createQuotas, NO_WORK, type KeyedCustomer} from '@skylarkfield/traffic';
import {createPeerVisibility} from '../peerVisibility.js';
import {createPeerReports, OVERDUE_MS} from '../peerReports.js';

const ENTRIES = 9;
const WINDOW_MS = 8_000;
const DIGEST_MS = 300;
const STEP_MS = 10;
const PER_SECOND = 1_000;
const BURST = 1_000;

/** Part by which a window may go over, for what entries have not heard of each other yet. */
const OVER = 1.1;

const customer: KeyedCustomer = {
  name: 'chain',
  keys: ['k'],
  priority: undefined,
  quota: {unit: 'tokens', perSecond: PER_SECOND, burst: BURST, plainTokens: 1},
};

const unread = {
  revision: 0,
  changedAt: 0,
  confirmedAgoMs: -1,
  isReader: false,
};

/** Entries that exchange digests unless a cut lies between them. */
function createFleet() {
  const clock = virtualClock();
  const granted: number[] = [];
  let isCut = false;
  const entries = Array.from({length: ENTRIES}, (_, index) => {
    const quotas = createQuotas(clock, WINDOW_MS);
    const reports = createPeerReports({
      clock,
      failureDomain: 'a',
      silenceMs: 1_200,
      quotaWindowMs: WINDOW_MS,
    });
    const share = createPeerVisibility({
      clock,
      membership: {entryCount: () => ENTRIES},
      reports,
      onDidRefresh: (heard, count) => quotas.setHeard(heard, count, OVERDUE_MS),
    });
    return {index, id: `entry-${index}`, quotas, reports, share};
  });

  function exchangeDigests(): void {
    for (const from of entries) {
      from.share.refresh();
      const digest = {
        incarnation: 1,
        upMs: clock.now(),
        stamp: 0,
        wallMs: 0,
        mirrors: {policy: unread, endpoints: unread, rollouts: unread},
        usage: {},
        loads: {},
        work: {chat: NO_WORK},
        outcomes: {},
        used: {...from.quotas.used()},
      };
      for (const to of entries) {
        const isReached = !isCut || from.index % 2 === to.index % 2;
        if (to !== from && isReached) {
          const taken = to.reports.take(from.id, digest);
          to.quotas.noteIncrease(taken?.increase ?? {});
        }
      }
    }
  }

  return {
    cut(value: boolean): void {
      isCut = value;
    },
    /** Each entry takes what it can, several times what all may take. */
    flood(seconds: number): void {
      const amount = (3 * PER_SECOND * STEP_MS) / 1_000 / ENTRIES;
      for (let at = 0; at < seconds * 1_000; at += STEP_MS) {
        if (at % DIGEST_MS === 0) {
          exchangeDigests();
        }
        const passed = entries.filter(
          ({share, quotas}) =>
            share.isKnown() && quotas.tryTake(customer, amount),
        );
        granted.push(passed.length * amount);
        clock.advanceSync(STEP_MS);
      }
    },
    mostInWindow(): number {
      const length = WINDOW_MS / STEP_MS;
      let sum = 0;
      let most = 0;
      granted.forEach((amount, at) => {
        sum += amount - (granted[at - length] ?? 0);
        most = Math.max(most, sum);
      });
      return most;
    },
  };
}

describe('quotas under a cut', () => {
  // Guards against both sides of a cut that grant the whole quota until each misses the other.
  it('keeps the quota when half of the entries are cut off', () => {
    const fleet = createFleet();
    fleet.flood(18);
    fleet.cut(true);
    fleet.flood(6);
    fleet.cut(false);
    fleet.flood(12);
    const allowed = (PER_SECOND * WINDOW_MS) / 1_000 + BURST;
    const most = fleet.mostInWindow();
    assert.ok(most <= allowed * OVER, `${most} of ${allowed}`);
  });
});
