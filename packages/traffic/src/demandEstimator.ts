/**
 * Number of endpoints that a service needs for bursty work.
 *
 * An endpoint takes seconds to start and is paid for from then on. Following
 * each burst would order endpoints that are ready only after the burst, and
 * release those that the next burst needs. So the need rises with the work at
 * once and falls only after the work has been lower for a while.
 *
 * The estimated engine speed may be wrong, which shows in late requests. While
 * many requests are late, more endpoints are needed than are present, whatever
 * the work rate, and none is released until requests are on time for a while.
 */
import type {Clock} from '@skylarkfield/base';
import type {TargetUtilization} from '@skylarkfield/capacity';
import {endpointsNeeded, type EndpointNeed} from './fleetPlan.js';

/** Inputs of the estimated need. */
export interface DemandSignals {
  /** Arriving work, in milliseconds of one endpoint per second. */
  readonly workRate: number;
  /** Target utilization of an endpoint. */
  readonly use: TargetUtilization;
  /** Endpoints that accept requests now. */
  readonly present: number;
  /** Fraction of recent requests that were late. */
  readonly latePart: number;
  /** Whether the engine estimate is good enough to base releases on it. */
  readonly isSure: boolean;
}

export interface DemandEstimator {
  /** Records the present signals and returns the endpoints needed. */
  update(signals: DemandSignals): EndpointNeed;
}

/** Window of the maximum need in ms, longer than the pauses between bursts. */
const SCALE_DOWN_WINDOW_MS = 8_000;

/**
 * Fraction of the endpoints found at the start that is kept until work
 * arrives: operators size the initial fleet for the busiest hour.
 */
const INITIAL_FRACTION = 0.6;

/**
 * Time after the first work during which the initial fraction is kept, in
 * milliseconds: the smoothed work rate is still rising.
 */
const WARMUP_MS = 8_000;

/** Stray requests stay below this rate, in ms of one endpoint per second. */
const MIN_WORK_RATE = 50;

/** Fraction of late requests from which on there are too few endpoints. */
const LATE_FRACTION_LIMIT = 0.2;

/** Endpoints needed per endpoint present while many requests are late. */
const SCALE_UP_FACTOR = 1.25;

/**
 * Upper bound of the need from late requests, as a multiple of the need from
 * work: requests may be late for other reasons, such as failing endpoints.
 */
const MAX_SCALE_UP_OVER_WORK = 2;

interface NeedSample extends EndpointNeed {
  readonly at: number;
}

/**
 * Creates the demand estimator of one service.
 *
 * @example
 * const {usual} = demand.update({workRate: 1_400, use, present: 6, latePart: 0, isSure: true});
 */
export function createDemandEstimator(clock: Clock): DemandEstimator {
  let recentNeeds: NeedSample[] = [];
  let initialCount = 0;
  let firstWorkAt: number | undefined;
  let wasSure = false;

  function minEndpoints(isSure: boolean): number {
    const isWarmingUp =
      !isSure ||
      firstWorkAt === undefined ||
      clock.now() - firstWorkAt < WARMUP_MS;
    return isWarmingUp ? Math.ceil(initialCount * INITIAL_FRACTION) : 1;
  }

  /** Returns more endpoints than are present while many requests are late. */
  function needFromLateness({latePart, present}: DemandSignals): number {
    return latePart < LATE_FRACTION_LIMIT
      ? 1
      : Math.ceil(present * SCALE_UP_FACTOR);
  }

  function needFromWork(signals: DemandSignals, utilization: number): number {
    const needed = endpointsNeeded(signals.workRate, utilization);
    // An uncertain estimate must not exceed the operator's initial fleet.
    return signals.isSure
      ? needed
      : Math.min(needed, Math.max(1, initialCount));
  }

  function currentNeed(signals: DemandSignals): NeedSample {
    const usual = needFromWork(signals, signals.use.usual);
    const brief = needFromWork(signals, signals.use.brief);
    const lateNeed = Math.min(
      needFromLateness(signals),
      usual * MAX_SCALE_UP_OVER_WORK,
    );
    return {
      at: clock.now(),
      usual: Math.max(usual, lateNeed),
      brief: Math.max(brief, lateNeed),
    };
  }

  function recordStart({workRate, present, isSure}: DemandSignals): void {
    if (firstWorkAt === undefined) {
      // Endpoints register one by one when the system starts.
      initialCount = Math.max(initialCount, present);
    }
    if (workRate >= MIN_WORK_RATE) {
      firstWorkAt ??= clock.now();
    }
    if (isSure && !wasSure) {
      recentNeeds = [];
    }
    wasSure = isSure;
  }

  return {
    update(signals) {
      recordStart(signals);
      recentNeeds.push(currentNeed(signals));
      recentNeeds = recentNeeds.filter(
        ({at}) => clock.now() - at <= SCALE_DOWN_WINDOW_MS,
      );
      const minNeed = minEndpoints(signals.isSure);
      return {
        usual: Math.max(minNeed, ...recentNeeds.map(({usual}) => usual)),
        brief: Math.max(minNeed, ...recentNeeds.map(({brief}) => brief)),
      };
    },
  };
}
