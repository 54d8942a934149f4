/**
 * Detects faults of a candidate on any route and at any load level.
 *
 * Each scope (the service, each route, each route at each load level) has one
 * sequential test for errors and one for latency. The average of the test
 * values, with weights that sum to at most 1, is a valid test again, so the
 * false alarm probability stays below alpha for any number of routes.
 */
import {
  createVarianceEstimator,
  errorLogLikelihoodRatio,
  latencyLogLikelihoodRatio,
  latencyExcess,
  type VarianceEstimator,
} from './likelihoodRatios.js';
import type {EvidenceMeasure} from '@skylarkfield/protocol';
import type {Stratum} from './evidence.js';
import {
  logAddExp,
  createSequentialTest,
  type SequentialTest,
} from './sequentialTest.js';

export interface DetectedFault {
  readonly why: string;
  readonly logValue: number;
}

export interface FaultDetector {
  /**
   * Adds the strata of one window; returns a fault once the combined test value
   * reaches the threshold.
   */
  add(strata: readonly Stratum[]): DetectedFault | undefined;
  /** Returns the logarithm of the combined test value, for the state dump. */
  logValue(): number;
}

export interface FaultDetectorOptions {
  /** Upper bound of the probability of a false alarm during the whole move. */
  readonly alpha: number;
  /**
   * Number of windows until the deadline; the prior weight of later fault
   * onsets is spread over them.
   */
  readonly windowCount: number;
}

/** Highest ratio of error rates that does not count as a fault. */
const TOLERATED_ERROR_FACTOR = 1.15;

/** Alternative hypotheses: ratios of error rates. */
const ERROR_FACTORS = [2, 4, 16, 100];

/** Excesses of the log latency, for each measure. */
interface LatencyHypotheses {
  /** Highest excess that does not count as a fault. */
  readonly tolerated: number;
  readonly alternatives: readonly [number, number, number, number];
}

/**
 * The event interval hardly varies between requests but depends on the host,
 * and a candidate may run on a few slow hosts only. Its tolerance is therefore
 * larger.
 */
const LATENCY_HYPOTHESES: Readonly<Record<EvidenceMeasure, LatencyHypotheses>> =
  {
    requests: {tolerated: 0.05, alternatives: [0.25, 0.5, 1, 2]},
    eventInterval: {tolerated: 0.35, alternatives: [0.7, 1, 1.5, 2]},
  };

/** Prior weight of faults that exist from the start. */
const INITIAL_WEIGHT = 0.4;

type ScopeType = 'service' | 'route' | 'level';
const SCOPE_TYPE_COUNT = 3;

interface Scope {
  readonly name: string;
  readonly logWeight: number;
  readonly errorTest: SequentialTest;
  readonly latencyTest: SequentialTest;
  windowCount: number;
}

/**
 * Creates the detector of one move.
 *
 * @example
 * const detector = createFaultDetector({alpha: 0.002, windowCount: 3600});
 * const fault = detector.add(window.takeComparableStrata());
 */
