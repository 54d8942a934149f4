/**
 * Estimates the number of endpoints that a service needs for bursty work.
 *
 * An endpoint takes seconds to start and costs money from the start. If the
 * number of endpoints followed each burst, new endpoints would be ready only
 * after the burst, and endpoints that the next burst needs would be released.
 * So the need rises with the work at once and falls only after the work has
 * been lower for `SCALE_DOWN_WINDOW_MS`.
 *
 * If the engine speed is overestimated, requests are late. While many requests
 * are late, the need is higher than the number of present endpoints, but at
 * most `MAX_SCALE_UP_OVER_WORK` times the need due to work and slots. It does
 * not fall for `SCALE_DOWN_WINDOW_MS` after that. For engines with few slots
 * the planning rules bound it further.
 */
import type {Clock} from '@skylarkfield/base';
import type {TargetUtilization} from '@skylarkfield/capacity';
import {countEndpointsNeeded, type EndpointNeed} from './fleetPlan.js';
import {planningRules, type PlanningKind} from './planningRules.js';
import {countEndpointsForSlots, type SlotDemand} from './slotDemand.js';

/** Measurements from which the number of needed endpoints is estimated. */
export interface DemandSignals {
  /** Arriving work, in milliseconds of one endpoint's time per second. */
  readonly workRate: number;
  /** Target utilization of an endpoint. */
  readonly use: TargetUtilization;
  /**
   * Slots that the work holds, by the last confident estimate; absent if there
   * is none, or if slots do not limit the engines.
   */
  readonly slotDemand?: SlotDemand | undefined;
  /** Endpoints that accept requests now. */
  readonly readyEndpoints: number;
  /** Fraction of recent requests that were late. */
  readonly latePart: number;
  /** Whether the engine estimate is precise enough to release endpoints. */
  readonly isSure: boolean;
}

/** Estimates the endpoints needed by one service. */
export interface DemandEstimator {
  /** Records the signals and returns the number of endpoints needed. */
  update(signals: DemandSignals): EndpointNeed;
}

/**
 * Time in milliseconds over which the maximum need applies, longer than the
 * pauses between bursts.
 */
const SCALE_DOWN_WINDOW_MS = 8_000;

/**
 * Time in milliseconds after the first work during which the initial fraction
 * is kept, because the smoothed work rate is still rising.
 */
const WARMUP_MS = 8_000;

/**
 * Work rate from which on a service counts as in use, in milliseconds of one
 * endpoint's time per second. Stray requests stay below this rate.
 */
const MIN_WORK_RATE = 50;

/** Fraction of late requests from which on more endpoints are needed. */
const LATE_FRACTION_LIMIT = 0.2;

/** Endpoints needed per endpoint present while many requests are late. */
const SCALE_UP_FACTOR = 1.25;

/**
 * Upper bound of the need due to late requests, as a multiple of the need due
 * to work and slots. Requests may be late for other reasons, such as failing
 * endpoints.
 */
const MAX_SCALE_UP_OVER_WORK = 2;

/**
 * Target fill of the slots in normal operation. A request should find a free
 * slot at once: by the Erlang C formula, 1 in 100 requests finds all of 48
 * slots in use during bursts of 1.25 times the load. At a fill of 0.6, 4 in 100
 * do.
 */
const USUAL_SLOT_FILL = 0.55;

/**
 * Target fill of the slots until lost endpoints are replaced: 1 in 100 requests
 * finds all of 48 slots in use, without a reserve for bursts.
 */
const BRIEF_SLOT_FILL = 0.7;

/** Properties of a service that its estimator takes into account. */
export interface EstimatedService {
  readonly kind: PlanningKind;
  /** Time from requesting an endpoint to its first served request, in ms. */
  readonly bootMs: number;
}

const GENERAL_SERVICE: EstimatedService = {kind: 'general', bootMs: 0};

/** Number of needed endpoints, computed at a time in monotonic milliseconds. */
interface NeedSample extends EndpointNeed {
  readonly computedAtMs: number;
}

/**
 * Returns the endpoints needed for the arriving work: enough for the time that
 * it takes, up to `maxForWork`, and for the slots that it holds.
 *
 * @example
 * const {usual} = needForDemand(signals);
 */
