/** Baseline rollout: a canary with fixed steps and fixed thresholds. */
import type {EvidenceSum} from '@skylarkfield/protocol';
import type {Shares} from './moveTraffic.js';

export interface Canary {
  /** Returns the new version's shares at `progress`; 0 after a rollback. */
  advance(progress: number): Shares;
  addEvidence(sums: readonly EvidenceSum[]): void;
  isRolledBack(): boolean;
}

const STEPS = [
  {fromProgress: 0, share: 0.05},
  {fromProgress: 0.25, share: 0.25},
  {fromProgress: 0.5, share: 0.5},
  {fromProgress: 0.75, share: 1},
];

/** Interval between threshold checks, as a fraction of the move. */
const CHECK_INTERVAL = 0.02;
/** Minimum requests to each version before the thresholds are checked. */
const MIN_REQUESTS = 50;
const MAX_ADDED_ERROR_RATE = 0.01;
const MAX_LATENCY_FACTOR = 1.3;

/**
 * Creates a canary that checks the error rate and the mean log latency over all
 * routes together.
 *
 * @example
 * const canary = createCanary();
 */
export function createCanary(): Canary {
  let lastCheckProgress = 0;
  let hasRolledBack = false;
  let totals = {v1: emptyTotals(), v2: emptyTotals()};

  function checkThresholds() {
    const {v1, v2} = totals;
    if (v2.requests < MIN_REQUESTS || v1.requests < MIN_REQUESTS) {
      return;
    }
    totals = {v1: emptyTotals(), v2: emptyTotals()};
    const addedErrorRate = v2.errors / v2.requests - v1.errors / v1.requests;
    const latencyFactor = Math.exp(meanLogLatency(v2) - meanLogLatency(v1));
    hasRolledBack ||=
      addedErrorRate > MAX_ADDED_ERROR_RATE ||
      latencyFactor > MAX_LATENCY_FACTOR;
  }

  return {
    advance(progress) {
      if (progress - lastCheckProgress >= CHECK_INTERVAL) {
        lastCheckProgress = progress;
        checkThresholds();
      }
      const step = STEPS.findLast(({fromProgress}) => progress >= fromProgress);
      const share = hasRolledBack ? 0 : (step?.share ?? 0);
      return {share, orderShare: share};
    },
    addEvidence(sums) {
      for (const sum of sums) {
        const total = sum.version === 'v2' ? totals.v2 : totals.v1;
        total.requests += sum.requests;
        total.errors += sum.errors;
        total.logLatency += sum.logLatency;
      }
    },
    isRolledBack: () => hasRolledBack,
  };
}

function emptyTotals() {
  return {requests: 0, errors: 0, logLatency: 0};
}

function meanLogLatency(sums: ReturnType<typeof emptyTotals>): number {
  return sums.logLatency / Math.max(1, sums.requests - sums.errors);
}
