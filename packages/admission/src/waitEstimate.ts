/**
 * Estimates the queueing time of a new request from the hold time of permits
 * (drain rate = limit / hold time) and the arrival rate of more urgent work.
 */
import type {Clock} from '@skylarkfield/base';
import {URGENCY_COUNT} from './fairQueue.js';

export interface WaitEstimator {
  /** Records the arrival of a request, admitted or not. */
  recordArrival(urgency: number, cost: number): void;
  recordAdmission(): void;
  recordRelease(admittedAt: number, cost: number): void;
  /** Records the latency of a successful request. */
  recordLatency(latencyMs: number): void;
  /**
   * Returns the expected wait of a request behind queued requests of the given
   * cost, in milliseconds.
   */
  estimateWaitMs(costAhead: number, limit: number, urgency: number): number;
  /** Returns the lower-quartile latency of recent successes, in milliseconds. */
  serviceMs(): number;
  /** Returns the drain rate at the given limit, in cost per second. */
  drainPerSecond(limit: number): number;
}

/** Weight of a new sample in the moving averages of hold time and cost. */
const AVERAGE_SAMPLE_WEIGHT = 0.05;

/** Lower bound of the mean cost, to keep the hold time per cost finite. */
const MIN_COST = 1e-3;

/** Half-life of the weight of an arrival in the arrival rates. */
const ARRIVAL_HALF_LIFE_MS = 2000;

/**
 * Minimum fraction of the drain rate assumed to remain for a request despite
 * arrivals of more urgent requests.
 */
const MIN_DRAIN_FRACTION = 0.005;

/** Number of recent latencies kept to compute the quantile. */
const LATENCY_WINDOW_SIZE = 32;

/**
 * Latency quantile used as the service time: only 1 in 4 requests is faster.
 * A higher quantile would reject requests that can still be served in time.
 */
const SERVICE_TIME_QUANTILE = 0.25;

/** Number of new latencies after which the quantile is recomputed. */
const QUANTILE_REFRESH_SAMPLES = 4;

/**
 * Creates the wait estimator of one service.
 *
 * @example
 * const waitMs = waitEstimator.estimateWaitMs(queue.costOfMoreUrgent(urgency), limit, urgency);
 */
export function createWaitEstimator(clock: Clock): WaitEstimator {
  /** Cost of arrived requests by urgency, decayed exponentially. */
  const decayedArrivalCosts = new Float64Array(URGENCY_COUNT);
  const latencies: number[] = [];
  let decayedAt = clock.now();
  let averages: {holdMs: number; cost: number} | undefined;
  let runningCount = 0;
  /** Sum of the admission times of the running requests, in milliseconds. */
  let admittedAtSum = 0;
  let latencySampleCount = 0;
  let quantileMs = 0;

  function decayArrivals() {
    const now = clock.now();
    const factor = 2 ** ((decayedAt - now) / ARRIVAL_HALF_LIFE_MS);
    decayedAt = now;
    for (let urgency = 0; urgency < URGENCY_COUNT; urgency++) {
      decayedArrivalCosts[urgency] =
        (decayedArrivalCosts[urgency] as number) * factor;
    }
  }

  /** Returns the arrival rate of more urgent work, in cost per millisecond. */
  function arrivalRateOfMoreUrgent(urgency: number): number {
    decayArrivals();
    let decayedCost = 0;
    for (let level = 0; level < urgency; level++) {
      decayedCost += decayedArrivalCosts[level] as number;
    }
    return (decayedCost * Math.LN2) / ARRIVAL_HALF_LIFE_MS;
  }

  /**
   * Returns the mean hold time per unit of cost. Divides two averages instead
   * of averaging ratios: part of the hold time does not depend on the cost, so
   * requests of small cost have a large ratio, and a few of them would inflate
   * all wait estimates.
   */
  function meanHoldMsPerCost(): number {
    return averages === undefined
      ? 0
      : averages.holdMs / Math.max(averages.cost, MIN_COST);
  }

  /**
   * Returns the hold time per unit of cost, with the mean age of running
   * requests as a lower bound. A hung service finishes no requests, so the mean
   * over finished requests alone would not change.
   */
  function estimateHoldMsPerCost(): number {
    const meanRunningAgeMs =
      runningCount === 0 ? 0 : clock.now() - admittedAtSum / runningCount;
    return Math.max(meanHoldMsPerCost(), meanRunningAgeMs);
  }

  return {
    recordArrival(urgency, cost) {
      decayArrivals();
      const index = Math.min(URGENCY_COUNT - 1, Math.max(0, urgency));
      decayedArrivalCosts[index] =
        (decayedArrivalCosts[index] as number) + cost;
    },
    recordAdmission() {
      runningCount += 1;
      admittedAtSum += clock.now();
    },
    recordRelease(admittedAt, cost) {
      runningCount -= 1;
      admittedAtSum -= admittedAt;
      const holdMs = clock.now() - admittedAt;
      averages ??= {holdMs, cost};
      averages.holdMs += (holdMs - averages.holdMs) * AVERAGE_SAMPLE_WEIGHT;
      averages.cost += (cost - averages.cost) * AVERAGE_SAMPLE_WEIGHT;
    },
    recordLatency(latencyMs) {
      latencies[latencySampleCount % LATENCY_WINDOW_SIZE] = latencyMs;
      latencySampleCount += 1;
      if (
        latencySampleCount % QUANTILE_REFRESH_SAMPLES === 0 ||
        latencySampleCount === 1
      ) {
        const sorted = [...latencies].sort((a, b) => a - b);
        quantileMs = sorted[
          Math.floor(sorted.length * SERVICE_TIME_QUANTILE)
        ] as number;
      }
    },
    estimateWaitMs(costAhead, limit, urgency) {
      const holdMsPerCost = estimateHoldMsPerCost();
      if (holdMsPerCost === 0 || costAhead <= 0) {
        return 0;
      }
      const drainRate = limit / holdMsPerCost;
      const availableRate = Math.max(
        drainRate * MIN_DRAIN_FRACTION,
        drainRate - arrivalRateOfMoreUrgent(urgency),
      );
      return costAhead / availableRate;
    },
    serviceMs: () => quantileMs,
    drainPerSecond(limit) {
      const holdMsPerCost = estimateHoldMsPerCost();
      return holdMsPerCost === 0 ? Infinity : (1000 * limit) / holdMsPerCost;
    },
  };
}
