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
  ZERO_WORK,
  workMs,
  type DemandSignals,
  type WorkMeter,
} from '@skylarkfield/traffic';
import type {PeerReports} from './peerReports.js';

export interface EngineEstimates {
  readonly model: EngineModel;
  readonly outcomes: OutcomeMeter;
  readonly work: WorkMeter;
  estimateFor(service: string): EngineEstimate;
  /** Returns the work rate of a service over all entries. */
  workRate(service: string): WorkRate;
  /** Returns the demand for a service, and the fraction served late. */
  demandSignals(service: string): Omit<DemandSignals, 'present'>;
  /** Returns the routing weights; undefined for a plain service. */
  routeWeights(service: string): Partial<RouteWeights> | undefined;
  /** Returns this entry's observations; undefined if published recently. */
  unpublishedCapacity(): CapacityStats | undefined;
  /** Returns the observations of all entries. */
  fleetCapacity(): CapacityStats;
  dump(): unknown;
}

/** Interval at which the estimates are recomputed, in milliseconds. */
const REFRESH_INTERVAL_MS = 1_000;

/** Interval of publishing observations, in milliseconds: they change slowly. */
const PUBLISH_INTERVAL_MS = 1_000;

/** Minimum relative change of the typical prompt's time that is logged. */
const LOGGED_CHANGE = 0.25;

/** Affinity of a prefix, as a multiple of the typical prompt's time. */
const AFFINITY_PROMPTS = 1.5;

/** Cost factor of recomputing a prefix, which delays concurrent responses. */
const REREAD_WEIGHT = 4;

interface CachedEstimate {
  readonly at: number;
  readonly estimate: EngineEstimate;
  readonly weights: Partial<RouteWeights>;
}

/**
 * Creates the estimates of one entry.
 *
 * @example
 * const engineEstimates = createEngineEstimates({clock, reports, log,
 *   restored: store.restored, isModel, latencyTargets});
 */
export function createEngineEstimates(options: {
  readonly clock: Clock;
  readonly reports: PeerReports;
  readonly log: Logger;
  /** Observations from before all entries were lost, decayed by age. */
  restored(): CapacityStats;
  isModel(service: string): boolean;
  latencyTargets(service: string): readonly LatencyTargets[];
}): EngineEstimates {
  const {clock, reports, log} = options;
  const model = createEngineModel(clock);
  const outcomes = createOutcomeMeter(clock);
  const work = createWorkMeter(clock);
  const cache = new Map<string, CachedEstimate>();
  const logged = new Map<string, EngineEstimate>();
  let publishedAt = -Infinity;

  function fleetCapacity(): CapacityStats {
    return addCapacityStats([model.stats(), ...reports.capacity()]);
  }

  function computeEstimate(service: string): CachedEstimate {
    const all = addCapacityStats([fleetCapacity(), options.restored()]);
    const estimate = estimateEngine(
      all[service],
      options.latencyTargets(service),
    );
    return {
      at: clock.now(),
      estimate,
      weights: routeWeightsFor(estimate),
    };
  }

  function cachedEstimate(service: string): CachedEstimate {
    const last = cache.get(service);
    if (last !== undefined && clock.now() - last.at < REFRESH_INTERVAL_MS) {
      return last;
    }
    const fresh = computeEstimate(service);
    cache.set(service, fresh);
    logChange(service, fresh.estimate);
    return fresh;
  }

  /** Logs an estimate that is new or differs enough from the last logged. */
  function logChange(service: string, estimate: EngineEstimate): void {
    const last = logged.get(service);
    const ratio = last ? estimate.usualPromptMs / last.usualPromptMs : Infinity;
    const isSimilar = Math.abs(ratio - 1) < LOGGED_CHANGE;
    if (isSimilar && estimate.isSure === last?.isSure) {
      return;
    }
    logged.set(service, estimate);
    log.info({service, ...estimate}, 'engine estimate updated');
  }

  function workRate(service: string): WorkRate {
    const own = work.rates()[service] ?? ZERO_WORK;
    return addWork(own, reports.workOf(service));
  }

  function lateFraction(service: string): number {
    const originCounts = [outcomes.counts(), ...reports.outcomes()];
    return lateRequestFraction(
      originCounts.flatMap(counts => counts[service] ?? []),
    );
  }

  function demandSignals(service: string): Omit<DemandSignals, 'present'> {
    const {estimate} = cachedEstimate(service);
    return {
      workRate: workMs(workRate(service), estimate),
      use: targetUtilization(estimate, options.latencyTargets(service)),
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
        [...cache].map(([service, {estimate}]) => [
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
    uncachedTokenWeight: REREAD_WEIGHT,
    perRequestMs: estimate.requestStepMs * usualAnswerTokens,
    perContextTokenMs: (estimate.contextStepMs * usualAnswerTokens) / 1_000,
    affinityMs: usualPromptMs * AFFINITY_PROMPTS,
  };
}
