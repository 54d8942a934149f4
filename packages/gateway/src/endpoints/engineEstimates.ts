/** Estimates of engines' capacity and load, combined from all entries. */
import type {Clock, Logger} from '@skylarkfield/base';
import {
  addCapacityStats,
  createEngineModel,
  createOutcomeMeter,
  estimateEngine,
  lateRequestFraction,
  targetUtilization,
  type CapacityStats,
  type EngineEstimate,
  type EngineModel,
  type OutcomeMeter,
  type LatencyTargets,
  type WorkRate,
} from '@skylarkfield/capacity';
import type {RouteWeights} from '@skylarkfield/routing';
import {
  addWork,
  createWorkMeter,
  estimateSlotDemand,
  ZERO_WORK,
  workMs,
  type DemandSignals,
  type SlotDemand,
  type WorkMeter,
} from '@skylarkfield/traffic';
import type {PeerReports} from '../digests/peerReports.js';

export interface EngineEstimates {
  /** Measurements of engine speed by this entry. */
  readonly model: EngineModel;
  /** Counts of requests and late requests of this entry. */
  readonly outcomes: OutcomeMeter;
  /** Work rate of the requests that this entry accepts. */
  readonly work: WorkMeter;
  estimateFor(service: string): EngineEstimate;
  /** Returns the work rate of a service, summed over all entries. */
  workRate(service: string): WorkRate;
  /**
   * Returns the demand for a service over all entries, and the fraction of its
   * requests served late.
   */
  demandSignals(service: string): Omit<DemandSignals, 'readyEndpoints'>;
  /** Returns the routing weights; undefined for a plain service. */
  routeWeights(service: string): Partial<RouteWeights> | undefined;
  /**
   * Returns this entry's measurements to publish; undefined if they were
   * published within the publishing interval.
   */
  unpublishedCapacity(): CapacityStats | undefined;
  /** Returns the measurements of all entries combined. */
  fleetCapacity(): CapacityStats;
  dump(): unknown;
}

/** Age at which an estimate is recomputed, in milliseconds. */
const REFRESH_INTERVAL_MS = 1_000;

/** Interval of publishing measurements, in milliseconds: they change slowly. */
const PUBLISH_INTERVAL_MS = 1_000;

/**
 * Minimum relative change of the processing time of a typical prompt at which
 * the estimate is logged again.
 */
const MIN_LOGGED_CHANGE = 0.25;

/**
 * Routing bonus for the endpoint preferred by prefix affinity, as a multiple of
 * the processing time of a typical prompt.
 */
const AFFINITY_MULTIPLE = 1.5;

/**
 * Factor on the routing cost of uncached tokens: recomputing a prefix also
 * delays the engine's concurrent responses.
 */
const RECOMPUTE_WEIGHT = 4;

/**
 * Time in milliseconds for which slots are counted with the last confident
 * estimate. While all slots are in use, waits hide the engine speed, and the
 * estimate is uncertain just when the slots are needed.
 */
const CONFIDENT_ESTIMATE_AGE_MS = 60_000;

interface CachedEstimate {
  readonly computedAt: number;
  readonly estimate: EngineEstimate;
  readonly weights: Partial<RouteWeights>;
}

/**
 * Creates the estimates of one entry.
 *
 * @example
 * const engineEstimates = createEngineEstimates({clock, reports, log,
 *   restored: store.restoredStats, isModel, engineSlots, latencyTargets});
 */
