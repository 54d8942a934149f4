/**
 * Detects faults of a candidate on any route and at any load level.
 *
 * Each scope (the service, each route, each route at each load level) has one
 * sequential test for errors and one for latency. Averaging their values with
 * weights that sum to at most 1 gives a valid test again, so the false alarm
 * probability stays below alpha for any number of routes.
 */
import {
  createVarianceEstimator,
  errorLogLikelihoodRatio,
  latencyLogLikelihoodRatio,
  latencyExcess,
  type VarianceEstimator,
} from './likelihoodRatios.js';
import type {Stratum} from './evidence.js';
import {
  logAddExp,
  createSequentialTest,
  type SequentialTest,
} from './sequentialTest.js';

/** Fault that the detector found. */
export interface DetectedFault {
  readonly why: string;
  readonly logValue: number;
}

export interface FaultDetector {
  /** Adds one window; returns a fault once the threshold is reached. */
  add(strata: readonly Stratum[]): DetectedFault | undefined;
  /** Returns the logarithm of the combined test value, for the state dump. */
  logValue(): number;
}

export interface FaultDetectorOptions {
  /** Upper bound of the false alarm probability over the whole move. */
  readonly alpha: number;
  /** Windows until the deadline; the onset prior is spread over them. */
  readonly windowCount: number;
}

/** Highest error factor and log latency excess that are not a fault. */
const TOLERATED_ERROR_FACTOR = 1.15;
const TOLERATED_LATENCY_EXCESS = 0.05;

/** Alternative hypotheses: error factors and log latency excesses. */
const ERROR_FACTORS = [2, 4, 16, 100];
const LATENCY_EXCESSES = [0.25, 0.5, 1, 2];

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
 * const fault = detector.add(window.takeComparable());
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

  function scopeFor(type: ScopeType, name: string): Scope {
    const id = `${type}\u0000${name}`;
    let scope = scopes.get(id);
    if (scope === undefined) {
      scope = {
        name,
        logWeight: Math.log(scopeWeight(type, scopeCounts[type]++) / 2),
        errorTest: createSequentialTest(ERROR_FACTORS.length, INITIAL_WEIGHT),
        latencyTest: createSequentialTest(
          LATENCY_EXCESSES.length,
          INITIAL_WEIGHT,
        ),
        windowCount: 0,
      };
      scopes.set(id, scope);
    }
    return scope;
  }

  function varianceEstimatorFor(route: string): VarianceEstimator {
    let estimator = varianceEstimators.get(route);
    if (estimator === undefined) {
      estimator = createVarianceEstimator();
      varianceEstimators.set(route, estimator);
    }
    return estimator;
  }

  /** Adds the strata of one window; their likelihood ratios multiply. */
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
    const excesses = strata.flatMap(stratum => {
      const excess = latencyExcess(
        stratum,
        varianceEstimatorFor(stratum.route).value(),
      );
      return excess === undefined ? [] : [excess];
    });
    scope.latencyTest.add(
      LATENCY_EXCESSES.map(alternative =>
        sum(excesses, excess =>
          latencyLogLikelihoodRatio(
            excess,
            alternative,
            TOLERATED_LATENCY_EXCESS,
          ),
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

  function strongestReason(): string {
    let strongest = {why: '', value: -Infinity};
    for (const scope of scopes.values()) {
      for (const [kind, test] of [
        ['more errors', scope.errorTest],
        ['higher latency', scope.latencyTest],
      ] as const) {
        const value = scope.logWeight + test.logValue();
        if (value > strongest.value) {
          strongest = {
            why: `${kind} than the incumbent on ${scope.name}`,
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
      addToScope(scopeFor('service', 'all routes'), strata);
      for (const route of new Set(strata.map(stratum => stratum.route))) {
        const ownStrata = strata.filter(stratum => stratum.route === route);
        addToScope(scopeFor('route', route), ownStrata);
      }
      for (const stratum of strata) {
        const name = `${stratum.route} under ${stratum.loadLevel} load`;
        addToScope(scopeFor('level', name), [stratum]);
      }
      for (const stratum of strata) {
        varianceEstimatorFor(stratum.route).add(stratum.incumbent);
      }
      const logValue = combinedLogValue();
      return logValue >= logThreshold
        ? {why: strongestReason(), logValue}
        : undefined;
    },
    logValue: combinedLogValue,
  };
}

/** Weights of an unknown number of scopes; each type sums to at most 1/3. */
function scopeWeight(type: ScopeType, index: number): number {
  if (type === 'service') {
    return 1 / SCOPE_TYPE_COUNT;
  }
  return 1 / (SCOPE_TYPE_COUNT * (index + 1) * (index + 2));
}

function sum<T>(items: readonly T[], valueOf: (item: T) => number): number {
  return items.reduce((total, item) => total + valueOf(item), 0);
}
