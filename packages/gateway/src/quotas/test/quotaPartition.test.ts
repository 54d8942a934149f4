import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {createVirtualClock} from '@skylarkfield/base';
import {
  createQuotas,
  ZERO_WORK,
  type CustomerConfig,
} from '@skylarkfield/traffic';
import {createPeerVisibility} from '../../digests/peerVisibility.js';
import {createPeerReports, OVERDUE_MS} from '../../digests/peerReports.js';

const ENTRY_COUNT = 9;
const WINDOW_MS = 8_000;
const DIGEST_INTERVAL_MS = 300;
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

/**
 * Creates entries that exchange digests, and can be separated by a partition.
 */
function createFleet() {
  const clock = createVirtualClock();
  const grantedByStep: number[] = [];
  let isPartitioned = false;
  const entries = Array.from({length: ENTRY_COUNT}, (_, index) => {
    const quotas = createQuotas(clock, WINDOW_MS);
    const reports = createPeerReports({
      clock,
      failureDomain: 'a',
      reporterTimeoutMs: 1_200,
      quotaWindowMs: WINDOW_MS,
    });
    const visibility = createPeerVisibility({
      clock,
      membership: {entryCount: () => ENTRY_COUNT},
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
        used: {...sender.quotas.totalOwnUsage()},
      };
      for (const receiver of entries) {
        const isReached =
          !isPartitioned || sender.index % 2 === receiver.index % 2;
        if (receiver !== sender && isReached) {
          const acceptedReport = receiver.reports.acceptDigest(
            sender.id,
            digest,
          );
          receiver.quotas.recordPeerUsage(acceptedReport?.increase ?? {});
        }
      }
    }
  }

  return {
    setPartitioned(value: boolean): void {
      isPartitioned = value;
    },
    /**
     * Makes the entries request three times the quota in total, in equal parts.
     */
    sendLoad(seconds: number): void {
      const amount = (3 * QUOTA_PER_SECOND * STEP_MS) / 1_000 / ENTRY_COUNT;
      for (
        let elapsedMs = 0;
        elapsedMs < seconds * 1_000;
        elapsedMs += STEP_MS
      ) {
        if (elapsedMs % DIGEST_INTERVAL_MS === 0) {
          exchangeDigests();
        }
        const admittedBy = entries.filter(
          ({visibility, quotas}) =>
            visibility.isEntryCountKnown() &&
            quotas.tryConsume(customer, amount),
        );
        grantedByStep.push(admittedBy.length * amount);
        clock.advanceSync(STEP_MS);
      }
    },
    /** Returns the maximum usage granted in any window. */
    maxGrantedInWindow(): number {
      const stepCount = WINDOW_MS / STEP_MS;
      let sum = 0;
      let max = 0;
      grantedByStep.forEach((amount, stepIndex) => {
        sum += amount - (grantedByStep[stepIndex - stepCount] ?? 0);
        max = Math.max(max, sum);
      });
      return max;
    },
  };
}

describe('quotas under a partition', () => {
  // Guards against both sides of a partition granting the whole quota until
  // they detect the partition.
  it('enforces the quota while a partition separates two halves of the entries', () => {
    const fleet = createFleet();
    fleet.sendLoad(18);
    fleet.setPartitioned(true);
    fleet.sendLoad(6);
    fleet.setPartitioned(false);
    fleet.sendLoad(12);
    const allowedTokens = (QUOTA_PER_SECOND * WINDOW_MS) / 1_000 + BURST;
    const maxGranted = fleet.maxGrantedInWindow();
    assert.ok(
      maxGranted <= allowedTokens * ALLOWED_OVERSHOOT_FACTOR,
      `${maxGranted} of ${allowedTokens}`,
    );
  });
});