export function createEngineEstimates(options: {
  readonly clock: Clock;
  readonly reports: PeerReports;
  readonly log: Logger;
  /** Returns measurements from before all entries were lost, decayed by age. */
  restored(): CapacityStats;
  isModel(service: string): boolean;
  /** Returns the slots of one engine; undefined for a plain service. */
  engineSlots(service: string): number | undefined;
  latencyTargets(service: string): readonly LatencyTargets[];
}): EngineEstimates {
  const {clock, reports, log} = options;
  const model = createEngineModel(clock);
  const outcomes = createOutcomeMeter(clock);
  const work = createWorkMeter(clock);
  const cachedEstimates = new Map<string, CachedEstimate>();
  const confidentEstimates = new Map<string, CachedEstimate>();
  const loggedEstimates = new Map<string, EngineEstimate>();
  let publishedAt = -Infinity;

  function fleetCapacity(): CapacityStats {
    return addCapacityStats([model.stats(), ...reports.capacity()]);
  }

  function computeEstimate(service: string): CachedEstimate {
    const allStats = addCapacityStats([fleetCapacity(), options.restored()]);
    const estimate = estimateEngine(
      allStats[service],
      options.latencyTargets(service),
    );
    return {
      computedAt: clock.now(),
      estimate,
      weights: routeWeightsFor(estimate),
    };
  }

  function cachedEstimate(service: string): CachedEstimate {
    const cachedResult = cachedEstimates.get(service);
    if (
      cachedResult !== undefined &&
      clock.now() - cachedResult.computedAt < REFRESH_INTERVAL_MS
    ) {
      return cachedResult;
    }
    const newResult = computeEstimate(service);
    cachedEstimates.set(service, newResult);
    if (newResult.estimate.isSure) {
      confidentEstimates.set(service, newResult);
    }
    logChange(service, newResult.estimate);
    return newResult;
  }

  /**
   * Logs an estimate that is new or differs enough from the last logged
   * estimate.
   */
  function logChange(service: string, estimate: EngineEstimate): void {
    const lastLogged = loggedEstimates.get(service);
    const ratio = lastLogged
      ? estimate.usualPromptMs / lastLogged.usualPromptMs
      : Infinity;
    const isSimilar = Math.abs(ratio - 1) < MIN_LOGGED_CHANGE;
    if (isSimilar && estimate.isSure === lastLogged?.isSure) {
      return;
    }
    loggedEstimates.set(service, estimate);
    log.info({service, ...estimate}, 'engine estimate updated');
  }

  function workRate(service: string): WorkRate {
    const ownRate = work.rates()[service] ?? ZERO_WORK;
    return addWork(ownRate, reports.peerWorkRate(service));
  }

  function slotDemand(service: string, work: WorkRate): SlotDemand | undefined {
    const confident = confidentEstimates.get(service);
    return confident !== undefined &&
      clock.now() - confident.computedAt <= CONFIDENT_ESTIMATE_AGE_MS
      ? estimateSlotDemand(
          work,
          confident.estimate,
          options.engineSlots(service),
        )
      : undefined;
  }

  function lateFraction(service: string): number {
    const originCounts = [outcomes.counts(), ...reports.outcomes()];
    return lateRequestFraction(
      originCounts.flatMap(counts => counts[service] ?? []),
    );
  }

  function demandSignals(
    service: string,
  ): Omit<DemandSignals, 'readyEndpoints'> {
    const {estimate} = cachedEstimate(service);
    const work = workRate(service);
    return {
      workRate: workMs(work, estimate),
      use: targetUtilization(estimate, options.latencyTargets(service)),
      slotDemand: slotDemand(service, work),
      latePart: lateFraction(service),
      isSure: estimate.isSure,
    };
  }

  return {
    model,
    outcomes,
    work,
    estimateFor: service => cachedEstimate(service).estimate,
    workRate,
    demandSignals,
    routeWeights: service =>
      options.isModel(service) ? cachedEstimate(service).weights : undefined,
    unpublishedCapacity() {
      if (clock.now() - publishedAt < PUBLISH_INTERVAL_MS) {
        return undefined;
      }
      publishedAt = clock.now();
      return model.stats();
    },
    fleetCapacity,
    dump: () =>
      Object.fromEntries(
        [...cachedEstimates].map(([service, {estimate}]) => [
          service,
          {...estimate, ...demandSignals(service)},
        ]),
      ),
  };
}

function routeWeightsFor(estimate: EngineEstimate): Partial<RouteWeights> {
  const {usualTokenMs, usualPromptMs, usualAnswerTokens} = estimate;
  return {
    knownMsPerToken: usualTokenMs,
    recomputedTokenShare: Math.min(1, estimate.rereadTokenMs / usualTokenMs),
    uncachedTokenWeight: RECOMPUTE_WEIGHT,
    perRequestMs: estimate.requestStepMs * usualAnswerTokens,
    perContextTokenMs: (estimate.contextStepMs * usualAnswerTokens) / 1_000,
    affinityMs: usualPromptMs * AFFINITY_MULTIPLE,
  };
}
