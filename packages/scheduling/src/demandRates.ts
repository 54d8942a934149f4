/** Rates at which a service's work arrives, as fractions of its capacity. */
import type {Clock} from '@skylarkfield/base';
import {URGENCY_COUNT} from '@skylarkfield/admission';

export interface DemandRates {
  /**
   * Records a request that takes `costMs` of the whole service's time. One that
   * returns as it was told is not part of the usual demand.
   */
  record(urgency: number, costMs: number, isReturning: boolean): void;
  /** Returns the recent demand that is more urgent. */
  recentAbove(urgency: number): number;
  /** Returns the recent demand of all urgencies. */
  recentTotal(): number;
  /** Returns the demand outside of bursts. */
  usualTotal(): number;
}

/** Half-life of the recent demand, in milliseconds. */
const RECENT_HALF_LIFE_MS = 700;

/** Length of the intervals of which the usual demand is a quantile. */
const INTERVAL_MS = 250;
const INTERVAL_COUNT = 120;

/**
 * Quantile of the demand of the last 30 s that counts as usual: a burst of a few
 * seconds does not raise it, an overload that lasts does.
 */
const USUAL_QUANTILE = 0.35;

/**
 * Creates the rates of one service, without demand.
 *
 * @example
 * demandRates.record(0, 2.5, false);
 * const fraction = demandRates.recentTotal();
 */
export function createDemandRates(clock: Clock): DemandRates {
  const recentCosts = new Float64Array(URGENCY_COUNT);
  const intervals: number[] = [];
  let decayedAt = clock.now();
  let intervalStart = clock.now();
  let intervalCost = 0;

  function decay(): void {
    const now = clock.now();
    const factor = 2 ** ((decayedAt - now) / RECENT_HALF_LIFE_MS);
    decayedAt = now;
    for (let urgency = 0; urgency < URGENCY_COUNT; urgency++) {
      recentCosts[urgency] = recentCosts[urgency]! * factor;
    }
  }

  function closeIntervals(): void {
    const elapsed = Math.floor((clock.now() - intervalStart) / INTERVAL_MS);
    for (let index = 0; index < Math.min(elapsed, INTERVAL_COUNT); index++) {
      intervals.push(intervalCost / INTERVAL_MS);
      intervalCost = 0;
    }
    intervalStart += elapsed * INTERVAL_MS;
    intervals.splice(0, intervals.length - INTERVAL_COUNT);
  }

  function recentSum(end: number): number {
    decay();
    let cost = 0;
    for (let urgency = 0; urgency < end; urgency++) {
      cost += recentCosts[urgency]!;
    }
    return (cost * Math.LN2) / RECENT_HALF_LIFE_MS;
  }

  return {
    record(urgency, costMs, isReturning) {
      decay();
      recentCosts[urgency] = recentCosts[urgency]! + costMs;
      closeIntervals();
      intervalCost += isReturning ? 0 : costMs;
    },
    recentAbove: recentSum,
    recentTotal: () => recentSum(URGENCY_COUNT),
    usualTotal() {
      closeIntervals();
      const sorted = [...intervals].sort((a, b) => a - b);
      return sorted[Math.floor(sorted.length * USUAL_QUANTILE)] ?? 0;
    },
  };
}