export function createFaultDetector(
  options: FaultDetectorOptions,
): FaultDetector {
  const scopes = new Map<string, Scope>();
  const varianceEstimators = new Map<string, VarianceEstimator>();
  const scopeCounts: Record<ScopeType, number> = {
    service: 0,
    route: 0,
    level: 0,
  };
  const onsetWeight = (1 - INITIAL_WEIGHT) / Math.max(1, options.windowCount);
  const logThreshold = Math.log(1 / options.alpha);

  function getOrCreateScope(type: ScopeType, name: string): Scope {
    const id = `${type}\u0000${name}`;
    let scope = scopes.get(id);
    if (scope === undefined) {
      scope = {
        name,
        logWeight: Math.log(scopeWeight(type, scopeCounts[type]++) / 2),
        errorTest: createSequentialTest(ERROR_FACTORS.length, INITIAL_WEIGHT),
        latencyTest: createSequentialTest(
          LATENCY_HYPOTHESES.requests.alternatives.length,
          INITIAL_WEIGHT,
        ),
        windowCount: 0,
      };
      scopes.set(id, scope);
    }
    return scope;
  }

  function getOrCreateVarianceEstimator(route: string): VarianceEstimator {
    let estimator = varianceEstimators.get(route);
    if (estimator === undefined) {
      estimator = createVarianceEstimator();
      varianceEstimators.set(route, estimator);
    }
    return estimator;
  }

  /**
   * Adds the strata of one window, all of one measure, to the tests of a scope.
   * The likelihood ratios of the strata are multiplied.
   */
  function addToScope(scope: Scope, strata: readonly Stratum[]) {
    scope.windowCount += 1;
    // The test is valid only while the onset weights sum to at most 1.
    if (scope.windowCount <= options.windowCount) {
      scope.errorTest.addOnset(onsetWeight);
      scope.latencyTest.addOnset(onsetWeight);
    }
    scope.errorTest.add(
      ERROR_FACTORS.map(factor =>
        sum(strata, stratum =>
          errorLogLikelihoodRatio(stratum, factor, TOLERATED_ERROR_FACTOR),
        ),
      ),
    );
    const {tolerated, alternatives} =
      LATENCY_HYPOTHESES[strata[0]?.measure ?? 'requests'];
    const excesses = strata.flatMap(stratum => {
      const excess = latencyExcess(
        stratum,
        getOrCreateVarianceEstimator(stratum.route).value(),
      );
      return excess === undefined ? [] : [excess];
    });
    scope.latencyTest.add(
      alternatives.map(alternative =>
        sum(excesses, excess =>
          latencyLogLikelihoodRatio(excess, alternative, tolerated),
        ),
      ),
    );
  }

  function combinedLogValue(): number {
    let value = -Infinity;
    for (const scope of scopes.values()) {
      value = logAddExp(value, scope.logWeight + scope.errorTest.logValue());
      value = logAddExp(value, scope.logWeight + scope.latencyTest.logValue());
    }
    return value;
  }

  function describeStrongestEvidence(): string {
    let strongest = {why: '', value: -Infinity};
    for (const scope of scopes.values()) {
      for (const [symptom, test] of [
        ['more errors', scope.errorTest],
        ['higher latency', scope.latencyTest],
      ] as const) {
        const value = scope.logWeight + test.logValue();
        if (value > strongest.value) {
          strongest = {
            why: `${symptom} than the incumbent on ${scope.name}`,
            value,
          };
        }
      }
    }
    return strongest.why;
  }

  return {
    add(strata) {
      if (strata.length === 0) {
        return undefined;
      }
      const requestStrata = strata.filter(
        ({measure}) => measure === 'requests',
      );
      if (requestStrata.length > 0) {
        addToScope(getOrCreateScope('service', 'all routes'), requestStrata);
      }
      for (const route of new Set(strata.map(stratum => stratum.route))) {
        const routeStrata = strata.filter(stratum => stratum.route === route);
        addToScope(getOrCreateScope('route', route), routeStrata);
      }
      for (const stratum of strata) {
        const name = `${stratum.route} under ${stratum.loadLevel} load`;
        addToScope(getOrCreateScope('level', name), [stratum]);
      }
      for (const stratum of strata) {
        getOrCreateVarianceEstimator(stratum.route).add(stratum.incumbent);
      }
      const logValue = combinedLogValue();
      return logValue >= logThreshold
        ? {why: describeStrongestEvidence(), logValue}
        : undefined;
    },
    logValue: combinedLogValue,
  };
}

/**
 * Returns the prior weight of a scope. The number of scopes is not known in
 * advance, so the weights form a series; the weights of the scopes of each type
 * sum to at most 1/3.
 */
function scopeWeight(type: ScopeType, index: number): number {
  if (type === 'service') {
    return 1 / SCOPE_TYPE_COUNT;
  }
  return 1 / (SCOPE_TYPE_COUNT * (index + 1) * (index + 2));
}

function sum<T>(items: readonly T[], valueOf: (item: T) => number): number {
  return items.reduce((total, item) => total + valueOf(item), 0);
}
