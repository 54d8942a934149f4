import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {virtualClock} from '@skylarkfield/base';
import {
  createQuotas,
  ZERO_WORK,
  type CustomerConfig,
} from '@skylarkfield/traffic';
import {createPeerVisibility} from '../peerVisibility.js';
import {createPeerReports, OVERDUE_MS} from '../peerReports.js';

const ENTRIES = 9;
const WINDOW_MS = 8_000;
const DIGEST_MS = 300;
const STEP_MS = 10;
const QUOTA_PER_SECOND = 1_000;
const BURST = 1_000;

/** Factor on a window's quota that allows for usage not exchanged yet. */
const ALLOWED_OVERSHOOT_FACTOR = 1.1;

const customer: CustomerConfig = {
  name: 'chain',
  keys: ['k'],
  priority: undefined,
  quota: {
    unit: 'tokens',
    perSecond: QUOTA_PER_SECOND,
    burst: BURST,
    plainTokens: 1,
  },
};

const emptyStatus = {
  revision: 0,
  changedAt: 0,
  confirmedAgoMs: -1,
  isReader: false,
};

/** Creates entries that exchange digests unless a partition separates them. */
function createFleet() {
  const clock = virtualClock();
  const granted: number[] = [];
  let isPartitioned = false;
  const entries = Array.from({length: ENTRIES}, (_, index) => {
    const quotas = createQuotas(clock, WINDOW_MS);
    const reports = createPeerReports({
      clock,
      failureDomain: 'a',
      reporterTimeoutMs: 1_200,
      quotaWindowMs: WINDOW_MS,
    });
    const visibility = createPeerVisibility({
      clock,
      membership: {entryCount: () => ENTRIES},
      reports,
      onDidRefresh: (visibleFraction, count) =>
        quotas.setReportingPeers(visibleFraction, count, OVERDUE_MS),
    });
    return {index, id: `entry-${index}`, quotas, reports, visibility};
  });

  function exchangeDigests(): void {
    for (const sender of entries) {
      sender.visibility.refresh();
      const digest = {
        incarnation: 1,
        upMs: clock.now(),
        stamp: 0,
        wallMs: 0,
        mirrors: {
          policy: emptyStatus,
          endpoints: emptyStatus,
          rollouts: emptyStatus,
        },
        usage: {},
        loads: {},
        work: {chat: ZERO_WORK},
        outcomes: {},
        used: {...sender.quotas.ownUsage()},
      };
      for (const receiver of entries) {
        const isReached =
          !isPartitioned || sender.index % 2 === receiver.index % 2;
        if (receiver !== sender && isReached) {
          const accepted = receiver.reports.accept(sender.id, digest);
          receiver.quotas.addPeerUsage(accepted?.increase ?? {});
        }
      }
    }
  }

  return {
    setPartitioned(value: boolean): void {
      isPartitioned = value;
    },
    /** Each entry tries to consume its part of three times the quota. */
    sendLoad(seconds: number): void {
      const amount = (3 * QUOTA_PER_SECOND * STEP_MS) / 1_000 / ENTRIES;
      for (let at = 0; at < seconds * 1_000; at += STEP_MS) {
        if (at % DIGEST_MS === 0) {
          exchangeDigests();
        }
        const passed = entries.filter(
          ({visibility, quotas}) =>
            visibility.isKnown() && quotas.tryConsume(customer, amount),
        );
        granted.push(passed.length * amount);
        clock.advanceSync(STEP_MS);
      }
    },
    maxInWindow(): number {
      const length = WINDOW_MS / STEP_MS;
      let sum = 0;
      let max = 0;
      granted.forEach((amount, at) => {
        sum += amount - (granted[at - length] ?? 0);
        max = Math.max(max, sum);
      });
      return max;
    },
  };
}

describe('quotas under a partition', () => {
  // Guards against both sides of a partition granting the whole quota until
  // they notice it.
  it('enforces the quota while half of the entries are partitioned', () => {
    const fleet = createFleet();
    fleet.sendLoad(18);
    fleet.setPartitioned(true);
    fleet.sendLoad(6);
    fleet.setPartitioned(false);
    fleet.sendLoad(12);
    const allowed = (QUOTA_PER_SECOND * WINDOW_MS) / 1_000 + BURST;
    const maxGranted = fleet.maxInWindow();
    assert.ok(
      maxGranted <= allowed * ALLOWED_OVERSHOOT_FACTOR,
      `${maxGranted} of ${allowed}`,
    );
  });
});
