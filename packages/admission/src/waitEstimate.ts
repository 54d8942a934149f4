/**
 * How long a new request would wait, from how long requests hold their permits
 * (drain rate = limit / time held) and how much more important work comes in.
 */
import type {Clock} from '@skylarkfield/base';
import {URGENCY_COUNT} from './fairQueue.js';

export interface WaitEstimate {
  /** A request of this urgency asked for capacity. */
  noteAsk(urgency: number, cost: number): void;
  noteStart(): void;
  noteEnd(startedAt: number, cost: number): void;
  noteLatency(latencyMs: number): void;
  /** Expected wait behind this much cost, at the given limit and urgency, in milliseconds. */
  waitMs(costAhead: number, limit: number, urgency: number): number;
  /** Time that a request needs once admitted when it goes well, in milliseconds. */
  serviceMs(): number;
  /** Cost per second that the service gets done now. */
  drainPerSecond(limit: number): number;
}

/** Weight of a finished request in the average of time held. */
const HELD_WEIGHT = 0.05;

/** Keeps the time for each unit of cost finite. */
const LEAST_COST = 1e-3;

/** Half of what came in this long ago still counts in the arrival rates. */
const ARRIVAL_HALF_LIFE_MS = 2000;

/** However much important work comes in, this part of the drain is assumed to be left. */
const LEAST_DRAIN_FRACTION = 0.005;

/** Latencies kept for the quantile. */
const LATENCY_WINDOW = 32;

/**
 * A request is taken for hopeless when even a latency that only one in four
 * beats would come too late; a higher quantile would refuse what can be served.
 */
const HOPE_QUANTILE = 0.25;

/** The quantile is worked out again after this many new latencies. */
const QUANTILE_REFRESH = 4;

/**
 * Makes the estimate of one service.
 *
 * @example
 * const waitMs = estimate.waitMs(queue.costBefore(urgency), limit, urgency);
 */
export function createWaitEstimate(clock: Clock): WaitEstimate {
  const arrivals = new Float64Array(URGENCY_COUNT);
  const latencies: number[] = [];
  let arrivalsAt = clock.now();
  let held: {ms: number; cost: number} | undefined;
  let running = 0;
  let startSum = 0;
  let latencyCount = 0;
  let quantileMs = 0;

  function decayArrivals() {
    const now = clock.now();
    const factor = 2 ** ((arrivalsAt - now) / ARRIVAL_HALF_LIFE_MS);
    arrivalsAt = now;
    for (let urgency = 0; urgency < URGENCY_COUNT; urgency++) {
      arrivals[urgency] = (arrivals[urgency] as number) * factor;
    }
  }

  /** Cost per millisecond that comes in at more important urgencies. */
  function arrivalRateBefore(urgency: number): number {
    decayArrivals();
    let sum = 0;
    for (let more = 0; more < urgency; more++) {
      sum += arrivals[more] as number;
    }
    return (sum * Math.LN2) / ARRIVAL_HALF_LIFE_MS;
  }

  /**
   * The ratio of two averages, not the average of ratios: a small cost has a
   * large ratio, since each request also holds its permit for reasons that grow
   * with no cost, and a few small ones would make all waits look hopeless.
   */
  function heldPerCostMs(): number {
    return held === undefined ? 0 : held.ms / Math.max(held.cost, LEAST_COST);
  }

  /**
   * A hung service finishes nothing, so finished requests alone would go on
   * showing the last good figure: the age of those that run is a lower bound.
   */
  function heldMs(): number {
    const ageMs = running === 0 ? 0 : clock.now() - startSum / running;
    return Math.max(heldPerCostMs(), ageMs);
  }

  return {
    noteAsk(urgency, cost) {
      decayArrivals();
      const index = Math.min(URGENCY_COUNT - 1, Math.max(0, urgency));
      arrivals[index] = (arrivals[index] as number) + cost;
    },
    noteStart() {
      running += 1;
      startSum += clock.now();
    },
    noteEnd(startedAt, cost) {
      running -= 1;
      startSum -= startedAt;
      const ms = clock.now() - startedAt;
      held ??= {ms, cost};
      held.ms += (ms - held.ms) * HELD_WEIGHT;
      held.cost += (cost - held.cost) * HELD_WEIGHT;
    },
    noteLatency(latencyMs) {
      latencies[latencyCount % LATENCY_WINDOW] = latencyMs;
      latencyCount += 1;
      if (latencyCount % QUANTILE_REFRESH === 0 || latencyCount === 1) {
        const sorted = [...latencies].sort((a, b) => a - b);
        quantileMs = sorted[
          Math.floor(sorted.length * HOPE_QUANTILE)
        ] as number;
      }
    },
    waitMs(costAhead, limit, urgency) {
      const perCostMs = heldMs();
      if (perCostMs === 0 || costAhead <= 0) {
        return 0;
      }
      const drain = limit / perCostMs;
      const left = Math.max(
        drain * LEAST_DRAIN_FRACTION,
        drain - arrivalRateBefore(urgency),
      );
      return costAhead / left;
    },
    serviceMs: () => quantileMs,
    drainPerSecond(limit) {
      const perCostMs = heldMs();
      return perCostMs === 0 ? Infinity : (1000 * limit) / perCostMs;
    },
  };
}