export function needForDemand(
  {
    workRate,
    use,
    slotDemand,
  }: Pick<DemandSignals, 'workRate' | 'use' | 'slotDemand'>,
  maxForWork = Infinity,
): EndpointNeed {
  const usual = Math.min(maxForWork, countEndpointsNeeded(workRate, use.usual));
  const brief = Math.min(maxForWork, countEndpointsNeeded(workRate, use.brief));
  if (slotDemand === undefined) {
    return {usual, brief};
  }
  return {
    usual: Math.max(usual, countEndpointsForSlots(slotDemand, USUAL_SLOT_FILL)),
    brief: Math.max(brief, countEndpointsForSlots(slotDemand, BRIEF_SLOT_FILL)),
  };
}

/**
 * Creates the demand estimator of one service.
 *
 * @example
 * const {usual} = demandEstimator.update(signals);
 */
export function createDemandEstimator(
  clock: Clock,
  {kind, bootMs}: EstimatedService = GENERAL_SERVICE,
): DemandEstimator {
  const rules = planningRules(kind);
  const createdAtMs = clock.now();
  let recentNeeds: NeedSample[] = [];
  let initialCount = 0;
  let firstWorkAtMs: number | undefined;
  let wasSure = false;

  function minEndpoints(isSure: boolean): number {
    const isWarmingUp =
      !isSure ||
      firstWorkAtMs === undefined ||
      clock.now() - firstWorkAtMs < WARMUP_MS;
    return isWarmingUp ? Math.ceil(initialCount * rules.initialFraction) : 1;
  }

  /**
   * Returns more endpoints than are present if many requests are late, else 1.
   */
  function needFromLateness({latePart, readyEndpoints}: DemandSignals): number {
    return latePart < LATE_FRACTION_LIMIT
      ? 1
      : Math.ceil(readyEndpoints * SCALE_UP_FACTOR);
  }

  function computeNeed(signals: DemandSignals): NeedSample {
    // An uncertain estimate must not exceed the operator's initial fleet.
    const maxForWork = signals.isSure ? Infinity : Math.max(1, initialCount);
    const {usual, brief} = needForDemand(signals, maxForWork);
    const lateNeed = Math.min(
      needFromLateness(signals),
      usual * MAX_SCALE_UP_OVER_WORK,
    );
    const computedAtMs = clock.now();
    if (
      signals.slotDemand === undefined ||
      rules.maxScaleUpOverSlots === undefined
    ) {
      return {
        computedAtMs,
        usual: Math.max(usual, lateNeed),
        brief: Math.max(brief, lateNeed),
      };
    }
    // Both needs rise alike, so that the reserve for a lost failure domain
    // keeps its proportion.
    const factor = Math.max(
      1,
      Math.min(rules.maxScaleUpOverSlots, lateNeed / usual),
    );
    return {
      computedAtMs,
      usual: Math.ceil(usual * factor),
      brief: Math.ceil(brief * factor),
    };
  }

  function recordStartupSignals({
    workRate,
    readyEndpoints: readyCount,
    isSure,
  }: DemandSignals): void {
    const isInitialFleet =
      clock.now() - createdAtMs < rules.initialFleetWindowMs(bootMs);
    if (firstWorkAtMs === undefined && isInitialFleet) {
      // Takes the maximum, since endpoints register one by one at the start.
      initialCount = Math.max(initialCount, readyCount);
    }
    if (workRate >= MIN_WORK_RATE) {
      firstWorkAtMs ??= clock.now();
    }
    if (isSure && !wasSure) {
      recentNeeds = [];
    }
    wasSure = isSure;
  }

  return {
    update(signals) {
      recordStartupSignals(signals);
      recentNeeds.push(computeNeed(signals));
      recentNeeds = recentNeeds.filter(
        ({computedAtMs}) => clock.now() - computedAtMs <= SCALE_DOWN_WINDOW_MS,
      );
      const minNeed = minEndpoints(signals.isSure);
      return {
        usual: Math.max(minNeed, ...recentNeeds.map(({usual}) => usual)),
        brief: Math.max(minNeed, ...recentNeeds.map(({brief}) => brief)),
      };
    },
  };
}
